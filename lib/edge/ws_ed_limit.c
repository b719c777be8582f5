#include "edge/ws_ed_limit.h"

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"

/*
 * Time for which the end of a limit is sent; longer than an instance that is
 * not heard counts as a member.
 */
#define END_SENT_FOR (30 * WS_SECOND)
/* A limit that no answer has confirmed for this time may have ended. */
#define SILENCE_MAX (60 * WS_SECOND)
/*
 * What a peer knows from the same answer arrives with a slightly later time,
 * and is ignored within this margin.
 */
#define PEER_MARGIN (20 * WS_MS)

static bool update(struct ws_ed_limit *l, ws_us as_of, bool named, double per_s)
{
	bool changed = l->named != named || (named && l->per_s != per_s);

	l->named = named;
	l->per_s = named ? per_s : 0.0;
	l->as_of = as_of;
	if (changed)
		l->rounds_left = WS_ED_NEWS_ROUNDS;
	return changed;
}

bool ws_ed_limit_on_answer(struct ws_ed_limit *l, ws_us now, ws_us sent_at,
			   const struct ws_ed_limit_news *news)
{
	switch (news->kind) {
	case WS_ED_LIMIT_NAMED:
		return update(l, now, true, news->per_s);
	case WS_ED_LIMIT_NONE:
		return l->named && sent_at > l->as_of &&
		       update(l, now, false, 0.0);
	default:
		return false;
	}
}

bool ws_ed_limit_on_peer(struct ws_ed_limit *l, ws_us now, ws_us as_of,
			 double per_s)
{
	/* The peer has missed the end of the limit. */
	if (per_s >= 0.0 && !l->named && l->as_of > as_of + PEER_MARGIN)
		l->rounds_left = WS_ED_NEWS_ROUNDS;
	if (as_of <= l->as_of + PEER_MARGIN || now - as_of > SILENCE_MAX)
		return false;
	return update(l, as_of, per_s >= 0.0, per_s);
}

bool ws_ed_limit_is_old(const struct ws_ed_limit *l, ws_us now)
{
	return l->named && now - l->as_of > SILENCE_MAX;
}

bool ws_ed_limit_is_sent(const struct ws_ed_limit *l, ws_us now)
{
	return l->named || (l->as_of && now - l->as_of < END_SENT_FOR);
}

void ws_ed_limit_log(const struct ws_ed_limit *l, ws_id server,
		     const char *source, struct ws_ed_fx *fx)
{
	ws_ed_fx_log(fx,
		     l->named ? WS_LOG_TARGET_LIMIT : WS_LOG_TARGET_UNLIMITED,
		     server, (int64_t)(l->per_s * 1000.0), source);
}
