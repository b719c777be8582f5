#ifndef WS_COMMON_H
#define WS_COMMON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Time ===== */

/* Microseconds on this process's monotonic clock. */
typedef int64_t ws_us;

#define WS_MS ((ws_us)1000)
#define WS_SECOND ((ws_us)1000000)

/* ===== Identifiers ===== */

/*
 * Names (services, customers, zones, targets) are identified by the 64-bit
 * hash of the name; 0 means none. An instance is identified by a random
 * number drawn at process start, so a restarted process is a new instance.
 */
typedef uint64_t ws_id;

/* Offset of a record in the platform's log; 0 means none. */
typedef uint64_t ws_offset;

/*
 * Handle of an immutable request or answer body with its headers. The I/O
 * code owns the bytes, the core stores and passes on handles only. 0 means
 * none.
 */
typedef uint32_t ws_payload;

/* ===== Errors ===== */

/*
 * Functions that can fail return 0 or a positive result on success and one of
 * these negative numbers on failure.
 */
enum ws_error {
	WS_OK = 0,
	WS_ERR_NO_MEMORY = -1,
	WS_ERR_CONFIG = -2,
	WS_ERR_SYNTAX = -3,
	WS_ERR_SIGNATURE = -4,
	WS_ERR_VERSION = -5,
	WS_ERR_NO_BUNDLE = -6,
	WS_ERR_NO_KEY = -7,
	WS_ERR_BAD_KEY = -8,
	WS_ERR_STALE = -9,
	WS_ERR_NO_SERVICE = -10,
	WS_ERR_NO_TARGET = -11,
	WS_ERR_NOT_HOLDER = -12,
	WS_ERR_RATE = -13,
	WS_ERR_OVERLOAD = -14,
	WS_ERR_DEADLINE = -15,
	WS_ERR_TARGET_FAILED = -16,
	WS_ERR_UNKNOWN_OUTCOME = -17,
	WS_ERR_REQUEST_ID = -18,
	WS_ERR_ID_REUSED = -19,
	WS_ERR_QUARANTINED = -20,
	WS_ERR_TOO_LARGE = -21,
	WS_ERR_BAD_REQUEST = -22,
	WS_ERR_PEER = -23,
	WS_ERR_LOG = -24,
	WS_ERR_SHUTDOWN = -25,
	WS_ERR_IN_PROGRESS = -26,
	WS_ERR_TRUNCATED = -27,
	WS_ERR_LIMIT = -28,
	WS_ERR_FIXED = -29,
};

#define WS_ERROR_LAST WS_ERR_FIXED

/* Returns whether a result is an error of enum ws_error. */
static inline bool ws_is_error(int res)
{
	return res < 0;
}

/* Short machine-readable name ("rate_exceeded"); never NULL. */
const char *ws_error_name(int res);

/* Describes the error for a person; never NULL. */
const char *ws_error_message(int res);

/* Describes what the caller or the operator can do; never NULL. */
const char *ws_error_remedy(int res);

/* HTTP status of the response that reports the error to a caller. */
int ws_error_http_status(int res);

/* ===== Invariants ===== */

/* Prints the violated invariant to stderr and aborts the process. */
void ws_invariant_failed(const char *file, int line, const char *expr)
	__attribute__((noreturn));

/* Unlike assert(), also checked in release builds. */
#define WS_INVARIANT(expr)                                              \
	do {                                                            \
		if (!(expr))                                            \
			ws_invariant_failed(__FILE__, __LINE__, #expr); \
	} while (0)

/* ===== Memory ===== */

/* Allocates zeroed memory; aborts the process if out of memory. */
void *ws_alloc(size_t count, size_t size);

/*
 * Grows an array to a capacity of at least need elements; new elements are
 * zeroed. Aborts the process if out of memory.
 * @param array address of the array pointer
 * @param cap address of its capacity in elements
 * @param size size of an element in bytes
 */
void ws_grow(void *array, size_t *cap, size_t need, size_t size);

/* ===== Pseudo-random numbers ===== */

/* xorshift64* state; the same seed always gives the same sequence. */
struct ws_rand {
	uint64_t state;
};

void ws_rand_seed(struct ws_rand *r, uint64_t seed);
uint64_t ws_rand_next(struct ws_rand *r);

/* Returns a uniform number below bound, which must not be 0. */
uint64_t ws_rand_below(struct ws_rand *r, uint64_t bound);

/* ===== Hashing ===== */

/* Hashes two numbers; used for rendezvous hashing and hash tables. */
uint64_t ws_mix(uint64_t a, uint64_t b);

#endif
