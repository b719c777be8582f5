#ifndef WS_SETTINGS_H
#define WS_SETTINGS_H

#include "config/ws_config.h"

/* Checks of single values; see ws_config.h for the types. */

/* Finds a setting, or NULL. */
const struct ws_setting *ws_settings_find(const char *section, const char *key);

/* Tells whether any setting belongs to the section. */
bool ws_settings_has_section(const char *section);

/*
 * Checks a value and stores it in the setting's field.
 * @return 0 or WS_ERR_CONFIG
 */
int ws_settings_store(const struct ws_setting *s, const char *value,
		      struct ws_config *out);

/* Describes the values that a setting takes, with an example. */
void ws_settings_describe(const struct ws_setting *s, char *buf, size_t size);

#endif
