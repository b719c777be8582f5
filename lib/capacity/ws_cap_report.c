#include "capacity/ws_cap_internal.h"

/* The CSV and the tables of measurements. */

static void csv_series(const struct ws_cap_series *s, struct ws_cap_text *out)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		ws_cap_printf(out, "point,\"%s\",%s,%g,%s,%g\n", s->name,
			      s->x_unit, s->points[i].x, s->y_unit,
			      s->points[i].y);
	ws_cap_printf(out, "slope,\"%s\",%s,%g,%s,%g\n", s->name, s->x_unit,
		      1.0, s->y_unit, s->fit.slope);
	ws_cap_printf(out, "base,\"%s\",%s,%g,%s,%g\n", s->name, s->x_unit, 0.0,
		      s->y_unit, s->fit.intercept);
	ws_cap_printf(out, "deviation,\"%s\",,,%%,%.0f\n", s->name,
		      s->fit.max_deviation * 100);
	ws_cap_printf(out, "spread,\"%s\",,,%%,%.0f\n", s->name,
		      s->spread * 100);
}

static void csv_loss(const struct ws_cap_loss *l, struct ws_cap_text *out)
{
	ws_cap_printf(out, "loss,\"%s\",assign,,records,%zu\n", l->name,
		      l->assign_records);
	ws_cap_printf(out, "loss,\"%s\",assign,,items,%zu\n", l->name,
		      l->items);
	ws_cap_printf(out, "loss,\"%s\",activate,,records,%zu\n", l->name,
		      l->activate_records);
	ws_cap_printf(out, "loss,\"%s\",all,,B,%zu\n", l->name, l->bytes);
	ws_cap_printf(out, "loss,\"%s\",one instance,,ms,%.0f\n", l->name,
		      l->cpu_seconds * 1e3);
}

void ws_cap_write_csv(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	size_t i;

	ws_cap_printf(out, "kind,name,x_unit,x,y_unit,y\n");
	for (i = 0; i < WS_CAP_N_SERIES; i++)
		csv_series(&r->series[i], out);
	for (i = 0; i < WS_CAP_N_LOSSES; i++)
		csv_loss(&r->losses[i], out);
	ws_cap_printf(out, "run,\"all measurements\",,,s,%.0f\n", r->seconds);
}

/* ===== Tables ===== */

static void series_table(const struct ws_cap_results *r,
			 struct ws_cap_text *out)
{
	size_t i;

	ws_cap_printf(out, "| measured | by | sizes | per unit | at size 0 | "
			   "line off by | spread |\n|---|---|---|---|---|---|"
			   "---|\n");
	for (i = 0; i < WS_CAP_N_SERIES; i++) {
		const struct ws_cap_series *s = &r->series[i];

		ws_cap_printf(out,
			      "| %s | %s | %g to %g (%zu) | %.4g %s | %.4g %s "
			      "| %.0f %% | %.0f %% |\n",
			      s->name, s->x_unit, s->points[0].x,
			      s->points[s->n - 1].x, s->n, s->fit.slope,
			      s->y_unit, s->fit.intercept, s->y_unit,
			      s->fit.max_deviation * 100, s->spread * 100);
	}
}

static void loss_table(const struct ws_cap_results *r, struct ws_cap_text *out)
{
	size_t i;

	ws_cap_printf(out, "| loss | instances | targets | ASSIGN | items | "
			   "ACTIVATE | KB | processor time of one instance "
			   "|\n|---|---|---|---|---|---|---|---|\n");
	for (i = 0; i < WS_CAP_N_LOSSES; i++) {
		const struct ws_cap_loss *l = &r->losses[i];

		ws_cap_printf(out,
			      "| %s | %zu | %zu | %zu | %zu | %zu | %.1f | "
			      "%.0f ms in 20 s |\n",
			      l->name, l->instances, l->targets,
			      l->assign_records, l->items, l->activate_records,
			      (double)l->bytes / 1e3, l->cpu_seconds * 1e3);
	}
}

void ws_cap_write_tables(const struct ws_cap_results *r,
			 struct ws_cap_text *out)
{
	ws_cap_printf(out, "\n### Roles at the size to design for, as the "
			   "design is today\n\n");
	ws_cap_write_roles(r, out);
	ws_cap_printf(out, "\n### What would carry the rows that miss\n\n");
	ws_cap_write_remedies(r, out);
	ws_cap_printf(out, "\n### Appends to the log\n\n");
	ws_cap_write_log(r, out);
	ws_cap_printf(out, "\n### Records of losses, run with ws_own\n\n");
	loss_table(r, out);
	ws_cap_printf(out, "\n### Slopes\n\n");
	series_table(r, out);
	ws_cap_printf(out,
		      "\nSingle messages: FRESH_ASK and FRESH_ANSWER %zu B, "
		      "TOKEN_ASK and TOKEN_GIVE %zu B (sealed, with the record "
		      "mark), ACTIVATE record %zu B, body of a health answer "
		      "%zu B. The run took %.0f s.\n\n",
		      r->fresh_message_bytes, r->token_message_bytes,
		      r->activate_record_bytes, r->health_response_bytes,
		      r->seconds);
}
