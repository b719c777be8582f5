#ifndef WS_EIO_DAEMON_H
#define WS_EIO_DAEMON_H

/* Entry point of the program wagtailshift-edge. */
int ws_eio_daemon_main(int argc, char **argv);

#endif
