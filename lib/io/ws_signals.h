#ifndef WS_SIGNALS_H
#define WS_SIGNALS_H

#include <stddef.h>

/*
 * Holds signals back while a process starts, as their default action would end
 * it. To be called before anything else in main().
 * @param signals numbers of n signals that will all get a handler
 */
void ws_signals_hold(const int signals[], size_t n);

/*
 * Lets signals through again, those that came meanwhile included. To be called
 * when their handlers are set.
 */
void ws_signals_release(const int signals[], size_t n);

#endif
