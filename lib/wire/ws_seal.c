#include "wire/ws_seal.h"

#include <string.h>

/* Changes with every incompatible change of the handshake. */
static const uint8_t magic[8] = { 'W', 'S', 'P', 'E', 'E', 'R', 0, 1 };

#define KEY_ID_LEN 8

enum direction {
	TO_ACCEPTOR = 1,
	TO_INITIATOR = 2,
};

/* Both hellos as the two sides agree on them. */
struct agreed {
	uint8_t initiator_nonce[WS_SEAL_NONCE_LEN];
	uint8_t acceptor_nonce[WS_SEAL_NONCE_LEN];
	uint8_t initiator_id[8];
	uint8_t acceptor_id[8];
};

/* ===== Numbers ===== */

static void put_id(uint8_t to[8], ws_id id)
{
	int i;

	for (i = 0; i < 8; i++)
		to[i] = (uint8_t)(id >> (56 - 8 * i));
}

static ws_id get_id(const uint8_t from[8])
{
	ws_id id = 0;
	int i;

	for (i = 0; i < 8; i++)
		id = id << 8 | from[i];
	return id;
}

/* ===== Secrets ===== */

void ws_secrets_add(struct ws_secrets *s, const char *text)
{
	WS_INVARIANT(s->n < WS_SECRETS_MAX);
	crypto_generichash(s->key[s->n], sizeof(s->key[s->n]),
			   (const uint8_t *)text, strlen(text), NULL, 0);
	s->n++;
}

/* Names a secret without telling anything of it. */
static void key_id(const uint8_t *secret, uint8_t out[KEY_ID_LEN])
{
	static const char label[] = "wagtailshift key id";
	uint8_t hash[crypto_generichash_BYTES];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)label,
			   sizeof(label), secret, crypto_generichash_KEYBYTES);
	memcpy(out, hash, KEY_ID_LEN);
}

static void stream_key(const uint8_t *secret, const struct agreed *a,
		       enum direction direction, uint8_t *out)
{
	static const char label[] = "wagtailshift peer stream";
	uint8_t which = (uint8_t)direction;
	crypto_generichash_state st;

	crypto_generichash_init(&st, secret, crypto_generichash_KEYBYTES,
				crypto_secretstream_xchacha20poly1305_KEYBYTES);
	crypto_generichash_update(&st, (const uint8_t *)label, sizeof(label));
	crypto_generichash_update(&st, &which, 1);
	crypto_generichash_update(&st, (const uint8_t *)a, sizeof(*a));
	crypto_generichash_final(
		&st, out, crypto_secretstream_xchacha20poly1305_KEYBYTES);
}

/* ===== Hellos: magic, key id, instance id, nonce ===== */

static void write_hello(struct ws_seal *s, const uint8_t *secret,
			uint8_t hello[WS_SEAL_HELLO_LEN])
{
	randombytes_buf(s->nonce, sizeof(s->nonce));
	memcpy(hello, magic, sizeof(magic));
	key_id(secret, hello + 8);
	put_id(hello + 16, s->self);
	memcpy(hello + 24, s->nonce, WS_SEAL_NONCE_LEN);
}

/* @return the secret that the hello names, or NULL */
static const uint8_t *find_secret(const struct ws_secrets *secrets,
				  const uint8_t *hello)
{
	uint8_t id[KEY_ID_LEN];
	size_t i;

	if (memcmp(hello, magic, sizeof(magic)) != 0)
		return NULL;
	for (i = 0; i < secrets->n; i++) {
		key_id(secrets->key[i], id);
		if (!sodium_memcmp(id, hello + 8, KEY_ID_LEN))
			return secrets->key[i];
	}
	return NULL;
}

static void agree(const struct ws_seal *s, const uint8_t *hello, bool initiator,
		  struct agreed *a)
{
	const uint8_t *other = hello + 24;

	memcpy(initiator ? a->initiator_nonce : a->acceptor_nonce, s->nonce,
	       WS_SEAL_NONCE_LEN);
	memcpy(initiator ? a->acceptor_nonce : a->initiator_nonce, other,
	       WS_SEAL_NONCE_LEN);
	put_id(initiator ? a->initiator_id : a->acceptor_id, s->self);
	put_id(initiator ? a->acceptor_id : a->initiator_id, s->peer);
}

/* ===== Handshake ===== */

void ws_seal_initiator_start(struct ws_seal *s,
			     const struct ws_secrets *secrets, ws_id self,
			     uint8_t hello[WS_SEAL_HELLO_LEN])
{
	memset(s, 0, sizeof(*s));
	s->self = self;
	write_hello(s, secrets->key[0], hello);
}

int ws_seal_acceptor_start(struct ws_seal *s, const struct ws_secrets *secrets,
			   ws_id self, const uint8_t hello[WS_SEAL_HELLO_LEN],
			   uint8_t reply[WS_SEAL_REPLY_LEN])
{
	const uint8_t *secret = find_secret(secrets, hello);
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	struct agreed a;

	memset(s, 0, sizeof(*s));
	if (!secret)
		return WS_ERR_PEER;
	s->self = self;
	s->peer = get_id(hello + 16);
	write_hello(s, secret, reply);
	agree(s, hello, false, &a);
	stream_key(secret, &a, TO_INITIATOR, key);
	crypto_secretstream_xchacha20poly1305_init_push(
		&s->encrypt_state, reply + WS_SEAL_HELLO_LEN, key);
	/* The key for pulling waits in its state until the header comes. */
	stream_key(secret, &a, TO_ACCEPTOR, key);
	memcpy(s->decrypt_state.k, key, sizeof(key));
	sodium_memzero(key, sizeof(key));
	return 0;
}

int ws_seal_initiator_finish(struct ws_seal *s,
			     const struct ws_secrets *secrets,
			     const uint8_t reply[WS_SEAL_REPLY_LEN],
			     uint8_t header[WS_SEAL_HEADER_LEN])
{
	const uint8_t *secret = find_secret(secrets, reply);
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	struct agreed a;
	int res;

	/* The acceptor answers with the secret that the initiator chose. */
	if (secret != secrets->key[0])
		return WS_ERR_PEER;
	s->peer = get_id(reply + 16);
	agree(s, reply, true, &a);
	stream_key(secret, &a, TO_ACCEPTOR, key);
	crypto_secretstream_xchacha20poly1305_init_push(&s->encrypt_state,
							header, key);
	stream_key(secret, &a, TO_INITIATOR, key);
	res = crypto_secretstream_xchacha20poly1305_init_pull(
		&s->decrypt_state, reply + WS_SEAL_HELLO_LEN, key);
	sodium_memzero(key, sizeof(key));
	return res ? WS_ERR_PEER : 0;
}

int ws_seal_acceptor_finish(struct ws_seal *s,
			    const uint8_t header[WS_SEAL_HEADER_LEN])
{
	uint8_t key[crypto_secretstream_xchacha20poly1305_KEYBYTES];
	int res;

	memcpy(key, s->decrypt_state.k, sizeof(key));
	res = crypto_secretstream_xchacha20poly1305_init_pull(&s->decrypt_state,
							      header, key);
	sodium_memzero(key, sizeof(key));
	return res ? WS_ERR_PEER : 0;
}

/* ===== Records ===== */

void ws_seal_encrypt(struct ws_seal *s, const void *in, size_t len,
		     uint8_t *out)
{
	crypto_secretstream_xchacha20poly1305_push(
		&s->encrypt_state, out, NULL, in, len, NULL, 0,
		crypto_secretstream_xchacha20poly1305_TAG_MESSAGE);
}

int ws_seal_decrypt(struct ws_seal *s, const uint8_t *in, size_t len, void *out)
{
	uint8_t tag;

	if (s->broken)
		return WS_ERR_PEER;
	if (len < WS_SEAL_OVERHEAD ||
	    crypto_secretstream_xchacha20poly1305_pull(
		    &s->decrypt_state, out, NULL, &tag, in, len, NULL, 0))
		s->broken = true;
	return s->broken ? WS_ERR_PEER : 0;
}
