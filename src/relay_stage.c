/* Searches that are sent to one shard first.
 *
 * A search over ten shards is sent to ten targets at once: if its content crashes its targets, all
 * ten have started it when the first one crashes.  For some time after such a content was found,
 * more of the kind are expected: a search whose content has not been answered recently is sent to
 * one shard, and to the others after its first answer.  This delays the search by the time of one
 * call. */
#include "relay_private.h"

#include "log.h"
#include "safeguard.h"

enum
{
  STAGED_DURATION_S = 60, /* after a content was found to crash its targets */
};

void
mr_relay_content_quarantined (MrRelay *relay, MrTime now, const SuspectContent *content)
{
  guint32 unix_time = mr_relay_unix_time (relay, now);
  guint32 age = unix_time - MIN (content->evidence.at, unix_time);
  if (age >= STAGED_DURATION_S)
    return;
  if (now >= relay->staged_until)
    mr_log (MR_LOG_NOTICE, MR_EVENT_STAGED_SEARCHES,
            "a request content crashes its targets: for %u s, searches without a recent answer "
            "are sent to one shard first",
            STAGED_DURATION_S - age);
  relay->staged_until = MAX (relay->staged_until, now + (STAGED_DURATION_S - age) * MR_SECOND);
}

gboolean
mr_relay_is_staged (const MrRelay *relay, MrTime now, const MrActiveRequest *request)
{
  return now < relay->staged_until && request->route->kind == MR_ROUTE_SHARDS &&
         request->part_count > 1 && mr_fingerprint_is_set (request->fingerprint) &&
         MR_SAFEGUARD (MR_GUARD_QUARANTINE) &&
         !mr_recent_answers_contain (relay->recent_answers, now, request->fingerprint);
}

void
mr_relay_begin_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *request)
{
  relay->counts.staged++;
  request->staged = TRUE;
  for (guint i = 0; i < request->part_count; i++)
    mr_relay_hold_part (&request->parts[i]);
  mr_relay_begin_part (relay, now, mr_relay_take_held_part (request, now));
}

void
mr_relay_end_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *request)
{
  if (!request->staged || mr_relay_is_suspicious (request))
    return;
  mr_relay_release_held_parts (relay, now, request);
}
