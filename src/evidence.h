/* Evidence that one content crashes targets.
 *
 * A content that crashes each target that runs it has to be distinguished from a content that was
 * only running when targets crashed for other reasons.  The evidence counts the targets that
 * crashed after they had begun the content, and the separate occasions on which they did.  A single
 * correct answer, from any target, voids all evidence.
 *
 *   clear        no evidence
 *   suspect      a target has crashed: the content is sent to one target at a time
 *   quarantined  enough targets have crashed, on more than one occasion: it is not sent
 *
 * Evidence consists of counters that only grow and a set of crashes.  It is packed into a number
 * such that merged evidence is never less than either operand, so daemons that exchange evidence in
 * any order converge to the same value.  Between daemons it is replicated as one object for each
 * content, with the packed number as the object's version (replication.h). */
#pragma once

#include "text.h"

enum
{
  /* distinct crashes that are kept: as many as a quarantine needs */
  MR_EVIDENCE_MAX_MARKS = 3,
};

typedef struct
{
  guint cleared;    /* times it was answered or an operator lifted it; voids older evidence */
  guint probations; /* trials while quarantined that crashed a target */
  guint occasions;  /* crashes of calls sent at one time are one occasion */
  /* Hashes of name and occasion of the targets that crashed, in descending order; 0: unused.  Of
   * more hashes the largest are kept, so that the set does not depend on the order of merging. */
  guint8 marks[MR_EVIDENCE_MAX_MARKS];
  guint32 at; /* time of the last change, Unix s */
} MrEvidence;

typedef enum
{
  MR_STANDING_CLEAR,
  MR_STANDING_SUSPECT,
  MR_STANDING_QUARANTINED,
} MrStanding;

/* Targets that crashed, up to MR_EVIDENCE_MAX_MARKS.  Hash collisions count two targets as one for
 * 1 in 85 contents that crashed three; one more target crashes then. */
guint mr_evidence_crash_count (const MrEvidence *evidence);

/* The resolution of the time is 8 s. */
guint64 mr_evidence_pack (const MrEvidence *evidence);
MrEvidence mr_evidence_unpack (guint64 packed);
const char *mr_standing_name (MrStanding standing);

/* As a JSON object, for the store and for operators; the caller frees it. */
char *mr_evidence_write (const MrEvidence *evidence, guint32 unix_time);
bool mr_evidence_read (MrText json, MrEvidence *out);

/* The standing at @unix_time, Unix s: suspicions expire. */
MrStanding mr_evidence_standing (const MrEvidence *evidence, guint32 unix_time);
/* Unlike a suspicion, a quarantine does not expire, so the time does not matter. */
bool mr_evidence_is_quarantined (const MrEvidence *evidence);
/* FALSE for a suspicion, or a record that one was cleared, that has expired. */
bool mr_evidence_is_relevant (const MrEvidence *evidence, guint32 unix_time);
/* TRUE if so many targets have crashed that only one daemon may make further trials. */
bool mr_evidence_needs_exclusive_trial (const MrEvidence *evidence);
/* TRUE if one trial of the quarantined content is due, by the daemon whose turn it is. */
bool mr_evidence_is_probation_due (const MrEvidence *evidence, guint32 unix_time);

/* A target that crashed while it ran a content. */
typedef struct
{
  MrText target;
  MrEvidence evidence_at_send; /* evidence when the content was sent to the target */
  bool probation;              /* the call was a probation trial */
  guint32 unix_time;
} MrTargetCrash;

MrEvidence mr_evidence_add_crash (const MrEvidence *known, const MrTargetCrash *crash);
MrEvidence mr_evidence_merge (const MrEvidence *a, const MrEvidence *b);
/* The evidence after a correct answer, or after an operator lifted it. */
MrEvidence mr_evidence_clear (const MrEvidence *known, guint32 unix_time);
