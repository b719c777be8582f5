#include "edgeio/ws_eio_crash.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#define FRAMES_MAX 40

/*
 * clang-tidy accepts only functions that POSIX lists as async-signal-safe.
 * glibc's backtrace() allocates on its first call only, which
 * ws_eio_crash_init() has made, and backtrace_symbols_fd() never does.
 */
static void on_fatal_signal(int signo)
{
	void *frames[FRAMES_MAX];
	/* NOLINTNEXTLINE(bugprone-signal-handler) */
	int n = backtrace(frames, FRAMES_MAX);

	/* NOLINTNEXTLINE(bugprone-signal-handler) */
	backtrace_symbols_fd(frames, n, STDOUT_FILENO);
	signal(signo, SIG_DFL);
	raise(signo);
}

void ws_eio_crash_init(void)
{
	static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGABRT };
	void *frames[1];
	unsigned i;

	/* Loads a library, which is unsafe in a signal handler. */
	backtrace(frames, 1);
	for (i = 0; i < sizeof(signals) / sizeof(signals[0]); i++)
		signal(signals[i], on_fatal_signal);
}
