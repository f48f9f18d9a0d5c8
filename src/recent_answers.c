#include "recent_answers.h"

enum
{
  /* 96 kB in all; a daemon answers some 140 requests a second in the largest fleet, and what
   * many ask for takes its place again with each answer. */
  ROWS = 1024,
  PLACES = 4, /* of a row; two contents that fall on one row don't push each other out */
};

/* Longer than targets take to end together, shorter than a release of targets that end by
 * what they answered before takes to go round. */
static const MrTime LATELY = 10 * MR_SECOND;

typedef struct
{
  MrFingerprint fingerprint;
  MrTime at;
} Entry;

struct _MrRecentAnswers
{
  Entry rows[ROWS][PLACES];
};

MrRecentAnswers *
mr_recent_answers_new (void)
{
  return g_new0 (MrRecentAnswers, 1);
}

void
mr_recent_answers_free (MrRecentAnswers *answered)
{
  g_free (answered);
}

static guint
S_row (MrFingerprint fingerprint)
{
  return (guint) ((fingerprint.high ^ fingerprint.low) % ROWS);
}

void
mr_recent_answers_record (MrRecentAnswers *answered, MrTime now, MrFingerprint fingerprint)
{
  Entry *row = answered->rows[S_row (fingerprint)];
  Entry *place = &row[0];
  for (guint i = 0; i < PLACES; i++)
    {
      if (mr_fingerprint_equal (row[i].fingerprint, fingerprint))
        {
          row[i].at = now;
          return;
        }
      if (row[i].at < place->at)
        place = &row[i];
    }
  *place = (Entry){ .fingerprint = fingerprint, .at = now };
}

bool
mr_recent_answers_contain (const MrRecentAnswers *answered, MrTime now, MrFingerprint fingerprint)
{
  const Entry *row = answered->rows[S_row (fingerprint)];
  for (guint i = 0; i < PLACES; i++)
    if (mr_fingerprint_equal (row[i].fingerprint, fingerprint))
      return now - row[i].at <= LATELY;
  return false;
}
