/* What a relay reads from the store at its start, while it holds no configuration.
 *
 * A relay that has routes and targets serves.  After a loss of all relays they were read
 * first and what is quarantined after them, so that for some 10 ms, and for as long as the
 * store took where it was slow, a request that ends its targets was sent to one target of
 * each shard at once (three of three in process_quarantine_starts; ten on a site of ten
 * shards, where three are the bound).  So all three are read together, and what was read is
 * offered, to this relay and to its peers, once the quarantines are there: whoever has a
 * configuration has had them before, by whatever way it came.
 *
 * A store that lists all but the quarantines holds a start up for HOLD_MOST.  One that falls
 * silent after it has listed the routes is not such a one: a relay without targets can't
 * serve, and where it gave up waiting then, nine calls of a quarantined request went out once
 * the store was back. */
#include "control_private.h"

#include "log.h"

/* From when all else is read: a store that answers at all answers within this, or the searches
 * of all are worth more than what one content may end. */
static const MrTime HOLD_MOST = 500 * MR_MS;
/* Between two calls for the quarantines while all else waits for them. */
static const MrTime ASK_GAP = 100 * MR_MS;

struct _MrHeldOffer
{
  MrObjectKind kind;
  char *name;
  guint64 version;
  GString *body;
};

static void
S_held_free (gpointer data)
{
  MrHeldOffer *held = data;
  g_free (held->name);
  g_string_free (held->body, TRUE);
  g_free (held);
}

void
mr_control_start_init (MrControlTask *task)
{
  task->held = g_ptr_array_new_with_free_func (S_held_free);
}

void
mr_control_start_clear (MrControlTask *task)
{
  g_ptr_array_unref (task->held);
}

static void
S_go_without (MrControlTask *task)
{
  if (task->hold_over)
    return;
  task->hold_over = TRUE;
  mr_log (MR_LOG_WARNING, MR_EVENT_QUARANTINES_UNKNOWN,
          "the store does not list what is quarantined; serving without");
}

/* A configuration comes from a peer, with all that the peer knew before it, or from here. */
static gboolean
S_holds (const MrControlTask *task)
{
  return !task->configuration && !task->hold_over && task->watches[WATCH_EVIDENCE].since == 0;
}

void
mr_control_start_offer (MrControlTask *task, MrObjectKind kind, const MrPlatformObject *object)
{
  if (!S_holds (task))
    {
      mr_spread_offer (task->spread, kind, mr_text (object->name), object->version,
                       mr_text_of (object->body), NULL);
      return;
    }
  MrHeldOffer *held = g_new (MrHeldOffer, 1);
  *held = (MrHeldOffer){
    .kind = kind,
    .name = g_strdup (object->name),
    .version = object->version,
    .body = g_string_new_len (object->body->str, (gssize) object->body->len),
  };
  g_ptr_array_add (task->held, held);
}

/* A daemon that has no routes to hold is not ready until then. */
gboolean
mr_control_start_knows (MrControlTask *task, MrTime now, gboolean rest)
{
  if (task->watches[WATCH_EVIDENCE].done)
    return TRUE;
  if (rest && task->hold_until == 0)
    task->hold_until = now + HOLD_MOST;
  if (!rest || now < task->hold_until)
    return FALSE;
  S_go_without (task);
  return TRUE;
}

static gboolean
S_has_rest (const MrControlTask *task)
{
  return task->watches[WATCH_CONFIGURATION].since > 0 && task->watches[WATCH_TARGETS].since > 0;
}

/* Where a call for the quarantines has failed before it is made again now, rather than when
 * its gap is over: the store answers. */
static void
S_begin_wait (MrControlTask *task, MrTime now)
{
  MrWatch *watch = &task->watches[WATCH_EVIDENCE];
  task->hold_until = now + HOLD_MOST;
  task->quarantines_refused = FALSE;
  watch->due = MIN (watch->due, now);
}

void
mr_control_start_refused (MrControlTask *task, MrTime now)
{
  task->quarantines_refused = TRUE;
  if (task->held->len > 0)
    task->watches[WATCH_EVIDENCE].due = now + ASK_GAP;
}

void
mr_control_start_tick (MrControlTask *task, MrTime now, MrTime *next)
{
  if (task->held->len == 0)
    return;
  if (S_holds (task) && task->hold_until == 0 && S_has_rest (task))
    S_begin_wait (task, now);
  gboolean over = task->hold_until != 0 && now >= task->hold_until;
  if (S_holds (task) && !(over && task->quarantines_refused))
    {
      if (task->hold_until != 0 && !over)
        *next = MIN (*next, task->hold_until);
      return;
    }
  if (S_holds (task))
    S_go_without (task);
  task->hold_over = TRUE;
  for (guint i = 0; i < task->held->len; i++)
    {
      const MrHeldOffer *held = g_ptr_array_index (task->held, i);
      mr_spread_offer (task->spread, held->kind, mr_text (held->name), held->version,
                       mr_text_of (held->body), NULL);
    }
  g_ptr_array_set_size (task->held, 0);
}
