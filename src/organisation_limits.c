#include "limits_private.h"

MrLimits *
mr_limits_new (MrLimitsHost *host, const MrLimitsOptions *options)
{
  MrLimits *limits = g_new (MrLimits, 1);
  *limits = (MrLimits){
    .host = host,
    .options = *options,
    .group = mr_limit_group_new (options),
    .votes = mr_limit_votes_new (),
    .counters = mr_limit_counters_new (),
    .balances = mr_limit_balances_new (),
    .local = g_queue_new (),
  };
  return limits;
}

void
mr_limits_free (MrLimits *limits)
{
  if (!limits)
    return;
  mr_limit_balances_free (limits->balances);
  mr_limit_counters_free (limits->counters);
  mr_limit_votes_free (limits->votes);
  mr_limit_group_free (limits->group);
  mr_limit_table_free (limits->table);
  g_queue_free_full (limits->local, g_free);
  g_free (limits);
}

/* Messages. */

void
mr_limits_send (MrLimits *limits, const char *daemon, MrLimitMessage message)
{
  message.incarnation = limits->options.incarnation;
  if (!limits->table)
    return;
  if (g_str_equal (daemon, limits->options.self))
    g_queue_push_tail (limits->local, g_memdup2 (&message, sizeof message));
  else
    limits->host->send (limits->host, daemon, &message);
}

static void
S_on_acquire (MrLimits *limits, MrTime now, MrLimitPeer *peer, const MrLimitMessage *message)
{
  MrLimitMessage reply = { .kind = MR_LIMIT_RELEASE, .number = message->number };
  mr_limit_votes_request (limits, now, peer, message->number, message->organisation, &reply.tokens);
  g_strlcpy (reply.organisation, message->organisation, sizeof reply.organisation);
  mr_limits_send (limits, peer->name, reply);
}

static void
S_receive (MrLimits *limits, MrTime now, const char *sender, const MrLimitMessage *message)
{
  /* Of a daemon that asks, only the name is needed. */
  MrLimitPeer *peer =
      message->kind == MR_LIMIT_ASK ? NULL : mr_limit_group_receive (limits, now, sender, message);
  if (!peer && message->kind != MR_LIMIT_ASK)
    return;
  switch (message->kind)
    {
    case MR_LIMIT_ALIVE:
      break;
    case MR_LIMIT_ASK:
      mr_limit_counters_on_ask (limits, now, sender, message);
      break;
    case MR_LIMIT_GRANT:
      mr_limit_balances_on_grant (limits, now, sender, message);
      break;
    case MR_LIMIT_ACQUIRE:
      S_on_acquire (limits, now, peer, message);
      break;
    case MR_LIMIT_RELEASE:
      if (message->was_counting)
        mr_limit_votes_release (limits, now, peer, message->number, message->organisation,
                                message->tokens);
      else
        mr_limit_counters_on_vote (limits, now, peer, message);
      break;
    }
}

void
mr_limits_deliver (MrLimits *limits, MrTime now)
{
  MrLimitMessage *message = NULL;
  if (limits->delivering)
    return;
  limits->delivering = TRUE;
  while ((message = g_queue_pop_head (limits->local)))
    {
      S_receive (limits, now, limits->options.self, message);
      g_free (message);
    }
  limits->delivering = FALSE;
}

void
mr_limits_receive (MrLimits *limits, MrTime now, const char *sender, const MrLimitMessage *message)
{
  if (!limits->table || g_str_equal (sender, limits->options.self))
    return;
  S_receive (limits, now, sender, message);
  mr_limits_deliver (limits, now);
}

/* Configuration and members. */

void
mr_limits_set_configuration (MrLimits *limits, MrTime now, const MrConfiguration *configuration)
{
  MrLimitTable *previous = limits->table;
  limits->table = mr_limit_table_new (configuration);
  /* Until the other daemons have a limit too, they cannot grant tokens for it. */
  if (limits->table && limits->configured)
    mr_limit_table_delay_new (limits->table, previous, now + MR_LIMIT_SETTLE);
  limits->configured = TRUE;
  mr_limit_group_set_active (limits, now, limits->table != NULL);
  mr_limit_counters_apply_table (limits, now);
  mr_limit_balances_apply_table (limits, now);
  mr_limits_deliver (limits, now);
  mr_limit_table_free (previous);
}

void
mr_limits_set_entries (MrLimits *limits, MrTime now, const GPtrArray *entries)
{
  mr_limit_group_set_entries (limits, now, entries);
}

void
mr_limits_on_member (MrLimits *limits, MrTime now, const MrMember *member)
{
  mr_limit_group_on_member (limits, now, member);
}

/* Requests. */

MrLimitDecision
mr_limits_check (MrLimits *limits,
                 MrTime now,
                 const MrOrganisation *organisation,
                 MrTime max_wait,
                 gpointer request,
                 MrTime *retry_after)
{
  const MrLimitSubject *subject = mr_limit_table_find_name (limits->table, organisation->name);
  if (subject)
    return mr_limit_balances_check (limits, now, subject, max_wait, request, retry_after);
  *retry_after = 0;
  limits->counts.admitted++;
  return MR_LIMIT_ADMITTED;
}

void
mr_limits_cancel (MrLimits *limits, gpointer request)
{
  mr_limit_balances_cancel (limits, request);
}

void
mr_limits_give_back (MrLimits *limits, MrTime now, const MrOrganisation *organisation)
{
  const MrLimitSubject *subject = mr_limit_table_find_name (limits->table, organisation->name);
  /* Without a limit when it was admitted the request spent no token. */
  if (!subject || organisation->limit.rate <= 0)
    return;
  limits->counts.given_back++;
  mr_limit_balances_give_back (limits, now, subject);
}

MrTime
mr_limits_tick (MrLimits *limits, MrTime now)
{
  MrTime next = mr_limit_group_tick (limits, now);
  if (limits->table && now >= limits->next_scan)
    {
      limits->next_scan = now + MR_LIMIT_SCAN_INTERVAL;
      mr_limit_votes_scan (limits, now);
      mr_limit_counters_scan (limits, now);
      mr_limit_balances_scan (limits, now);
    }
  mr_limits_deliver (limits, now);
  mr_limit_balances_tick (limits, now);
  mr_limit_counters_tick (limits, now);
  mr_limits_deliver (limits, now);
  if (!limits->table)
    return MR_NEVER;
  next = MIN (next, mr_limit_balances_tick (limits, now));
  return MIN (next, mr_limit_counters_tick (limits, now));
}

const MrLimitCounts *
mr_limits_counts (const MrLimits *limits)
{
  return &limits->counts;
}

void
mr_limits_foreach (const MrLimits *limits,
                   void (*visit) (const MrLimitState *state, void *user),
                   void *user)
{
  mr_limit_balances_foreach (limits, visit, user);
}
