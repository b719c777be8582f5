#include "io/ws_shell.h"

#include <stdlib.h>

#include "io/ws_admin.h"
#include "io/ws_front.h"
#include "io/ws_log_client.h"
#include "io/ws_logline.h"
#include "io/ws_peers.h"
#include "io/ws_targets.h"

static void exec_log(const struct ws_effect *e)
{
	ws_logline(e->u.log.number, e->u.log.subject, e->u.log.value,
		   e->u.log.error, NULL);
}

/* The answer's payload passes from the core to the shell. */
static void exec_reply(struct ws_shell *sh, const struct ws_effect *e)
{
	ws_payload payload = e->u.reply.answer.payload;

	ws_front_reply(sh->front, e->u.reply.id, &e->u.reply.answer);
	if (payload)
		ws_payload_unref(sh->payloads, payload);
}

static void exec_drained(struct ws_shell *sh)
{
	sh->drained = true;
}

void ws_exec_effect(struct ws_shell *sh, struct ws_effect *e)
{
	switch (e->kind) {
	case WS_FX_APPEND:
		ws_log_client_append(sh->log, e->u.append);
		break;
	case WS_FX_LOG_READ:
		ws_log_client_read(sh->log, e->u.log_read.from);
		break;
	case WS_FX_SEND:
		ws_peers_send(sh->peers, e->u.send.to, &e->u.send.msg);
		break;
	case WS_FX_PROBE:
		ws_targets_probe(sh->targets, e->u.probe.target);
		break;
	case WS_FX_GRANT:
		ws_targets_grant(sh->targets, e);
		break;
	case WS_FX_ATTEMPT:
		ws_targets_attempt(sh->targets, e);
		break;
	case WS_FX_ATTEMPT_CANCEL:
		ws_targets_cancel(sh->targets, e->u.attempt.attempt);
		break;
	case WS_FX_REPLY:
		exec_reply(sh, e);
		break;
	case WS_FX_RETAIN:
		ws_payload_ref(sh->payloads, e->u.release.payload);
		break;
	case WS_FX_RELEASE:
		ws_payload_unref(sh->payloads, e->u.release.payload);
		break;
	case WS_FX_LOG:
		exec_log(e);
		break;
	case WS_FX_PUBLISHED:
		ws_admin_on_published(sh->admin, e->u.published.ref,
				      e->u.published.error,
				      e->u.published.version);
		break;
	case WS_FX_DRAINED:
		exec_drained(sh);
		break;
	default:
		WS_INVARIANT(!"effect of a module left the core");
	}
}
