/* Requests under which targets ended ("queries of death"), by fingerprint.
 *
 * A content that ends each target that begins it has to be told from one that was there
 * when targets ended for reasons of their own.  What is counted of a content are targets
 * that were gone after they had begun it, and on how many occasions; a single right
 * answer to it, from any target, makes all of it void.
 *
 *   clear        nothing is known
 *   suspect      a target has ended under it: sent to one target at a time
 *   quarantined  enough has ended, on more than one occasion: sent to no target
 *
 * Quarantine is for good, since each way to find out whether it still holds costs a
 * target, but for one trial (probation) some time after it began, by one daemon: a
 * content that was blamed for what others did is free again then.  An operator lifts it
 * sooner (docs/OPERATIONS.md).
 *
 * Evidence is a few counters that only grow, packed into a number whose order is its
 * order: daemons that tell each other, in any order, all keep the same, the greatest.
 * It is one object a content for the spread between daemons (spread.h). */
#pragma once

#include "fingerprint.h"

typedef struct _MrQuarantine MrQuarantine;

typedef struct
{
  guint cleared;    /* times that it was answered or lifted; what was before counts no more */
  guint probations; /* trials since it is quarantined that ended a target */
  guint occasions;  /* on which targets ended: sends at one time are one */
  guint ended;      /* targets */
  guint32 at;       /* when the last of it was seen, Unix s */
} MrEvidence;

typedef enum
{
  MR_STANDING_CLEAR,
  MR_STANDING_SUSPECT,
  MR_STANDING_QUARANTINED,
} MrStanding;

enum
{
  MR_QUARANTINE_MOST =
      1000, /* contents known at once: 100 kB, a message of 50 kB to one that starts */
};

guint64 mr_evidence_pack (const MrEvidence *evidence);
MrEvidence mr_evidence_unpack (guint64 packed);
const char *mr_standing_name (MrStanding standing);

/* As a JSON object, for the store and for operators. */
char *mr_evidence_write (const MrEvidence *evidence, guint32 unix_time);
bool mr_evidence_read (MrText json, MrEvidence *out);

/* Of @evidence at @unix_time, in s. */
MrStanding mr_evidence_standing (const MrEvidence *evidence, guint32 unix_time);
/* TRUE if a quarantine may be tried once more, by the daemon whose turn that is. */
bool mr_evidence_on_probation (const MrEvidence *evidence, guint32 unix_time);

/* What is known after one more target has ended under a content of which @base was known
 * when it was sent there, and @known is now. */
MrEvidence mr_evidence_add (const MrEvidence *base,
                            const MrEvidence *known,
                            bool probation,
                            guint32 unix_time);
/* What is known after a right answer, or an operator's word. */
MrEvidence mr_evidence_clear (const MrEvidence *known, guint32 unix_time);

MrQuarantine *mr_quarantine_new (void);
void mr_quarantine_free (MrQuarantine *quarantine);

/* Takes @evidence if it is greater than what is known and still of use; true then.
 * Where there are too many the least of all goes out, @left_out (which may be NULL). */
bool mr_quarantine_offer (MrQuarantine *quarantine,
                          MrFingerprint fingerprint,
                          const MrEvidence *evidence,
                          guint32 unix_time,
                          MrFingerprint *left_out);
void mr_quarantine_remove (MrQuarantine *quarantine, MrFingerprint fingerprint);

/* Nothing, with all counters 0, where nothing is known. */
MrEvidence mr_quarantine_get (const MrQuarantine *quarantine, MrFingerprint fingerprint);
guint mr_quarantine_count (const MrQuarantine *quarantine);
guint mr_quarantine_count_standing (const MrQuarantine *quarantine,
                                    MrStanding standing,
                                    guint32 unix_time);

/* Takes out one that is of no use any more; false if there is none. */
bool mr_quarantine_expire (MrQuarantine *quarantine, guint32 unix_time, MrFingerprint *out);

void mr_quarantine_foreach (const MrQuarantine *quarantine,
                            void (*visit) (MrFingerprint fingerprint,
                                           const MrEvidence *evidence,
                                           void *user),
                            void *user);
