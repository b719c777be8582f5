#ifndef WS_DAEMON_H
#define WS_DAEMON_H

/*
 * The program wagtailshiftd: reads options and settings, runs the shell until
 * a graceful shutdown is complete.
 * @return exit status: 0 ended, 1 failure, 2 wrong options or settings
 */
int ws_daemon_main(int argc, char **argv);

#endif
