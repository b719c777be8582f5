#include "capacity/ws_capacity.h"

#include <math.h>
#include <stdlib.h>

#include "common/ws_common.h"

/* Lines through measured points. */

static size_t different_x(const struct ws_cap_point *p, size_t n)
{
	size_t found = 0;
	size_t i;
	size_t j;

	for (i = 0; i < n; i++) {
		for (j = 0; j < i && p[j].x != p[i].x; j++)
			;
		found += j == i;
	}
	return found;
}

static double worst_of(const struct ws_cap_point *p, size_t n,
		       const struct ws_cap_fit *f)
{
	double worst = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		double y = f->intercept + f->slope * p[i].x;

		worst = fmax(worst, fabs(y - p[i].y) / p[i].y);
	}
	return worst;
}

int ws_cap_fit(const struct ws_cap_point *p, size_t n, struct ws_cap_fit *fit)
{
	double w = 0;
	double x = 0;
	double y = 0;
	double xx = 0;
	double xy = 0;
	size_t i;

	if (different_x(p, n) < 3)
		return WS_ERR_LIMIT;
	for (i = 0; i < n; i++) {
		double weight = 1 / (p[i].y * p[i].y);

		if (p[i].y <= 0)
			return WS_ERR_LIMIT;
		w += weight;
		x += weight * p[i].x;
		y += weight * p[i].y;
		xx += weight * p[i].x * p[i].x;
		xy += weight * p[i].x * p[i].y;
	}
	fit->slope = (w * xy - x * y) / (w * xx - x * x);
	fit->intercept = (y - fit->slope * x) / w;
	fit->max_deviation = worst_of(p, n, fit);
	return 0;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

void ws_cap_add_point(struct ws_cap_series *s, double x, double *samples,
		      size_t n)
{
	double median;

	WS_INVARIANT(s->n < WS_CAP_POINTS && n > 0);
	qsort(samples, n, sizeof(*samples), compare);
	median = samples[n / 2];
	s->points[s->n++] = (struct ws_cap_point){ .x = x, .y = median };
	if (median > 0)
		s->spread =
			fmax(s->spread, (samples[n - 1] - samples[0]) / median);
}

double ws_cap_fit_at(const struct ws_cap_series *s, double x)
{
	return s->fit.intercept + s->fit.slope * x;
}
