#include "edge/ws_ed_fx.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct ws_ed_effect *ws_ed_fx_add(struct ws_ed_fx *fx, uint8_t kind)
{
	struct ws_ed_effect *e;

	ws_grow(&fx->items, &fx->cap, fx->n + 1, sizeof(*fx->items));
	e = &fx->items[fx->n++];
	memset(e, 0, sizeof(*e));
	e->kind = kind;
	return e;
}

void ws_ed_fx_read(struct ws_ed_fx *fx, enum ws_ed_topic topic)
{
	ws_ed_fx_add(fx, WS_EDFX_READ)->u.topic = topic;
}

void ws_ed_fx_log(struct ws_ed_fx *fx, uint16_t number, ws_id subject,
		  int64_t value, const char *detail)
{
	struct ws_ed_effect *e = ws_ed_fx_add(fx, WS_EDFX_LOG);

	e->u.log.number = number;
	e->u.log.subject = subject;
	e->u.log.value = value;
	snprintf(e->u.log.detail, sizeof(e->u.log.detail), "%s", detail);
}

void ws_ed_fx_free(struct ws_ed_fx *fx)
{
	free(fx->items);
	memset(fx, 0, sizeof(*fx));
}

const char *ws_ed_reason_name(enum ws_ed_reason reason)
{
	static const char *const names[WS_EDR_COUNT] = {
		[WS_EDR_NONE] = "ok",
		[WS_EDR_NO_CONFIG] = "no_configuration",
		[WS_EDR_STORE_UNREACHABLE] = "store_unreachable",
		[WS_EDR_NO_ROUTE] = "no_route",
		[WS_EDR_BAD_CALLER_KEY] = "bad_caller_key",
		[WS_EDR_BAD_REQUEST] = "bad_request",
		[WS_EDR_RATE_EXCEEDED] = "rate_exceeded",
		[WS_EDR_QUARANTINED] = "quarantined",
		[WS_EDR_NO_SERVER] = "no_server",
		[WS_EDR_NO_OWNER] = "no_owner_of_key",
		[WS_EDR_SERVER_LIMIT] = "server_limit",
		[WS_EDR_SERVER_CLOSED] = "server_closed",
		[WS_EDR_OVERLOAD] = "overload",
		[WS_EDR_TIMEOUT] = "timeout",
		[WS_EDR_SERVER_SHED] = "server_shed",
		[WS_EDR_SERVER_FAILED] = "server_failed",
		[WS_EDR_CONNECTION_LOST] = "server_connection_lost",
		[WS_EDR_CALLER_GONE] = "caller_gone",
		[WS_EDR_INSTANCE_FULL] = "instance_full",
		[WS_EDR_DRAINING] = "shutting_down",
		[WS_EDR_LINK_FULL] = "link_full",
		[WS_EDR_OLD_CONFIG] = "old_configuration",
	};

	return reason < WS_EDR_COUNT && names[reason] ? names[reason] :
							"unknown";
}
