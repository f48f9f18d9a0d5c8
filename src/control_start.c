/* Reading the store at startup, while a relay has no configuration.
 *
 * A relay starts to serve once it has routes and targets. If it applied these first, calls
 * would go to quarantined or evacuated destinations until the restrictions had been read: a
 * request that makes targets exit was sent to one target of each shard at once (three of three
 * in the process_quarantine_starts test). The relay therefore reads everything together and
 * defers its offers, to itself and to its peers, until quarantines and evacuations are known.
 * A daemon that holds a configuration has already received the restrictions, from the store or
 * from a peer.
 *
 * If the store lists everything except the restrictions, the deferral ends after DEFERRAL_MAX.
 * It does not end if the store merely stops answering after it has listed the routes: a relay
 * without targets cannot serve anyway, and when it stopped waiting in that case, nine calls of
 * a quarantined request were sent after the store had returned. */
#include "control_private.h"

#include "log.h"

/* Longest wait for the restrictions once all other objects have been read. A store that
 * answers at all does so within this time, and beyond it serving all searches outweighs
 * restricting some of them. */
static const MrTime DEFERRAL_MAX = 500 * MR_MS;
/* Delay before a failed call for the restrictions is repeated while other objects wait for it. */
static const MrTime RETRY_DELAY = 100 * MR_MS;

MrDeferredOffer *
mr_deferred_offer_new (MrObjectKind kind, const char *name, guint64 version, MrText body)
{
  MrDeferredOffer *deferred = g_new (MrDeferredOffer, 1);
  *deferred = (MrDeferredOffer){
    .kind = kind,
    .name = g_strdup (name),
    .version = version,
    .body = g_string_new_len (body.data, (gssize) body.len),
  };
  return deferred;
}

void
mr_deferred_offer_free (gpointer data)
{
  MrDeferredOffer *deferred = data;
  g_free (deferred->name);
  g_string_free (deferred->body, TRUE);
  g_free (deferred);
}

void
mr_control_start_init (MrControlTask *task)
{
  task->deferred_offers = g_ptr_array_new_with_free_func (mr_deferred_offer_free);
}

void
mr_control_start_clear (MrControlTask *task)
{
  g_ptr_array_unref (task->deferred_offers);
}

static gboolean
S_has_read (const MrControlTask *task, int index)
{
  return task->relay ? task->watches[index].since > 0 : task->watches[index].has_succeeded;
}

static gboolean
S_has_read_restrictions (const MrControlTask *task)
{
  for (int i = 0; i < WATCH_COUNT; i++)
    if (mr_control_is_restriction (i) && !S_has_read (task, i))
      return FALSE;
  return TRUE;
}

static void
S_continue_without_restrictions (MrControlTask *task)
{
  if (task->deferral_over)
    return;
  task->deferral_over = TRUE;
  mr_log (MR_LOG_WARNING, MR_EVENT_START_INCOMPLETE,
          "the store does not list %s; serving without them",
          !S_has_read (task, WATCH_EVACUATIONS) ? "evacuations" : "quarantines");
}

gboolean
mr_control_start_is_complete (const MrControlTask *task)
{
  return task->deferral_over || S_has_read_restrictions (task);
}

/* A relay that is ready has read everything from the store or from a peer that had. */
static gboolean
S_is_deferring (const MrControlTask *task)
{
  return !task->ready && !mr_control_start_is_complete (task);
}

void
mr_control_start_offer (MrControlTask *task, MrObjectKind kind, const MrPlatformObject *object)
{
  if (!S_is_deferring (task))
    {
      mr_replication_offer (task->replication, kind, mr_text (object->name), object->version,
                            mr_text_of (object->body), NULL);
      return;
    }
  g_ptr_array_add (
      task->deferred_offers,
      mr_deferred_offer_new (kind, object->name, object->version, mr_text_of (object->body)));
}

/* A daemon other than a relay defers no offers but becomes ready only after this. */
gboolean
mr_control_start_may_serve (MrControlTask *task, MrTime now, gboolean others_read)
{
  if (S_has_read_restrictions (task))
    return TRUE;
  if (others_read && task->defer_until == 0)
    task->defer_until = now + DEFERRAL_MAX;
  if (!others_read || now < task->defer_until)
    return FALSE;
  S_continue_without_restrictions (task);
  return TRUE;
}

static gboolean
S_has_routes_and_targets (const MrControlTask *task)
{
  return task->watches[WATCH_CONFIGURATION].since > 0 && task->watches[WATCH_TARGETS].since > 0;
}

/* Starts the wait of DEFERRAL_MAX. Calls for the restrictions that have failed earlier are
 * repeated now rather than after their retry delay, since the store answers. */
static void
S_start_deferral_limit (MrControlTask *task, MrTime now)
{
  task->defer_until = now + DEFERRAL_MAX;
  task->restriction_call_failed = FALSE;
  for (int i = 0; i < WATCH_COUNT; i++)
    if (mr_control_is_restriction (i) && !S_has_read (task, i))
      task->watches[i].due = MIN (task->watches[i].due, now);
}

void
mr_control_start_restriction_failed (MrControlTask *task, MrTime now, int index)
{
  task->restriction_call_failed = TRUE;
  if (task->deferred_offers->len > 0)
    task->watches[index].due = now + RETRY_DELAY;
}

void
mr_control_start_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  if (task->deferred_offers->len == 0)
    return;
  if (S_is_deferring (task) && task->defer_until == 0 && S_has_routes_and_targets (task))
    S_start_deferral_limit (task, now);
  gboolean over = task->defer_until != 0 && now >= task->defer_until;
  if (S_is_deferring (task) && !(over && task->restriction_call_failed))
    {
      if (task->defer_until != 0 && !over)
        *next = MIN (*next, task->defer_until);
      return;
    }
  if (S_is_deferring (task))
    S_continue_without_restrictions (task);
  task->deferral_over = TRUE;
  for (guint i = 0; i < task->deferred_offers->len; i++)
    {
      const MrDeferredOffer *deferred = g_ptr_array_index (task->deferred_offers, i);
      if (mr_control_era_hold (task, deferred->kind, deferred->name, deferred->version,
                               mr_text_of (deferred->body)))
        continue;
      mr_replication_offer (task->replication, deferred->kind, mr_text (deferred->name),
                            deferred->version, mr_text_of (deferred->body), NULL);
    }
  g_ptr_array_set_size (task->deferred_offers, 0);
}
