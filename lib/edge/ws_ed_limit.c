#include "edge/ws_ed_limit.h"

#include "common/ws_events.h"
#include "edge/ws_ed_fx.h"

static bool update(struct ws_ed_limit *l, ws_us as_of, bool named, double per_s)
{
	bool changed = l->named != named || (named && l->per_s != per_s);

	l->named = named;
	l->per_s = named ? per_s : 0.0;
	l->as_of = as_of;
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

void ws_ed_limit_log(const struct ws_ed_limit *l, ws_id server,
		     const char *source, struct ws_ed_fx *fx)
{
	ws_ed_fx_log(fx,
		     l->named ? WS_LOG_TARGET_LIMIT : WS_LOG_TARGET_UNLIMITED,
		     server, (int64_t)(l->per_s * 1000.0), source);
}
