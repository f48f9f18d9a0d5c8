/* Decisions on requests: which target gets what and when, what is sent a second
 * time, what is answered to the caller.
 *
 * A request goes to one target of a service, or to one target of each shard,
 * whose answers are merged.  Two kinds of hosts use this: the relay's task, for
 * requests of callers, and dispatch.c, for batches of shard calls from the root
 * of a query.  They differ in an MrRelayPolicy.  Pure decisions: time comes as an
 * argument, calls go out through a vtable, and an answer is an opaque pointer of
 * the host's.
 *
 *   tcp_proxy.c          pools, sets, names
 *   relay_finish.c      ends of calls, verdicts
 *   relay_admit.c    admission, splits, who is turned away
 *   relay_choice.c   choice of a target
 *   relay_send.c    queues, starts, hedges, retries
 *   relay_load.c     how loaded targets are, parts left out for it
 *   relay_timers.c     what is due: hedges, soft and hard ends, silence
 *   relay_targets.c  what is known of targets
 *   relay_evacuation.c  failure domains whose targets get no new work
 *   relay_crash_check.c    targets that end while requests run there
 *   relay_quarantine.c    what that says of requests, and what becomes of them
 *   relay_trial.c    requests that go to one target at a time
 *
 * What is measured and what was ruled out: docs/design/platform.md. */
#pragma once

#include "call.h"
#include "configuration.h"
#include "quarantine.h"
#include "resend_budget.h"
#include "target.h"

typedef struct _MrRelay MrRelay;
typedef struct _MrRelayHost MrRelayHost;
typedef struct _MrActiveRequest MrActiveRequest;

/* A call to be sent.  Borrowed. */
typedef struct
{
  guint64 id; /* never reused within an incarnation */
  const MrTargetState *target;
  gpointer host_request; /* as submitted; NULL once nobody wants the answer */
  guint part_index;      /* of the request */
  MrTime deadline;       /* of the caller */
  gboolean idempotent;   /* may go out on a connection that could just be closing */
} MrRelayCall;

typedef enum
{
  MR_VERDICT_ANSWER,  /* answers[0] is a target's answer */
  MR_VERDICT_MERGE,   /* answers hold enough shards; missing ones are NULL */
  MR_VERDICT_REFUSED, /* has not run and never will */
  MR_VERDICT_FAILED,  /* may have run */
  MR_VERDICT_TIMEOUT, /* may have run; the time limit has passed */
} MrVerdict;

typedef enum
{
  MR_CAUSE_NONE,
  MR_CAUSE_NO_TARGET,   /* every target of a service is down, leaving or unknown */
  MR_CAUSE_EVACUATED,   /* every target that would be left is in an evacuated failure domain */
  MR_CAUSE_OVERLOAD,    /* the wait would outlast the caller's use for an answer */
  MR_CAUSE_ATTEMPTS,    /* every target that may be tried was */
  MR_CAUSE_BUDGET,      /* another send would go over the bound on extra load */
  MR_CAUSE_BROKEN,      /* the target broke off and the request may not be repeated */
  MR_CAUSE_FEW_SHARDS,  /* too few shards can still answer */
  MR_CAUSE_TIME,        /* the deadline or the route's time limit has passed */
  MR_CAUSE_SOFT_END,    /* answered without the missing shards, to be in time */
  MR_CAUSE_QUARANTINED, /* its content has ended targets, time and again */
  MR_CAUSE_SUSPECT,     /* targets have ended under it; another daemon is to try it */
} MrCause;

const char *mr_cause_name (MrCause cause);
const char *mr_verdict_name (MrVerdict verdict);

/* Why a call was sent. */
typedef enum
{
  MR_SEND_FIRST,
  MR_SEND_HEDGE, /* the first is slow */
  MR_SEND_RETRY, /* the one before has ended without an answer */
} MrSendReason;

const char *mr_send_reason_name (MrSendReason reason);

/* One call of a request, for its log line. */
typedef struct
{
  char target[MR_NAME_MAX + 1];
  guint part_index;
  MrSendReason reason;
  MrTime sent_after; /* since the request arrived */
  MrTime duration;
  MrCallOutcome outcome;
  gboolean finished;
  MrTime last_response_age; /* how long ago the target had answered anything, at the send */
} MrSendRecord;

typedef struct
{
  MrVerdict verdict;
  MrCause cause;
  MrTime retry_after; /* of a refusal */
  guint part_count;
  gpointer *answers;    /* borrowed */
  guint missing_parts;  /* parts without an answer */
  MrTime soft_deadline; /* when the answer was to go out without them; 0: at no set time */
  gboolean may_have_run;
  const GArray *sends;  /* MrSendNote */
  MrTime expected_wait; /* that caused a refusal for load */
} MrRelayResult;

/* Vtable; first member of the task that carries calls out. */
struct _MrRelayHost
{
  void (*send_call) (MrRelayHost *host, const MrRelayCall *call);
  /* Nobody wants the call's answer any more; its end is still to be reported.
   * NULL: nothing is done about it. */
  void (*call_abandoned) (MrRelayHost *host, guint64 id);
  /* The call has lingered for long enough: close its connection.  Its end is not
   * reported.  NULL if calls linger until the host reports their end. */
  void (*close_call) (MrRelayHost *host, guint64 id);
  /* Takes the call back if nothing of it has been sent; its end is not reported then.  FALSE
   * if it stays out.  NULL: calls are never taken back. */
  gboolean (*withdraw_call) (MrRelayHost *host, guint64 id);
  /* FALSE while @target is known not to hold what @request asks for; NULL: all
   * targets of a set hold the same. */
  gboolean (*can_serve) (MrRelayHost *host,
                         gpointer request,
                         const MrTargetState *target,
                         MrTime now);
  /* Connect once to see whether it lives; mr_relay_probe_end () tells. */
  void (*probe) (MrRelayHost *host, const MrTargetState *target);
  /* Replace the idle connections of @target; if it is gone, for good, with what is
   * still being tried of it. */
  void (*reconnect) (MrRelayHost *host, const MrTargetState *target);
  /* More is known of targets that ended under @fingerprint: for all other daemons.
   * NULL: there are none. */
  void (*publish_evidence) (MrRelayHost *host,
                            MrFingerprint fingerprint,
                            const MrEvidence *evidence);
  /* TRUE if this daemon is the one that may try a content where each trial may be one too
   * many; NULL: it is. */
  gboolean (*may_try_content) (MrRelayHost *host, MrFingerprint fingerprint);
  /* The one verdict on a request; must not submit another from within. */
  void (*request_done) (MrRelayHost *host, gpointer request, const MrRelayResult *result);
  void (*free_answer) (gpointer answer);
};

/* Waiting jobs are counted by rank up to this one; lower ranks with it. */
enum
{
  MR_PRIORITIES = 4,
};

/* What differs between hosts. */
typedef struct
{
  /* Of the calls of one kind of request, this share is left alone: slower ones
   * are worth a hedge.  It can be set for each pool. */
  double hedge_quantile;
  double initial_hedge_fraction; /* of the aim, before enough is measured */
  MrTime min_hedge_delay;
  double hedge_budget_share;    /* of the budget that hedges may use */
  double initial_mean_fraction; /* of the aim, before anything is measured */
  /* Median time of a kind's calls over the least of late, from which targets count
   * as loaded: then a hedge goes only to one that has half of
   * its calls free.  0: never, since a free slot here is one at the target. */
  double loaded_ratio;
  /* A call is doubted after this many times the mean, within bounds. */
  double silence_timeout_factor;
  MrTime silence_timeout_min;
  MrTime silence_timeout_max;
  /* How long a call that nobody wants may run out; MR_NEVER: until the host
   * reports its end. */
  MrTime linger;
  /* A rank waits as if it had come this much later, so that none starves; NULL:
   * lower ranks wait for all higher ones. */
  const MrTime *rank_lag;
  /* Cost of a target in another failure domain, against 1 in ours. */
  double cross_domain_cost;
  /* Times that a target may be asked for the same call if it refuses.  Once where
   * targets refuse only what is over their queue: it would be over it again. */
  guint max_sends_per_target;
  /* Targets are told apart by address, not by id: an id names a replica, which
   * may move to another process. */
  gboolean key_by_address;
} MrRelayPolicy;

/* Of requests that callers send to be relayed. */
extern const MrRelayPolicy mr_relay_policy;

/* What a cold target bears from all daemons in any second: @factor times its rate and
 * @slack. */
typedef struct
{
  double rate_factor;
  double slack;
} MrColdRateLimit;

typedef struct
{
  const char *domain;  /* failure domain of this VM, NULL: all are near; borrowed */
  GHashTable *regions; /* failure domain -> region; NULL: none known; borrowed */
  const MrRelayPolicy *policy;
  MrResendBudgetConfig budget;
  MrColdRateLimit cold_limit;
  guint32 seed;
  MrTime unix_offset; /* of the clock that the relay is told, to that of Unix */
} MrRelayOptions;

typedef struct
{
  guint64 requests;
  guint64 calls;
  guint64 hedges;
  guint64 retries;
  guint64 over_budget; /* hedges and retries that the budget forbade */
  guint64 left_out;    /* parts, for load */
  guint64 partial;
  guint64 refused;
  guint64 failed;
  guint64 timeouts;
  guint64 silent;
  guint64 expired;         /* waiting parts given up, too late to be served */
  guint64 targets_crashed; /* targets that ended while calls from here ran there */
  guint64 staged;          /* searches sent to one shard first */
  guint64 crashes_excused; /* ends, or news of them, under a content that was answered lately */
  guint64 trials;          /* sends of suspect contents to one target, before any other */
  guint64 withdrawn;       /* calls taken back before they were sent, their domain evacuated */
  guint64 quarantined;     /* requests refused or given up since their content is quarantined */
} MrRelayCounts;

MrRelay *mr_relay_new (MrRelayHost *host, const MrRelayOptions *info);
void mr_relay_free (MrRelay *relay);

/* This daemon's shares, 0 to 1, of what the fleet has in common. */
typedef struct
{
  double connections; /* of each target */
  double slots;       /* of each target */
  double allowance;   /* of hedges and retries */
  double cold;        /* of what a cold target bears */
} MrRelayShares;

void mr_relay_set_shares (MrRelay *relay, const MrRelayShares *shares);

/* Targets that serve alike form a set, which has a queue.  The sets of one pool
 * share the budget for hedges and retries.  A service is a set and a pool of its own,
 * unless it was told otherwise here. */
void mr_relay_add_group (MrRelay *relay, const char *set, const char *pool);
/* No request may use it any more. */
void mr_relay_remove_group (MrRelay *relay, const char *set);
/* Extra calls for each first one, and the quantile to hedge at. */
void
mr_relay_configure_pool (MrRelay *relay, const char *pool, double ratio, double hedge_quantile);
/* Jobs of @rank and above that wait in the pool. */
guint mr_relay_queued_parts (const MrRelay *relay, const char *pool, guint rank);
/* Mean time of a call of that kind of request; 0: not known. */
double mr_relay_mean_latency (const MrRelay *relay, const char *kind);

/* Targets in the failure domains of the set @domains (texts) get no new work; those in other
 * domains may have some again. */
void mr_relay_set_evacuated (MrRelay *relay, MrTime now, GHashTable *domains);

/* A target as it is known now, in @set besides the sets that it is in already;
 * @leaving ones get no new work.  With another start, or at another address, the id
 * belongs to another process: calls to the one before end as broken. */
MrTargetState *mr_relay_update_target (MrRelay *relay,
                                       MrTime now,
                                       const char *set,
                                       const MrTarget *target,
                                       gboolean leaving,
                                       MrTime cold_for);
/* A target is known under its id, or its address (by_address). */
void mr_relay_set_target_leaving (MrRelay *relay, MrTime now, const char *name, gboolean leaving);
void mr_relay_remove_target (MrRelay *relay, MrTime now, const char *name);

typedef struct
{
  gpointer host_request;          /* the host's */
  MrConfiguration *configuration; /* that the route mostly belongs to; may be NULL */
  const MrRoute *route;           /* lives as long as the request */
  MrTime arrived;                 /* from which its aim counts; 0: now */
  MrTime deadline;                /* as the caller said */
  MrTime round_trip;              /* to the caller; 0: not known */
  MrFingerprint fingerprint;      /* of what it asks for; not set: not known */
} MrRelayRequestParams;

/* Takes the request on; the verdict comes through done (), perhaps at once, in
 * which case NULL is returned. */
MrActiveRequest *mr_relay_submit (MrRelay *relay, MrTime now, const MrRelayRequestParams *request);

/* An answer that was due at a set time has gone out, @took after it. */
void mr_relay_record_response_overhead (MrRelay *relay, MrTime took);
/* What of callers' aims is kept for that. */
MrTime mr_relay_response_overhead (const MrRelay *relay);

/* The caller has gone: there will be no verdict.  Calls that may be repeated
 * are dropped, others run to their end. */
void mr_relay_abandon_request (MrRelay *relay, MrTime now, MrActiveRequest *work);

/* The open call @id; FALSE if there is none. */
gboolean mr_relay_find_call (const MrRelay *relay, guint64 id, MrRelayCall *call);

/* A call has ended; takes @answer, which may be NULL. */
void
mr_relay_call_end (MrRelay *relay, MrTime now, guint64 id, MrCallOutcome outcome, gpointer answer);
/* What others know of @fingerprint; NULL: it is to be forgotten. */
void mr_relay_merge_evidence (MrRelay *relay,
                              MrTime now,
                              MrFingerprint fingerprint,
                              const MrEvidence *evidence);

/* An operator's word that @fingerprint is to be sent again; FALSE if nothing is known
 * against it. */
gboolean mr_relay_lift_quarantine (MrRelay *relay, MrTime now, MrFingerprint fingerprint);
void mr_relay_foreach_suspect_content (const MrRelay *relay,
                                       void (*visit) (MrFingerprint fingerprint,
                                                      const MrEvidence *evidence,
                                                      void *user),
                                       void *user);
void mr_relay_probe_end (MrRelay *relay, MrTime now, const char *target, gboolean answered);

/* Carries out what is due; returns when to come back, or MR_NEVER. */
MrTime mr_relay_tick (MrRelay *relay, MrTime now);

const MrRelayCounts *mr_relay_counts (const MrRelay *relay);
guint mr_relay_request_count (const MrRelay *relay);
/* Targets that may be given work. */
guint mr_relay_usable_target_count (const MrRelay *relay);
void mr_relay_foreach_target (const MrRelay *relay,
                              void (*visit) (const MrTargetState *target, void *user),
                              void *user);
