/* Inside of the relay's decisions, shared by its files. */
#pragma once

#include "answered.h"
#include "histogram.h"
#include "patience.h"
#include "relay.h"
#include "timers.h"

enum
{
  CALLS_OF_JOB = 3, /* open at once */
  TRIED_OF_JOB = 8, /* targets remembered as tried */
};

/* Of a service whose targets' limits have not been set yet. */
#define NOT_CAPPED (-1.0)

typedef struct _Job Job;

/* What several sets of targets share. */
typedef struct
{
  MrWindowBudget budget;
  MrWindowTerms terms;
  double hedge_quantile;
  MrTime shortest; /* time that the most pressing requests have for an answer */
  MrTime shortest_at;
  guint waiting[MR_RANKS]; /* jobs in the sets' queues */
} Pool;

/* Targets that serve alike: those of a service, or of one shard of a map. */
typedef struct
{
  char *name;
  Pool *pool;
  GPtrArray *targets; /* MrTargetState, borrowed */
  GQueue waiting;     /* Job, first to go first */
  /* What the targets' limits were set for. */
  guint64 capped_version;
  double capped_share;
  double capped_cold;
  MrTime cold_time; /* of a target that has started or come back */
} Service;

/* Running measures of one route's calls: requests of one route are alike. */
typedef struct
{
  const MrRelayPolicy *policy;
  MrHistogram latency;
  MrTime aim; /* of the route */
  double hedge_quantile;
  double mean;     /* us */
  double usual;    /* median, us; a few slow targets don't move it */
  double unloaded; /* least median of late, us */
  MrTime slow;     /* a call that takes longer is worth a hedge */
} Kind;

/* What a timer belongs to; first member of its owner. */
typedef enum
{
  TIMED_WORK,
  TIMED_CALL,
  TIMED_DOUBT,
} Timed;

typedef struct
{
  Timed timed;
  MrTimer timer; /* silence, or the end of waiting for a call nobody wants */
  guint64 id;
  Job *job; /* NULL once nobody wants it */
  MrTargetState *target;
  GList link; /* in the target's open calls */
  Kind *kind;
  MrTime started;
  guint note; /* index in the work's sends */
  MrFingerprint fingerprint;
} Call;

/* What a job's call to a target has come to. */
typedef enum
{
  TRIED_UNSEEN,  /* never connected: the target has not seen it */
  TRIED_REFUSED, /* seen, and not run by the target's word */
  TRIED_SENT,    /* out, or may have run */
} TriedState;

typedef struct
{
  const MrTargetState *target;
  TriedState state;
  gboolean seen; /* it has refused one of the job's calls, whatever came of the latest */
  guint asked;   /* calls sent to it */
} Tried;

/* A content under which targets have ended, or may have. */
typedef struct
{
  MrFingerprint fingerprint;
  MrEvidence evidence;
  gboolean told;   /* others know of it, or have told us */
  guint trials;    /* requests that are trying it now, one target at a time */
  MrTime heard_at; /* when others last told something new of it; 0: never */
} Content;

/* A call has broken, and whether its target has ended is being found out. */
typedef struct
{
  Timed timed;
  MrTimer timer; /* the end of waiting for it */
  MrTargetState *target;
  MrRelayWork *work; /* NULL: has its verdict */
  Job *job;          /* NULL as well */
  MrFingerprint fingerprint;
  MrEvidence base; /* what was known when the call was sent */
  gboolean probation;
  gboolean gone; /* it is known: the target has ended */
} Doubt;

enum
{
  ENDED_KEPT = 16,    /* targets that ended last */
  ENDED_CONTENTS = 8, /* of the calls that were on one; more than it mostly has slots */
};

/* A target that was found to have ended with calls from here on it. */
typedef struct
{
  MrTime at;
  guint count;
  MrFingerprint contents[ENDED_CONTENTS];
} EndedTarget;

/* One part of a request. */
struct _Job
{
  MrRelayWork *work;
  guint part;
  Service *service;
  GList link; /* in the service's queue */
  gboolean waiting;
  gboolean ended;
  gboolean held;       /* until another part of the request has been answered */
  gboolean reached;    /* its trial has reached a target, which has not answered it */
  guint doubts;        /* broken calls whose targets may have ended */
  MrSendReason reason; /* of the send it waits for */
  guint sends;         /* that may have reached a target */
  guint tried_count;
  Tried tried[TRIED_OF_JOB];
  Call *calls[CALLS_OF_JOB];
  MrTime hedge_at;
  gpointer failure; /* last answer that tells a failure */
};

struct _MrRelayWork
{
  Timed timed;
  MrTimer timer;
  gpointer request;
  MrConfiguration *configuration;
  const MrRoute *route;
  Kind *kind;
  MrTime arrived;
  MrTime soft_end; /* from then on, enough shards are answered with */
  MrTime hard_end;
  MrTime deadline; /* as the caller said */
  MrFingerprint fingerprint;
  MrEvidence base;     /* what was known of its content when the calls that are out were sent */
  gboolean suspect;    /* a target has ended under its content, and none has answered */
  gboolean finder;     /* under one of its own calls */
  gboolean one_by_one; /* one call at a time, until one is answered */
  gboolean staged;     /* one part is out, the others follow its answer */
  gboolean trying;     /* counts among its content's trials */
  gboolean probation;  /* tries a quarantined content once more */
  Job *trial;          /* the part that is out, or on its way */
  MrTime cancel_at;    /* when its calls are cancelled; MR_NEVER: they are not */
  MrTime trial_at;     /* not before */
  MrTime next_hedge;   /* not before, while no part has been answered */
  guint held;          /* parts */
  guint doubts;
  gboolean ran;  /* a target may have begun on it */
  MrCause cause; /* of the part that failed last */
  guint part_count;
  guint open;   /* parts not ended */
  guint have;   /* parts with an answer */
  guint needed; /* parts that an answer needs */
  guint spare;  /* parts that may still be left out for load */
  Job *jobs;
  gpointer *answers;
  GArray *sends; /* MrSendNote */
};

struct _MrRelay
{
  MrRelayHost *host;
  const MrRelayPolicy *policy;
  char *domain;
  GHashTable *regions; /* failure domain -> region; may be NULL; borrowed */
  MrWindowTerms terms; /* that pools begin with */
  MrRelayShares shares;
  MrColdTerms cold;
  GRand *random;
  GHashTable *pools;     /* name -> Pool */
  GHashTable *services;  /* name -> Service */
  GHashTable *kinds;     /* route name -> Kind */
  GHashTable *splits;    /* route name -> Split */
  GHashTable *targets;   /* id, or address (by_address) -> MrTargetState */
  GHashTable *calls;     /* id -> Call */
  GHashTable *works;     /* set of MrRelayWork */
  GHashTable *evacuated; /* set of failure domains; NULL: none */
  GPtrArray *retired;    /* MrTargetState of targets that are gone */
  GHashTable *contents;  /* MrFingerprint -> Content */
  GPtrArray *doubts;     /* Doubt */
  MrAnswered *answered;
  EndedTarget ended[ENDED_KEPT];
  guint ended_count;   /* ever */
  MrTime staged_until; /* searches go to one shard first */
  MrTime unix_offset;
  MrTimers *timers;
  MrFinishTime finish; /* of answers that were due at their soft end */
  MrTime health_at;    /* next look at the targets that are down */
  gboolean some_down;
  guint64 last_call;
  MrRelayCounts counts;
};

Service *mr_relay_service (MrRelay *relay, const char *name);
/* Frees the work with its answers; its calls have been let go. */
void mr_relay_work_free (MrRelay *relay, MrRelayWork *work);
void mr_relay_split_free (gpointer split);

/* What an answer says of its kind of request and its target, and what the end of
 * a call says of its target. */
void mr_relay_note_latency (Kind *kind, MrTargetState *target, MrTime latency);
MrHealthAction mr_relay_note_target (
    MrRelay *relay, MrTime now, MrTargetState *target, MrCallOutcome outcome, MrTime started);

gboolean mr_relay_is_evacuated (const MrRelay *relay, const char *domain);

/* Targets that end while requests run there (relay_doubt.c). */

/* The connection of a call of @fingerprint to @target has broken; its health has been
 * told. */
void
mr_relay_note_broken (MrRelay *relay, MrTime now, MrTargetState *target, MrFingerprint fingerprint);
/* Whether @target still accepts connections has turned out. */
void mr_relay_note_probed (MrRelay *relay, MrTime now, MrTargetState *target, gboolean answered);
/* A call of the job has broken: the job waits until it is known whether @target has
 * ended, if that may be. */
void mr_relay_doubt (MrRelay *relay, MrTime now, Job *job, MrTargetState *target);
void mr_relay_doubt_due (MrRelay *relay, MrTime now, Doubt *doubt);
/* When a target ended last on which no call of @fingerprint was; 0: not lately. */
MrTime mr_relay_last_other_end (const MrRelay *relay, MrFingerprint fingerprint);
/* What is still being found out of the request's calls counts without it, unless it was
 * answered. */
void mr_relay_leave_doubts (MrRelay *relay, MrRelayWork *work);

/* Contents that end their targets (relay_content.c). */

Content *mr_relay_content (MrRelay *relay, MrFingerprint fingerprint);
guint32 mr_relay_unix_time (const MrRelay *relay, MrTime now);
/* A target has ended under the call that @doubt is of. */
void mr_relay_add_evidence (MrRelay *relay, MrTime now, const Doubt *doubt);
/* A target has answered @fingerprint: what was known against it is void. */
void mr_relay_note_answered (MrRelay *relay, MrTime now, MrFingerprint fingerprint);
/* Whether the request's content may be sent, and how. */
MrCause mr_relay_admit_content (MrRelay *relay, MrTime now, MrRelayWork *work);
/* The request has its verdict, or its caller has gone. */
void mr_relay_leave_content (MrRelay *relay, MrRelayWork *work);

/* Searches that go to one shard first (relay_stage.c). */

/* @content ends its targets. */
void mr_relay_note_quarantined (MrRelay *relay, MrTime now, const Content *content);
gboolean mr_relay_is_staged (const MrRelay *relay, MrTime now, const MrRelayWork *work);
/* Sends the first part of the request, which may end with it, and holds the others. */
void mr_relay_begin_staged (MrRelay *relay, MrTime now, MrRelayWork *work);
/* The first part has ended: the others go out, unless its target has ended as well. */
void mr_relay_end_stage (MrRelay *relay, MrTime now, MrRelayWork *work);

/* Parts that wait, and go out one by one (relay_trial.c). */

/* Another trial of the same content has its result within this; what it says is awaited
 * rather than a second target risked. */
#define MR_TRIAL_GAP (150 * MR_MS)

/* A call of the job has ended without an answer and nothing is out for it: sends it
 * again, or holds it. */
void mr_relay_go_on (MrRelay *relay, MrTime now, Job *job);
/* TRUE while only one call of the request may be in flight that puts a target at risk. */
gboolean mr_relay_is_suspicious (const MrRelayWork *work);
void mr_relay_hold (Job *job);
/* The held part whose shard can best do without one more target; held no longer.  There has
 * to be one. */
Job *mr_relay_take_held (const MrRelayWork *work, MrTime now);
/* The parts in the order in which targets of their shards are put at risk. */
Job *mr_relay_nth_risk (const MrRelayWork *work, guint n);
/* When the next part of a request that goes one by one is due; MR_NEVER: nothing is. */
MrTime mr_relay_trial_due (const MrRelay *relay, const MrRelayWork *work);
void mr_relay_begin_trial (MrRelay *relay, MrTime now, MrRelayWork *work);
/* From now on one call of the request at a time; those in flight are cancelled once an answer
 * is overdue. */
void mr_relay_go_one_by_one (MrRelay *relay, MrTime now, MrRelayWork *work);
/* Cancels the calls in flight. */
void mr_relay_cancel_calls (MrRelay *relay, MrTime now, MrRelayWork *work);
/* Its content is cleared: what is held goes out. */
void mr_relay_release (MrRelay *relay, MrTime now, MrRelayWork *work);
void mr_relay_give_up (MrRelay *relay, MrTime now, MrRelayWork *work, MrCause cause);
/* TRUE if it is another daemon's turn to try the content. */
gboolean mr_relay_is_anothers (MrRelay *relay, const Content *content);
/* Closes or cancels what is out for the job. */
void mr_relay_withdraw_calls (MrRelay *relay, MrTime now, Job *job);

/* Choice of a target (relay_choice.c): functions of what is known, without effect on
 * it. */

/* Best target that the job may be sent to now; NULL if there is none.  @hope is set if
 * one may have room later. */
MrTargetState *mr_relay_pick (MrRelay *relay, MrTime now, const Job *job, gboolean *hope);
/* Why no target of the service may be given work, now or soon. */
MrCause mr_relay_no_target_cause (const Service *service);
/* TRUE if the job may go to @target once that is usable and has room. */
gboolean
mr_relay_may_go (const MrRelay *relay, MrTime now, const Job *job, const MrTargetState *target);
/* TRUE if @target's oldest call has gone unanswered for much longer than usual. */
gboolean mr_relay_stalled (const MrTargetState *target, MrTime now);
/* TRUE if the bound on targets leaves one that the job may still be sent to. */
gboolean mr_relay_may_try_more (const Job *job);

/* What the job has tried: a call is sent, a call has ended. */
void mr_relay_note_sent (Job *job, const MrTargetState *target);
void mr_relay_note_tried (Job *job, const MrTargetState *target, MrCallOutcome outcome);

/* The target may be cold, though nothing has said so. */
void mr_relay_assume_cold (MrTargetState *target, MrTime now);
/* Carries out what a target's health asks for. */
void mr_relay_act (MrRelay *relay, MrTime now, MrTargetState *target, MrHealthAction action);

/* Sends the job for the first time, or leaves it out.  Returns FALSE if the work has ended
 * with it. */
gboolean mr_relay_begin_job (MrRelay *relay, MrTime now, Job *job);

/* Sends the job to its best target, queues it, or ends it without an answer.
 * Returns FALSE if the work has ended with it. */
gboolean mr_relay_place (MrRelay *relay, MrTime now, Job *job, MrSendReason reason);

/* TRUE if the part is better left out: its targets are so loaded that it would
 * come too late, and the answer is good enough without it. */
gboolean mr_relay_leave_out (MrRelay *relay, MrTime now, Job *job);

double mr_relay_job_load (const Job *job, MrTime now);

/* TRUE if every usable target of the job's service has all that it may have from
 * here in flight: it is slow for its load, and fewer calls would help. */
gboolean mr_relay_job_crowded (const Job *job, MrTime now);

/* Time until a job that is queued now gets room, from the queue before it. */
MrTime mr_relay_expected_wait (const Job *job, MrTime now);

/* A hedge beside the call that is under way; FALSE if none may go out now. */
gboolean mr_relay_hedge (MrRelay *relay, MrTime now, Job *job);

/* Gives room at the service's targets to the jobs that wait; ends those that no
 * target can serve any more. */
void mr_relay_pump (MrRelay *relay, MrTime now, Service *service);
/* Gives room at @target to the jobs that wait for it, in whatever set. */
void mr_relay_pump_target (MrRelay *relay, MrTime now, MrTargetState *target);
void mr_relay_unqueue (Job *job);

/* Sets the limits of the service's targets to this daemon's share of their
 * connections. */
void mr_relay_cap (const MrRelay *relay, const MrRelayWork *work, Service *service);

/* Usable targets of the service, and calls they have room for together. */
guint mr_relay_usable (const Service *service, MrTime now, double *room);

guint mr_relay_job_calls (const Job *job);
/* TRUE if a call of any part is out. */
gboolean mr_relay_has_calls (const MrRelayWork *work);
/* The job's calls are not wanted any more; they may run out until @until. */
void mr_relay_orphan_calls (MrRelay *relay, MrTime now, Job *job, MrTime until);
void mr_relay_end_job (MrRelay *relay, MrTime now, Job *job, MrCause cause);
void mr_relay_finish (MrRelay *relay, MrTime now, MrRelayWork *work, MrVerdict verdict);
void mr_relay_schedule (MrRelay *relay, MrRelayWork *work);
void mr_relay_call_free (MrRelay *relay, Call *call);

/* FALSE while too few calls have been answered: its measures are guesses. */
gboolean mr_relay_is_learned (const Kind *kind);
/* Reads the kind's measures anew. */
void mr_relay_measure (Kind *kind);
/* Until when a call that nobody wants from now on may run out. */
MrTime mr_relay_linger (const MrRelay *relay, MrTime now);
MrTime mr_relay_silent_delay (const Kind *kind);
