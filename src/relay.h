/* Request scheduling: chooses the target of each call, sends hedges and retries, and decides the
 * result returned to the caller.
 *
 * A request goes to one target of a service, or to one target of each shard, whose answers are
 * merged.  There are two kinds of hosts: the relay task, for requests of callers, and dispatch.c,
 * for batches of shard calls from the root of a query.  They differ in their MrRelayPolicy.  The
 * code does no I/O: time is passed as an argument, calls go out through the MrRelayHost vtable, and
 * an answer is an opaque pointer that belongs to the host.
 *
 *   relay.c              construction, target groups, budget pools, names
 *   relay_admit.c        admission, traffic splits, load shedding
 *   relay_choice.c       choice of a target; in services with many targets with target_choice.c
 *   relay_send.c         queues, sends, hedges, retries
 *   relay_finish.c       ends of calls, verdicts
 *   relay_fair.c         shares of organisations, order of queues
 *   relay_load.c         load estimates, parts left out under load
 *   relay_timers.c       hedges, soft and hard deadlines, unresponsive calls
 *   relay_targets.c      the table of targets and their health
 *   relay_evacuation.c   failure domains whose targets get no new calls
 *   relay_crash_check.c  finds out whether the target of a broken call has crashed
 *   relay_quarantine.c   evidence against request contents that crash targets
 *   relay_stage.c        searches that are sent to one shard first
 *   relay_trial.c        requests that are sent to one target at a time
 *
 * Measurements and rejected alternatives: docs/design/platform.md. */
#pragma once

#include "call.h"
#include "configuration.h"
#include "quarantine.h"
#include "resend_budget.h"
#include "target.h"

typedef struct _MrRelay MrRelay;
typedef struct _MrRelayHost MrRelayHost;
typedef struct _MrActiveRequest MrActiveRequest;

/* A call to be sent.  The pointers are borrowed. */
typedef struct
{
  guint64 id; /* never reused within an incarnation */
  const MrTargetState *target;
  gpointer host_request; /* as submitted; NULL once the call is abandoned */
  guint part_index;      /* of the part within the request */
  MrTime deadline;       /* of the request */
  gboolean idempotent;   /* safe to send on a connection that the target may be closing */
} MrRelayCall;

typedef enum
{
  MR_VERDICT_ANSWER,  /* answers[0] is a target's answer */
  MR_VERDICT_MERGE,   /* answers of enough shards; missing ones are NULL */
  MR_VERDICT_REFUSED, /* did not run and never will */
  MR_VERDICT_FAILED,  /* may have run */
  MR_VERDICT_TIMEOUT, /* may have run; the time limit has passed */
} MrVerdict;

typedef enum
{
  MR_CAUSE_NONE,
  MR_CAUSE_NO_TARGET,   /* every target of a service is down, leaving or unknown */
  MR_CAUSE_EVACUATED,   /* every target that could be used is in an evacuated failure domain */
  MR_CAUSE_OVERLOAD,    /* the queueing delay would exceed the time that the request has */
  MR_CAUSE_ATTEMPTS,    /* every target that may be tried was tried */
  MR_CAUSE_BUDGET,      /* a resend would exceed the resend budget */
  MR_CAUSE_BROKEN,      /* the connection broke and the request is not idempotent */
  MR_CAUSE_FEW_SHARDS,  /* too few shards can still answer */
  MR_CAUSE_TIME,        /* the deadline or the route's time limit has passed */
  MR_CAUSE_SOFT_END,    /* the soft deadline passed; answered without the missing shards */
  MR_CAUSE_QUARANTINED, /* targets have crashed repeatedly while serving its content */
  MR_CAUSE_SUSPECT,     /* targets have crashed while serving its content; left to another daemon */
  MR_CAUSE_STOPPING,    /* this daemon stops before the request can be served */
} MrCause;

const char *mr_cause_name (MrCause cause);
const char *mr_verdict_name (MrVerdict verdict);

/* Why a call was sent. */
typedef enum
{
  MR_SEND_FIRST,
  MR_SEND_HEDGE, /* the first call is slow */
  MR_SEND_RETRY, /* the call before ended without an answer */
} MrSendReason;

const char *mr_send_reason_name (MrSendReason reason);

/* One call of a request, for its log line. */
typedef struct
{
  char target[MR_NAME_MAX + 1];
  guint part_index;
  MrSendReason reason;
  MrTime sent_after; /* the request arrived */
  MrTime duration;
  MrCallOutcome outcome;
  gboolean finished;
  MrTime
      last_response_age; /* at the send, since the target's last response of any kind; -1: never */
} MrSendRecord;

typedef struct
{
  MrVerdict verdict;
  MrCause cause;
  MrTime retry_after; /* if refused */
  guint part_count;
  gpointer *answers;    /* borrowed */
  guint missing_parts;  /* without an answer */
  MrTime soft_deadline; /* at which the answer was sent without them; 0: no such deadline applied */
  gboolean may_have_run;
  gboolean over_share;  /* refused because the organisation has more than its share */
  const GArray *sends;  /* MrSendRecord */
  MrTime expected_wait; /* if refused for load */
} MrRelayResult;

/* Vtable; first member of the host's own structure. */
struct _MrRelayHost
{
  void (*send_call) (MrRelayHost *host, const MrRelayCall *call);
  /* The call's answer is no longer needed; the host still reports the call's end.  May be NULL. */
  void (*call_abandoned) (MrRelayHost *host, guint64 id);
  /* The call has lingered for its full time: closes its connection.  The host does not report its
   * end.  NULL if calls linger until the host reports their end. */
  void (*close_call) (MrRelayHost *host, guint64 id);
  /* Withdraws the call if nothing of it has been sent; the host then does not report its end. FALSE
   * if the call goes on.  NULL if calls cannot be withdrawn. */
  gboolean (*withdraw_call) (MrRelayHost *host, guint64 id);
  /* FALSE if @target is known not to have the data that @host_request needs.  NULL if all targets
   * of a group have the same data. */
  gboolean (*can_serve) (MrRelayHost *host,
                         gpointer host_request,
                         const MrTargetState *target,
                         MrTime now);
  /* Opens a connection to find out whether the target is alive; the result goes to
   * mr_relay_probe_end (). */
  void (*probe) (MrRelayHost *host, const MrTargetState *target);
  /* Replaces the idle connections of @target.  If the target has been removed, they are closed
   * permanently, and pending probes and connection attempts are dropped. */
  void (*reconnect) (MrRelayHost *host, const MrTargetState *target);
  /* Shares new evidence of targets that crashed under @fingerprint with the other daemons.  NULL if
   * there are none. */
  void (*publish_evidence) (MrRelayHost *host,
                            MrFingerprint fingerprint,
                            const MrEvidence *evidence);
  /* TRUE if this daemon is the one that may try a content for which a trial by each daemon would
   * crash too many targets.  NULL: it always is. */
  gboolean (*may_try_content) (MrRelayHost *host, MrFingerprint fingerprint);
  /* Reports the only verdict on a request.  Must not submit another request. */
  void (*request_done) (MrRelayHost *host, gpointer host_request, const MrRelayResult *result);
  void (*free_answer) (gpointer answer);
};

/* Queued parts are counted by priority; all priorities from the last one on share a counter.  Lower
 * numbers are more urgent. */
enum
{
  MR_PRIORITIES = 4,
};

/* Settings that differ between hosts. */
typedef struct
{
  /* Quantile of the latency of a route's calls: slower calls are hedged.  Can be set for each pool.
   */
  double hedge_quantile;
  double initial_hedge_fraction; /* of the latency goal, until enough calls are measured */
  MrTime min_hedge_delay;
  double hedge_budget_share;    /* fraction of the resend budget that hedges may use */
  double initial_mean_fraction; /* of the latency goal, until a call is measured */
  /* Ratio of a route's median latency to its lowest recent median from which its targets count as
   * loaded; a hedge then only goes to a target with half of its calls free.  0: never, for hosts
   * that count the slots of the target itself. */
  double loaded_ratio;
  /* A call is unresponsive after this multiple of the mean latency, within the bounds. */
  double silence_timeout_factor;
  MrTime silence_timeout_min;
  MrTime silence_timeout_max;
  /* How long an abandoned call may go on; MR_NEVER: until the host reports its end. */
  MrTime linger;
  /* For each priority, a delay added to the arrival time in the queue order, so that no priority
   * starves.  NULL: strict priorities. */
  const MrTime *priority_delay;
  /* Cost factor of a target in another failure domain, where one in ours has 1. */
  double cross_domain_cost;
  /* How often a target may be sent the same call if it refuses it.  1 where targets refuse only
   * what exceeds their queue, since they would refuse it again. */
  guint max_sends_per_target;
  /* Targets are identified by address, not by id.  An id may name a replica, which can move to
   * another process. */
  gboolean key_by_address;
  guint wide_service_min; /* usable targets from which a service is wide (target_choice.h) */
} MrRelayPolicy;

/* For requests that callers send to the relay. */
extern const MrRelayPolicy mr_relay_policy;

/* Calls per second that a cold target accepts from all daemons together: @rate_factor times its
 * rate plus @slack. */
typedef struct
{
  double rate_factor;
  double slack;
} MrColdRateLimit;

typedef struct
{
  const char *domain;  /* failure domain of this VM; NULL: all targets are local; borrowed */
  GHashTable *regions; /* failure domain -> region; NULL: unknown; borrowed */
  const MrRelayPolicy *policy;
  MrResendBudgetConfig budget;
  MrColdRateLimit cold_limit;
  guint32 seed;
  MrTime unix_offset; /* added to the relay's clock to get Unix time */
} MrRelayOptions;

typedef struct
{
  guint64 requests;
  guint64 calls;
  guint64 hedges;
  guint64 retries;
  guint64 over_budget; /* hedges and retries that the budget did not allow */
  guint64 left_out;    /* parts, because of load */
  guint64 partial;
  guint64 refused;
  guint64 over_share; /* of these, because their organisation had more than its share */
  guint64 failed;
  guint64 timeouts;
  guint64 silent;
  guint64 expired;         /* queued parts given up as too late to be served */
  guint64 targets_crashed; /* while calls from here were running there */
  guint64 staged;          /* searches sent to one shard first */
  guint64
      crashes_excused; /* crashes, or reports of them, under a content that was answered recently */
  guint64 trials;      /* calls of suspect contents that were sent to a single target */
  guint64 stop_refused; /* requests refused because this daemon stops */
  guint64 stop_failed;  /* requests that its stop ended after they had been sent */
  guint64 withdrawn; /* calls withdrawn before they were sent, because their domain was evacuated */
  guint64 quarantined; /* requests refused or given up because their content is quarantined */
} MrRelayCounts;

MrRelay *mr_relay_new (MrRelayHost *host, const MrRelayOptions *options);
void mr_relay_free (MrRelay *relay);

/* This daemon's shares, 0 to 1, of resources that are divided between all daemons. */
typedef struct
{
  double connections; /* of each target */
  double slots;       /* of each target */
  double allowance;   /* of the fixed allowance for hedges and retries */
  double cold;        /* of the call rate of a cold target */
} MrRelayShares;

void mr_relay_set_shares (MrRelay *relay, const MrRelayShares *shares);

/* Interchangeable targets form a group, which has a queue.  The groups of one pool share the resend
 * budget.  A service has a group and a pool of its own, unless these functions define another. */
void mr_relay_add_group (MrRelay *relay, const char *group_name, const char *pool);
/* The group must not be used by any request any more. */
void mr_relay_remove_group (MrRelay *relay, const char *group_name);
/* Sets the resends allowed for each request, and the latency quantile for hedges. */
void
mr_relay_configure_pool (MrRelay *relay, const char *pool, double ratio, double hedge_quantile);
/* Parts queued in the pool at @priority or more urgent ones. */
guint mr_relay_queued_parts (const MrRelay *relay, const char *pool, guint priority);
/* Mean latency of the route's calls, in microseconds; 0: unknown. */
double mr_relay_mean_latency (const MrRelay *relay, const char *route);

/* Targets in the failure domains of the set @domains (strings) get no new calls; those in other
 * domains may get some again. */
void mr_relay_set_evacuated (MrRelay *relay, MrTime now, GHashTable *domains);

/* This daemon stops: every request gets its verdict by @at, and those that cannot be served by then
 * are refused at once. */
void mr_relay_set_stop_time (MrRelay *relay, MrTime at);

/* Adds the target to @group_name, besides the groups that it is in already, or updates it; @leaving
 * targets get no new calls.  Another start time or address under the same id means another process:
 * calls to the former process end as broken. */
MrTargetState *mr_relay_update_target (MrRelay *relay,
                                       MrTime now,
                                       const char *group_name,
                                       const MrTarget *target,
                                       gboolean leaving,
                                       MrTime cold_for);
/* @name is the target's id, or its address with key_by_address. */
void mr_relay_set_target_leaving (MrRelay *relay, MrTime now, const char *name, gboolean leaving);
void mr_relay_remove_target (MrRelay *relay, MrTime now, const char *name);

typedef struct
{
  gpointer host_request;
  MrConfiguration *configuration;     /* that contains the route; may be NULL */
  const MrRoute *route;               /* must live as long as the request */
  const MrOrganisation *organisation; /* of the caller; NULL: none; must live as long as well */
  MrTime arrived;                     /* start of the latency goal; 0: now */
  MrTime deadline;                    /* given by the caller */
  MrTime round_trip;                  /* to the caller; 0: unknown */
  MrFingerprint fingerprint;          /* of the content; unset: unknown */
} MrRelayRequestParams;

/* Takes over the request.  The verdict is reported through request_done (), possibly before this
 * returns, in which case it returns NULL. */
MrActiveRequest *mr_relay_submit (MrRelay *relay, MrTime now, const MrRelayRequestParams *request);

/* Calls of the request that were sent to targets. */
guint mr_active_request_sends (const MrActiveRequest *request);

/* An answer that was due at its soft deadline has been sent, @took after it. */
void mr_relay_record_response_overhead (MrRelay *relay, MrTime took);
/* Time reserved for that before each soft deadline. */
MrTime mr_relay_response_overhead (const MrRelay *relay);

/* The caller has disconnected: there is no verdict.  Idempotent calls are dropped, others run to
 * their end. */
void mr_relay_abandon_request (MrRelay *relay, MrTime now, MrActiveRequest *request);

/* Looks up the open call @id; FALSE if there is none. */
gboolean mr_relay_find_call (const MrRelay *relay, guint64 id, MrRelayCall *call);

/* Reports the end of a call; takes ownership of @answer, which may be NULL. */
void
mr_relay_call_end (MrRelay *relay, MrTime now, guint64 id, MrCallOutcome outcome, gpointer answer);
/* Merges other daemons' evidence against @fingerprint; NULL removes what is known. */
void mr_relay_merge_evidence (MrRelay *relay,
                              MrTime now,
                              MrFingerprint fingerprint,
                              const MrEvidence *evidence);

/* An operator allows @fingerprint again.  FALSE if there was no evidence against it. */
gboolean mr_relay_lift_quarantine (MrRelay *relay, MrTime now, MrFingerprint fingerprint);
void mr_relay_foreach_suspect_content (const MrRelay *relay,
                                       void (*visit) (MrFingerprint fingerprint,
                                                      const MrEvidence *evidence,
                                                      void *user),
                                       void *user);
void mr_relay_probe_end (MrRelay *relay, MrTime now, const char *target, gboolean answered);

/* Handles expired timers; returns the time of the next call, or MR_NEVER. */
MrTime mr_relay_tick (MrRelay *relay, MrTime now);

const MrRelayCounts *mr_relay_counts (const MrRelay *relay);
guint mr_relay_request_count (const MrRelay *relay);
/* Targets that may get calls. */
guint mr_relay_usable_target_count (const MrRelay *relay);
void mr_relay_foreach_target (const MrRelay *relay,
                              void (*visit) (const MrTargetState *target, void *user),
                              void *user);
