#include "query.h"

#include "dispatch.h"
#include "owner.h"
#include "safeguard.h"

enum
{
  CANDIDATES_MAX = 2, /* owners that are tried for a cell before this daemon */
  ATTEMPTS_MAX = CANDIDATES_MAX + 1,
};

/* Time before the deadline that is reserved for merging and sending the reply, as a share of the
 * query's total time, and its limits. */
static const double REPLY_RESERVE_SHARE = 0.05;
static const MrTime REPLY_RESERVE_MIN = 1 * MR_MS;
static const MrTime REPLY_RESERVE_MAX = 20 * MR_MS;
/* Time that is reserved for the partial of a remote owner to reach the root: at least a network
 * round trip, and a share of the total time, since a busy VM may schedule the daemon late.  A
 * partial that arrives after the root has answered loses the results of a whole cell. */
static const MrTime RETURN_RESERVE_MIN = 2 * MR_MS;
static const double RETURN_RESERVE_SHARE = 0.02;
/* An owner from which no message arrives for this share of the total time, within the limits, is
 * replaced by the next candidate. */
static const double OWNER_TIMEOUT_SHARE = 0.2;
static const MrTime OWNER_TIMEOUT_MIN = 10 * MR_MS;
static const MrTime OWNER_TIMEOUT_MAX = 200 * MR_MS;

typedef struct
{
  guint64 batch_id;
  char owner[MR_NAME_MAX + 1]; /* empty for this daemon */
  MrTime sent_at;
  gboolean open;
} Attempt;

/* The state of one cell of the map. */
typedef struct
{
  guint first; /* index of its first shard */
  guint count;
  guint candidate_count;
  MrMember candidates[CANDIDATES_MAX];
  guint attempt_count;
  Attempt attempts[ATTEMPTS_MAX];
  gboolean ended;
} Cell;

struct _MrQuery
{
  MrQueryHost *host;
  MrShardMap *map;
  MrTrafficClass traffic_class;
  GString *text;
  guint top_k;
  MrBatchPolicy policy;
  char self[MR_NAME_MAX + 1];
  MrTime finish_by; /* deadline minus the reply reserve */
  MrTime return_reserve;
  MrTime owner_timeout;
  MrMerge *merge;
  guint cell_count;
  Cell *cells;
  guint open_cells;
  gboolean ended;
  guint call_count;
  guint extra_calls;
  guint refused_partials;    /* partials that were refusals */
  gboolean deadline_refused; /* a partial was refused because the deadline had passed */
  gboolean may_have_run;     /* a call may have been sent to a target */
  gint64 retry_after_ms;
};

static MrTime
S_reply_reserve (MrTime span)
{
  MrTime reserve = (MrTime) (REPLY_RESERVE_SHARE * (double) span);
  return CLAMP (reserve, REPLY_RESERVE_MIN, REPLY_RESERVE_MAX);
}

static void
S_plan_cell (MrQuery *q, const MrQueryInfo *info, guint index)
{
  Cell *cell = &q->cells[index];
  guint cell_shards = (guint) info->document->cell_shards;
  cell->first = index * cell_shards;
  cell->count = MIN (cell_shards, q->map->shard_count - cell->first);
  if (info->document->direct)
    return; /* without candidates, this daemon executes the calls itself */
  const MrMember *ranked[64];
  guint owners = CLAMP ((guint) info->document->owners_per_cell, 1, 64 - CANDIDATES_MAX);
  guint found = mr_owner_rank (info->members, info->map, index, cell_shards, info->excluded_owners,
                               ranked, owners + CANDIDATES_MAX - 1);
  /* If a cell has several owners, a hash of the root's name selects one of them, so that the roots
   * spread over the owners without coordination. */
  guint offset = owners > 1 ? g_str_hash (info->self) % owners : 0;
  for (guint i = 0; i < MIN (found, (guint) CANDIDATES_MAX); i++)
    cell->candidates[i] = *ranked[(i + offset) % found];
  cell->candidate_count = MIN (found, (guint) CANDIDATES_MAX);
}

MrQuery *
mr_query_new (MrQueryHost *host, const MrQueryInfo *info, MrTime now)
{
  MrQuery *q = g_new0 (MrQuery, 1);
  MrTime span = info->deadline - now;
  q->host = host;
  q->map = mr_shard_map_ref (info->map);
  q->traffic_class = info->traffic_class;
  q->text = g_string_new_len (info->text.data, (gssize) info->text.len);
  q->top_k = info->top_k;
  q->policy = (MrBatchPolicy){
    .extra_call_ratio = info->document->extra_calls,
    .hedge_quantile = info->document->hedge_quantile,
    .target_limit = (guint) info->document->target_limit,
    .owner_count = info->document->direct ? 1 : (guint) info->document->owners_per_cell,
  };
  g_strlcpy (q->self, info->self, sizeof q->self);
  q->finish_by = info->deadline - S_reply_reserve (span);
  q->return_reserve = MAX (RETURN_RESERVE_MIN, (MrTime) (RETURN_RESERVE_SHARE * (double) span));
  MrTime owner_timeout = (MrTime) (OWNER_TIMEOUT_SHARE * (double) span);
  q->owner_timeout = CLAMP (owner_timeout, OWNER_TIMEOUT_MIN, OWNER_TIMEOUT_MAX);
  q->merge = mr_merge_new (q->map, q->top_k);
  q->cell_count = mr_shard_map_cell_count (q->map, (guint) info->document->cell_shards);
  q->cells = g_new0 (Cell, q->cell_count);
  q->open_cells = q->cell_count;
  for (guint i = 0; i < q->cell_count; i++)
    S_plan_cell (q, info, i);
  return q;
}

void
mr_query_free (MrQuery *q)
{
  if (!q)
    return;
  mr_merge_free (q->merge);
  mr_shard_map_unref (q->map);
  g_string_free (q->text, TRUE);
  g_free (q->cells);
  g_free (q);
}

static MrBatch *
S_make_batch (MrQuery *q, const Cell *cell, gboolean remote)
{
  guint count = 0;
  MrBatch *batch = mr_batch_new (q->host->next_batch_id (q->host), q->map, cell->count);
  for (guint i = 0; i < cell->count; i++)
    if (!mr_merge_covers (q->merge, cell->first + i))
      batch->shards[count++] = cell->first + i;
  batch->shard_count = count;
  batch->traffic_class = q->traffic_class;
  batch->top_k = q->top_k;
  batch->policy = q->policy;
  batch->deadline = remote ? q->finish_by - q->return_reserve : q->finish_by;
  g_string_append_len (batch->payload, q->text->str, (gssize) q->text->len);
  return batch;
}

/* Sends the missing shards of @cell to its next candidate, or to this daemon if no candidate is
 * left. */
static void
S_send_cell (MrQuery *q, MrTime now, Cell *cell)
{
  const MrMember *owner = NULL;
  if (cell->attempt_count < cell->candidate_count)
    owner = &cell->candidates[cell->attempt_count];
  if (owner && g_str_equal (owner->name, q->self))
    owner = NULL;
  Attempt *attempt = &cell->attempts[cell->attempt_count++];
  MrBatch *batch = S_make_batch (q, cell, owner != NULL);
  *attempt = (Attempt){ .batch_id = batch->id, .sent_at = now, .open = TRUE };
  if (owner)
    g_strlcpy (attempt->owner, owner->name, sizeof attempt->owner);
  q->host->send_batch (q->host, q, owner, batch);
}

/* Returns TRUE if another candidate or this daemon has not been tried yet. */
static gboolean
S_has_untried_owner (const MrQuery *q, const Cell *cell)
{
  if (cell->attempt_count == 0 || cell->attempt_count > cell->candidate_count)
    return FALSE;
  for (guint i = 0; i < cell->attempt_count; i++)
    if (cell->attempts[i].owner[0] == '\0')
      return FALSE; /* this daemon is always the last attempt */
  (void) q;
  return TRUE;
}

void
mr_query_start (MrQuery *q, MrTime now)
{
  for (guint i = 0; i < q->cell_count; i++)
    S_send_cell (q, now, &q->cells[i]);
}

static void
S_end_cell (MrQuery *q, Cell *cell)
{
  if (cell->ended)
    return;
  cell->ended = TRUE;
  if (--q->open_cells == 0)
    q->ended = TRUE;
}

static gboolean
S_cell_is_covered (const MrQuery *q, const Cell *cell)
{
  for (guint i = 0; i < cell->count; i++)
    if (!mr_merge_covers (q->merge, cell->first + i))
      return FALSE;
  return TRUE;
}

static gboolean
S_cell_has_open_attempt (const Cell *cell)
{
  for (guint i = 0; i < cell->attempt_count; i++)
    if (cell->attempts[i].open)
      return TRUE;
  return FALSE;
}

static Attempt *
S_find_attempt (MrQuery *q, guint64 batch_id, Cell **cell)
{
  for (guint i = 0; i < q->cell_count; i++)
    for (guint a = 0; a < q->cells[i].attempt_count; a++)
      if (q->cells[i].attempts[a].batch_id == batch_id)
        {
          *cell = &q->cells[i];
          return &q->cells[i].attempts[a];
        }
  return NULL;
}

static void
S_count_partial (MrQuery *q, const MrPartial *partial)
{
  q->call_count += partial->call_count;
  q->extra_calls += partial->extra_calls;
  q->may_have_run = q->may_have_run || partial->call_count > 0;
  if (partial->kind != MR_PARTIAL_REFUSED && partial->kind != MR_PARTIAL_DEADLINE)
    return;
  q->refused_partials++;
  q->deadline_refused = q->deadline_refused || partial->kind == MR_PARTIAL_DEADLINE;
  q->retry_after_ms = MAX (q->retry_after_ms, partial->retry_after_ms);
}

void
mr_query_add_partial (MrQuery *q, MrTime now, MrPartial *partial)
{
  Cell *cell = NULL;
  Attempt *attempt = S_find_attempt (q, partial->batch_id, &cell);
  if (!attempt || !attempt->open || q->ended || partial->kind == MR_PARTIAL_IN_PROGRESS)
    {
      mr_partial_free (partial);
      return;
    }
  attempt->open = FALSE;
  S_count_partial (q, partial);
  gboolean no_map = partial->kind == MR_PARTIAL_NO_MAP;
  mr_merge_add_partial (q->merge, partial);
  mr_partial_free (partial);
  gboolean covered = S_cell_is_covered (q, cell);
  if (!covered && no_map && S_has_untried_owner (q, cell))
    S_send_cell (q, now, cell);
  else if (covered || !S_cell_has_open_attempt (cell))
    S_end_cell (q, cell);
}

/* Sends the cell to another owner if nothing has been received from the current one for the owner
 * timeout.  A dead or disconnected owner never answers; waiting for it until the deadline would
 * lose the whole cell.  Any message that has arrived since the batch was sent proves that the owner
 * is alive, so that the work of a busy owner is not repeated elsewhere. */
static void
S_check_owner (MrQuery *q, MrTime now, Cell *cell, MrTime *next)
{
  Attempt *last = &cell->attempts[cell->attempt_count - 1];
  if (!last->open || last->owner[0] == '\0' || !S_has_untried_owner (q, cell))
    return;
  MrTime last_heard = q->host->last_heard (q->host, last->owner);
  MrTime since = MAX (last_heard, last->sent_at);
  if (now < since + q->owner_timeout)
    {
      *next = MIN (*next, since + q->owner_timeout);
      return;
    }
  q->host->owner_silent (q->host, last->owner);
  q->may_have_run = TRUE;
  S_send_cell (q, now, cell);
}

MrTime
mr_query_tick (MrQuery *q, MrTime now)
{
  if (q->ended)
    return MR_NEVER;
  if (now >= q->finish_by)
    {
      q->ended = TRUE;
      return MR_NEVER;
    }
  MrTime next = q->finish_by;
  for (guint i = 0; i < q->cell_count; i++)
    if (!q->cells[i].ended)
      S_check_owner (q, now, &q->cells[i], &next);
  return next;
}

void
mr_query_end_by (MrQuery *q, MrTime at)
{
  q->finish_by = MIN (q->finish_by, at);
}

gboolean
mr_query_ended (const MrQuery *q)
{
  return q->ended;
}

/* A search counts as not run only if at least one batch was refused and no call can have been sent
 * for any batch.  An owner that has not answered may already have sent calls to its targets. */
static gboolean
S_is_not_run (const MrQuery *q)
{
  if (q->may_have_run && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    return FALSE;
  for (guint i = 0; i < q->cell_count && MR_SAFEGUARD (MR_GUARD_NOT_RUN); i++)
    if (S_cell_has_open_attempt (&q->cells[i]))
      return FALSE;
  return q->refused_partials > 0 && mr_merge_covered_count (q->merge) == 0;
}

MrQueryAnswer
mr_query_answer (const MrQuery *q)
{
  MrQueryAnswer answer = {
    .retry_after_ms = q->retry_after_ms,
    .covered_weight = mr_merge_covered_weight (q->merge),
    .total_weight = q->map->total_weight,
    .covered_shard_count = mr_merge_covered_count (q->merge),
    .call_count = q->call_count,
    .extra_calls = q->extra_calls,
  };
  /* Coverage counts the shards that were read.  If it counted the shards that were queried, an
   * answer with unresponsive shards would present a partial result as complete. */
  if (!MR_SAFEGUARD (MR_GUARD_COVERAGE))
    answer.covered_weight = answer.total_weight;
  if (S_is_not_run (q))
    answer.result = q->deadline_refused ? MR_RESULT_DEADLINE : MR_RESULT_OVERLOADED;
  else if (answer.covered_weight == answer.total_weight)
    answer.result = MR_RESULT_COMPLETE;
  else
    answer.result = MR_RESULT_PARTIAL;
  return answer;
}

const MrMerge *
mr_query_merge (const MrQuery *q)
{
  return q->merge;
}

const MrShardMap *
mr_query_map (const MrQuery *q)
{
  return q->map;
}

void
mr_query_foreach_open_batch (const MrQuery *q,
                             void (*visit) (guint64 batch, const char *owner, void *user),
                             void *user)
{
  for (guint i = 0; i < q->cell_count; i++)
    for (guint a = 0; a < q->cells[i].attempt_count; a++)
      if (q->cells[i].attempts[a].open)
        visit (q->cells[i].attempts[a].batch_id, q->cells[i].attempts[a].owner, user);
}
