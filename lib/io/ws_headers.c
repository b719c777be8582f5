#include "io/ws_headers.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define OWN_PREFIX "X-Wagtailshift-"
#define OWN_PREFIX_LEN (sizeof(OWN_PREFIX) - 1)

/* ===== Blocks ===== */

void ws_headers_add(struct ws_headers *h, const char *name, size_t name_len,
		    const char *value, size_t value_len)
{
	size_t need = name_len + value_len + 3;
	char *p;

	ws_grow(&h->text, &h->cap, h->len + need, 1);
	p = h->text + h->len;
	memcpy(p, name, name_len);
	p += name_len;
	*p++ = ':';
	*p++ = ' ';
	memcpy(p, value, value_len);
	p[value_len] = '\0';
	h->len += need;
}

void ws_headers_reset(struct ws_headers *h)
{
	h->len = 0;
}

void ws_headers_free(struct ws_headers *h)
{
	free(h->text);
	memset(h, 0, sizeof(*h));
}

/* ===== Names ===== */

static bool is_in(const char *name, size_t len, const char *const *list)
{
	for (; *list; list++)
		if (strlen(*list) == len && !strncasecmp(*list, name, len))
			return true;
	return false;
}

/* Tells whether a Connection header names the header. */
static bool is_named(const char *connection, const char *name, size_t len)
{
	const char *p = connection;

	while (p && *p) {
		size_t n;

		p += strspn(p, " \t,");
		n = strcspn(p, " \t,");
		if (n == len && !strncasecmp(p, name, n))
			return true;
		p += n;
	}
	return false;
}

static bool is_hop_by_hop(const char *name, size_t len, const char *connection)
{
	static const char *const hop[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"Proxy-Connection",
		"TE",
		"Proxy-Authorization",
		"Trailer",
		"Upgrade",
		"Transfer-Encoding",
		NULL,
	};

	return is_in(name, len, hop) || is_named(connection, name, len);
}

bool ws_headers_is_end_to_end(const char *name, size_t len,
			      const char *connection)
{
	return !is_hop_by_hop(name, len, connection);
}

static bool is_own(const char *name)
{
	return !strncasecmp(name, OWN_PREFIX, OWN_PREFIX_LEN);
}

bool ws_headers_is_for_target(const struct ws_header_scan *s, const char *name)
{
	static const char *const replaced[] = {
		"Authorization", "Content-Length", "Expect", "Host", NULL,
	};
	size_t len = strlen(name);

	return !is_in(name, len, replaced) && !is_own(name) &&
	       !is_hop_by_hop(name, len, s->connection);
}

bool ws_headers_is_for_caller(const char *name, size_t len,
			      const char *connection)
{
	static const char *const replaced[] = { "Content-Length", NULL };

	return !is_in(name, len, replaced) && !is_own(name) &&
	       !is_hop_by_hop(name, len, connection);
}

/* ===== Rules ===== */

static void scan_length(struct ws_header_scan *s, const char *value)
{
	size_t n = strspn(value, "0123456789");

	s->n_lengths++;
	if (n < 1 || n > 18 || value[n]) {
		s->invalid = true;
		return;
	}
	s->content_length = strtoull(value, NULL, 10);
}

static void scan_encoding(struct ws_header_scan *s, const char *value)
{
	s->n_encodings++;
	s->chunked = !strcasecmp(value, "chunked");
	s->invalid |= !s->chunked;
}

/* Callers may set the deadline; every other own header is ours to set. */
static void scan_own(struct ws_header_scan *s, const char *name,
		     const char *value)
{
	if (strcasecmp(name, OWN_PREFIX "Deadline-Ms") != 0 || s->deadline) {
		s->invalid = true;
		return;
	}
	s->deadline = value;
}

void ws_headers_scan(struct ws_header_scan *s, const char *name,
		     const char *value)
{
	if (is_own(name)) {
		scan_own(s, name, value);
	} else if (!strcasecmp(name, "Content-Length")) {
		scan_length(s, value);
	} else if (!strcasecmp(name, "Transfer-Encoding")) {
		scan_encoding(s, value);
	} else if (!strcasecmp(name, "Authorization")) {
		s->authorization = value;
		s->n_authorizations++;
	} else if (!strcasecmp(name, "Idempotency-Key")) {
		s->request_id = value;
		s->n_request_ids++;
	} else if (!strcasecmp(name, "Connection")) {
		s->connection = value;
	} else if (!strcasecmp(name, "Host")) {
		s->n_hosts++;
	}
}

int ws_headers_check(const struct ws_header_scan *s, uint64_t max_body)
{
	if (s->invalid || s->n_lengths > 1 || s->n_encodings > 1 ||
	    s->n_hosts > 1)
		return WS_ERR_BAD_REQUEST;
	if (s->n_lengths && s->n_encodings)
		return WS_ERR_BAD_REQUEST;
	if (s->n_authorizations > 1 || s->n_request_ids > 1)
		return WS_ERR_BAD_REQUEST;
	if (s->content_length > max_body)
		return WS_ERR_TOO_LARGE;
	return 0;
}
