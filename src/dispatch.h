/* The owner's side of a search: executes batches of shard calls and returns a partial answer for
 * each batch.
 *
 * This module admits batches, validates the answers of targets and merges them.  The scheduler that
 * is also used for relayed requests (relay.h) decides when each call is sent, and to which target.
 * A shard call waits in one queue that is shared by its replicas and goes to the first replica with
 * a free slot, so that no call waits behind a straggler while another replica is idle.  The queue
 * is ordered by arrival time plus a delay for each traffic class, which gives priority to urgent
 * calls without starving the others.  The code does no I/O: time is passed as an argument, and
 * calls are sent through a vtable.
 *
 * Measurements and rejected alternatives: docs/design/query-policy.md. */
#pragma once

#include "batch.h"
#include "call.h"
#include "quarantine.h"
#include "target.h"

/* Interval of the progress reports on an open batch.  Without them the root could not distinguish a
 * long queue from a dead owner. */
#define MR_PROGRESS_INTERVAL (10 * MR_MS)

typedef struct _MrDispatch MrDispatch;
typedef struct _MrDispatchHost MrDispatchHost;

/* A call to be sent.  The pointers are borrowed. */
typedef struct
{
  guint64 id; /* never reused within an incarnation */
  const MrTargetState *target;
  const MrBatch *batch;
  guint shard;
} MrShardCall;

/* Result of a call.  The pointers are borrowed; hits that are used are moved out of the array. */
typedef struct
{
  guint64 id; /* of the call that was sent on the connection of the answer */
  MrCallOutcome outcome;
  guint64 echoed_id; /* as stated in the answer; also the next two */
  MrText echoed_snapshot;
  MrText echoed_shard;
  MrHit *hits;
  guint hit_count;
  MrText order_reply;
} MrCallResult;

/* Vtable; first member of the structure that sends the calls. */
struct _MrDispatchHost
{
  void (*start_call) (MrDispatchHost *host, const MrShardCall *call);
  /* The answer is no longer needed; the host still reports the end of the call. */
  void (*cancel_call) (MrDispatchHost *host, guint64 id);
  /* Opens a new connection to test whether the target is alive; the result goes to
   * mr_dispatch_probe_end (). */
  void (*probe) (MrDispatchHost *host, const MrTargetState *target);
  /* Replaces the idle connections of @target. */
  void (*reconnect) (MrDispatchHost *host, const MrTargetState *target);
  /* Takes ownership of @partial.  Must not call the dispatcher. */
  void (*deliver_partial) (MrDispatchHost *host, MrPartial *partial);
  /* Shares new evidence of targets that crashed under the content @fingerprint with the other
   * daemons.  NULL if there are none. */
  void (*publish_evidence) (MrDispatchHost *host,
                            MrFingerprint fingerprint,
                            const MrEvidence *evidence);
};

typedef struct
{
  guint32 seed;
  guint64 content_key; /* key of content fingerprints */
  MrTime unix_offset;  /* Unix time minus the time that is passed to the functions below */
} MrDispatchInfo;

typedef struct
{
  guint64 calls;     /* sent to targets */
  guint64 hedges;    /* included in calls */
  guint64 retries;   /* included in calls */
  guint64 shed;      /* calls that a target rejected for overload */
  guint64 discarded; /* answers with a wrong call id, snapshot or shard */
  guint64 refused;   /* batches refused at admission */
  guint64 expired;   /* shard calls that missed their deadline */
  guint64 silent;    /* calls without an answer within the silence timeout */
  guint64 cancelled; /* calls whose answer was no longer needed */
} MrDispatchCounts;

MrDispatch *mr_dispatch_new (MrDispatchHost *host, const MrDispatchInfo *info);
void mr_dispatch_free (MrDispatch *dispatch);

/* Takes ownership of @batch.  Its partial is passed to deliver_partial (), possibly before this
 * function returns. */
void mr_dispatch_submit (MrDispatch *dispatch, MrTime now, MrBatch *batch);

/* Abandons a batch that its root no longer needs; no partial is delivered. */
void mr_dispatch_abandon_batch (MrDispatch *dispatch, MrTime now, guint64 batch_id);

/* Returns FALSE if the answer was discarded because it belongs to another call: requests and
 * answers on its connection are out of step. */
gboolean mr_dispatch_call_end (MrDispatch *dispatch, MrTime now, MrCallResult *result);
void mr_dispatch_probe_end (MrDispatch *dispatch, MrTime now, const char *key, bool answered);

/* Merges evidence from other daemons on the content @fingerprint; NULL removes all evidence. */
void mr_dispatch_merge_evidence (MrDispatch *dispatch,
                                 MrTime now,
                                 MrFingerprint fingerprint,
                                 const MrEvidence *evidence);

/* Sets whether the list of VMs or the shard map marks the target as leaving. */
void
mr_dispatch_set_target_leaving (MrDispatch *dispatch, MrTime now, const char *key, bool leaving);

/* Sets the failure domains whose targets get no new calls, as a set of strings. */
void mr_dispatch_set_evacuated (MrDispatch *dispatch, MrTime now, GHashTable *domains);

/* The process stops: open and later batches end by @at. */
void mr_dispatch_set_stop_time (MrDispatch *dispatch, MrTime at);

/* Runs all timers that are due.  Returns the time of the next call, or MR_NEVER. */
MrTime mr_dispatch_tick (MrDispatch *dispatch, MrTime now);

const MrDispatchCounts *mr_dispatch_counts (MrDispatch *dispatch);
guint mr_dispatch_batch_count (const MrDispatch *dispatch);
/* Number of shard maps that have a layout. */
guint mr_dispatch_map_count (const MrDispatch *dispatch);
void mr_dispatch_foreach_target (const MrDispatch *dispatch,
                                 void (*visit) (const MrTargetState *target, void *user),
                                 void *user);
