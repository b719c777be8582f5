#ifndef ED_SUITE_H
#define ED_SUITE_H

#include <check.h>

/* Runs the tests of a module; returns the exit status of the program. */
int ed_suite_run(const char *name, const TTest *const *tests, int n);

/* Runs each test with _i from 0 to times - 1. */
int ed_suite_run_each(const char *name, const TTest *const *tests, int n,
		      int times);

#endif
