/* Requests under which targets ended ("queries of death"): evidence (evidence.h) by
 * fingerprint, bounded.
 *
 * Quarantine is for good, since each way to find out whether it still holds costs a
 * target, but for one trial (probation) some time after it began, by one daemon: a
 * content that was blamed for what others did is free again then.  An operator lifts it
 * sooner (docs/OPERATIONS.md). */
#pragma once

#include "evidence.h"
#include "fingerprint.h"

typedef struct _MrQuarantine MrQuarantine;

enum
{
  MR_QUARANTINE_MAX_CONTENTS =
      1000, /* contents known at once: 100 kB, a message of 50 kB to one that starts */
};

MrQuarantine *mr_quarantine_new (void);
void mr_quarantine_free (MrQuarantine *quarantine);

/* Joins @evidence to what is known if it is of use; true if it stands here then.  Where there
 * are too many the least of all goes out, @left_out (which may be NULL). */
bool mr_quarantine_merge (MrQuarantine *quarantine,
                          MrFingerprint fingerprint,
                          const MrEvidence *evidence,
                          guint32 unix_time,
                          MrFingerprint *left_out);
void mr_quarantine_remove (MrQuarantine *quarantine, MrFingerprint fingerprint);

/* Nothing, with all counters 0, where nothing is known. */
MrEvidence mr_quarantine_get (const MrQuarantine *quarantine, MrFingerprint fingerprint);

/* Takes out one that is of no use any more; false if there is none. */
bool mr_quarantine_remove_expired (MrQuarantine *quarantine, guint32 unix_time, MrFingerprint *out);

void mr_quarantine_foreach (const MrQuarantine *quarantine,
                            void (*visit) (MrFingerprint fingerprint,
                                           const MrEvidence *evidence,
                                           void *user),
                            void *user);
