/* Fixed-size cache of the contents that were answered recently.
 *
 * An answer outweighs any number of crashes: a content that was answered a moment ago does not
 * crash its targets.  Without this a popular search was quarantined for half a minute (2,700
 * searches of a small site, test_quarantine): all targets crashed within 34 ms, because of another
 * request or with their racks, each with a call of it, and no target was left to answer it. */
#pragma once

#include "clock.h"
#include "fingerprint.h"

typedef struct _MrRecentAnswers MrRecentAnswers;

MrRecentAnswers *mr_recent_answers_new (void);
void mr_recent_answers_free (MrRecentAnswers *answers);

void mr_recent_answers_record (MrRecentAnswers *answers, MrTime now, MrFingerprint fingerprint);
/* FALSE also for a content whose entry was evicted. */
bool
mr_recent_answers_contain (const MrRecentAnswers *answers, MrTime now, MrFingerprint fingerprint);
