#include "common/ws_events.h"
#include "edge/ws_edge_int.h"

/* Quarantine of the requests at this instance; see ws_ed_suspect.h. */

bool ws_ed_call_is_quarantined(const struct ws_edge *e, const struct ed_call *c)
{
	uint32_t strikes =
		ws_ed_suspects_strikes(&e->suspects, e->now, c->fingerprint);

	/* One that is to be tried is refused when another trial has begun. */
	if (c->on_trial && !c->trial)
		return strikes > WS_ED_STRIKES_TO_REFUSE;
	return strikes >= WS_ED_STRIKES_TO_REFUSE;
}

bool ws_ed_call_may_try(struct ws_edge *e, uint64_t request)
{
	return ws_ed_suspects_may_try(&e->suspects, e->now, request,
				      ws_ed_peers_is_assigned(&e->peers, e->now,
							      request));
}

static struct ws_ed_strike trial_of(const struct ed_call *c)
{
	return (struct ws_ed_strike){
		.request = c->fingerprint,
		.crash = c->trial,
	};
}

void ws_ed_call_start_trial(struct ws_edge *e, struct ed_call *c,
			    struct ws_ed_fx *fx)
{
	struct ws_ed_strike trial;

	c->trial = ws_mix(ws_mix(e->set.incarnation, c->id), (uint64_t)e->now);
	trial = trial_of(c);
	ws_ed_suspects_try(&e->suspects, e->now, &trial);
	ws_ed_log_request(fx, WS_LOG_QUARANTINE_TRIAL, 0, c->fingerprint,
			  "sent once more");
}

static void undo_trial(struct ws_edge *e, struct ed_call *c)
{
	const struct ws_ed_strike trial = trial_of(c);

	ws_ed_suspects_undo_trial(&e->suspects, e->now, &trial);
	c->trial = 0;
}

/*
 * A request at a server that loses its connection is suspected; a refused
 * connection shows that the server has crashed.
 */
void ws_ed_call_update_suspects(struct ws_edge *e, struct ed_call *c,
				uint32_t server, enum ws_ed_end end,
				struct ws_ed_fx *fx)
{
	const struct ws_ed_server *s = &e->pool.servers[server];

	if (c->trial && (end == WS_ED_END_SHED || end == WS_ED_END_NOT_SENT ||
			 end == WS_ED_END_WITHDRAWN))
		undo_trial(e, c);
	/* A server may fail a request without having begun to run it. */
	if (end == WS_ED_END_OK &&
	    ws_ed_suspects_clear(&e->suspects, e->now, c->fingerprint))
		ws_ed_log_request(fx, WS_LOG_REQUEST_CLEARED, s->id,
				  c->fingerprint, "answered");
	if (end == WS_ED_END_CONNECTION_LOST)
		ws_ed_suspects_add(&e->suspects, e->now, c->fingerprint, s->id,
				   s->started_ms);
	else if (end == WS_ED_END_NOT_SENT)
		ws_ed_server_crashed(e, s->id, fx);
}
