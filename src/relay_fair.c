/* Shares of organisations, and the order of queues.
 *
 * Order of a queue: priority of the organisation, priority of the route, start tag, arrival.  The
 * requests of an organisation wait behind its own earlier ones instead of behind those of others.
 * Requests without an organisation have its most urgent priority, and as their tag the virtual time
 * at their arrival, so that their order among each other is that of arrival. */
#include "relay_private.h"

#include "safeguard.h"

/* Bounded ageing.  Priorities are strict, so requests of a less urgent one would never be sent
 * while more urgent ones alone fill the slots.  One of this many queued parts that are sent may
 * therefore be of a less urgent priority, if it has waited for AGED_FRACTION of its latency goal
 * and can still be in time.  More urgent priorities lose at most a tenth of the slots by this.  A
 * delay that grows until a request overtakes every priority, as dispatch.c has, would give them to
 * the organisation with the most requests waiting. */
enum
{
  AGED_INTERVAL = 10,
};
static const double AGED_FRACTION = 0.25;

void
mr_relay_set_organisation (MrTime now, MrActiveRequest *request, const MrOrganisation *organisation)
{
  TargetGroup *first = request->parts[0].group;
  for (guint i = 0; i < request->part_count; i++)
    {
      const MrFairQueue *queue = request->parts[i].group->fair_queue;
      request->parts[i].tag = queue ? mr_fair_queue_virtual_time (queue) : 0;
    }
  if (!organisation || !MR_SAFEGUARD (MR_GUARD_FAIR_SHARE))
    return;
  if (!first->fair_share)
    first->fair_share = mr_fair_share_new ();
  request->caller_priority = organisation->priority;
  request->flow =
      mr_fair_share_get (first->fair_share, now, organisation->name, organisation->priority);
}

/* Demand and refusals. */

static double
S_expected_cost (const RequestPart *part)
{
  const MrActiveRequest *request = part->request;
  return request->stats->mean * mr_fair_flow_cost_ratio (request->flow);
}

gboolean
mr_relay_should_refuse (
    MrTime now, MrActiveRequest *request, double fraction, double max_fraction, double random)
{
  double own = mr_fair_share_refused_fraction (request->parts[0].group->fair_share, now,
                                               request->flow, fraction, max_fraction);
  request->over_share = random < own && own > fraction;
  return random < own;
}

void
mr_relay_record_refusal (MrTime now, const MrActiveRequest *request)
{
  if (request->flow && (request->cause == MR_CAUSE_OVERLOAD || request->cause == MR_CAUSE_TIME))
    mr_fair_flow_add_refused (request->flow, now, request->part_count * request->stats->mean);
}

void
mr_relay_record_work (const Call *call, MrTime now)
{
  if (!call->flow)
    return;
  double slot_time = call->did_not_run ? 0 : (double) (now - call->started);
  if (!call->did_not_run)
    mr_fair_flow_add_work (call->flow, now, call->stats->mean, slot_time);
  if (call->part && call->part->group->fair_queue)
    mr_fair_queue_correct (call->part->group->fair_queue, call->flow,
                           slot_time - call->queued_cost);
}

/* Queues. */

void
mr_relay_tag_part (RequestPart *part)
{
  TargetGroup *group = part->group;
  if (!part->request->flow || part->has_tag)
    return;
  if (!group->fair_queue)
    group->fair_queue = mr_fair_queue_new ();
  part->queued_cost = S_expected_cost (part);
  part->tag = mr_fair_queue_add (group->fair_queue, part->request->flow, part->queued_cost);
  part->has_tag = TRUE;
}

static gboolean
S_is_less_urgent (const RequestPart *part, const RequestPart *than)
{
  const MrActiveRequest *a = part->request;
  const MrActiveRequest *b = than->request;
  if (a->caller_priority != b->caller_priority)
    return a->caller_priority > b->caller_priority;
  return a->route->priority > b->route->priority;
}

static void
S_count_send (const RequestPart *part)
{
  TargetGroup *group = part->group;
  const RequestPart *first = g_queue_peek_head (&group->queue);
  if (first && S_is_less_urgent (part, first))
    group->sends_before_aged = 0;
  else if (group->sends_before_aged < AGED_INTERVAL)
    group->sends_before_aged++;
}

void
mr_relay_untag_part (RequestPart *part, gboolean sent)
{
  TargetGroup *group = part->group;
  MrFairQueue *queue = group->fair_queue;
  if (!queue)
    return;
  if (sent)
    {
      mr_fair_queue_serve (queue, part->tag);
      S_count_send (part);
    }
  else if (part->has_tag)
    {
      mr_fair_queue_correct (queue, part->request->flow, -part->queued_cost);
      part->queued_cost = 0;
      part->has_tag = FALSE;
    }
  if (g_queue_is_empty (&group->queue))
    mr_fair_queue_on_empty (queue);
}

/* With half of the mean, as for the deadline (S_is_too_late), an organisation with many parts
 * waiting would have most of them sent just in time to be late: where all requests come to one
 * daemon, 0.35 instead of 0.55 of its requests were in time. */
gboolean
mr_relay_misses_goal (const RequestPart *part, MrTime now)
{
  const MrActiveRequest *request = part->request;
  return now + (MrTime) request->stats->mean >= request->arrived + request->route->latency_goal;
}

gboolean
mr_relay_precedes_fairly (const RequestPart *a, double a_tag, const RequestPart *b, double b_tag)
{
  if (S_is_less_urgent (b, a))
    return TRUE;
  if (S_is_less_urgent (a, b))
    return FALSE;
  if (a_tag != b_tag)
    return a_tag < b_tag;
  return a->request->arrived < b->request->arrived;
}

/* Tag that the part has, or would get now. */
static double
S_tag_of (const RequestPart *part)
{
  const MrFairQueue *queue = part->group->fair_queue;
  if (part->has_tag || !part->request->flow || !queue)
    return part->tag;
  return mr_fair_queue_next_tag (queue, part->request->flow);
}

static gboolean
S_is_ahead (const RequestPart *queued, const RequestPart *part, double tag, MrTime now)
{
  if (!queued->request->flow && !part->request->flow)
    return queued->request->route->priority <= part->request->route->priority;
  if (queued->request->flow && mr_relay_misses_goal (queued, now))
    return FALSE;
  return !mr_relay_precedes_fairly (part, tag, queued, queued->tag);
}

double
mr_relay_parts_ahead (const RequestPart *part, MrTime now)
{
  guint ahead = 0;
  guint same_priority = 0;
  double tag = S_tag_of (part);
  for (const GList *link = part->group->queue.head; link; link = link->next)
    {
      const RequestPart *queued = link->data;
      if (!S_is_ahead (queued, part, tag, now))
        continue;
      ahead++;
      same_priority += S_is_less_urgent (part, queued) ? 0 : 1;
    }
  if (part->request->flow)
    ahead = MIN (ahead, AGED_INTERVAL * (same_priority + 1));
  return ahead;
}

static gboolean
S_has_aged (const RequestPart *part, MrTime now)
{
  const MrActiveRequest *request = part->request;
  double waited = (double) (now - request->arrived);
  return request->flow && waited >= AGED_FRACTION * (double) request->route->latency_goal;
}

static RequestPart *
S_earlier (RequestPart *a, RequestPart *b)
{
  return !a || b->request->arrived < a->request->arrived ? b : a;
}

/* Without organisations this is the first part.  Otherwise a part that would miss its latency goal
 * is sent only if no other part can use the slot in time. */
RequestPart *
mr_relay_next_queued (const MrRelay *relay,
                      MrTime now,
                      const TargetGroup *group,
                      const MrTargetState *target)
{
  RequestPart *first = NULL;
  RequestPart *timely = NULL;
  RequestPart *aged = NULL;
  gboolean aged_is_due = group->sends_before_aged >= AGED_INTERVAL - 1;
  for (GList *link = group->queue.head; link; link = link->next)
    {
      RequestPart *part = link->data;
      if (target && !mr_relay_may_send_to (relay, now, part, target))
        continue;
      first = first ? first : part;
      if (!first->request->flow)
        return first;
      if (mr_relay_misses_goal (part, now))
        continue;
      timely = timely ? timely : part;
      if (!aged_is_due)
        return timely;
      if (S_is_less_urgent (part, timely) && S_has_aged (part, now))
        aged = S_earlier (aged, part);
    }
  if (aged)
    return aged;
  return timely ? timely : first;
}
