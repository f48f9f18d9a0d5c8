/* Contents that were answered lately, as far as a table of fixed size holds them.
 *
 * An answer says more than any number of ends: what was answered well a moment ago does not
 * end its targets.  A search that many ask for was on all targets when these ended within
 * 34 ms (of another request, or with their racks), no target was left to answer it, and it
 * was blocked for half a minute: 2,700 searches of a small site (test_quarantine). */
#pragma once

#include "clock.h"
#include "fingerprint.h"

typedef struct _MrRecentAnswers MrRecentAnswers;

MrRecentAnswers *mr_recent_answers_new (void);
void mr_recent_answers_free (MrRecentAnswers *answered);

void mr_recent_answers_record (MrRecentAnswers *answered, MrTime now, MrFingerprint fingerprint);
/* FALSE also for one that was answered and that another has taken the place of. */
bool
mr_recent_answers_contain (const MrRecentAnswers *answered, MrTime now, MrFingerprint fingerprint);
