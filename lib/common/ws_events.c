#include "common/ws_events.h"

#define WS_LOG_ENTRY(num, sym, lvl, txt) \
	{ .number = (num),               \
	  .level = WS_LEVEL_##lvl,       \
	  .symbol = #sym,                \
	  .text = (txt) },

static const struct ws_log_entry log_entries[] = { WS_LOG_TABLE(WS_LOG_ENTRY) };

#define N_LOG_ENTRIES (sizeof(log_entries) / sizeof(log_entries[0]))

const struct ws_log_entry *ws_log_find(uint16_t number)
{
	size_t i;

	for (i = 0; i < N_LOG_ENTRIES; i++)
		if (log_entries[i].number == number)
			return &log_entries[i];
	return NULL;
}

size_t ws_log_all(const struct ws_log_entry **entries)
{
	*entries = log_entries;
	return N_LOG_ENTRIES;
}
