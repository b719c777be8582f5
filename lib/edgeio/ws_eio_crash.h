#ifndef WS_EIO_CRASH_H
#define WS_EIO_CRASH_H

/*
 * Installs signal handlers that write a stack trace to standard output when the
 * process crashes by a memory fault or a violated invariant.
 */
void ws_eio_crash_init(void);

#endif
