#include "core/ws_adm.h"
struct ws_adm {
	int x;
};
struct ws_adm *ws_adm_new(ws_id self, uint64_t seed)
{
	(void)self;
	(void)seed;
	return ws_alloc(1, sizeof(struct ws_adm));
}
#include <stdlib.h>
void ws_adm_free(struct ws_adm *a)
{
	free(a);
}
void ws_adm_request(struct ws_adm *a, struct ws_fx *fx, ws_us now, uint64_t id,
		    const struct ws_call *call, const struct ws_view *view)
{
	struct ws_effect *e = ws_fx_add(fx, WS_FX_ADMITTED);
	(void)a;
	(void)now;
	(void)view;
	e->u.call.id = id;
	e->u.call.call = *call;
}
void ws_adm_cancel(struct ws_adm *a, uint64_t id)
{
	(void)a;
	(void)id;
}
void ws_adm_msg(struct ws_adm *a, struct ws_fx *fx, ws_us now, ws_id from,
		const struct ws_msg *msg, const struct ws_view *view)
{
	(void)a;
	(void)fx;
	(void)now;
	(void)from;
	(void)msg;
	(void)view;
}
void ws_adm_set_partitions(struct ws_adm *a, ws_us now, const uint32_t *index,
			   const ws_offset *fence, size_t n, ws_us mint_until)
{
	(void)a;
	(void)now;
	(void)index;
	(void)fence;
	(void)n;
	(void)mint_until;
}
void ws_adm_tick(struct ws_adm *a, struct ws_fx *fx, ws_us now,
		 const struct ws_view *view)
{
	(void)a;
	(void)fx;
	(void)now;
	(void)view;
}
