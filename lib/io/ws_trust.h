#ifndef WS_TRUST_H
#define WS_TRUST_H

#include "core/ws_types.h"

/*
 * Verifies the signatures in log records before the core folds them. Which
 * keys may sign depends on the bundle in force at each record, so the core
 * checks the signers.
 */

/* Opens the signed parts of records; what fails stays empty. */
void ws_trust_verify_records(struct ws_record *records, size_t n);

#endif
