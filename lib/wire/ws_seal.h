#ifndef WS_SEAL_H
#define WS_SEAL_H

#include <sodium.h>

#include "common/ws_common.h"

/*
 * Encryption and authentication of the stream between two instances. The
 * initiator and the acceptor each send a hello with a fresh nonce; the key of
 * each direction is derived from the cluster secret, both nonces and both ids.
 * Records are encrypted with libsodium's secretstream, which detects records
 * that were altered, replayed, reordered or dropped. This module does no I/O.
 */

#define WS_SECRETS_MAX 2

/*
 * The initiator uses the first secret, the acceptor accepts any of them; this
 * allows a rotation of the secret.
 */
struct ws_secrets {
	uint8_t key[WS_SECRETS_MAX][crypto_generichash_KEYBYTES];
	size_t n;
};

/* Adds a secret given as text. */
void ws_secrets_add(struct ws_secrets *s, const char *text);

#define WS_SEAL_NONCE_LEN 32
#define WS_SEAL_HELLO_LEN (8 + 8 + 8 + WS_SEAL_NONCE_LEN)
#define WS_SEAL_HEADER_LEN crypto_secretstream_xchacha20poly1305_HEADERBYTES
#define WS_SEAL_REPLY_LEN (WS_SEAL_HELLO_LEN + WS_SEAL_HEADER_LEN)
#define WS_SEAL_OVERHEAD crypto_secretstream_xchacha20poly1305_ABYTES

struct ws_seal {
	ws_id self;
	ws_id peer; /* as claimed; proven by the first valid record */
	uint8_t nonce[WS_SEAL_NONCE_LEN];
	bool broken; /* a record was invalid */
	crypto_secretstream_xchacha20poly1305_state encrypt_state;
	crypto_secretstream_xchacha20poly1305_state decrypt_state;
};

/* First step of the initiator: writes the hello to send. */
void ws_seal_initiator_start(struct ws_seal *s,
			     const struct ws_secrets *secrets, ws_id self,
			     uint8_t hello[WS_SEAL_HELLO_LEN]);

/*
 * First step of the acceptor: reads a hello and writes the reply to send.
 * From here on it may encrypt.
 * @return 0, or WS_ERR_PEER if no secret matches
 */
int ws_seal_acceptor_start(struct ws_seal *s, const struct ws_secrets *secrets,
			   ws_id self, const uint8_t hello[WS_SEAL_HELLO_LEN],
			   uint8_t reply[WS_SEAL_REPLY_LEN]);

/*
 * Second step of the initiator: reads the reply and writes the header to send.
 * From here on it may encrypt and decrypt.
 */
int ws_seal_initiator_finish(struct ws_seal *s,
			     const struct ws_secrets *secrets,
			     const uint8_t reply[WS_SEAL_REPLY_LEN],
			     uint8_t header[WS_SEAL_HEADER_LEN]);

/* Second step of the acceptor: reads the header; it may decrypt from here on.
 */
int ws_seal_acceptor_finish(struct ws_seal *s,
			    const uint8_t header[WS_SEAL_HEADER_LEN]);

/* Encrypts a record; writes len + WS_SEAL_OVERHEAD bytes to out. */
void ws_seal_encrypt(struct ws_seal *s, const void *in, size_t len,
		     uint8_t *out);

/*
 * Decrypts a record; writes len - WS_SEAL_OVERHEAD bytes to out.
 * @return 0, or WS_ERR_PEER; after one failure all later records fail too
 */
int ws_seal_decrypt(struct ws_seal *s, const uint8_t *in, size_t len,
		    void *out);

#endif
