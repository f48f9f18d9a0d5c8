#include "recent_answers.h"

enum
{
  /* 96 kB in total.  A daemon answers some 140 requests a second in the largest fleet, and each
   * answer renews the entry of its content. */
  ROW_COUNT = 1024,
  ROW_ENTRIES = 4, /* per row, so that two contents in one row do not evict each other */
};

/* Longer than a group of targets takes to crash, shorter than the rollout of a release that crashes
 * on contents which the previous one answered. */
static const MrTime RECENT_SPAN = 10 * MR_SECOND;

typedef struct
{
  MrFingerprint fingerprint;
  MrTime at;
} Entry;

struct _MrRecentAnswers
{
  Entry rows[ROW_COUNT][ROW_ENTRIES];
};

MrRecentAnswers *
mr_recent_answers_new (void)
{
  return g_new0 (MrRecentAnswers, 1);
}

void
mr_recent_answers_free (MrRecentAnswers *answers)
{
  g_free (answers);
}

static guint
S_row (MrFingerprint fingerprint)
{
  return (guint) ((fingerprint.high ^ fingerprint.low) % ROW_COUNT);
}

void
mr_recent_answers_record (MrRecentAnswers *answers, MrTime now, MrFingerprint fingerprint)
{
  Entry *row = answers->rows[S_row (fingerprint)];
  Entry *oldest = &row[0];
  for (guint i = 0; i < ROW_ENTRIES; i++)
    {
      if (mr_fingerprint_equal (row[i].fingerprint, fingerprint))
        {
          row[i].at = now;
          return;
        }
      if (row[i].at < oldest->at)
        oldest = &row[i];
    }
  *oldest = (Entry){ .fingerprint = fingerprint, .at = now };
}

bool
mr_recent_answers_contain (const MrRecentAnswers *answers, MrTime now, MrFingerprint fingerprint)
{
  const Entry *row = answers->rows[S_row (fingerprint)];
  for (guint i = 0; i < ROW_ENTRIES; i++)
    if (mr_fingerprint_equal (row[i].fingerprint, fingerprint))
      return now - row[i].at <= RECENT_SPAN;
  return false;
}
