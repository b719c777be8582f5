#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ed_suite.h"
#include "platform/wp_settings.h"

/* Reading of the platform's settings file. */

static const char complete[] =
	"{\"local_node\":{\"node\":\"n1\",\"ip\":\"10.0.0.1\",\"zone\":\"z\","
	"\"limits\":{\"memory_mb\":260,\"max_fds\":4100}},"
	"\"network\":{\"listen\":{\"front\":\"10.0.0.1:80\","
	"\"ready\":\"10.0.0.1:81\"},\"internal_ports\":[7340,7355]},"
	"\"platform\":{\"platform\":{\"address\":\"10.0.0.9:90\"}},"
	"\"terms\":{\"bounds\":{\"revoke_s\":5,\"grace_s\":6,"
	"\"budget_ratio\":0.2,\"budget_slack\":60,\"quota_slack\":20,"
	"\"drain_s\":3,\"config_apply_s\":2.5}}}";

static struct wp_settings set;
static struct wp_error err;

static int load(const char *text)
{
	char path[] = "/tmp/wp-settings-XXXXXX";
	int fd = mkstemp(path);
	int res;

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq((int)write(fd, text, strlen(text)), (int)strlen(text));
	close(fd);
	res = wp_settings_load(path, &set, &err);
	unlink(path);
	return res;
}

START_TEST(complete_file_is_read)
{
	ck_assert_int_eq(load(complete), 0);
	ck_assert_str_eq(set.name, "n1");
	ck_assert_str_eq(set.callers_address, "10.0.0.1:80");
	ck_assert_str_eq(set.heartbeat_address, "10.0.0.1:7340");
	ck_assert_str_eq(set.store_address, "10.0.0.9:90");
	ck_assert_int_eq(set.grace_period, 6 * WS_SECOND);
	ck_assert_uint_eq(set.memory_max, (size_t)260 * 1024 * 1024);
	/* Caller keys must be refused before a revocation is due. */
	ck_assert_int_lt(set.bounds.key_evidence_max, 5 * WS_SECOND);
	ck_assert_int_gt(set.bounds.key_evidence_max, 4 * WS_SECOND);
	ck_assert_double_eq(set.bounds.retry_ratio, 0.2);
	ck_assert_double_eq(set.bounds.retry_slack, 60.0);
	ck_assert_double_eq(set.bounds.rate_slack, 20.0);
	ck_assert_int_eq(set.bounds.drain_time, 3 * WS_SECOND);
	ck_assert_int_eq(set.bounds.config_delay_max, 2500 * WS_MS);
	/* Entries that the store lost return about 2 s after it does. */
	ck_assert_int_gt(set.bounds.linger, WS_SECOND);
	ck_assert_int_lt(set.bounds.linger, 2 * WS_SECOND);
}
END_TEST

/*
 * Guards against capacity being shared out where customers' rates bound the
 * load already, and against a missing list of contracts counting as a wish.
 */
START_TEST(capacity_bounds_the_load_without_quotas)
{
	static const struct {
		const char *contracts;
		bool unmetered;
	} cases[] = {
		{ "[\"base\",\"own\"]", true },
		{ "[\"base\",\"own\",\"quota\"]", false },
		{ "[\"base\"]", false },
		{ "[]", false },
		{ "7", false },
		{ "[7,\"own\"]", true },
	};
	char text[sizeof(complete) + 100];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		/* In front of the two braces that end the text */
		snprintf(text, sizeof(text), "%.*s,\"contracts\":%s}}",
			 (int)(sizeof(complete) - 3), complete,
			 cases[i].contracts);
		ck_assert_int_eq(load(text), 0);
		ck_assert_int_eq(set.bounds.unmetered, cases[i].unmetered);
	}
	ck_assert_int_eq(load(complete), 0);
	ck_assert(!set.bounds.unmetered);
	ck_assert_double_eq(set.bounds.link_rate, 1000.0 * 125000.0);
}
END_TEST

/* Guards against a start with incomplete settings and a vague error message. */
START_TEST(missing_fields_are_named)
{
	ck_assert_int_eq(load("{}"), WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(err.text, "local_node.node"));
	ck_assert_int_eq(load("{\"local_node\":{\"node\":\"n\",\"zone\":\"z\","
			      "\"ip\":\"10.0.0.1\"}}"),
			 WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(err.text, "network.listen.front"));
}
END_TEST

START_TEST(malformed_file_is_refused)
{
	ck_assert_int_eq(load("{\"local_node\":"), WS_ERR_CONFIG);
	ck_assert_ptr_nonnull(strstr(err.text, "must be JSON"));
	ck_assert_int_eq(load("[1]"), WS_ERR_CONFIG);
	ck_assert_int_eq(wp_settings_load("/nonexistent", &set, &err),
			 WS_ERR_CONFIG);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		complete_file_is_read,
		capacity_bounds_the_load_without_quotas,
		missing_fields_are_named,
		malformed_file_is_refused,
	};

	return ed_suite_run("wp_settings", tests, 3);
}
