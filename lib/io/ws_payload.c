#include "io/ws_payload.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* A handle has the index plus one in the low bits, the generation above. */
#define INDEX_BITS 21
#define INDEX_MASK ((1U << INDEX_BITS) - 1)
#define GENERATION_MASK ((1U << (32 - INDEX_BITS)) - 1)

struct slot {
	struct ws_body body;
	char *bytes; /* one allocation for all pointers of body */
	size_t size;
	uint32_t refs; /* 0: free */
	uint32_t generation;
	uint32_t next_free; /* index plus one */
};

struct ws_payloads {
	struct slot *slots;
	size_t n;
	size_t cap;
	uint32_t first_free;
	size_t count;
	size_t bytes;
	size_t max_bytes;
};

struct ws_payloads *ws_payloads_new(size_t max_bytes)
{
	struct ws_payloads *t = ws_alloc(1, sizeof(*t));

	t->max_bytes = max_bytes;
	return t;
}

void ws_payloads_free(struct ws_payloads *t)
{
	size_t i;

	if (!t)
		return;
	for (i = 0; i < t->n; i++)
		free(t->slots[i].bytes);
	free(t->slots);
	free(t);
}

static struct slot *find_slot(const struct ws_payloads *t, ws_payload h)
{
	uint32_t index = h & INDEX_MASK;
	struct slot *s;

	if (!index || index > t->n)
		return NULL;
	s = &t->slots[index - 1];
	if (!s->refs || s->generation != h >> INDEX_BITS)
		return NULL;
	return s;
}

/* @return index plus one of a free slot, or 0 if there is none */
static uint32_t alloc_slot(struct ws_payloads *t)
{
	uint32_t index = t->first_free;

	if (index) {
		t->first_free = t->slots[index - 1].next_free;
		return index;
	}
	if (t->n == INDEX_MASK)
		return 0;
	ws_grow(&t->slots, &t->cap, t->n + 1, sizeof(*t->slots));
	memset(&t->slots[t->n], 0, sizeof(*t->slots));
	return (uint32_t)++t->n;
}

/* Copies len bytes and a NUL to *at and advances it. */
static char *copy_bytes(char **at, const void *from, size_t len)
{
	char *to = *at;

	if (len)
		memcpy(to, from, len);
	to[len] = '\0';
	*at += len + 1;
	return to;
}

static void fill_slot(struct slot *s, const struct ws_body *b)
{
	size_t method_len = strlen(b->method);
	size_t path_len = strlen(b->path);
	char *at;

	s->size = method_len + path_len + b->headers_len + b->data_len + 4;
	s->bytes = ws_alloc(1, s->size);
	at = s->bytes;
	s->body.method = copy_bytes(&at, b->method, method_len);
	s->body.path = copy_bytes(&at, b->path, path_len);
	s->body.headers = copy_bytes(&at, b->headers, b->headers_len);
	s->body.data = copy_bytes(&at, b->data, b->data_len);
	s->body.status = b->status;
	s->body.headers_len = b->headers_len;
	s->body.data_len = b->data_len;
	s->refs = 1;
}

ws_payload ws_payload_add(struct ws_payloads *t, const struct ws_body *b)
{
	struct slot *s;
	uint32_t index;

	if (t->bytes + b->headers_len + b->data_len > t->max_bytes)
		return 0;
	index = alloc_slot(t);
	if (!index)
		return 0;
	s = &t->slots[index - 1];
	fill_slot(s, b);
	t->bytes += s->size;
	t->count++;
	return index | s->generation << INDEX_BITS;
}

const struct ws_body *ws_payload_get(const struct ws_payloads *t, ws_payload h)
{
	const struct slot *s = find_slot(t, h);

	return s ? &s->body : NULL;
}

void ws_payload_ref(struct ws_payloads *t, ws_payload h)
{
	struct slot *s = find_slot(t, h);

	WS_INVARIANT(s);
	s->refs++;
}

void ws_payload_unref(struct ws_payloads *t, ws_payload h)
{
	struct slot *s = find_slot(t, h);

	WS_INVARIANT(s);
	if (--s->refs)
		return;
	t->bytes -= s->size;
	t->count--;
	free(s->bytes);
	s->bytes = NULL;
	s->generation = (s->generation + 1) & GENERATION_MASK;
	s->next_free = t->first_free;
	t->first_free = h & INDEX_MASK;
}

size_t ws_payload_bytes(const struct ws_payloads *t)
{
	return t->bytes;
}

size_t ws_payload_count(const struct ws_payloads *t)
{
	return t->count;
}

const char *ws_body_header(const struct ws_body *b, const char *name)
{
	size_t len = strlen(name);
	const char *p = b->headers;
	const char *end = b->headers + b->headers_len;

	for (; p < end; p += strlen(p) + 1)
		if (!strncasecmp(p, name, len) && p[len] == ':')
			return p + len + 1 + strspn(p + len + 1, " \t");
	return NULL;
}
