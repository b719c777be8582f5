#include "common/ws_events.h"

#define WS_LOG_ROW(num, sym, lvl, txt) \
	{ .number = (num),             \
	  .level = WS_LEVEL_##lvl,     \
	  .symbol = #sym,              \
	  .text = (txt) },

static const struct ws_log_entry rows_table[] = { WS_LOG_TABLE(WS_LOG_ROW) };

#define N_ROWS (sizeof(rows_table) / sizeof(rows_table[0]))

const struct ws_log_entry *ws_log_find(uint16_t number)
{
	size_t i;

	for (i = 0; i < N_ROWS; i++)
		if (rows_table[i].number == number)
			return &rows_table[i];
	return NULL;
}

size_t ws_log_all(const struct ws_log_entry **rows)
{
	*rows = rows_table;
	return N_ROWS;
}
