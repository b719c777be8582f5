#include "fake_internal.h"

/* Random faults of the fake. */

/* Everything that happens at a random moment, without knowing why. */
void fake_random_fault(struct fake *f)
{
	int i = (int)ws_rand_below(&f->rand, (uint64_t)f->n_instances);
	int t = (int)ws_rand_below(&f->rand, (uint64_t)f->n_targets);
	int a = (int)ws_rand_below(&f->rand, (uint64_t)f->conf.zones);
	int b = (int)ws_rand_below(&f->rand, (uint64_t)f->conf.zones);
	int c = (int)ws_rand_below(&f->rand, FAKE_CUSTOMERS);
	ws_us d = (ws_us)ws_rand_below(&f->rand, 4 * WS_SECOND);

	switch (ws_rand_below(&f->rand, 17)) {
	case 0:
		fake_kill_instance(f, i);
		fake_push(f, f->now + d, FE_START_INSTANCE, i);
		break;
	case 1:
	case 2:
		fake_pause_instance(f, i, d);
		break;
	case 3:
		fake_drain_instance(f, i);
		break;
	case 4:
		if (a != b)
			fake_disconnect_zones(f, a, b, 2 * d);
		break;
	case 5:
		fake_disconnect_platform(f, a, 2 * d);
		break;
	case 6:
		fake_log_outage(f, 2 * d);
		break;
	case 7:
		fake_kill_target(f, t);
		fake_push(f, f->now + d, FE_START_TARGET, t);
		break;
	case 8:
	case 9:
		fake_freeze_target(f, t, d);
		break;
	case 10:
		fake_make_target_cold(f, t);
		break;
	case 11:
		fake_drain_target(f, t);
		break;
	case 12:
		fake_set_zone(f, i, a, f->zone_out_at[a] != 0);
		break;
	case 13:
		if (f->revoked_at[c])
			fake_grant_key(f, i, c);
		else
			fake_revoke_key(f, i, c);
		break;
	case 14:
		fake_expire_log(f, 40);
		break;
	case 15:
		/* Two operators race with bundles of the same base. */
		fake_set_zone(f, i, a, f->zone_out_at[a] != 0);
		fake_revoke_key(f, (i + 1) % f->n_instances, c);
		break;
	default:
		fake_poison_calls(f, 0.01);
		break;
	}
}
