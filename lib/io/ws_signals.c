#include "io/ws_signals.h"

#include <signal.h>

static void change_mask(int how, const int signals[], size_t n)
{
	sigset_t set;
	size_t i;

	sigemptyset(&set);
	for (i = 0; i < n; i++)
		sigaddset(&set, signals[i]);
	sigprocmask(how, &set, NULL);
}

void ws_signals_hold(const int signals[], size_t n)
{
	change_mask(SIG_BLOCK, signals, n);
}

void ws_signals_release(const int signals[], size_t n)
{
	change_mask(SIG_UNBLOCK, signals, n);
}
