/* Searches that go to one shard first.
 *
 * A search of ten shards is sent to ten targets at once; if its content ends its targets,
 * all ten have begun it when the first one ends.  While such contents have been found of
 * late, more of their kind are to be expected: a search whose content has not been answered
 * lately is sent to one shard, and to the others with its first answer.  That costs it the
 * time of one call. */
#include "relay_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  STAGED_FOR_S = 60, /* after a content was found to end its targets */
};

void
mr_relay_content_quarantined (MrRelay *r, MrTime now, const SuspectContent *content)
{
  guint32 unix_time = mr_relay_unix_time (r, now);
  guint32 age = unix_time - MIN (content->evidence.at, unix_time);
  if (age >= STAGED_FOR_S)
    return;
  if (now >= r->staged_until)
    mr_log (MR_LOG_NOTICE, MR_EVENT_STAGED,
            "a content ends its targets: for %u s searches that have not been answered lately "
            "go to one shard first",
            STAGED_FOR_S - age);
  r->staged_until = MAX (r->staged_until, now + (STAGED_FOR_S - age) * MR_SECOND);
}

gboolean
mr_relay_is_staged (const MrRelay *r, MrTime now, const MrActiveRequest *work)
{
  return now < r->staged_until && work->route->kind == MR_ROUTE_SHARDS && work->part_count > 1 &&
         mr_fingerprint_is_set (work->fingerprint) && MR_SAFEGUARD (MR_GUARD_QUARANTINE) &&
         !mr_recent_answers_contain (r->recent_answers, now, work->fingerprint);
}

void
mr_relay_begin_first_stage (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  r->counts.staged++;
  work->staged = TRUE;
  for (guint i = 0; i < work->part_count; i++)
    mr_relay_hold_part (&work->parts[i]);
  mr_relay_begin_part (r, now, mr_relay_take_held_part (work, now));
}

void
mr_relay_end_first_stage (MrRelay *r, MrTime now, MrActiveRequest *work)
{
  if (!work->staged || mr_relay_is_suspicious (work))
    return;
  mr_relay_release_held_parts (r, now, work);
}
