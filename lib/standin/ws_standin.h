#ifndef WS_STANDIN_H
#define WS_STANDIN_H

/* Subcommands. Each parses its arguments and returns the exit code. */
int ws_standin_log(int argc, char **argv);
int ws_standin_list(int argc, char **argv);
int ws_standin_target(int argc, char **argv);
int ws_standin_check(int argc, char **argv);

#define WS_STANDIN_USAGE 2

#endif
