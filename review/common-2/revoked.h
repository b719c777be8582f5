#ifndef REVOKED_H
#define REVOKED_H

/*
 * A key is taken away, and the store comes back from a copy that is older than
 * that. Either one of three machines is restarted meanwhile, or the store goes
 * away at once when it has confirmed the change.
 */

enum revoked_event {
	REVOKED_RESTART = 1,
	REVOKED_LOST,
};

/* @return the exit status of the case */
int revoked_run(const char *folder, enum revoked_event event);

#endif
