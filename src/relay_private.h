/* Types and functions shared by the relay's source files. */
#pragma once

#include "fair_share.h"
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

/* Value of limits_connection_share before the limits of the group's targets are set. */
#define LIMITS_UNSET (-1.0)

typedef struct _RequestPart RequestPart;

/* Resend budget and counters shared by several groups. */
typedef struct
{
  MrResendBudget budget;
  MrResendBudgetConfig terms;
  double hedge_quantile;
  MrTime min_time_left; /* the least time that a recent request had until its soft deadline */
  MrTime min_time_left_at;
  guint queued[MR_PRIORITIES]; /* parts in the queues of the groups, by priority */
} BudgetPool;

/* Interchangeable targets: those of a service, or of one shard of a shard map. */
typedef struct
{
  char *name;
  BudgetPool *pool;
  const MrRelayShares *shares;
  GPtrArray *targets; /* MrTargetState, borrowed */
  GQueue queue;       /* RequestPart, in the order of sending */
  /* Of organisations; NULL until the first request of one. */
  MrFairShare *fair_share; /* of the requests that have this group first */
  MrFairQueue *fair_queue;
  guint sends_before_aged; /* queued parts sent since the last one of a less urgent priority */
  /* Inputs from which the targets' limits were last computed. */
  guint64 limits_version;
  double limits_connection_share;
  double limits_cold_share;
  MrTime cold_time; /* how long a target is cold after it has started or come back */
} TargetGroup;

/* Running statistics of one route's calls. */
typedef struct
{
  const MrRelayPolicy *policy;
  MrHistogram latency;
  MrTime latency_goal;
  double hedge_quantile;
  double mean;          /* us */
  double median;        /* us; unlike the mean, robust against a few slow targets */
  double lowest_median; /* lowest recent median, us: latency without load */
  MrTime hedge_delay;   /* slower calls are hedged */
  double waited_ratio;  /* of the latest calls, those that probably waited at their targets */
  gboolean calls_wait;  /* most calls do */
} RouteStats;

/* Kind of a timer's owner; first member of each owner. */
typedef enum
{
  TIMER_REQUEST,
  TIMER_CALL,
  TIMER_CRASH_CHECK,
} TimerOwnerKind;

typedef struct
{
  TimerOwnerKind owner_kind;
  MrTimer timer; /* silence timeout, or end of lingering once the call is abandoned */
  guint64 id;
  RequestPart *part; /* NULL once the call is abandoned */
  MrTargetState *target;
  GList target_link; /* in the target's open_calls */
  RouteStats *stats;
  MrTime started;
  guint send_index; /* in the request's sends */
  MrFingerprint fingerprint;
  MrFairFlow *flow;   /* NULL: no organisation */
  double queued_cost; /* its expected slot time, if added to the fair queue */
  gboolean did_not_run;
} Call;

/* Result of a part's calls to one target. */
typedef enum
{
  ATTEMPT_UNSENT,  /* no connection: the target has not seen a call */
  ATTEMPT_REFUSED, /* the target refused it without running it */
  ATTEMPT_SENT,    /* in flight, or may have run */
} AttemptState;

typedef struct
{
  const MrTargetState *target;
  AttemptState state;
  gboolean has_refused; /* at least one call, whatever became of the latest */
  guint send_count;     /* calls sent to it */
} TargetAttempt;

/* A request content under which targets have crashed, or may have. */
typedef struct
{
  MrFingerprint fingerprint;
  MrEvidence evidence;
  gboolean published;        /* known to other daemons, or reported by them */
  guint trials;              /* requests that are currently sent one call at a time to try it */
  MrTime update_received_at; /* last new evidence from another daemon; 0: none */
} SuspectContent;

/* A pending check whether the target of a broken call has crashed. */
typedef struct
{
  TimerOwnerKind owner_kind;
  MrTimer timer; /* end of the check */
  MrTargetState *target;
  MrActiveRequest *request; /* NULL once it is finished */
  RequestPart *part;        /* NULL once the request is finished */
  MrFingerprint fingerprint;
  MrEvidence evidence_at_send; /* known when the call was sent */
  gboolean probation;
  gboolean crash_confirmed; /* the target is already known to have crashed */
} CrashCheck;

enum
{
  CRASHED_TARGETS_KEPT = 16, /* the latest ones */
  CRASHED_CONTENTS_MAX = 8,  /* of the calls in flight; more than most targets have slots */
};

/* A target that crashed with calls from this daemon in flight. */
typedef struct
{
  MrTime at;
  guint count;
  MrFingerprint contents[CRASHED_CONTENTS_MAX];
} CrashedTarget;

/* One part of a request, sent to one group of targets. */
struct _RequestPart
{
  MrActiveRequest *request;
  guint index;
  TargetGroup *group;
  GList queue_link; /* in the group's queue */
  gboolean queued;
  gboolean has_tag;   /* it was queued and has an organisation */
  double tag;         /* start tag in the group's fair queue */
  double queued_cost; /* expected slot time added to the fair queue, not sent yet */
  gboolean ended;
  gboolean held;                 /* not sent until another part of the request is answered */
  gboolean trial_reached_target; /* its trial reached a target, which has not answered */
  guint crash_checks;            /* pending, of its broken calls */
  MrSendReason send_reason;      /* of the send that it is queued for */
  guint send_count;              /* sends that may have reached a target */
  guint attempt_count;
  TargetAttempt attempts[PART_ATTEMPTS_MAX];
  Call *calls[PART_CALLS_MAX];
  MrTime hedge_at;
  gpointer error_answer; /* the latest answer that reports an error */
};

struct _MrActiveRequest
{
  TimerOwnerKind owner_kind;
  MrTimer timer;
  gpointer host_request;
  MrConfiguration *configuration;
  const MrRoute *route;
  RouteStats *stats;
  MrFairFlow *flow;      /* NULL: no organisation */
  guint caller_priority; /* of its organisation; 0 without one */
  gboolean over_share;   /* refused because its organisation has more than its share */
  MrTime arrived;
  MrTime soft_deadline; /* from then on, answered as soon as enough parts are answered */
  MrTime hard_deadline;
  MrTime deadline; /* given by the caller */
  MrFingerprint fingerprint;
  MrEvidence evidence_at_send; /* against its content, when its calls in flight were sent */
  gboolean suspect;    /* a target has crashed under its content, which has not been answered */
  gboolean crash_seen; /* a target has crashed under one of its own calls */
  gboolean sequential; /* one call at a time until a part is answered */
  gboolean staged;     /* one part is sent first, the others after its answer */
  gboolean counted_as_trial; /* included in the trials of its content */
  gboolean probation;        /* a single new trial of a quarantined content */
  RequestPart *trial_part;   /* the part that is being sent as a trial */
  MrTime cancel_at;          /* its calls in flight; MR_NEVER: not scheduled */
  MrTime next_trial_at;      /* earliest time */
  MrTime next_hedge_at;      /* earliest time, while no part is answered */
  guint held_parts;          /* number of held parts */
  guint crash_checks;
  gboolean may_have_run; /* a target may have started to run it */
  MrCause cause;         /* of the part that failed last */
  guint part_count;
  guint open_parts; /* parts not ended */
  guint answered_parts;
  guint needed_parts;    /* answered parts that an answer requires */
  guint omittable_parts; /* parts that may still be left out under load */
  RequestPart *parts;
  gpointer *answers;
  GArray *sends; /* MrSendRecord */
};

struct _MrRelay
{
  MrRelayHost *host;
  const MrRelayPolicy *policy;
  char *domain;
  GHashTable *regions;                /* failure domain -> region; may be NULL; borrowed */
  MrResendBudgetConfig budget_config; /* initial settings of pools */
  MrRelayShares shares;
  MrColdRateLimit cold_limit;
  GRand *random;
  GHashTable *pools;            /* name -> BudgetPool */
  GHashTable *groups;           /* name -> TargetGroup */
  GHashTable *route_stats;      /* route name -> RouteStats */
  GHashTable *splits;           /* route name -> SplitState */
  GHashTable *targets;          /* id, or address with key_by_address -> MrTargetState */
  GHashTable *calls;            /* id -> Call */
  GHashTable *requests;         /* set of MrActiveRequest */
  GHashTable *evacuated;        /* set of failure domains; NULL: none */
  GPtrArray *removed_targets;   /* MrTargetState */
  GHashTable *suspect_contents; /* MrFingerprint -> SuspectContent */
  GPtrArray *crash_checks;      /* CrashCheck */
  MrRecentAnswers *recent_answers;
  CrashedTarget crashed_targets[CRASHED_TARGETS_KEPT];
  guint crashed_count; /* since the start */
  MrTime stop_at;      /* planned end of this daemon; MR_NEVER: none */
  MrTime staged_until; /* until then searches are sent to one shard first */
  MrTime unix_offset;
  MrTimers *timers;
  MrResponseOverhead response_overhead; /* of answers sent at their soft deadline */
  MrTime next_health_check;             /* of the targets that are down */
  gboolean any_target_down;
  guint64 last_call_id;
  MrRelayCounts counts;
};

TargetGroup *mr_relay_get_group (MrRelay *relay, const char *name);
/* Frees the request and its answers; its calls must have been abandoned. */
void mr_active_request_free (MrRelay *relay, MrActiveRequest *request);
void mr_relay_split_free (gpointer split);

/* Update the route's statistics, and the target's latency and health, from the end of a call. */
void mr_relay_record_latency (RouteStats *stats, MrTime now, MrTargetState *target, MrTime latency);
/* The call was given up without an answer: its target is at least that slow. */
void mr_relay_record_unanswered (const Call *call, MrTime now);
MrHealthAction mr_relay_record_outcome (
    MrRelay *relay, MrTime now, MrTargetState *target, MrCallOutcome outcome, MrTime started);

gboolean mr_relay_is_evacuated (const MrRelay *relay, const char *domain);

/* Checks whether the target of a broken call has crashed (relay_crash_check.c). */

/* A call of @fingerprint to @target broke; the target's health must have been updated. */
void mr_relay_record_broken_call (MrRelay *relay,
                                  MrTime now,
                                  MrTargetState *target,
                                  MrFingerprint fingerprint);
/* A probe has shown whether @target still accepts connections. */
void mr_relay_record_probe (MrRelay *relay, MrTime now, MrTargetState *target, gboolean answered);
/* A call of the part broke.  If @target may have crashed, the part waits for the result of a check.
 */
void
mr_relay_begin_crash_check (MrRelay *relay, MrTime now, RequestPart *part, MrTargetState *target);
void mr_relay_crash_check_due (MrRelay *relay, MrTime now, CrashCheck *check);
/* Time of the latest crash of a target that had no call of @fingerprint in flight; 0: none
 * recently. */
MrTime mr_relay_last_unrelated_crash (const MrRelay *relay, MrFingerprint fingerprint);
/* The request is finished.  Its pending checks go on without it, unless it was answered. */
void mr_relay_detach_crash_checks (MrRelay *relay, MrActiveRequest *request);

/* Request contents that crash their targets (relay_quarantine.c). */

SuspectContent *mr_relay_get_suspect_content (MrRelay *relay, MrFingerprint fingerprint);
guint32 mr_relay_unix_time (const MrRelay *relay, MrTime now);
/* The target of the call that @check is about has crashed. */
void mr_relay_add_evidence (MrRelay *relay, MrTime now, const CrashCheck *check);
/* A target has answered @fingerprint, which voids the evidence against it. */
void mr_relay_content_answered (MrRelay *relay, MrTime now, MrFingerprint fingerprint);
/* Decides whether and how the request may be sent, given the evidence against its content. */
MrCause mr_relay_admit_content (MrRelay *relay, MrTime now, MrActiveRequest *request);
/* The request is finished, or its caller has disconnected. */
void mr_relay_detach_content (MrRelay *relay, MrActiveRequest *request);

/* Searches that are sent to one shard first (relay_stage.c). */

/* @content has been found to crash its targets. */
void mr_relay_content_quarantined (MrRelay *relay, MrTime now, const SuspectContent *content);
gboolean mr_relay_is_staged (const MrRelay *relay, MrTime now, const MrActiveRequest *request);
/* Sends the first part of the request and holds the others.  The request may be finished by this.
 */
void mr_relay_begin_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *request);
/* The first part has ended: sends the others, unless the request is suspicious. */
void mr_relay_end_first_stage (MrRelay *relay, MrTime now, MrActiveRequest *request);

/* Held parts, and requests that are sent one call at a time (relay_trial.c). */

/* Time within which a concurrent trial of the same content gives its result; a request waits for
 * that instead of risking a second target. */
#define MR_TRIAL_INTERVAL (150 * MR_MS)

/* A call of the part ended without an answer and no other is in flight: sends the part again, or
 * holds it. */
void mr_relay_retry_or_hold (MrRelay *relay, MrTime now, RequestPart *part);
/* TRUE if the request may have only one call in flight, because each puts a target at risk. */
gboolean mr_relay_is_suspicious (const MrActiveRequest *request);
void mr_relay_hold_part (RequestPart *part);
/* Takes the held part whose group has the most usable targets.  At least one part must be held. */
RequestPart *mr_relay_take_held_part (const MrActiveRequest *request, MrTime now);
/* The parts in the order in which they are used for trials and first hedges. */
RequestPart *mr_relay_nth_part_by_risk (const MrActiveRequest *request, guint n);
/* When the next part of a request with held parts is to be sent; MR_NEVER: none. */
MrTime mr_relay_next_trial_time (const MrRelay *relay, const MrActiveRequest *request);
void mr_relay_begin_trial (MrRelay *relay, MrTime now, MrActiveRequest *request);
/* Restricts the request to one call at a time.  Its calls in flight are cancelled once an answer is
 * overdue. */
void mr_relay_make_sequential (MrRelay *relay, MrTime now, MrActiveRequest *request);
/* Cancels the calls in flight and holds their parts. */
void mr_relay_cancel_calls (MrRelay *relay, MrTime now, MrActiveRequest *request);
/* Ends the restriction to one call at a time and sends the held parts. */
void mr_relay_release_held_parts (MrRelay *relay, MrTime now, MrActiveRequest *request);
void mr_relay_give_up (MrRelay *relay, MrTime now, MrActiveRequest *request, MrCause cause);
/* TRUE if another daemon is to try the content. */
gboolean mr_relay_is_other_daemons_turn (MrRelay *relay, const SuspectContent *content);
/* Closes or cancels the part's calls in flight. */
void mr_relay_cancel_part_calls (MrRelay *relay, MrTime now, RequestPart *part);

/* Choice of a target (relay_choice.c): reads the state of targets without changing it. */

/* Best target for the part now; NULL if there is none.  Sets @any_eligible if there is a target
 * that the part may be sent to now or later. */
MrTargetState *mr_relay_choose_target (MrRelay *relay,
                                       MrTime now,
                                       const RequestPart *part,
                                       gboolean *any_eligible);
/* Why the group has no target that can get calls now or soon. */
MrCause mr_relay_no_target_cause (const TargetGroup *group);
/* TRUE if the part may be sent to @target once that is usable and has room. */
gboolean mr_relay_may_send_to (const MrRelay *relay,
                               MrTime now,
                               const RequestPart *part,
                               const MrTargetState *target);
/* TRUE if @target's oldest call has been unanswered for much longer than usual. */
gboolean mr_relay_is_stalled (const MrTargetState *target, MrTime now);
/* TRUE if the attempt limit allows another send of the part. */
gboolean mr_relay_has_attempts_left (const RequestPart *part);

/* Update the part's attempts after a send, and after the end of a call. */
void mr_relay_record_send (RequestPart *part, const MrTargetState *target);
void
mr_relay_record_attempt (RequestPart *part, const MrTargetState *target, MrCallOutcome outcome);

/* Marks the target as cold after a restart or an evacuation, without a report that it is. */
void mr_relay_assume_cold (MrTargetState *target, MrTime now);
/* Carries out the action that the target's health requires, and sends queued parts. */
void mr_relay_apply_health_action (MrRelay *relay,
                                   MrTime now,
                                   MrTargetState *target,
                                   MrHealthAction action);

/* Sends the part for the first time, or leaves it out.  Returns FALSE if this has finished the
 * request. */
gboolean mr_relay_begin_part (MrRelay *relay, MrTime now, RequestPart *part);

/* Sends the part to its best target, queues it, or ends it without an answer.  Returns FALSE if
 * this has finished the request. */
gboolean
mr_relay_send_or_queue (MrRelay *relay, MrTime now, RequestPart *part, MrSendReason reason);

/* TRUE if the part is to be left out: its targets are so loaded that its answer would be late, and
 * the request can be answered without it. */
gboolean mr_relay_leave_out (MrRelay *relay, MrTime now, RequestPart *part);

/* Expected time of the part's call with its wait, in microseconds; 0 while the route's statistics
 * are not reliable, as after a start. */
double mr_relay_expected_time (const RequestPart *part, MrTime now);
double mr_relay_part_load (const RequestPart *part, MrTime now);

/* TRUE if every usable target of the part's group has reached this daemon's limit of calls, so that
 * sending fewer calls would help. */
gboolean mr_relay_part_is_saturated (const RequestPart *part, MrTime now);

/* Calls that this daemon may have at the group's usable targets together, for requests with an
 * organisation.  Sets @used to those that it has. */
double mr_relay_shared_room (const TargetGroup *group, MrTime now, double *used);
/* TRUE if the part has an organisation and must wait because this daemon has that many calls. */
gboolean mr_relay_shared_room_is_used (const RequestPart *part, MrTime now);

/* Queueing delay of a part that is queued now. */
MrTime mr_relay_expected_wait (const RequestPart *part, MrTime now);

/* Sets the request's organisation, and its state in the first group (relay_fair.c). */
void mr_relay_set_organisation (MrTime now,
                                MrActiveRequest *request,
                                const MrOrganisation *organisation);
/* Decides whether to refuse the request so that @fraction of all work is refused and large
 * organisations lose most.  @random is between 0 and 1. */
gboolean mr_relay_should_refuse (
    MrTime now, MrActiveRequest *request, double fraction, double max_fraction, double random);
/* Adds a part that is about to be queued to the group's fair queue. */
void mr_relay_tag_part (RequestPart *part);
/* The part has left its queue, to be sent or not. */
void mr_relay_untag_part (RequestPart *part, gboolean sent);
/* The call has ended; records its slot time. */
void mr_relay_record_work (const Call *call, MrTime now);
/* The request has been refused without being run; records its demand. */
void mr_relay_record_refusal (MrTime now, const MrActiveRequest *request);
/* TRUE if the answer to a call that is sent now would miss the latency goal. */
gboolean mr_relay_misses_goal (const RequestPart *part, MrTime now);
/* TRUE if @a is to be sent before @b, given the tags that they have or would get. */
gboolean
mr_relay_precedes_fairly (const RequestPart *a, double a_tag, const RequestPart *b, double b_tag);
/* Number of parts that would be sent before a part that is queued now. */
double mr_relay_parts_ahead (const RequestPart *part, MrTime now);
/* The part to send next, of those in the group's queue that may be sent to @target (NULL: of all);
 * NULL if there is none. */
RequestPart *mr_relay_next_queued (const MrRelay *relay,
                                   MrTime now,
                                   const TargetGroup *group,
                                   const MrTargetState *target);

/* Sends a hedge beside the part's call in flight; FALSE if none is possible now. */
gboolean mr_relay_hedge (MrRelay *relay, MrTime now, RequestPart *part);

/* Sends parts of the group's queue to targets with room; ends those that no target can serve any
 * more. */
void mr_relay_send_queued (MrRelay *relay, MrTime now, TargetGroup *group);
/* Sends queued parts of any of @target's groups to @target while it has room. */
void mr_relay_send_queued_to (MrRelay *relay, MrTime now, MrTargetState *target);
void mr_relay_dequeue (RequestPart *part);

/* Sets the limits of the group's targets from this daemon's share of their connections. */
void
mr_relay_update_limits (const MrRelay *relay, const MrActiveRequest *request, TargetGroup *group);

/* Number of usable targets of the group; sets @room to the calls that they accept together. */
guint mr_relay_group_capacity (const TargetGroup *group, MrTime now, double *room);

guint mr_relay_part_call_count (const RequestPart *part);
/* TRUE if a call of any part is in flight. */
gboolean mr_relay_has_calls (const MrActiveRequest *request);
/* Abandons the part's calls; they may go on until @until. */
void mr_relay_abandon_calls (MrRelay *relay, MrTime now, RequestPart *part, MrTime until);
void mr_relay_finish_part (MrRelay *relay, MrTime now, RequestPart *part, MrCause cause);
void
mr_relay_finish_request (MrRelay *relay, MrTime now, MrActiveRequest *request, MrVerdict verdict);
void mr_relay_schedule (MrRelay *relay, MrActiveRequest *request);
/* Why the request ends at its hard deadline. */
MrCause mr_relay_time_cause (const MrRelay *relay, const MrActiveRequest *request);
/* The call has ended. */
void mr_relay_call_free (MrRelay *relay, MrTime now, Call *call);

/* FALSE while too few calls were answered for the statistics to be used. */
gboolean mr_relay_stats_are_reliable (const RouteStats *stats);
/* Recomputes the quantiles of the statistics. */
void mr_relay_update_stats (RouteStats *stats);
/* Until when a call that is abandoned now may go on. */
MrTime mr_relay_linger_until (const MrRelay *relay, MrTime now);
MrTime mr_relay_silence_timeout (const RouteStats *stats);
