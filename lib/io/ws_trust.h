#ifndef WS_TRUST_H
#define WS_TRUST_H

#include "core/ws_types.h"

/*
 * Verifies the signatures of log records before the core applies them. Which
 * keys are allowed to sign depends on the bundle in force at each record, so
 * the core checks that.
 */

/* Fills in the signed parts of records; they stay empty if this fails. */
void ws_trust_verify_records(struct ws_record *records, size_t n);

#endif
