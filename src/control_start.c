/* What a relay reads from the store at its start, while it holds no configuration.
 *
 * A relay that has routes and targets serves.  Were these taken first, calls would go where
 * they must not until what restricts them is read: a request that ends its targets was sent
 * to one target of each shard at once (three of three in process_quarantine_starts).  So all
 * is read together, and what was read is offered, to this relay and to its peers, once
 * quarantines and evacuations are there: whoever has a configuration has had them before, by
 * whatever way it came.
 *
 * A store that lists all but these holds a start up for HOLD_MOST.  One that falls silent
 * after it has listed the routes is not such a one: a relay without targets can't serve, and
 * where it gave up waiting then, nine calls of a quarantined request went out once the store
 * was back. */
#include "control_private.h"

#include "log.h"

/* From when all else is read: a store that answers at all answers within this, or the searches
 * of all are worth more than what restricts some. */
static const MrTime HOLD_MOST = 500 * MR_MS;
/* Between two calls for what all else waits for. */
static const MrTime ASK_GAP = 100 * MR_MS;

struct _MrDeferredOffer
{
  MrObjectKind kind;
  char *name;
  guint64 version;
  GString *body;
};

static void
S_held_free (gpointer data)
{
  MrDeferredOffer *held = data;
  g_free (held->name);
  g_string_free (held->body, TRUE);
  g_free (held);
}

void
mr_control_start_init (MrControlTask *task)
{
  task->deferred_offers = g_ptr_array_new_with_free_func (S_held_free);
}

void
mr_control_start_clear (MrControlTask *task)
{
  g_ptr_array_unref (task->deferred_offers);
}

static gboolean
S_knows (const MrControlTask *task, int index)
{
  return task->relay ? task->watches[index].since > 0 : task->watches[index].has_succeeded;
}

static gboolean
S_knows_restrictions (const MrControlTask *task)
{
  for (int i = 0; i < WATCH_COUNT; i++)
    if (mr_control_is_restriction (i) && !S_knows (task, i))
      return FALSE;
  return TRUE;
}

static void
S_go_without (MrControlTask *task)
{
  if (task->deferral_over)
    return;
  task->deferral_over = TRUE;
  mr_log (MR_LOG_WARNING, MR_EVENT_START_WITHOUT, "the store does not list %s; serving without",
          !S_knows (task, WATCH_EVACUATIONS) ? "evacuations" : "quarantines");
}

gboolean
mr_control_start_is_complete (const MrControlTask *task)
{
  return task->deferral_over || S_knows_restrictions (task);
}

/* A relay that is ready has all from the store, or from a peer that was. */
static gboolean
S_holds (const MrControlTask *task)
{
  return !task->ready && !mr_control_start_is_complete (task);
}

void
mr_control_start_offer (MrControlTask *task, MrObjectKind kind, const MrPlatformObject *object)
{
  if (!S_holds (task))
    {
      mr_replication_offer (task->replication, kind, mr_text (object->name), object->version,
                            mr_text_of (object->body), NULL);
      return;
    }
  MrDeferredOffer *held = g_new (MrDeferredOffer, 1);
  *held = (MrDeferredOffer){
    .kind = kind,
    .name = g_strdup (object->name),
    .version = object->version,
    .body = g_string_new_len (object->body->str, (gssize) object->body->len),
  };
  g_ptr_array_add (task->deferred_offers, held);
}

/* A daemon that has no routes to hold is not ready until then. */
gboolean
mr_control_start_may_serve (MrControlTask *task, MrTime now, gboolean rest)
{
  if (S_knows_restrictions (task))
    return TRUE;
  if (rest && task->defer_until == 0)
    task->defer_until = now + HOLD_MOST;
  if (!rest || now < task->defer_until)
    return FALSE;
  S_go_without (task);
  return TRUE;
}

static gboolean
S_has_rest (const MrControlTask *task)
{
  return task->watches[WATCH_CONFIGURATION].since > 0 && task->watches[WATCH_TARGETS].since > 0;
}

/* Calls for what restricts that have failed before are made again now, rather than when
 * their gap is over: the store answers. */
static void
S_begin_wait (MrControlTask *task, MrTime now)
{
  task->defer_until = now + HOLD_MOST;
  task->restriction_call_failed = FALSE;
  for (int i = 0; i < WATCH_COUNT; i++)
    if (mr_control_is_restriction (i) && !S_knows (task, i))
      task->watches[i].due = MIN (task->watches[i].due, now);
}

void
mr_control_start_restriction_failed (MrControlTask *task, MrTime now, int index)
{
  task->restriction_call_failed = TRUE;
  if (task->deferred_offers->len > 0)
    task->watches[index].due = now + ASK_GAP;
}

void
mr_control_start_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  if (task->deferred_offers->len == 0)
    return;
  if (S_holds (task) && task->defer_until == 0 && S_has_rest (task))
    S_begin_wait (task, now);
  gboolean over = task->defer_until != 0 && now >= task->defer_until;
  if (S_holds (task) && !(over && task->restriction_call_failed))
    {
      if (task->defer_until != 0 && !over)
        *next = MIN (*next, task->defer_until);
      return;
    }
  if (S_holds (task))
    S_go_without (task);
  task->deferral_over = TRUE;
  for (guint i = 0; i < task->deferred_offers->len; i++)
    {
      const MrDeferredOffer *held = g_ptr_array_index (task->deferred_offers, i);
      mr_replication_offer (task->replication, held->kind, mr_text (held->name), held->version,
                            mr_text_of (held->body), NULL);
    }
  g_ptr_array_set_size (task->deferred_offers, 0);
}
