/* Inside of the relay's decisions, shared by its files. */
#pragma once

#include "histogram.h"
#include "recent_answers.h"
#include "relay.h"
#include "soft_deadline.h"
#include "timers.h"

enum
{
  PART_CALLS_MAX = 3,    /* open at once */
  PART_ATTEMPTS_MAX = 8, /* targets remembered as tried */
};

/* Of a service whose targets' limits have not been set yet. */
#define LIMITS_UNSET (-1.0)

typedef struct _RequestPart RequestPart;

/* What several sets of targets share. */
typedef struct
{
  MrResendBudget budget;
  MrResendBudgetConfig terms;
  double hedge_quantile;
  MrTime min_time_left; /* time that the most pressing requests have for an answer */
  MrTime min_time_left_at;
  guint queued[MR_PRIORITIES]; /* jobs in the sets' queues */
} BudgetPool;

/* Targets that serve alike: those of a service, or of one shard of a map. */
typedef struct
{
  char *name;
  BudgetPool *pool;
  GPtrArray *targets; /* MrTargetState, borrowed */
  GQueue queue;       /* Job, first to go first */
  /* What the targets' limits were set for. */
  guint64 limits_version;
  double limits_connection_share;
  double limits_cold_share;
  MrTime cold_time; /* of a target that has started or come back */
} TargetGroup;

/* Running measures of one route's calls: requests of one route are alike. */
typedef struct
{
  const MrRelayPolicy *policy;
  MrHistogram latency;
  MrTime latency_goal; /* of the route */
  double hedge_quantile;
  double mean;          /* us */
  double median;        /* median, us; a few slow targets don't move it */
  double lowest_median; /* least median of late, us */
  MrTime hedge_delay;   /* a call that takes longer is worth a hedge */
} RouteStats;

/* What a timer belongs to; first member of its owner. */
typedef enum
{
  TIMER_REQUEST,
  TIMER_CALL,
  TIMER_CRASH_CHECK,
} TimerOwnerKind;

typedef struct
{
  TimerOwnerKind owner_kind;
  MrTimer timer; /* silence, or the end of waiting for a call nobody wants */
  guint64 id;
  RequestPart *part; /* NULL once nobody wants it */
  MrTargetState *target;
  GList target_link; /* in the target's open calls */
  RouteStats *stats;
  MrTime started;
  guint send_index; /* index in the work's sends */
  MrFingerprint fingerprint;
} Call;

/* What a job's call to a target has come to. */
typedef enum
{
  ATTEMPT_UNSENT,  /* never connected: the target has not seen it */
  ATTEMPT_REFUSED, /* seen, and not run by the target's word */
  ATTEMPT_SENT,    /* out, or may have run */
} AttemptState;

typedef struct
{
  const MrTargetState *target;
  AttemptState state;
  gboolean has_refused; /* it has refused one of the job's calls, whatever came of the latest */
  guint send_count;     /* calls sent to it */
} TargetAttempt;

/* A content under which targets have ended, or may have. */
typedef struct
{
  MrFingerprint fingerprint;
  MrEvidence evidence;
  gboolean published;        /* others know of it, or have told us */
  guint trials;              /* requests that are trying it now, one target at a time */
  MrTime update_received_at; /* when others last told something new of it; 0: never */
} SuspectContent;

/* A call has broken, and whether its target has ended is being found out. */
typedef struct
{
  TimerOwnerKind owner_kind;
  MrTimer timer; /* the end of waiting for it */
  MrTargetState *target;
  MrActiveRequest *request; /* NULL: has its verdict */
  RequestPart *part;        /* NULL as well */
  MrFingerprint fingerprint;
  MrEvidence evidence_at_send; /* what was known when the call was sent */
  gboolean probation;
  gboolean crash_confirmed; /* it is known: the target has ended */
} CrashCheck;

enum
{
  CRASHED_TARGETS_KEPT = 16, /* targets that ended last */
  CRASHED_CONTENTS_MAX = 8,  /* of the calls that were on one; more than it mostly has slots */
};

/* A target that was found to have ended with calls from here on it. */
typedef struct
{
  MrTime at;
  guint count;
  MrFingerprint contents[CRASHED_CONTENTS_MAX];
} CrashedTarget;

/* One part of a request. */
struct _RequestPart
{
  MrActiveRequest *request;
  guint index;
  TargetGroup *group;
  GList queue_link; /* in the service's queue */
  gboolean queued;
  gboolean ended;
  gboolean held;                 /* until another part of the request has been answered */
  gboolean trial_reached_target; /* its trial has reached a target, which has not answered it */
  guint crash_checks;            /* broken calls whose targets may have ended */
  MrSendReason send_reason;      /* of the send it waits for */
  guint send_count;              /* that may have reached a target */
  guint attempt_count;
  TargetAttempt attempts[PART_ATTEMPTS_MAX];
  Call *calls[PART_CALLS_MAX];
  MrTime hedge_at;
  gpointer error_answer; /* last answer that tells a failure */
};

struct _MrActiveRequest
{
  TimerOwnerKind owner_kind;
  MrTimer timer;
  gpointer host_request;
  MrConfiguration *configuration;
  const MrRoute *route;
  RouteStats *stats;
  MrTime arrived;
  MrTime soft_deadline; /* from then on, enough shards are answered with */
  MrTime hard_end;
  MrTime deadline; /* as the caller said */
  MrFingerprint fingerprint;
  MrEvidence
      evidence_at_send; /* what was known of its content when the calls that are out were sent */
  gboolean suspect;     /* a target has ended under its content, and none has answered */
  gboolean crash_seen;  /* under one of its own calls */
  gboolean sequential;  /* one call at a time, until one is answered */
  gboolean staged;      /* one part is out, the others follow its answer */
  gboolean counted_as_trial; /* counts among its content's trials */
  gboolean probation;        /* tries a quarantined content once more */
  RequestPart *trial_part;   /* the part that is out, or on its way */
  MrTime cancel_at;          /* when its calls are cancelled; MR_NEVER: they are not */
  MrTime next_trial_at;      /* not before */
  MrTime next_hedge_at;      /* not before, while no part has been answered */
  guint held_parts;          /* parts */
  guint crash_checks;
  gboolean may_have_run; /* a target may have begun on it */
  MrCause cause;         /* of the part that failed last */
  guint part_count;
  guint open_parts;      /* parts not ended */
  guint answered_parts;  /* parts with an answer */
  guint needed_parts;    /* parts that an answer needs */
  guint omittable_parts; /* parts that may still be left out for load */
  RequestPart *parts;
  gpointer *answers;
  GArray *sends; /* MrSendNote */
};

struct _MrRelay
{
  MrRelayHost *host;
  const MrRelayPolicy *policy;
  char *domain;
  GHashTable *regions;                /* failure domain -> region; may be NULL; borrowed */
  MrResendBudgetConfig budget_config; /* that pools begin with */
  MrRelayShares shares;
  MrColdRateLimit cold_limit;
  GRand *random;
  GHashTable *pools;            /* name -> Pool */
  GHashTable *groups;           /* name -> Service */
  GHashTable *route_stats;      /* route name -> Kind */
  GHashTable *splits;           /* route name -> Split */
  GHashTable *targets;          /* id, or address (by_address) -> MrTargetState */
  GHashTable *calls;            /* id -> Call */
  GHashTable *requests;         /* set of MrRelayWork */
  GHashTable *evacuated;        /* set of failure domains; NULL: none */
  GPtrArray *removed_targets;   /* MrTargetState of targets that are gone */
  GHashTable *suspect_contents; /* MrFingerprint -> Content */
  GPtrArray *crash_checks;      /* Doubt */
  MrRecentAnswers *recent_answers;
  CrashedTarget crashed_targets[CRASHED_TARGETS_KEPT];
  guint crashed_count; /* ever */
  MrTime staged_until; /* searches go to one shard first */
  MrTime unix_offset;
  MrTimers *timers;
  MrResponseOverhead response_overhead; /* of answers that were due at their soft end */
  MrTime next_health_check;             /* next look at the targets that are down */
  gboolean any_target_down;
  guint64 last_call_id;
  MrRelayCounts counts;
};

TargetGroup *mr_relay_get_group (MrRelay *relay, const char *name);
/* Frees the work with its answers; its calls have been let go. */
void mr_active_request_free (MrRelay *relay, MrActiveRequest *work);
void mr_relay_split_free (gpointer split);

/* What an answer says of its kind of request and its target, and what the end of
 * a call says of its target. */
void mr_relay_record_latency (RouteStats *kind, MrTargetState *target, MrTime latency);
MrHealthAction mr_relay_record_outcome (
    MrRelay *relay, MrTime now, MrTargetState *target, MrCallOutcome outcome, MrTime started);

gboolean mr_relay_is_evacuated (const MrRelay *relay, const char *domain);

/* Targets that end while requests run there (relay_crash_check.c). */

/* The connection of a call of @fingerprint to @target has broken; its health has been
 * told. */
void mr_relay_record_broken_call (MrRelay *relay,
                                  MrTime now,
                                  MrTargetState *target,
                                  MrFingerprint fingerprint);
/* Whether @target still accepts connections has turned out. */
void mr_relay_record_probe (MrRelay *relay, MrTime now, MrTargetState *target, gboolean answered);
/* A call of the job has broken: the job waits until it is known whether @target has
 * ended, if that may be. */
void
mr_relay_begin_crash_check (MrRelay *relay, MrTime now, RequestPart *job, MrTargetState *target);
void mr_relay_crash_check_due (MrRelay *relay, MrTime now, CrashCheck *doubt);
/* When a target ended last on which no call of @fingerprint was; 0: not lately. */
MrTime mr_relay_last_unrelated_crash (const MrRelay *relay, MrFingerprint fingerprint);
/* What is still being found out of the request's calls counts without it, unless it was
 * answered. */
void mr_relay_detach_crash_checks (MrRelay *relay, MrActiveRequest *work);

/* Contents that end their targets (relay_quarantine.c). */

SuspectContent *mr_relay_get_suspect_content (MrRelay *relay, MrFingerprint fingerprint);
guint32 mr_relay_unix_time (const MrRelay *relay, MrTime now);
/* A target has ended under the call that @doubt is of. */
void mr_relay_add_evidence (MrRelay *relay, MrTime now, const CrashCheck *doubt);
/* A target has answered @fingerprint: what was known against it is void. */
void mr_relay_content_answered (MrRelay *relay, MrTime now, MrFingerprint fingerprint);
/* Whether the request's content may be sent, and how. */
MrCause mr_relay_admit_content (MrRelay *relay, MrTime now, MrActiveRequest *work);
/* The request has its verdict, or its caller has gone. */
void mr_relay_detach_content (MrRelay *relay, MrActiveRequest *work);

/* Searches that go to one shard first (relay_stage.c). */

/* @content ends its targets. */
void mr_relay_content_quarantined (MrRelay *relay, MrTime now, const SuspectContent *content);
gboolean mr_relay_is_staged (const MrRelay *relay, MrTime now, const MrActiveRequest *work);
/* Sends the first part of the request, which may end with it, and holds the others. */
void mr_relay_begin_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *work);
/* The first part has ended: the others go out, unless its target has ended as well. */
void mr_relay_end_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *work);

/* Parts that wait, and go out one by one (relay_trial.c). */

/* Another trial of the same content has its result within this; what it says is awaited
 * rather than a second target risked. */
#define MR_TRIAL_INTERVAL (150 * MR_MS)

/* A call of the job has ended without an answer and nothing is out for it: sends it
 * again, or holds it. */
void mr_relay_retry_or_hold (MrRelay *relay, MrTime now, RequestPart *job);
/* TRUE while only one call of the request may be in flight that puts a target at risk. */
gboolean mr_relay_is_suspicious (const MrActiveRequest *work);
void mr_relay_hold_part (RequestPart *job);
/* The held part whose shard can best do without one more target; held no longer.  There has
 * to be one. */
RequestPart *mr_relay_take_held_part (const MrActiveRequest *work, MrTime now);
/* The parts in the order in which targets of their shards are put at risk. */
RequestPart *mr_relay_nth_part_by_risk (const MrActiveRequest *work, guint n);
/* When the next part of a request that goes one by one is due; MR_NEVER: nothing is. */
MrTime mr_relay_next_trial_time (const MrRelay *relay, const MrActiveRequest *work);
void mr_relay_begin_trial (MrRelay *relay, MrTime now, MrActiveRequest *work);
/* From now on one call of the request at a time; those in flight are cancelled once an answer
 * is overdue. */
void mr_relay_make_sequential (MrRelay *relay, MrTime now, MrActiveRequest *work);
/* Cancels the calls in flight. */
void mr_relay_cancel_calls (MrRelay *relay, MrTime now, MrActiveRequest *work);
/* Its content is cleared: what is held goes out. */
void mr_relay_release_held_parts (MrRelay *relay, MrTime now, MrActiveRequest *work);
void mr_relay_give_up (MrRelay *relay, MrTime now, MrActiveRequest *work, MrCause cause);
/* TRUE if it is another daemon's turn to try the content. */
gboolean mr_relay_is_other_daemons_turn (MrRelay *relay, const SuspectContent *content);
/* Closes or cancels what is out for the job. */
void mr_relay_cancel_part_calls (MrRelay *relay, MrTime now, RequestPart *job);

/* Choice of a target (relay_choice.c): functions of what is known, without effect on
 * it. */

/* Best target that the job may be sent to now; NULL if there is none.  @hope is set if
 * one may have room later. */
MrTargetState *
mr_relay_choose_target (MrRelay *relay, MrTime now, const RequestPart *job, gboolean *hope);
/* Why no target of the service may be given work, now or soon. */
MrCause mr_relay_no_target_cause (const TargetGroup *service);
/* TRUE if the job may go to @target once that is usable and has room. */
gboolean mr_relay_may_send_to (const MrRelay *relay,
                               MrTime now,
                               const RequestPart *job,
                               const MrTargetState *target);
/* TRUE if @target's oldest call has gone unanswered for much longer than usual. */
gboolean mr_relay_is_stalled (const MrTargetState *target, MrTime now);
/* TRUE if the bound on targets leaves one that the job may still be sent to. */
gboolean mr_relay_has_attempts_left (const RequestPart *job);

/* What the job has tried: a call is sent, a call has ended. */
void mr_relay_record_send (RequestPart *job, const MrTargetState *target);
void mr_relay_record_attempt (RequestPart *job, const MrTargetState *target, MrCallOutcome outcome);

/* The target may be cold, though nothing has said so. */
void mr_relay_assume_cold (MrTargetState *target, MrTime now);
/* Carries out what a target's health asks for. */
void mr_relay_apply_health_action (MrRelay *relay,
                                   MrTime now,
                                   MrTargetState *target,
                                   MrHealthAction action);

/* Sends the job for the first time, or leaves it out.  Returns FALSE if the work has ended
 * with it. */
gboolean mr_relay_begin_part (MrRelay *relay, MrTime now, RequestPart *job);

/* Sends the job to its best target, queues it, or ends it without an answer.
 * Returns FALSE if the work has ended with it. */
gboolean mr_relay_send_or_queue (MrRelay *relay, MrTime now, RequestPart *job, MrSendReason reason);

/* TRUE if the part is better left out: its targets are so loaded that it would
 * come too late, and the answer is good enough without it. */
gboolean mr_relay_leave_out (MrRelay *relay, MrTime now, RequestPart *job);

double mr_relay_part_load (const RequestPart *job, MrTime now);

/* TRUE if every usable target of the job's service has all that it may have from
 * here in flight: it is slow for its load, and fewer calls would help. */
gboolean mr_relay_part_is_saturated (const RequestPart *job, MrTime now);

/* Time until a job that is queued now gets room, from the queue before it. */
MrTime mr_relay_expected_wait (const RequestPart *job, MrTime now);

/* A hedge beside the call that is under way; FALSE if none may go out now. */
gboolean mr_relay_hedge (MrRelay *relay, MrTime now, RequestPart *job);

/* Gives room at the service's targets to the jobs that wait; ends those that no
 * target can serve any more. */
void mr_relay_send_queued (MrRelay *relay, MrTime now, TargetGroup *service);
/* Gives room at @target to the jobs that wait for it, in whatever set. */
void mr_relay_send_queued_to (MrRelay *relay, MrTime now, MrTargetState *target);
void mr_relay_dequeue (RequestPart *job);

/* Sets the limits of the service's targets to this daemon's share of their
 * connections. */
void
mr_relay_update_limits (const MrRelay *relay, const MrActiveRequest *work, TargetGroup *service);

/* Usable targets of the service, and calls they have room for together. */
guint mr_relay_group_capacity (const TargetGroup *service, MrTime now, double *room);

guint mr_relay_part_call_count (const RequestPart *job);
/* TRUE if a call of any part is out. */
gboolean mr_relay_has_calls (const MrActiveRequest *work);
/* The job's calls are not wanted any more; they may run out until @until. */
void mr_relay_abandon_calls (MrRelay *relay, MrTime now, RequestPart *job, MrTime until);
void mr_relay_finish_part (MrRelay *relay, MrTime now, RequestPart *job, MrCause cause);
void mr_relay_finish_request (MrRelay *relay, MrTime now, MrActiveRequest *work, MrVerdict verdict);
void mr_relay_schedule (MrRelay *relay, MrActiveRequest *work);
void mr_relay_call_free (MrRelay *relay, Call *call);

/* FALSE while too few calls have been answered: its measures are guesses. */
gboolean mr_relay_stats_are_reliable (const RouteStats *kind);
/* Reads the kind's measures anew. */
void mr_relay_update_stats (RouteStats *kind);
/* Until when a call that nobody wants from now on may run out. */
MrTime mr_relay_linger_until (const MrRelay *relay, MrTime now);
MrTime mr_relay_silence_timeout (const RouteStats *kind);
