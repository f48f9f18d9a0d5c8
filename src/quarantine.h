/* Bounded table of the evidence (evidence.h) against contents that crashed targets ("queries of
 * death"), by fingerprint.
 *
 * A quarantine does not expire, since every way to find out whether it is still needed puts a
 * target at risk.  The exception is one trial by one daemon some time after it began (probation),
 * which releases a content that was quarantined because of unrelated crashes.  An operator can lift
 * a quarantine sooner (docs/OPERATIONS.md). */
#pragma once

#include "evidence.h"
#include "fingerprint.h"

typedef struct _MrQuarantine MrQuarantine;

enum
{
  MR_QUARANTINE_MAX_CONTENTS =
      1000, /* 100 kB in memory; 50 kB in the message to a daemon that starts */
};

MrQuarantine *mr_quarantine_new (void);
void mr_quarantine_free (MrQuarantine *quarantine);

/* Merges @evidence into the entry of @fingerprint, or adds an entry if @evidence is relevant; true
 * if there is an entry afterwards.  If the table is full, the least important entry, which may be
 * the new one, is dropped.  @dropped, which may be NULL, is set to the fingerprint of another entry
 * that was dropped. */
bool mr_quarantine_merge (MrQuarantine *quarantine,
                          MrFingerprint fingerprint,
                          const MrEvidence *evidence,
                          guint32 unix_time,
                          MrFingerprint *dropped);
void mr_quarantine_remove (MrQuarantine *quarantine, MrFingerprint fingerprint);

/* All fields are 0 if there is no evidence. */
MrEvidence mr_quarantine_get (const MrQuarantine *quarantine, MrFingerprint fingerprint);

/* Removes one entry that is not relevant any more; false if there is none. */
bool mr_quarantine_remove_expired (MrQuarantine *quarantine, guint32 unix_time, MrFingerprint *out);

void mr_quarantine_foreach (const MrQuarantine *quarantine,
                            void (*visit) (MrFingerprint fingerprint,
                                           const MrEvidence *evidence,
                                           void *user),
                            void *user);
