#include "common/ws_common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ===== Errors ===== */

struct error_text {
	const char *name;
	const char *message;
	const char *remedy;
	int http_status;
};

#define ERROR_TEXT(code, n, status, m, r) \
	[-(code)] = { .name = (n),        \
		      .message = (m),     \
		      .remedy = (r),      \
		      .http_status = (status) }

static const struct error_text error_texts[] = {
	ERROR_TEXT(WS_OK, "ok", 200, "success", "nothing to do"),
	ERROR_TEXT(WS_ERR_NO_MEMORY, "no_memory", 503, "out of memory",
		   "give the instance more memory or lower its limits"),
	ERROR_TEXT(WS_ERR_CONFIG, "bad_setting", 500, "a setting is invalid",
		   "correct the named line of the settings file"),
	ERROR_TEXT(WS_ERR_SYNTAX, "bad_syntax", 400,
		   "the input could not be parsed",
		   "check the input against the documented format"),
	ERROR_TEXT(WS_ERR_SIGNATURE, "bad_signature", 403,
		   "the bundle's signature does not verify",
		   "sign the bundle with a key that the bundle in force lists"),
	ERROR_TEXT(WS_ERR_VERSION, "version_conflict", 409,
		   "the bundle does not build on the version in force",
		   "fetch the bundle in force, apply the change, sign again"),
	ERROR_TEXT(WS_ERR_NO_BUNDLE, "no_bundle", 503,
		   "this instance has no bundle yet",
		   "publish a bundle, or wait until the log is reachable"),
	ERROR_TEXT(WS_ERR_NO_KEY, "no_caller_key", 401,
		   "the request has no caller key",
		   "send Authorization: Bearer <caller key>"),
	ERROR_TEXT(WS_ERR_BAD_KEY, "bad_caller_key", 403,
		   "the caller key is not valid for this service",
		   "use a current caller key of the customer"),
	ERROR_TEXT(WS_ERR_STALE, "stale_instance", 503,
		   "this instance cannot confirm that its state is current",
		   "retry at another instance"),
	ERROR_TEXT(WS_ERR_NO_SERVICE, "no_such_service", 404,
		   "no service has this name",
		   "check the path against the services of the bundle"),
	ERROR_TEXT(WS_ERR_NO_TARGET, "no_target", 503,
		   "no target can take the request now",
		   "retry after the time in Retry-After"),
	ERROR_TEXT(WS_ERR_NOT_HOLDER, "not_holder", 503,
		   "this instance does not hold the resource",
		   "retry; the request is sent to the current holder"),
	ERROR_TEXT(WS_ERR_RATE, "rate_exceeded", 429,
		   "the customer's rate is used up",
		   "retry after the time in Retry-After"),
	ERROR_TEXT(WS_ERR_OVERLOAD, "overload", 503,
		   "the queue of the target is full",
		   "retry after the time in Retry-After"),
	ERROR_TEXT(WS_ERR_DEADLINE, "deadline_exceeded", 504,
		   "the request's deadline has passed or cannot be met",
		   "retry with a longer deadline"),
	ERROR_TEXT(WS_ERR_TARGET_FAILED, "target_failed", 502,
		   "the target failed before it ran the request",
		   "retry the request"),
	ERROR_TEXT(WS_ERR_UNKNOWN_OUTCOME, "outcome_unknown", 504,
		   "the request may or may not have run",
		   "look the request up in the service before sending a new "
		   "one; resending the same id never runs it again"),
	ERROR_TEXT(WS_ERR_REQUEST_ID, "bad_request_id", 400,
		   "the request needs an Idempotency-Key that is a UUID "
		   "version 7 created in the last 10 minutes",
		   "create a UUID version 7 for each new request"),
	ERROR_TEXT(WS_ERR_ID_REUSED, "request_id_reused", 422,
		   "the Idempotency-Key was used with another request",
		   "create a new UUID version 7 for a different request"),
	ERROR_TEXT(WS_ERR_QUARANTINED, "quarantined", 422,
		   "targets crashed while running this request",
		   "change the request, or wait until the quarantine ends"),
	ERROR_TEXT(WS_ERR_TOO_LARGE, "too_large", 413,
		   "the body is larger than 1 MiB", "send a smaller body"),
	ERROR_TEXT(WS_ERR_BAD_REQUEST, "bad_request", 400,
		   "the request is malformed or ambiguous",
		   "remove duplicate or conflicting headers"),
	ERROR_TEXT(WS_ERR_PEER, "peer_failed", 503,
		   "another instance did not answer", "retry the request"),
	ERROR_TEXT(WS_ERR_LOG, "log_unavailable", 503,
		   "the log service did not answer",
		   "retry when the log service is back"),
	ERROR_TEXT(WS_ERR_SHUTDOWN, "shutting_down", 503,
		   "this instance is shutting down",
		   "retry at another instance"),
	ERROR_TEXT(WS_ERR_IN_PROGRESS, "in_progress", 409,
		   "a request with this Idempotency-Key is still running",
		   "resend the same request later to get its answer"),
	ERROR_TEXT(WS_ERR_TRUNCATED, "truncated_answer", 502,
		   "the target's answer was incomplete or not for this request",
		   "resend an idempotent request; look up others first"),
	ERROR_TEXT(WS_ERR_LIMIT, "limit_reached", 503,
		   "a memory bound of the instance is reached",
		   "retry later, or raise the named limit"),
	ERROR_TEXT(WS_ERR_FIXED, "fixed_value", 409,
		   "the bundle changes partitions or the shards of a service",
		   "keep these numbers; for other shards define a service "
		   "with a new name"),
};

static const struct error_text *find_text(int res)
{
	static const struct error_text other = {
		.name = "unknown_error",
		.message = "unknown error",
		.remedy = "report this number to the maintainers",
		.http_status = 500,
	};

	if (res > 0)
		res = 0;
	if (res < WS_ERROR_LAST)
		return &other;
	return &error_texts[-res];
}

const char *ws_error_name(int res)
{
	return find_text(res)->name;
}

const char *ws_error_message(int res)
{
	return find_text(res)->message;
}

const char *ws_error_remedy(int res)
{
	return find_text(res)->remedy;
}

int ws_error_http_status(int res)
{
	return find_text(res)->http_status;
}

/* ===== Invariants ===== */

void ws_invariant_failed(const char *file, int line, const char *expr)
{
	fprintf(stderr, "%s:%d: invariant broken: %s\n", file, line, expr);
	abort();
}

/* ===== Memory ===== */

void *ws_alloc(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size ? size : 1);

	if (!p) {
		fprintf(stderr, "out of memory\n");
		abort();
	}
	return p;
}

void ws_grow(void *array, size_t *cap, size_t need, size_t size)
{
	void *p;
	size_t n = *cap ? *cap : 8;

	if (need <= *cap)
		return;
	while (n < need)
		n *= 2;
	memcpy(&p, array, sizeof(p));
	p = realloc(p, n * size);
	if (!p) {
		fprintf(stderr, "out of memory\n");
		abort();
	}
	memset((char *)p + *cap * size, 0, (n - *cap) * size);
	memcpy(array, &p, sizeof(p));
	*cap = n;
}

/* ===== Pseudo-random numbers ===== */

void ws_rand_seed(struct ws_rand *r, uint64_t seed)
{
	r->state = ws_mix(seed, 0x9e3779b97f4a7c15ULL) | 1;
}

uint64_t ws_rand_next(struct ws_rand *r)
{
	uint64_t x = r->state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	r->state = x;
	return x * 0x2545f4914f6cdd1dULL;
}

uint64_t ws_rand_below(struct ws_rand *r, uint64_t bound)
{
	WS_INVARIANT(bound != 0);
	return ws_rand_next(r) % bound;
}

/* ===== Hashing ===== */

uint64_t ws_mix(uint64_t a, uint64_t b)
{
	uint64_t x = a * 0xff51afd7ed558ccdULL + b;

	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	x ^= x >> 33;
	return x;
}
