#ifndef WS_BENCH_CMD_H
#define WS_BENCH_CMD_H

/* Commands of wagtailshift-bench. Each returns the exit status. */

/* Sends load over HTTP. */
int ws_bench_run(int argc, char **argv);

/* Compares the policies that pick a target, by simulation. */
int ws_bench_policy(int argc, char **argv);

#endif
