#ifndef WS_EIO_DAEMON_H
#define WS_EIO_DAEMON_H

/* Body of the program wagtailshift-edge. */
int ws_eio_daemon_main(int argc, char **argv);

#endif
