#include "capacity/ws_cap_internal.h"

#include <stdlib.h>

#include "wire/ws_seal.h"
#include "wire/ws_wire.h"

/* Messages between instances: bytes and processor time. */

/* Record mark before each sealed message. */
#define MARK 4
#define LOOPS 400

static struct ws_payloads *payloads;
static struct ws_seal here;
static struct ws_seal there;

/* ===== A sealed connection ===== */

static void connect_ends(void)
{
	struct ws_secrets secrets = { .n = 0 };
	uint8_t hello[WS_SEAL_HELLO_LEN];
	uint8_t reply[WS_SEAL_REPLY_LEN];
	uint8_t header[WS_SEAL_HEADER_LEN];
	int bad;

	ws_secrets_add(&secrets, "a secret for measurements only");
	ws_seal_initiator_start(&here, &secrets, 1, hello);
	bad = ws_seal_acceptor_start(&there, &secrets, 2, hello, reply);
	bad = bad ? bad :
		    ws_seal_initiator_finish(&here, &secrets, reply, header);
	bad = bad ? bad : ws_seal_acceptor_finish(&there, header);
	WS_INVARIANT(!bad);
}

static struct ws_msg heartbeat(size_t targets)
{
	struct ws_msg msg = { .kind = WS_MSG_HEARTBEAT };
	struct ws_target_health *h = ws_alloc(targets + 1, sizeof(*h));
	size_t i;

	for (i = 0; i < targets; i++)
		h[i] = (struct ws_target_health){
			.target = CAP_FIRST_TARGET_ID + i,
			.incarnation = CAP_INCARNATION,
			.state = WS_STATE_LIVE,
			.load = { .target = CAP_FIRST_TARGET_ID + i,
				  .limit = 4 },
		};
	msg.u.heartbeat.zone = CAP_FIRST_ZONE_ID;
	msg.u.heartbeat.n_health = targets;
	msg.u.heartbeat.health = h;
	return msg;
}

static size_t sealed_size(const struct ws_msg *msg)
{
	struct ws_wire_buf buf = { .data = NULL };
	size_t n;

	WS_INVARIANT(!ws_wire_encode(&buf, payloads, msg, 0));
	n = MARK + buf.len + WS_SEAL_OVERHEAD;
	free(buf.data);
	return n;
}

static double heartbeat_bytes(size_t targets)
{
	struct ws_msg msg = heartbeat(targets);
	size_t n = sealed_size(&msg);

	ws_msg_clear(&msg);
	return (double)n;
}

/* ===== Processor time ===== */

struct exchange {
	struct ws_member *member;
	struct ws_fx fx;
	double send;
	double receive;
};

static void exchange_one(struct exchange *x, const struct ws_msg *msg,
			 struct ws_wire_buf *buf, uint8_t *sealed, char *plain)
{
	double start = ws_cap_cpu_seconds();
	struct ws_msg got;
	double middle;

	WS_INVARIANT(!ws_wire_encode(buf, payloads, msg, 0));
	ws_seal_encrypt(&here, buf->data, buf->len, sealed);
	middle = ws_cap_cpu_seconds();
	WS_INVARIANT(!ws_seal_decrypt(&there, sealed,
				      buf->len + WS_SEAL_OVERHEAD, plain));
	WS_INVARIANT(!ws_wire_decode(plain, buf->len, payloads, &got, 0));
	ws_member_on_heartbeat(x->member, &x->fx, 0, 0, CAP_FIRST_INSTANCE_ID,
			       &got);
	ws_msg_clear(&got);
	ws_fx_clear(&x->fx);
	x->send += middle - start;
	x->receive += ws_cap_cpu_seconds() - middle;
}

/* Microseconds of one heartbeat at both ends. */
static struct exchange exchange_many(size_t targets)
{
	static const struct ws_name name = { "x" };
	struct exchange x = { .member = ws_member_new(1, 1, &name, &name) };
	struct ws_msg msg = heartbeat(targets);
	size_t size = sealed_size(&msg);
	struct ws_wire_buf buf = { .data = NULL };
	uint8_t *sealed = ws_alloc(size, 1);
	char *plain = ws_alloc(size, 1);
	size_t i;

	for (i = 0; i < LOOPS; i++)
		exchange_one(&x, &msg, &buf, sealed, plain);
	ws_msg_clear(&msg);
	ws_member_free(x.member);
	ws_fx_free(&x.fx);
	free(buf.data);
	free(sealed);
	free(plain);
	x.send *= 1e6 / LOOPS;
	x.receive *= 1e6 / LOOPS;
	return x;
}

static double send_us(size_t targets)
{
	return exchange_many(targets).send;
}

static double receive_us(size_t targets)
{
	return exchange_many(targets).receive;
}

void ws_cap_measure_wire(struct ws_cap_results *r)
{
	static const size_t told[] = { 2, 8, 32, 146 };
	struct ws_msg fresh = { .kind = WS_MSG_FRESH_ASK };
	struct ws_msg token = { .kind = WS_MSG_TOKEN_ASK };

	WS_INVARIANT(sodium_init() >= 0);
	payloads = ws_payloads_new((size_t)1 << 20);
	connect_ends();
	ws_cap_measure_series(r, WS_CAP_HEARTBEAT_BYTES, told, 4,
			      heartbeat_bytes);
	ws_cap_measure_series(r, WS_CAP_HEARTBEAT_SEND, told, 4, send_us);
	ws_cap_measure_series(r, WS_CAP_HEARTBEAT_RECEIVE, told, 4, receive_us);
	r->fresh_message_bytes = sealed_size(&fresh);
	r->token_message_bytes = sealed_size(&token);
	ws_payloads_free(payloads);
}
