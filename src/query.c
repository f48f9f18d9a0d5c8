#include "query.h"

#include "dispatch.h"
#include "owner.h"
#include "safeguard.h"

enum
{
  CANDIDATES = 2, /* owners tried for a cell before this daemon itself */
  ATTEMPTS = CANDIDATES + 1,
};

/* Kept back from the deadline for merging and the reply. */
static const double RESERVE_SHARE = 0.05;
static const MrTime RESERVE_MIN = 1 * MR_MS;
static const MrTime RESERVE_MAX = 20 * MR_MS;
/* Kept back from an owner's time for its partial's way back: at least the round
 * trip, and a share of the time for daemons that get the processor late; a partial
 * that misses the root's end is a whole cell lost. */
static const MrTime HOP_MIN = 2 * MR_MS;
static const double HOP_SHARE = 0.02;
/* An owner that says nothing at all for this share of the time is passed over.
 */
static const double PATIENCE_SHARE = 0.2;
static const MrTime PATIENCE_MIN = 10 * MR_MS;
static const MrTime PATIENCE_MAX = 200 * MR_MS;

typedef struct
{
  guint64 batch_id;
  char owner[MR_NAME_MAX + 1]; /* empty: this daemon */
  MrTime sent_at;
  gboolean open;
} Attempt;

/* One cell. */
typedef struct
{
  guint first; /* shard */
  guint count;
  guint candidate_count;
  MrMember candidates[CANDIDATES];
  guint attempt_count;
  Attempt attempts[ATTEMPTS];
  gboolean ended;
} Part;

struct _MrQuery
{
  MrQueryHost *host;
  MrShardMap *map;
  MrTrafficClass traffic_class;
  GString *text;
  guint top_k;
  MrBatchPolicy policy;
  char self[MR_NAME_MAX + 1];
  MrTime finish_by; /* deadline less the reserve */
  MrTime hop;
  MrTime patience;
  MrMerge *merge;
  guint part_count;
  Part *parts;
  guint open_parts;
  gboolean ended;
  guint calls;
  guint extra;
  guint refused;    /* partials that were refusals */
  gboolean late;    /* of these, for the deadline */
  gboolean may_ran; /* a target may have been asked */
  gint64 retry_after_ms;
};

static MrTime
S_reserve (MrTime span)
{
  MrTime reserve = (MrTime) (RESERVE_SHARE * (double) span);
  return CLAMP (reserve, RESERVE_MIN, RESERVE_MAX);
}

static void
S_plan_part (MrQuery *q, const MrQueryInfo *info, guint cell)
{
  Part *part = &q->parts[cell];
  guint cell_shards = (guint) info->document->cell_shards;
  part->first = cell * cell_shards;
  part->count = MIN (cell_shards, q->map->shard_count - part->first);
  if (info->document->direct)
    return; /* no candidates: this daemon itself */
  const MrMember *ranked[64];
  guint owners = CLAMP ((guint) info->document->owners_per_cell, 1, 64 - CANDIDATES);
  guint found = mr_owner_rank (info->members, info->map, cell, cell_shards, info->excluded_owners,
                               ranked, owners + CANDIDATES - 1);
  /* Of several owners a root uses its own rank among them, so that roots
   * spread over the owners without asking each other. */
  guint shift = owners > 1 ? g_str_hash (info->self) % owners : 0;
  for (guint i = 0; i < MIN (found, (guint) CANDIDATES); i++)
    part->candidates[i] = *ranked[(i + shift) % found];
  part->candidate_count = MIN (found, (guint) CANDIDATES);
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
  q->finish_by = info->deadline - S_reserve (span);
  q->hop = MAX (HOP_MIN, (MrTime) (HOP_SHARE * (double) span));
  MrTime patience = (MrTime) (PATIENCE_SHARE * (double) span);
  q->patience = CLAMP (patience, PATIENCE_MIN, PATIENCE_MAX);
  q->merge = mr_merge_new (q->map, q->top_k);
  q->part_count = mr_shard_map_cell_count (q->map, (guint) info->document->cell_shards);
  q->parts = g_new0 (Part, q->part_count);
  q->open_parts = q->part_count;
  for (guint i = 0; i < q->part_count; i++)
    S_plan_part (q, info, i);
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
  g_free (q->parts);
  g_free (q);
}

static MrBatch *
S_make_batch (MrQuery *q, const Part *part, gboolean remote)
{
  guint count = 0;
  MrBatch *batch = mr_batch_new (q->host->next_batch_id (q->host), q->map, part->count);
  for (guint i = 0; i < part->count; i++)
    if (!mr_merge_covers (q->merge, part->first + i))
      batch->shards[count++] = part->first + i;
  batch->shard_count = count;
  batch->traffic_class = q->traffic_class;
  batch->top_k = q->top_k;
  batch->policy = q->policy;
  batch->deadline = remote ? q->finish_by - q->hop : q->finish_by;
  g_string_append_len (batch->payload, q->text->str, (gssize) q->text->len);
  return batch;
}

/* Sends the part's missing shards to its next candidate, at last to this daemon
 * itself. */
static void
S_send_part (MrQuery *q, MrTime now, Part *part)
{
  const MrMember *owner = NULL;
  if (part->attempt_count < part->candidate_count)
    owner = &part->candidates[part->attempt_count];
  if (owner && g_str_equal (owner->name, q->self))
    owner = NULL;
  Attempt *attempt = &part->attempts[part->attempt_count++];
  MrBatch *batch = S_make_batch (q, part, owner != NULL);
  *attempt = (Attempt){ .batch_id = batch->id, .sent_at = now, .open = TRUE };
  if (owner)
    g_strlcpy (attempt->owner, owner->name, sizeof attempt->owner);
  q->host->send_batch (q->host, q, owner, batch);
}

/* TRUE if another candidate, or this daemon itself, has not been tried. */
static gboolean
S_can_retry (const MrQuery *q, const Part *part)
{
  if (part->attempt_count == 0 || part->attempt_count > part->candidate_count)
    return FALSE;
  for (guint i = 0; i < part->attempt_count; i++)
    if (part->attempts[i].owner[0] == '\0')
      return FALSE; /* this daemon was the last resort */
  (void) q;
  return TRUE;
}

void
mr_query_start (MrQuery *q, MrTime now)
{
  for (guint i = 0; i < q->part_count; i++)
    S_send_part (q, now, &q->parts[i]);
}

static void
S_end_part (MrQuery *q, Part *part)
{
  if (part->ended)
    return;
  part->ended = TRUE;
  if (--q->open_parts == 0)
    q->ended = TRUE;
}

static gboolean
S_part_covered (const MrQuery *q, const Part *part)
{
  for (guint i = 0; i < part->count; i++)
    if (!mr_merge_covers (q->merge, part->first + i))
      return FALSE;
  return TRUE;
}

static gboolean
S_part_waits (const Part *part)
{
  for (guint i = 0; i < part->attempt_count; i++)
    if (part->attempts[i].open)
      return TRUE;
  return FALSE;
}

static Attempt *
S_find_attempt (MrQuery *q, guint64 batch_id, Part **part)
{
  for (guint i = 0; i < q->part_count; i++)
    for (guint a = 0; a < q->parts[i].attempt_count; a++)
      if (q->parts[i].attempts[a].batch_id == batch_id)
        {
          *part = &q->parts[i];
          return &q->parts[i].attempts[a];
        }
  return NULL;
}

static void
S_note_partial (MrQuery *q, const MrPartial *partial)
{
  q->calls += partial->call_count;
  q->extra += partial->extra_calls;
  q->may_ran = q->may_ran || partial->call_count > 0;
  if (partial->kind != MR_PARTIAL_REFUSED && partial->kind != MR_PARTIAL_DEADLINE)
    return;
  q->refused++;
  q->late = q->late || partial->kind == MR_PARTIAL_DEADLINE;
  q->retry_after_ms = MAX (q->retry_after_ms, partial->retry_after_ms);
}

void
mr_query_add_partial (MrQuery *q, MrTime now, MrPartial *partial)
{
  Part *part = NULL;
  Attempt *attempt = S_find_attempt (q, partial->batch_id, &part);
  if (!attempt || !attempt->open || q->ended || partial->kind == MR_PARTIAL_IN_PROGRESS)
    {
      mr_partial_free (partial);
      return;
    }
  attempt->open = FALSE;
  S_note_partial (q, partial);
  gboolean no_map = partial->kind == MR_PARTIAL_NO_MAP;
  mr_merge_add_partial (q->merge, partial);
  mr_partial_free (partial);
  gboolean covered = S_part_covered (q, part);
  if (!covered && no_map && S_can_retry (q, part))
    S_send_part (q, now, part);
  else if (covered || !S_part_waits (part))
    S_end_part (q, part);
}

/* An owner that died or was cut off answers nothing; waiting for it until the
 * deadline would cost its whole cell.  Any word from it since the batch was
 * sent shows that it lives, so a busy owner is not doubled. */
static void
S_check_part (MrQuery *q, MrTime now, Part *part, MrTime *next)
{
  Attempt *last = &part->attempts[part->attempt_count - 1];
  if (!last->open || last->owner[0] == '\0' || !S_can_retry (q, part))
    return;
  MrTime heard = q->host->last_heard (q->host, last->owner);
  MrTime since = MAX (heard, last->sent_at);
  if (now < since + q->patience)
    {
      *next = MIN (*next, since + q->patience);
      return;
    }
  q->host->owner_silent (q->host, last->owner);
  q->may_ran = TRUE;
  S_send_part (q, now, part);
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
  for (guint i = 0; i < q->part_count; i++)
    if (!q->parts[i].ended)
      S_check_part (q, now, &q->parts[i], &next);
  return next;
}

gboolean
mr_query_ended (const MrQuery *q)
{
  return q->ended;
}

/* "Not run" only if every part was refused before anything was sent: an owner
 * that has not answered may have asked its targets already. */
static gboolean
S_not_run (const MrQuery *q)
{
  if (q->may_ran && MR_SAFEGUARD (MR_GUARD_NOT_RUN))
    return FALSE;
  for (guint i = 0; i < q->part_count && MR_SAFEGUARD (MR_GUARD_NOT_RUN); i++)
    if (S_part_waits (&q->parts[i]))
      return FALSE;
  return q->refused > 0 && mr_merge_covered_count (q->merge) == 0;
}

MrQueryAnswer
mr_query_answer (const MrQuery *q)
{
  MrQueryAnswer answer = {
    .retry_after_ms = q->retry_after_ms,
    .covered_weight = mr_merge_covered_weight (q->merge),
    .total_weight = q->map->total_weight,
    .covered_shard_count = mr_merge_covered_count (q->merge),
    .call_count = q->calls,
    .extra_calls = q->extra,
  };
  /* Coverage says what was read: an answer that counted what was asked would
   * present a partial catalogue as whole when shards stay silent. */
  if (!MR_SAFEGUARD (MR_GUARD_COVERAGE))
    answer.covered_weight = answer.total_weight;
  if (S_not_run (q))
    answer.result = q->late ? MR_RESULT_DEADLINE : MR_RESULT_OVERLOADED;
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
  for (guint i = 0; i < q->part_count; i++)
    for (guint a = 0; a < q->parts[i].attempt_count; a++)
      if (q->parts[i].attempts[a].open)
        visit (q->parts[i].attempts[a].batch_id, q->parts[i].attempts[a].owner, user);
}
