#ifndef WS_TARGET_URI_H
#define WS_TARGET_URI_H

#include "common/ws_common.h"

/* Reading of "/s/<service>/<path>" as callers send it. */

#define WS_URI_MAX 8192

struct ws_target_uri {
	char service[64];
	const char *path; /* within the URI, from the '/' after the service */
	char key[1024]; /* first path segment, percent-decoded */
	size_t key_len;
};

/*
 * Refuses dot segments and malformed escapes: a target that normalises them
 * would serve another key than the one that was routed.
 * @return 0, WS_ERR_NO_SERVICE or WS_ERR_BAD_REQUEST
 */
int ws_target_uri_parse(const char *uri, struct ws_target_uri *out);

/* Reads "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx"; false if it is no UUID v7. */
bool ws_uuid7_parse(const char *text, uint64_t id[2]);

#endif
