#include "bench/ws_bench.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Two panels with a logarithmic latency axis: over time, and by quantile. */

#define WIDTH 960.0
#define HEIGHT 400.0
#define MARGIN 56.0
#define PANEL_W (WIDTH / 2 - 2 * MARGIN)
#define PANEL_H (HEIGHT - 2 * MARGIN)
#define CURVE_POINTS 100

struct axis {
	double low; /* log10 of microseconds */
	double high;
};

static const char *const colors[] = { "#1f77b4", "#d62728", "#2ca02c",
				      "#ff7f0e", "#9467bd", "#8c564b",
				      "#17becf", "#7f7f7f" };

#define N_COLORS (sizeof(colors) / sizeof(colors[0]))

/* ===== Axes ===== */

static double log_of(ws_us v)
{
	return log10(v > 1 ? (double)v : 1);
}

static struct axis find_axis(const struct ws_bench_stats *total)
{
	struct axis a = { 2, 3 };

	if (!total->served_latency.count)
		return a;
	a.low = floor(log_of(ws_hist_quantile(&total->served_latency, 0)));
	a.high = ceil(log_of(total->served_latency.max));
	if (a.high <= a.low)
		a.high = a.low + 1;
	return a;
}

static double y_of(const struct axis *a, ws_us v)
{
	double part = (log_of(v) - a->low) / (a->high - a->low);

	if (part < 0)
		part = 0;
	return MARGIN + PANEL_H * (1 - part);
}

static void draw_label(FILE *f, double x, double y, const char *anchor,
		       const char *text)
{
	g_autofree char *safe = g_markup_escape_text(text, -1);

	fprintf(f, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n",
		x, y, anchor, safe);
}

static void draw_frame(FILE *f, double left, const struct axis *a,
		       const char *title)
{
	double d;
	char text[32];

	fprintf(f,
		"<rect x=\"%.1f\" y=\"%.0f\" width=\"%.0f\" height=\"%.0f\" "
		"fill=\"none\" stroke=\"#444\"/>\n",
		left, MARGIN, PANEL_W, PANEL_H);
	draw_label(f, left + PANEL_W / 2.0, MARGIN - 24, "middle", title);
	for (d = a->low; d <= a->high; d++) {
		double y = y_of(a, (ws_us)pow(10, d));

		fprintf(f,
			"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" "
			"y2=\"%.1f\" stroke=\"#ddd\"/>\n",
			left, y, left + PANEL_W, y);
		g_snprintf(text, sizeof(text), "%g ms", pow(10, d) / 1e3);
		draw_label(f, left - 4, y + 4, "end", text);
	}
}

/* ===== Curves ===== */

static void start_line(FILE *f, size_t color)
{
	fprintf(f, "<polyline fill=\"none\" stroke=\"%s\" points=\"",
		colors[color % N_COLORS]);
}

static void end_line(FILE *f)
{
	fprintf(f, "\"/>\n");
}

static void draw_over_time(FILE *f, const struct ws_bench_result *res,
			   const struct axis *a, double q, size_t color)
{
	size_t i;

	start_line(f, color);
	for (i = 0; i < WS_BENCH_SLICES; i++) {
		const struct ws_hist *h = &res->slices[i].served_latency;

		if (!h->count)
			continue;
		fprintf(f, "%.1f,%.1f ",
			MARGIN + (i + 0.5) * PANEL_W / WS_BENCH_SLICES,
			y_of(a, ws_hist_quantile(h, q)));
	}
	end_line(f);
}

/* Each tenth of the width is a factor of 10^0.4 towards quantile 1. */
static double quantile_at(double part)
{
	return 1 - pow(10, -4 * part);
}

static void draw_quantiles(FILE *f, const struct ws_hist *h,
			   const struct axis *a, size_t color)
{
	double left = WIDTH / 2.0 + MARGIN;
	int i;

	start_line(f, color);
	for (i = 0; h->count && i <= CURVE_POINTS; i++) {
		double part = (double)i / CURVE_POINTS;

		fprintf(f, "%.1f,%.1f ", left + part * PANEL_W,
			y_of(a, ws_hist_quantile(h, quantile_at(part))));
	}
	end_line(f);
}

static void draw_legend(FILE *f, double x, size_t row, size_t color,
			const char *text)
{
	double y = MARGIN + 14 + (double)row * 14;

	fprintf(f,
		"<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" "
		"stroke=\"%s\" stroke-width=\"3\"/>\n",
		x, y - 4, x + 16, y - 4, colors[color % N_COLORS]);
	draw_label(f, x + 20, y, "start", text);
}

static void draw_time_panel(FILE *f, const struct ws_bench_conf *conf,
			    const struct ws_bench_result *res,
			    const struct axis *a)
{
	char text[32];

	draw_frame(f, MARGIN, a, "latency of served requests over time");
	draw_over_time(f, res, a, 0.5, 0);
	draw_over_time(f, res, a, 0.99, 1);
	draw_legend(f, MARGIN + 8, 0, 0, "p50");
	draw_legend(f, MARGIN + 8, 1, 1, "p99");
	draw_label(f, MARGIN, HEIGHT - MARGIN + 16, "start", "0 s");
	g_snprintf(text, sizeof(text), "%g s", conf->duration_seconds);
	draw_label(f, MARGIN + PANEL_W, HEIGHT - MARGIN + 16, "end", text);
}

static void draw_quantile_panel(FILE *f, const struct ws_bench_conf *conf,
				const struct axis *a)
{
	static const char *const marks[] = { "p0", "p90", "p99", "p99.9",
					     "p99.99" };
	double left = WIDTH / 2.0 + MARGIN;
	size_t i;

	draw_frame(f, left, a, "latency by quantile");
	for (i = 0; i < 5; i++)
		draw_label(f, left + (double)i * PANEL_W / 4,
			   HEIGHT - MARGIN + 16, "middle", marks[i]);
	for (i = 0; i < conf->n_customers; i++) {
		draw_quantiles(f, &conf->customers[i].stats.served_latency, a,
			       i);
		draw_legend(f, left + 8, i, i, conf->customers[i].name);
	}
}

bool ws_bench_write_svg(const struct ws_bench_conf *conf,
			const struct ws_bench_result *res)
{
	struct ws_bench_stats *total = ws_alloc(1, sizeof(*total));
	FILE *f = fopen(conf->svg_file, "w");
	struct axis a;
	bool ok;

	if (!f) {
		perror(conf->svg_file);
		free(total);
		return false;
	}
	ws_bench_total_stats(conf, total);
	a = find_axis(total);
	free(total);
	fprintf(f,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
		"height=\"%.0f\" font-family=\"sans-serif\" "
		"font-size=\"11\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		WIDTH, HEIGHT);
	draw_time_panel(f, conf, res, &a);
	draw_quantile_panel(f, conf, &a);
	fprintf(f, "</svg>\n");
	ok = !ferror(f);
	return fclose(f) == 0 && ok;
}
