#ifndef WS_SEAL_H
#define WS_SEAL_H

#include <sodium.h>

#include "common/ws_common.h"

/*
 * Encryption and authentication of the stream between two instances. The
 * initiator and the acceptor exchange a hello with a fresh nonce each; the key
 * of each direction is derived from the cluster secret, both nonces and both
 * ids. Records are sealed with libsodium's secretstream, which rejects records
 * that are altered, replayed, reordered or dropped. No I/O happens here.
 */

#define WS_SECRETS_MAX 2

/* The first secret opens connections, all are accepted. */
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
	ws_id peer; /* as claimed; proved by the first record that opens */
	uint8_t nonce[WS_SEAL_NONCE_LEN];
	bool broken;
	crypto_secretstream_xchacha20poly1305_state encrypt_state;
	crypto_secretstream_xchacha20poly1305_state decrypt_state;
};

/* Initiator, first step: writes the hello to send. */
void ws_seal_initiator_start(struct ws_seal *s,
			     const struct ws_secrets *secrets, ws_id self,
			     uint8_t hello[WS_SEAL_HELLO_LEN]);

/*
 * Acceptor, first step: takes a hello and writes the reply.
 * @return 0, or WS_ERR_PEER when no secret matches
 */
int ws_seal_acceptor_start(struct ws_seal *s, const struct ws_secrets *secrets,
			   ws_id self, const uint8_t hello[WS_SEAL_HELLO_LEN],
			   uint8_t reply[WS_SEAL_REPLY_LEN]);

/*
 * Initiator, second step: takes the reply and writes the header to send.
 * From here on it may push and pull.
 */
int ws_seal_initiator_finish(struct ws_seal *s,
			     const struct ws_secrets *secrets,
			     const uint8_t reply[WS_SEAL_REPLY_LEN],
			     uint8_t header[WS_SEAL_HEADER_LEN]);

/* Acceptor, second step: takes the header; from here on it may pull. */
int ws_seal_acceptor_finish(struct ws_seal *s,
			    const uint8_t header[WS_SEAL_HEADER_LEN]);

/* Seals a record into len + WS_SEAL_OVERHEAD bytes. */
void ws_seal_encrypt(struct ws_seal *s, const void *in, size_t len,
		     uint8_t *out);

/*
 * Opens a record into len - WS_SEAL_OVERHEAD bytes.
 * @return 0, or WS_ERR_PEER; after a failure every further record fails
 */
int ws_seal_decrypt(struct ws_seal *s, const uint8_t *in, size_t len,
		    void *out);

#endif
