#ifndef WAGTAILSHIFT_H
#define WAGTAILSHIFT_H

/* Public header of the library: the core, its codecs, events and timers. */

#include "codec/ws_codec.h"
#include "common/ws_common.h"
#include "common/ws_events.h"
#include "common/ws_timer.h"
#include "core/ws_core.h"

#endif
