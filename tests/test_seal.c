#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wire/ws_seal.h"

#define SECRET_A "0123456789abcdef0123456789abcdef"
#define SECRET_B "fedcba9876543210fedcba9876543210"
#define RECORD 64
#define SEALED (RECORD + WS_SEAL_OVERHEAD)

struct pair {
	struct ws_secrets secrets_i;
	struct ws_secrets secrets_a;
	struct ws_seal i;
	struct ws_seal a;
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];
	uint8_t header[WS_SEAL_HEADER_LEN];
};

static void setup_secrets(struct pair *p)
{
	memset(p, 0, sizeof(*p));
	ws_secrets_add(&p->secrets_i, SECRET_A);
	ws_secrets_add(&p->secrets_a, SECRET_A);
}

static int shake_hands(struct pair *p)
{
	ws_seal_initiator_start(&p->i, &p->secrets_i, 1, p->hello);
	if (ws_seal_acceptor_start(&p->a, &p->secrets_a, 2, p->hello, p->reply))
		return WS_ERR_PEER;
	if (ws_seal_initiator_finish(&p->i, &p->secrets_i, p->reply, p->header))
		return WS_ERR_PEER;
	return ws_seal_acceptor_finish(&p->a, p->header);
}

static void seal_number(struct ws_seal *s, uint8_t number, uint8_t *out)
{
	uint8_t plain[RECORD];

	memset(plain, number, sizeof(plain));
	ws_seal_encrypt(s, plain, sizeof(plain), out);
}

static int open_number(struct ws_seal *s, const uint8_t *in)
{
	uint8_t plain[RECORD];

	if (ws_seal_decrypt(s, in, SEALED, plain))
		return -1;
	return plain[0];
}

START_TEST(records_pass_in_both_directions)
{
	struct pair p;
	uint8_t sealed[SEALED];
	uint8_t n;

	setup_secrets(&p);
	ck_assert_int_eq(shake_hands(&p), 0);
	ck_assert_uint_eq(p.a.peer, 1);
	ck_assert_uint_eq(p.i.peer, 2);
	for (n = 0; n < 100; n++) {
		seal_number(&p.i, n, sealed);
		ck_assert_int_eq(open_number(&p.a, sealed), n);
		seal_number(&p.a, n, sealed);
		ck_assert_int_eq(open_number(&p.i, sealed), n);
	}
}
END_TEST

/* A process without the secret must not be heard as a peer. */
START_TEST(other_secret_is_rejected)
{
	struct pair p;

	memset(&p, 0, sizeof(p));
	ws_secrets_add(&p.secrets_i, SECRET_B);
	ws_secrets_add(&p.secrets_a, SECRET_A);
	ck_assert_int_eq(shake_hands(&p), WS_ERR_PEER);
}
END_TEST

/* The key id is public, so it must not be enough to be heard. */
START_TEST(copied_key_id_without_secret_is_rejected)
{
	struct pair p;
	struct pair forged;
	uint8_t sealed[SEALED];

	setup_secrets(&p);
	memset(&forged, 0, sizeof(forged));
	ws_secrets_add(&forged.secrets_i, SECRET_B);
	ws_seal_initiator_start(&p.i, &p.secrets_i, 1, p.hello);
	ws_seal_initiator_start(&forged.i, &forged.secrets_i, 1, forged.hello);
	memcpy(forged.hello + 8, p.hello + 8, 8);
	ck_assert_int_eq(ws_seal_acceptor_start(&p.a, &p.secrets_a, 2,
						forged.hello, p.reply),
			 0);
	memcpy(p.reply + 8, forged.hello + 8, 8);
	ws_seal_initiator_finish(&forged.i, &forged.secrets_i, p.reply,
				 forged.header);
	ws_seal_acceptor_finish(&p.a, forged.header);
	seal_number(&forged.i, 1, sealed);
	ck_assert_int_eq(open_number(&p.a, sealed), -1);
}
END_TEST

/* During a rotation instances open with different secrets. */
START_TEST(either_of_two_secrets_is_accepted)
{
	struct pair p;
	uint8_t sealed[SEALED];

	memset(&p, 0, sizeof(p));
	ws_secrets_add(&p.secrets_i, SECRET_B);
	ws_secrets_add(&p.secrets_i, SECRET_A);
	ws_secrets_add(&p.secrets_a, SECRET_A);
	ws_secrets_add(&p.secrets_a, SECRET_B);
	ck_assert_int_eq(shake_hands(&p), 0);
	seal_number(&p.i, 7, sealed);
	ck_assert_int_eq(open_number(&p.a, sealed), 7);
}
END_TEST

enum damage {
	FLIP_BIT,
	REPLAY,
	REORDER,
	TRUNCATE,
	DROP,
	REFLECT,
	N_DAMAGES,
};

/* Any change to the stream must end it, and it must stay ended. */
START_TEST(damaged_stream_is_rejected_for_good)
{
	struct pair p;
	uint8_t first[SEALED];
	uint8_t second[SEALED];
	uint8_t third[SEALED];
	uint8_t plain[RECORD];
	size_t at;

	for (at = 0; at < SEALED; at++) {
		setup_secrets(&p);
		ck_assert_int_eq(shake_hands(&p), 0);
		seal_number(&p.i, 1, first);
		seal_number(&p.i, 2, second);
		seal_number(&p.i, 3, third);
		if (_i != REORDER && _i != DROP && _i != FLIP_BIT &&
		    _i != REFLECT)
			ck_assert_int_eq(open_number(&p.a, first), 1);
		if (_i == FLIP_BIT) {
			first[at] ^= (uint8_t)(1U << at % 8);
			ck_assert_int_eq(open_number(&p.a, first), -1);
		} else if (_i == REPLAY) {
			ck_assert_int_eq(open_number(&p.a, first), -1);
		} else if (_i == REORDER || _i == DROP) {
			ck_assert_int_eq(open_number(&p.a, second), -1);
		} else if (_i == TRUNCATE) {
			ck_assert_int_ne(
				ws_seal_decrypt(&p.a, second, at, plain), 0);
		} else {
			ck_assert_int_eq(open_number(&p.i, first), -1);
			continue;
		}
		ck_assert_int_eq(open_number(&p.a, third), -1);
	}
}
END_TEST

/* A recorded connection played to the acceptor again must not be heard. */
START_TEST(replayed_connection_is_rejected)
{
	struct pair p;
	uint8_t sealed[SEALED];

	setup_secrets(&p);
	ck_assert_int_eq(shake_hands(&p), 0);
	seal_number(&p.i, 9, sealed);
	ck_assert_int_eq(open_number(&p.a, sealed), 9);
	ck_assert_int_eq(ws_seal_acceptor_start(&p.a, &p.secrets_a, 2, p.hello,
						p.reply),
			 0);
	ck_assert_int_eq(ws_seal_acceptor_finish(&p.a, p.header), 0);
	ck_assert_int_eq(open_number(&p.a, sealed), -1);
}
END_TEST

/* A changed id or nonce in the hello changes the key. */
START_TEST(altered_handshake_is_rejected)
{
	struct pair p;
	uint8_t sealed[SEALED];
	size_t at;

	for (at = 0; at < WS_SEAL_HELLO_LEN; at++) {
		setup_secrets(&p);
		ws_seal_initiator_start(&p.i, &p.secrets_i, 1, p.hello);
		p.hello[at] ^= 1;
		if (ws_seal_acceptor_start(&p.a, &p.secrets_a, 2, p.hello,
					   p.reply))
			continue;
		ck_assert_int_eq(ws_seal_initiator_finish(&p.i, &p.secrets_i,
							  p.reply, p.header),
				 0);
		ws_seal_acceptor_finish(&p.a, p.header);
		seal_number(&p.i, 1, sealed);
		ck_assert_int_eq(open_number(&p.a, sealed), -1);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("seal");
	TCase *tc = tcase_create("all");
	SRunner *sr;
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tc, records_pass_in_both_directions);
	tcase_add_test(tc, other_secret_is_rejected);
	tcase_add_test(tc, copied_key_id_without_secret_is_rejected);
	tcase_add_test(tc, either_of_two_secrets_is_accepted);
	tcase_add_loop_test(tc, damaged_stream_is_rejected_for_good, 0,
			    N_DAMAGES);
	tcase_add_test(tc, replayed_connection_is_rejected);
	tcase_add_test(tc, altered_handshake_is_rejected);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
