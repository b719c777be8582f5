#ifndef WS_SETTINGS_H
#define WS_SETTINGS_H

#include "config/ws_config.h"

/* The table of settings and checks of their values; types: ws_config.h. */

/* Returns a setting, or NULL if there is none of this name. */
const struct ws_setting *ws_settings_find(const char *section, const char *key);

/* Returns whether there is a section of this name. */
bool ws_settings_has_section(const char *section);

/*
 * Checks a value and stores it in the setting's field.
 * @return 0 or WS_ERR_CONFIG
 */
int ws_settings_store(const struct ws_setting *s, const char *value,
		      struct ws_config *out);

/* Describes the valid values of a setting. */
void ws_settings_describe(const struct ws_setting *s, char *buf, size_t size);

#endif
