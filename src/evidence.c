#include "evidence.h"

#include <jansson.h>
#include <stdlib.h>
#include <xxhash.h>

/* Ends of this many targets, on this many occasions, make a quarantine.  Three ends are
 * what a deployment bears of one content.  Targets that end together (a rack, a release
 * that fails) take several calls of one search with them, but not its next call, which
 * goes to a target that lives; so a second occasion is asked for. */
static const guint ENDED_LEAST = 3;
static const guint OCCASIONS_LEAST = 2;
/* From here on any trial may end the third. */
static const guint ENDED_AT_BOUND = 2;
/* A quarantine is tried once, after this: a search that was blamed because of the loss of
 * a rack is served again when that loss is over; a content that does end its targets ends
 * one more. */
static const guint32 PROBATION_AFTER_S = 30;
/* A suspicion that nothing was added to, and the memory that one was void, are of no use
 * after this: callers repeat within seconds. */
static const guint32 SUSPICION_KEPT_S = 600;

/* Places of the counters in a packed number, the most important highest. */
enum
{
  AT_BITS = 27, /* until the year 2058 */
  AT_UNIT = 8,  /* s */
  MARK_BITS = 8,
  OCCASIONS_BITS = 2, /* each has an end of its own: so many make a quarantine */
  PROBATIONS_BITS = 2,
  CLEARED_BITS = 9,
};

/* Packed times count from the begin of 2024, Unix s. */
static const guint32 AT_ZERO = 1704067200;

/* Not 0, which is none. */
static const guint MARK_LEAST = 1;
static const guint MARK_MOST = (1 << MARK_BITS) - 1;
static const guint OCCASIONS_MOST = (1 << OCCASIONS_BITS) - 1;

static guint64
S_append_bits (guint64 packed, guint value, guint bits)
{
  guint most = (1U << bits) - 1;
  return packed << bits | MIN (value, most);
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
  guint32 since_zero = evidence->at - MIN (evidence->at, AT_ZERO);
  return S_append_bits (packed, since_zero / AT_UNIT, AT_BITS);
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
  guint since_zero = S_take_bits (&packed, AT_BITS);
  MrEvidence evidence = { .at = since_zero > 0 ? AT_ZERO + since_zero * AT_UNIT : 0 };
  for (guint i = MR_EVIDENCE_MAX_MARKS; i > 0; i--)
    evidence.marks[i - 1] = (guint8) S_take_bits (&packed, MARK_BITS);
  evidence.occasions = S_take_bits (&packed, OCCASIONS_BITS);
  evidence.probations = S_take_bits (&packed, PROBATIONS_BITS);
  evidence.cleared = S_take_bits (&packed, CLEARED_BITS);
  return evidence;
}

/* Adds @mark to the set; the least goes out where there are too many. */
static void
S_add_mark (MrEvidence *evidence, guint8 mark)
{
  for (guint i = 0; i < MR_EVIDENCE_MAX_MARKS; i++)
    {
      guint8 here = evidence->marks[i];
      if (mark == here)
        return;
      if (mark < here)
        continue;
      evidence->marks[i] = mark;
      mark = here;
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
  char *own = g_strdup (text);
  free (text);
  json_decref (object);
  return own;
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
    if (mark < MARK_LEAST || mark > MARK_MOST)
      return false;
    S_add_mark (out, (guint8) mark);
  }
  return true;
}

/* TRUE if @object has a whole number of 32 bits called @name. */
static bool
S_read_number (const json_t *object, const char *name, guint32 *out)
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
  bool whole = S_read_number (object, "occasions", &out->occasions) &&
               S_read_number (object, "probations", &out->probations) &&
               S_read_number (object, "cleared", &out->cleared) &&
               S_read_number (object, "at", &out->at) &&
               S_read_marks (json_object_get (object, "marks"), out);
  json_decref (object);
  return whole;
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

/* TRUE if @evidence is that old.  A clock that jumps back makes nothing old. */
static bool
S_is_older (const MrEvidence *evidence, guint32 age, guint32 unix_time)
{
  return unix_time > evidence->at && unix_time - evidence->at > age;
}

bool
mr_evidence_is_quarantined (const MrEvidence *evidence)
{
  return evidence->probations > 0 || (mr_evidence_crash_count (evidence) >= ENDED_LEAST &&
                                      evidence->occasions >= OCCASIONS_LEAST);
}

bool
mr_evidence_needs_exclusive_trial (const MrEvidence *evidence)
{
  return mr_evidence_crash_count (evidence) >= ENDED_AT_BOUND;
}

MrStanding
mr_evidence_standing (const MrEvidence *evidence, guint32 unix_time)
{
  if (mr_evidence_is_quarantined (evidence))
    return MR_STANDING_QUARANTINED;
  if (mr_evidence_crash_count (evidence) > 0 && !S_is_older (evidence, SUSPICION_KEPT_S, unix_time))
    return MR_STANDING_SUSPECT;
  return MR_STANDING_CLEAR;
}

bool
mr_evidence_is_probation_due (const MrEvidence *evidence, guint32 unix_time)
{
  return mr_evidence_is_quarantined (evidence) && evidence->probations == 0 &&
         S_is_older (evidence, PROBATION_AFTER_S, unix_time);
}

MrEvidence
mr_evidence_add_crash (const MrEvidence *known, const MrTargetCrash *end)
{
  MrEvidence sum = *known;
  guint occasion = MIN (end->evidence_at_send.occasions + 1, OCCASIONS_MOST);
  /* One that has started again, perhaps under its name, and ends on another occasion,
   * counts again; two daemons that lose the same one at one time count it once. */
  guint64 hash = XXH64 (end->target.data, end->target.len, occasion);
  S_add_mark (&sum, (guint8) (MARK_LEAST + hash % MARK_MOST));
  sum.occasions = MAX (known->occasions, occasion);
  if (end->probation)
    sum.probations = MAX (known->probations, end->evidence_at_send.probations + 1);
  sum.at = MAX (known->at, end->unix_time);
  return sum;
}

MrEvidence
mr_evidence_merge (const MrEvidence *a, const MrEvidence *b)
{
  if (a->cleared != b->cleared)
    return a->cleared > b->cleared ? *a : *b;
  MrEvidence sum = *a;
  sum.probations = MAX (a->probations, b->probations);
  sum.occasions = MAX (a->occasions, b->occasions);
  sum.at = MAX (a->at, b->at);
  for (guint i = 0; i < mr_evidence_crash_count (b); i++)
    S_add_mark (&sum, b->marks[i]);
  return sum;
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
         !S_is_older (evidence, SUSPICION_KEPT_S, unix_time);
}
