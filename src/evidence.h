/* Evidence against one content: targets that were gone after they had begun it.
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
 * Evidence is a few counters that only grow and a set of ends, packed into a number so
 * that what is joined of two is never less than either: daemons that tell each other, in
 * any order, all come to the same.  It is one object a content for the spread between
 * daemons (replication.h), its number the version. */
#pragma once

#include "text.h"

enum
{
  /* Ends that are told apart: as many as make a quarantine. */
  MR_EVIDENCE_MAX_MARKS = 3,
};

typedef struct
{
  guint cleared;    /* times that it was answered or lifted; what was before counts no more */
  guint probations; /* trials since it is quarantined that ended a target */
  guint occasions;  /* on which targets ended: sends at one time are one */
  /* Of the targets that ended: hashes of name and occasion, greatest first; 0: none.  Of more
   * than these the greatest stand, so that the set is the same in whatever order it is joined. */
  guint8 marks[MR_EVIDENCE_MAX_MARKS];
  guint32 at; /* when the last of it was seen, Unix s */
} MrEvidence;

typedef enum
{
  MR_STANDING_CLEAR,
  MR_STANDING_SUSPECT,
  MR_STANDING_QUARANTINED,
} MrStanding;

/* Targets that ended, MR_EVIDENCE_MARKS at most.  Two count as one in 1 of 85 contents that
 * ended three; one more ends then. */
guint mr_evidence_crash_count (const MrEvidence *evidence);

/* Times are kept to 8 s. */
guint64 mr_evidence_pack (const MrEvidence *evidence);
MrEvidence mr_evidence_unpack (guint64 packed);
const char *mr_standing_name (MrStanding standing);

/* As a JSON object, for the store and for operators. */
char *mr_evidence_write (const MrEvidence *evidence, guint32 unix_time);
bool mr_evidence_read (MrText json, MrEvidence *out);

/* Of @evidence at @unix_time, in s. */
MrStanding mr_evidence_standing (const MrEvidence *evidence, guint32 unix_time);
/* The same without the time, which ends suspicions only. */
bool mr_evidence_is_quarantined (const MrEvidence *evidence);
/* FALSE for a suspicion, or a memory that one was void, that is too old to matter. */
bool mr_evidence_is_relevant (const MrEvidence *evidence, guint32 unix_time);
/* TRUE if so many targets have ended that what may still be tried is one daemon's to try. */
bool mr_evidence_needs_exclusive_trial (const MrEvidence *evidence);
/* TRUE if a quarantine may be tried once more, by the daemon whose turn that is. */
bool mr_evidence_is_probation_due (const MrEvidence *evidence, guint32 unix_time);

/* A target that has ended under a content. */
typedef struct
{
  MrText target;
  MrEvidence evidence_at_send; /* what was known when the content was sent there */
  bool probation;              /* and why it was sent all the same */
  guint32 unix_time;
} MrTargetCrash;

MrEvidence mr_evidence_add_crash (const MrEvidence *known, const MrTargetCrash *end);
MrEvidence mr_evidence_merge (const MrEvidence *a, const MrEvidence *b);
/* What is known after a right answer, or an operator's word. */
MrEvidence mr_evidence_clear (const MrEvidence *known, guint32 unix_time);
