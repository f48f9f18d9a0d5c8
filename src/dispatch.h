/* Owner's side of a search: batches of shard calls, one partial answer each.
 *
 * Admission, echoes and merging are here; which call goes to which target, and
 * when, is decided by the engine that relayed requests use as well (relay.h).  A
 * shard call waits in one queue for all its replicas and goes to the first that
 * has a free slot, so no call waits behind a straggler while another replica
 * idles.  Classes are served by arrival time plus a lag for each class, which
 * orders them and ages them at once.  Pure decisions: time comes as an argument,
 * calls go out through a vtable.
 *
 * What is measured and what was ruled out: docs/design/query-policy.md. */
#pragma once

#include "batch.h"
#include "call.h"
#include "quarantine.h"
#include "target.h"

/* While a batch is open its root hears of it this often; without a word a root
 * could not tell a long queue from a dead owner. */
#define MR_WORKING_GAP (10 * MR_MS)

typedef struct _MrDispatch MrDispatch;
typedef struct _MrDispatchHost MrDispatchHost;

/* A call to be sent. Borrowed. */
typedef struct
{
  guint64 id; /* never reused within an incarnation */
  const MrTargetState *target;
  const MrBatch *batch;
  guint shard;
} MrShardCall;

/* How a call ended. Borrowed; hits are moved out if they are used. */
typedef struct
{
  guint64 id; /* of the call on whose connection the answer came */
  MrCallOutcome outcome;
  guint64 echoed_id; /* what the answer says of itself */
  MrText echoed_snapshot;
  MrText echoed_shard;
  MrHit *hits;
  guint hit_count;
  MrText order_reply;
} MrCallResult;

/* Vtable; first member of whoever carries out the calls. */
struct _MrDispatchHost
{
  void (*start_call) (MrDispatchHost *host, const MrShardCall *call);
  /* The call is not needed; its end is still to be reported. */
  void (*cancel_call) (MrDispatchHost *host, guint64 id);
  /* Probe on a new connection; result to mr_dispatch_probe_end (). */
  void (*probe) (MrDispatchHost *host, const MrTargetState *target);
  /* Replace the idle connections of @target. */
  void (*reconnect) (MrDispatchHost *host, const MrTargetState *target);
  /* Takes @partial; must not call back into the dispatcher. */
  void (*deliver_partial) (MrDispatchHost *host, MrPartial *partial);
  /* More is known of targets that ended under a content: for all other daemons.  NULL:
   * there are none. */
  void (*publish_evidence) (MrDispatchHost *host,
                            MrFingerprint content,
                            const MrEvidence *evidence);
};

typedef struct
{
  guint32 seed;
  guint64 content_key; /* of fingerprints */
  MrTime unix_offset;  /* of the clock that it is told, to that of Unix */
} MrDispatchInfo;

typedef struct
{
  guint64 calls;   /* started */
  guint64 hedges;  /* of these */
  guint64 retries; /* of these */
  guint64 shed;
  guint64 discarded; /* answers with another id, snapshot or shard */
  guint64 refused;   /* batches */
  guint64 expired;   /* shard calls given up for their deadline */
  guint64 silent;    /* calls unanswered past their limit */
  guint64 cancelled;
} MrDispatchCounts;

MrDispatch *mr_dispatch_new (MrDispatchHost *host, const MrDispatchInfo *info);
void mr_dispatch_free (MrDispatch *dispatch);

/* Takes @batch; its partial comes through done (), perhaps at once. */
void mr_dispatch_submit (MrDispatch *dispatch, MrTime now, MrBatch *batch);

/* The root no longer wants @batch_id; no partial is given. */
void mr_dispatch_abandon_batch (MrDispatch *dispatch, MrTime now, guint64 batch_id);

/* FALSE if the answer was discarded: its connection is out of step. */
gboolean mr_dispatch_call_end (MrDispatch *dispatch, MrTime now, MrCallResult *end);
void mr_dispatch_probe_end (MrDispatch *dispatch, MrTime now, const char *key, bool answered);

/* What others know of @content; NULL: it is to be forgotten. */
void mr_dispatch_merge_evidence (MrDispatch *dispatch,
                                 MrTime now,
                                 MrFingerprint content,
                                 const MrEvidence *evidence);

/* News from the list of VMs or the shard map. */
void
mr_dispatch_set_target_leaving (MrDispatch *dispatch, MrTime now, const char *key, bool leaving);

/* Failure domains whose targets get no new work, as a set of texts. */
void mr_dispatch_set_evacuated (MrDispatch *dispatch, MrTime now, GHashTable *domains);

/* Carries out what is due; returns when to come back, or MR_NEVER. */
MrTime mr_dispatch_tick (MrDispatch *dispatch, MrTime now);

const MrDispatchCounts *mr_dispatch_counts (MrDispatch *dispatch);
guint mr_dispatch_batch_count (const MrDispatch *dispatch);
/* Maps whose targets are laid out in sets. */
guint mr_dispatch_map_count (const MrDispatch *dispatch);
void mr_dispatch_foreach_target (const MrDispatch *dispatch,
                                 void (*visit) (const MrTargetState *target, void *user),
                                 void *user);
