#ifndef WS_TARGET_URI_H
#define WS_TARGET_URI_H

#include "common/ws_common.h"

/* Parses URIs of the form "/s/<service>/<path>". */

#define WS_URI_MAX 8192

struct ws_target_uri {
	char service[64];
	const char *path; /* borrowed; starts with the '/' after the service */
	char key[1024]; /* first path segment, percent-decoded */
	size_t key_len;
};

/*
 * Rejects dot segments, encoded slashes and malformed escapes: a target that
 * normalises them would serve another key than the one that was routed.
 * @return 0, WS_ERR_NO_SERVICE or WS_ERR_BAD_REQUEST
 */
int ws_target_uri_parse(const char *uri, struct ws_target_uri *out);

/*
 * Parses a UUID version 7, "xxxxxxxx-xxxx-7xxx-xxxx-xxxxxxxxxxxx".
 * @return false if it is none
 */
bool ws_uuid7_parse(const char *text, uint64_t id[2]);

#endif
