#include "evidence.h"

#include <jansson.h>
#include <stdlib.h>
#include <xxhash.h>

/* Crashes of this many targets, on this many occasions, lead to quarantine.  A deployment can bear
 * three crashes because of one content.  Targets that crash together (a rack, a failed release)
 * break several calls of one search, but not its next call, which goes to a live target; hence the
 * second occasion. */
static const guint QUARANTINE_MIN_CRASHES = 3;
static const guint QUARANTINE_MIN_OCCASIONS = 2;
/* With this many crashes any trial may cause the third. */
static const guint EXCLUSIVE_TRIAL_CRASHES = 2;
/* Delay before the one probation trial of a quarantined content.  A search that was quarantined
 * because of the loss of a rack is served again after the loss; a content that does crash its
 * targets crashes one more. */
static const guint32 PROBATION_DELAY_S = 30;
/* Lifetime of a suspicion without new evidence, and of the record that a content was cleared.
 * Callers repeat requests within seconds. */
static const guint32 SUSPICION_LIFETIME_S = 600;

/* Sizes of the fields of the packed number, least significant field first.  Packed numbers are
 * compared, so the more important fields are the more significant ones. */
enum
{
  TIME_BITS = 27, /* until the year 2058 */
  TIME_UNIT_S = 8,
  MARK_BITS = 8,
  OCCASIONS_BITS = 2, /* up to 3: each occasion has a crash of its own, and 3 crashes are enough */
  PROBATIONS_BITS = 2,
  CLEARED_BITS = 9,
};

/* Epoch of packed times: 2024-01-01, Unix s. */
static const guint32 TIME_EPOCH = 1704067200;

/* 0 marks an unused entry. */
static const guint MARK_MIN = 1;
static const guint MARK_MAX = (1 << MARK_BITS) - 1;
static const guint OCCASIONS_MAX = (1 << OCCASIONS_BITS) - 1;

static guint64
S_append_bits (guint64 packed, guint value, guint bits)
{
  guint max = (1U << bits) - 1;
  return packed << bits | MIN (value, max);
}

guint
mr_evidence_crash_count (const MrEvidence *evidence)
{
  guint count = 0;
  while (count < MR_EVIDENCE_MAX_MARKS && evidence->marks[count] != 0)
    count++;
  return count;
}

guint64
mr_evidence_pack (const MrEvidence *evidence)
{
  guint64 packed = S_append_bits (0, evidence->cleared, CLEARED_BITS);
  packed = S_append_bits (packed, evidence->probations, PROBATIONS_BITS);
  packed = S_append_bits (packed, evidence->occasions, OCCASIONS_BITS);
  for (guint i = 0; i < MR_EVIDENCE_MAX_MARKS; i++)
    packed = S_append_bits (packed, evidence->marks[i], MARK_BITS);
  guint32 since_epoch = evidence->at - MIN (evidence->at, TIME_EPOCH);
  return S_append_bits (packed, since_epoch / TIME_UNIT_S, TIME_BITS);
}

static guint
S_take_bits (guint64 *packed, guint bits)
{
  guint value = (guint) (*packed & ((1U << bits) - 1));
  *packed >>= bits;
  return value;
}

MrEvidence
mr_evidence_unpack (guint64 packed)
{
  guint since_epoch = S_take_bits (&packed, TIME_BITS);
  MrEvidence evidence = { .at = since_epoch > 0 ? TIME_EPOCH + since_epoch * TIME_UNIT_S : 0 };
  for (guint i = MR_EVIDENCE_MAX_MARKS; i > 0; i--)
    evidence.marks[i - 1] = (guint8) S_take_bits (&packed, MARK_BITS);
  evidence.occasions = S_take_bits (&packed, OCCASIONS_BITS);
  evidence.probations = S_take_bits (&packed, PROBATIONS_BITS);
  evidence.cleared = S_take_bits (&packed, CLEARED_BITS);
  return evidence;
}

/* Adds @mark to the set; removes the smallest if there are too many. */
static void
S_add_mark (MrEvidence *evidence, guint8 mark)
{
  for (guint i = 0; i < MR_EVIDENCE_MAX_MARKS; i++)
    {
      guint8 current = evidence->marks[i];
      if (mark == current)
        return;
      if (mark < current)
        continue;
      evidence->marks[i] = mark;
      mark = current;
    }
}

char *
mr_evidence_write (const MrEvidence *evidence, guint32 unix_time)
{
  json_t *marks = json_array ();
  for (guint i = 0; i < mr_evidence_crash_count (evidence); i++)
    json_array_append_new (marks, json_integer (evidence->marks[i]));
  json_t *object =
      json_pack ("{s:s, s:I, s:o, s:I, s:I, s:I, s:I}", "standing",
                 mr_standing_name (mr_evidence_standing (evidence, unix_time)), "ended",
                 (json_int_t) mr_evidence_crash_count (evidence), "marks", marks, "occasions",
                 (json_int_t) evidence->occasions, "probations", (json_int_t) evidence->probations,
                 "cleared", (json_int_t) evidence->cleared, "at", (json_int_t) evidence->at);
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = g_strdup (text);
  free (text);
  json_decref (object);
  return copy;
}

static bool
S_read_marks (const json_t *marks, MrEvidence *out)
{
  gsize i = 0;
  const json_t *item = NULL;
  if (!json_is_array (marks))
    return false;
  json_array_foreach (marks, i, item)
  {
    json_int_t mark = json_integer_value (item);
    if (mark < MARK_MIN || mark > MARK_MAX)
      return false;
    S_add_mark (out, (guint8) mark);
  }
  return true;
}

/* TRUE if member @name of @object is an integer that fits in 32 bits. */
static bool
S_read_uint32 (const json_t *object, const char *name, guint32 *out)
{
  const json_t *item = json_object_get (object, name);
  json_int_t value = json_integer_value (item);
  *out = (guint32) value;
  return json_is_integer (item) && value >= 0 && value <= G_MAXUINT32;
}

bool
mr_evidence_read (MrText json, MrEvidence *out)
{
  json_t *object = json_loadb (json.data ? json.data : "", json.len, 0, NULL);
  *out = (MrEvidence){ 0 };
  bool complete = S_read_uint32 (object, "occasions", &out->occasions) &&
                  S_read_uint32 (object, "probations", &out->probations) &&
                  S_read_uint32 (object, "cleared", &out->cleared) &&
                  S_read_uint32 (object, "at", &out->at) &&
                  S_read_marks (json_object_get (object, "marks"), out);
  json_decref (object);
  return complete;
}

const char *
mr_standing_name (MrStanding standing)
{
  static const char *const names[] = {
    [MR_STANDING_CLEAR] = "clear",
    [MR_STANDING_SUSPECT] = "suspect",
    [MR_STANDING_QUARANTINED] = "quarantined",
  };
  return names[standing];
}

/* TRUE if @evidence is older than @max_age.  Evidence from the future, as after a clock jumped
 * back, is never old. */
static bool
S_is_older (const MrEvidence *evidence, guint32 max_age, guint32 unix_time)
{
  return unix_time > evidence->at && unix_time - evidence->at > max_age;
}

bool
mr_evidence_is_quarantined (const MrEvidence *evidence)
{
  return evidence->probations > 0 ||
         (mr_evidence_crash_count (evidence) >= QUARANTINE_MIN_CRASHES &&
          evidence->occasions >= QUARANTINE_MIN_OCCASIONS);
}

bool
mr_evidence_needs_exclusive_trial (const MrEvidence *evidence)
{
  return mr_evidence_crash_count (evidence) >= EXCLUSIVE_TRIAL_CRASHES;
}

MrStanding
mr_evidence_standing (const MrEvidence *evidence, guint32 unix_time)
{
  if (mr_evidence_is_quarantined (evidence))
    return MR_STANDING_QUARANTINED;
  if (mr_evidence_crash_count (evidence) > 0 &&
      !S_is_older (evidence, SUSPICION_LIFETIME_S, unix_time))
    return MR_STANDING_SUSPECT;
  return MR_STANDING_CLEAR;
}

bool
mr_evidence_is_probation_due (const MrEvidence *evidence, guint32 unix_time)
{
  return mr_evidence_is_quarantined (evidence) && evidence->probations == 0 &&
         S_is_older (evidence, PROBATION_DELAY_S, unix_time);
}

MrEvidence
mr_evidence_add_crash (const MrEvidence *known, const MrTargetCrash *crash)
{
  MrEvidence merged = *known;
  guint occasion = MIN (crash->evidence_at_send.occasions + 1, OCCASIONS_MAX);
  /* A target that was restarted, perhaps under the same name, and crashes on another occasion
   * counts again.  Two daemons that see the same crash at one time count it once. */
  guint64 hash = XXH64 (crash->target.data, crash->target.len, occasion);
  S_add_mark (&merged, (guint8) (MARK_MIN + hash % MARK_MAX));
  merged.occasions = MAX (known->occasions, occasion);
  if (crash->probation)
    merged.probations = MAX (known->probations, crash->evidence_at_send.probations + 1);
  merged.at = MAX (known->at, crash->unix_time);
  return merged;
}

MrEvidence
mr_evidence_merge (const MrEvidence *a, const MrEvidence *b)
{
  if (a->cleared != b->cleared)
    return a->cleared > b->cleared ? *a : *b;
  MrEvidence merged = *a;
  merged.probations = MAX (a->probations, b->probations);
  merged.occasions = MAX (a->occasions, b->occasions);
  merged.at = MAX (a->at, b->at);
  for (guint i = 0; i < mr_evidence_crash_count (b); i++)
    S_add_mark (&merged, b->marks[i]);
  return merged;
}

MrEvidence
mr_evidence_clear (const MrEvidence *known, guint32 unix_time)
{
  return (MrEvidence){ .cleared = known->cleared + 1, .at = unix_time };
}

bool
mr_evidence_is_relevant (const MrEvidence *evidence, guint32 unix_time)
{
  return mr_evidence_is_quarantined (evidence) ||
         !S_is_older (evidence, SUSPICION_LIFETIME_S, unix_time);
}
