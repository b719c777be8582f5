#ifndef WS_DAEMON_H
#define WS_DAEMON_H

/*
 * The program wagtailshiftd: reads options and settings, then runs until a
 * graceful shutdown is complete.
 * @return exit status: 0 after a shutdown, 1 on failure, 2 on invalid options
 *         or settings
 */
int ws_daemon_main(int argc, char **argv);

#endif
