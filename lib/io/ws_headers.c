#include "io/ws_headers.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define RESERVED_PREFIX "X-Wagtailshift-"
#define RESERVED_PREFIX_LEN (sizeof(RESERVED_PREFIX) - 1)

/* ===== Lists ===== */

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

static bool is_one_of(const char *name, size_t len, const char *const *list)
{
	for (; *list; list++)
		if (strlen(*list) == len && !strncasecmp(*list, name, len))
			return true;
	return false;
}

/* Tells whether the value of a Connection header lists the header. */
static bool is_listed(const char *connection, const char *name, size_t len)
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

	return is_one_of(name, len, hop) || is_listed(connection, name, len);
}

bool ws_headers_is_end_to_end(const char *name, size_t len,
			      const char *connection)
{
	return !is_hop_by_hop(name, len, connection);
}

static bool is_reserved(const char *name)
{
	return !strncasecmp(name, RESERVED_PREFIX, RESERVED_PREFIX_LEN);
}

bool ws_headers_is_for_target(const struct ws_header_scan *s, const char *name)
{
	static const char *const replaced[] = {
		"Authorization", "Content-Length", "Expect", "Host", NULL,
	};
	size_t len = strlen(name);

	return !is_one_of(name, len, replaced) && !is_reserved(name) &&
	       !is_hop_by_hop(name, len, s->connection);
}

bool ws_headers_is_for_caller(const char *name, size_t len,
			      const char *connection)
{
	static const char *const replaced[] = { "Content-Length", NULL };

	return !is_one_of(name, len, replaced) && !is_reserved(name) &&
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

bool ws_headers_scan_framing(struct ws_header_scan *s, const char *name,
			     size_t len, const char *value)
{
	static const char *const length[] = { "Content-Length", NULL };
	static const char *const encoding[] = { "Transfer-Encoding", NULL };

	if (is_one_of(name, len, length))
		scan_length(s, value);
	else if (is_one_of(name, len, encoding))
		scan_encoding(s, value);
	else
		return false;
	return true;
}

bool ws_headers_framing_is_valid(const struct ws_header_scan *s)
{
	return !s->invalid && s->n_lengths + s->n_encodings <= 1;
}

bool ws_headers_is_token(const char *name, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (!g_ascii_isalnum(name[i]) &&
		    (!name[i] || !strchr("!#$%&'*+-.^_`|~", name[i])))
			return false;
	return len > 0;
}

/*
 * Callers may send the deadline, once. They must not send any other header with
 * the reserved prefix.
 */
static void scan_reserved(struct ws_header_scan *s, const char *name,
			  const char *value)
{
	if (strcasecmp(name, RESERVED_PREFIX "Deadline-Ms") != 0 ||
	    s->deadline) {
		s->invalid = true;
		return;
	}
	s->deadline = value;
}

void ws_headers_scan(struct ws_header_scan *s, const char *name,
		     const char *value)
{
	if (ws_headers_scan_framing(s, name, strlen(name), value))
		return;
	if (is_reserved(name)) {
		scan_reserved(s, name, value);
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
	if (!ws_headers_framing_is_valid(s) || s->n_hosts > 1)
		return WS_ERR_BAD_REQUEST;
	if (s->n_authorizations > 1 || s->n_request_ids > 1)
		return WS_ERR_BAD_REQUEST;
	if (s->content_length > max_body)
		return WS_ERR_TOO_LARGE;
	return 0;
}
