#ifndef WS_MEMORY_H
#define WS_MEMORY_H

#include "common/ws_common.h"

/*
 * Account of the bytes that a process holds for messages: heads and bodies that
 * are being received, those of requests that are open, output that sockets do
 * not accept yet, and buffers that are kept for reuse. All parts that read from
 * outside share one account, so that together they stay below its limit.
 */

struct ws_memory {
	size_t max; /* 0: no limit */
	/* Of max, for requests and short answers: long ones leave it free */
	size_t reserve;
	size_t used;
	size_t peak; /* since the last ws_memory_trim() that freed pages */
	uint64_t n_refused; /* times that bytes were refused or given up */
};

/*
 * Adds bytes that are about to be allocated.
 * @return false if that would exceed the limit; nothing was added then
 */
bool ws_memory_take(struct ws_memory *m, size_t n);

/* The same for bytes of long answers, which leave the reserve free. */
bool ws_memory_take_for_answer(struct ws_memory *m, size_t n);

/* The same for bytes that cannot be refused, such as output that is due. */
void ws_memory_force(struct ws_memory *m, size_t n);

/* Removes bytes that were added. */
void ws_memory_give(struct ws_memory *m, size_t n);

/*
 * Returns free pages to the system after a peak has passed; to be called from
 * time to time.
 */
void ws_memory_trim(struct ws_memory *m);

#endif
