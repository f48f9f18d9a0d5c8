#include "relay_private.h"

static Call **
S_free_call_slot (RequestPart *part)
{
  for (guint i = 0; i < PART_CALLS_MAX; i++)
    if (!part->calls[i])
      return &part->calls[i];
  return NULL;
}

guint
mr_active_request_sends (const MrActiveRequest *request)
{
  return request->sends->len;
}

static guint
S_add_send_record (MrActiveRequest *request,
                   const RequestPart *part,
                   MrTime now,
                   const MrTargetState *target,
                   MrSendReason reason)
{
  MrSendRecord record = {
    .part_index = part->index,
    .reason = reason,
    .sent_after = now - request->arrived,
    .last_response_age =
        target->health.last_response_at > 0 ? now - target->health.last_response_at : -1,
  };
  g_strlcpy (record.target, target->id, sizeof record.target);
  g_array_append_val (request->sends, record);
  return request->sends->len - 1;
}

static void
S_send (MrRelay *relay, MrTime now, RequestPart *part, MrTargetState *target, MrSendReason reason)
{
  MrActiveRequest *request = part->request;
  Call *call = g_new0 (Call, 1);
  *call = (Call){
    .owner_kind = TIMER_CALL,
    .id = ++relay->last_call_id,
    .part = part,
    .target = target,
    .stats = request->stats,
    .started = now,
    .send_index = S_add_send_record (request, part, now, target, reason),
    .fingerprint = request->fingerprint,
    .flow = request->flow ? mr_fair_flow_ref (request->flow) : NULL,
    .queued_cost = part->queued_cost,
  };
  part->queued_cost = 0;
  call->timer.owner = call;
  call->target_link.data = call;
  *S_free_call_slot (part) = call;
  mr_relay_record_send (part, target);
  part->send_count++;
  g_queue_push_tail_link (&target->open_calls, &call->target_link);
  target->in_flight++;
  target->calls++;
  if (now < target->cold_until)
    mr_cold_window_add (&target->cold_calls, now);
  g_hash_table_insert (relay->calls, &call->id, call);
  relay->counts.calls++;
  if (reason == MR_SEND_HEDGE)
    relay->counts.hedges++;
  else if (reason == MR_SEND_RETRY)
    relay->counts.retries++;
  part->hedge_at = request->route->idempotent ? now + request->stats->hedge_delay : MR_NEVER;
  mr_timers_set (relay->timers, &call->timer, now + mr_relay_silence_timeout (request->stats));
  mr_relay_schedule (relay, request);
  MrRelayCall relay_call = {
    .id = call->id,
    .target = target,
    .host_request = request->host_request,
    .part_index = part->index,
    .deadline = MIN (request->deadline, request->hard_deadline),
    .idempotent = request->route->idempotent,
  };
  relay->host->send_call (relay->host, &relay_call);
}

static gboolean
S_precedes (const MrRelay *relay, const RequestPart *a, const RequestPart *b)
{
  const MrTime *lag = relay->policy->priority_delay;
  guint a_priority = a->request->route->priority;
  guint b_priority = b->request->route->priority;
  if (lag)
    return a->request->arrived + lag[a_priority] < b->request->arrived + lag[b_priority];
  /* Tags of different queues cannot be compared. */
  gboolean same_queue = a->group == b->group;
  return mr_relay_precedes_fairly (a, same_queue ? a->tag : 0, b, same_queue ? b->tag : 0);
}

static guint *
S_queued_count (const RequestPart *part)
{
  return &part->group->pool->queued[MIN (part->request->route->priority, MR_PRIORITIES - 1U)];
}

static gboolean
S_pool_queues_are_empty (const BudgetPool *pool)
{
  for (guint i = 0; i < MR_PRIORITIES; i++)
    if (pool->queued[i] > 0)
      return FALSE;
  return TRUE;
}

static void
S_enqueue (const MrRelay *relay, RequestPart *part, MrSendReason reason)
{
  GQueue *queue = &part->group->queue;
  mr_relay_tag_part (part);
  GList *after = queue->tail;
  while (after && S_precedes (relay, part, after->data))
    after = after->prev;
  part->queue_link = (GList){ .data = part };
  part->queued = TRUE;
  part->send_reason = reason;
  (*S_queued_count (part))++;
  if (after)
    g_queue_insert_after_link (queue, after, &part->queue_link);
  else
    g_queue_push_head_link (queue, &part->queue_link);
}

static void
S_dequeue (RequestPart *part, gboolean to_send)
{
  if (!part->queued)
    return;
  part->queued = FALSE;
  (*S_queued_count (part))--;
  g_queue_unlink (&part->group->queue, &part->queue_link);
  mr_relay_untag_part (part, to_send);
}

void
mr_relay_dequeue (RequestPart *part)
{
  S_dequeue (part, FALSE);
}

/* FALSE, with the cause, if the part may not be sent again. */
static gboolean
S_may_send (MrRelay *relay, MrTime now, RequestPart *part, MrSendReason reason, MrCause *cause)
{
  if (reason == MR_SEND_FIRST)
    return TRUE;
  if (!mr_relay_has_attempts_left (part))
    {
      *cause = MR_CAUSE_ATTEMPTS;
      return FALSE;
    }
  /* A call that was never sent has not loaded any target. */
  if (part->send_count == 0)
    return TRUE;
  BudgetPool *pool = part->group->pool;
  double share = reason == MR_SEND_HEDGE ? relay->policy->hedge_budget_share : 1;
  if (mr_resend_budget_try_spend (&pool->budget, &pool->terms, now, share))
    return TRUE;
  relay->counts.over_budget++;
  *cause = MR_CAUSE_BUDGET;
  return FALSE;
}

gboolean
mr_relay_send_or_queue (MrRelay *relay, MrTime now, RequestPart *part, MrSendReason reason)
{
  MrActiveRequest *request = part->request;
  MrCause cause = MR_CAUSE_NONE;
  gboolean any_eligible = FALSE;
  MrTargetState *target = mr_relay_choose_target (relay, now, part, &any_eligible);
  if (!any_eligible)
    cause = part->attempt_count > 0 ? MR_CAUSE_ATTEMPTS : mr_relay_no_target_cause (part->group);
  else if (S_may_send (relay, now, part, reason, &cause))
    {
      if (target && !mr_relay_shared_room_is_used (part, now))
        S_send (relay, now, part, target, reason);
      else
        S_enqueue (relay, part, reason);
      return TRUE;
    }
  if (mr_relay_part_call_count (part) > 0)
    return TRUE; /* the call in flight may still answer */
  gboolean last = request->open_parts == 1;
  mr_relay_finish_part (relay, now, part, cause);
  return !last && g_hash_table_contains (relay->requests, request);
}

static gboolean
S_targets_are_loaded (const RouteStats *stats)
{
  double loaded = stats->policy->loaded_ratio;
  return loaded > 0 && stats->median > loaded * stats->lowest_median;
}

static gboolean
S_has_half_free (const MrTargetState *target)
{
  return target->in_flight * 2 < mr_concurrency_limit_calls (&target->limit);
}

gboolean
mr_relay_hedge (MrRelay *relay, MrTime now, RequestPart *part)
{
  MrCause cause = MR_CAUSE_NONE;
  gboolean any_eligible = FALSE;
  /* While parts are queued, a hedge would take a slot from a first call. */
  if (!S_free_call_slot (part) || !S_pool_queues_are_empty (part->group->pool))
    return FALSE;
  MrTargetState *target = mr_relay_choose_target (relay, now, part, &any_eligible);
  if (!target || mr_relay_is_stalled (target, now) ||
      (S_targets_are_loaded (part->request->stats) && !S_has_half_free (target)) ||
      !S_may_send (relay, now, part, MR_SEND_HEDGE, &cause))
    return FALSE;
  S_send (relay, now, part, target, MR_SEND_HEDGE);
  return TRUE;
}

/* TRUE if a call sent now would probably be late.  Its slot goes to another part, and its caller is
 * answered now rather than at the deadline. */
static gboolean
S_is_too_late (const RequestPart *part, MrTime now)
{
  return now + (MrTime) (part->request->stats->mean / 2) >= part->request->hard_deadline;
}

/* Sends a part from the queue, or ends it if it is too late. */
static void
S_send_dequeued (MrRelay *relay, MrTime now, RequestPart *part, MrTargetState *target)
{
  gboolean too_late = S_is_too_late (part, now);
  S_dequeue (part, !too_late);
  if (too_late)
    {
      relay->counts.expired++;
      mr_relay_finish_part (relay, now, part, mr_relay_time_cause (relay, part->request));
    }
  else
    S_send (relay, now, part, target, part->send_reason);
}

/* The part of any group of @target to send to it next; NULL if there is none. */
static RequestPart *
S_next_for_target (const MrRelay *relay, MrTime now, const MrTargetState *target)
{
  RequestPart *next = NULL;
  for (guint i = 0; i < target->groups->len; i++)
    {
      RequestPart *part =
          mr_relay_next_queued (relay, now, g_ptr_array_index (target->groups, i), target);
      if (part && (!next || S_precedes (relay, part, next)))
        next = part;
    }
  return next;
}

static gboolean
S_has_free_target (const MrRelay *relay, MrTime now, const RequestPart *part)
{
  const GPtrArray *targets = part->group->targets;
  for (guint i = 0; i < targets->len; i++)
    {
      const MrTargetState *target = g_ptr_array_index (targets, i);
      if (mr_relay_may_send_to (relay, now, part, target) &&
          mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target))
        return TRUE;
    }
  return FALSE;
}

/* Parts that are queued for the room of the group as a whole may be waiting beside targets that
 * have no calls, at which no call ends. */
static void
S_use_shared_room (MrRelay *relay, MrTime now, const MrTargetState *target)
{
  for (guint i = 0; i < target->groups->len; i++)
    {
      TargetGroup *group = g_ptr_array_index (target->groups, i);
      const RequestPart *first = g_queue_peek_head (&group->queue);
      if (first && first->request->flow && !mr_relay_shared_room_is_used (first, now) &&
          S_has_free_target (relay, now, first))
        mr_relay_send_queued (relay, now, group);
    }
}

void
mr_relay_send_queued_to (MrRelay *relay, MrTime now, MrTargetState *target)
{
  while (mr_target_state_can_take_call (target, now) && mr_target_state_has_free_slot (target))
    {
      RequestPart *next = S_next_for_target (relay, now, target);
      if (!next || mr_relay_shared_room_is_used (next, now))
        break;
      S_send_dequeued (relay, now, next, target);
    }
  S_use_shared_room (relay, now, target);
}

void
mr_relay_send_queued (MrRelay *relay, MrTime now, TargetGroup *group)
{
  while (group && !g_queue_is_empty (&group->queue))
    {
      RequestPart *part = mr_relay_next_queued (relay, now, group, NULL);
      gboolean any_eligible = FALSE;
      MrTargetState *target = mr_relay_choose_target (relay, now, part, &any_eligible);
      if (any_eligible && (!target || mr_relay_shared_room_is_used (part, now)))
        return; /* no room for this part; those behind it wait as well */
      if (target)
        {
          S_send_dequeued (relay, now, part, target);
          continue;
        }
      mr_relay_dequeue (part);
      mr_relay_finish_part (relay, now, part, mr_relay_no_target_cause (group));
    }
}
