#ifndef WS_EIO_CRASH_H
#define WS_EIO_CRASH_H

/*
 * Writes the stack of a process that dies of a memory fault or a broken
 * invariant to standard output, so that the log tells where it was.
 */
void ws_eio_crash_init(void);

#endif
