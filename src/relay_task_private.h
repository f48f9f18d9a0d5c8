/* Internals of the relay task, shared by its files:
 *   relay_task.c     views, readiness, event loop
 *   relay_request.c  requests from arrival to answer
 *   relay_limits.c   rate limits of organisations
 *   relay_log.c      log lines of the results of requests
 *   relay_pages.c    readiness, addresses, metrics, quarantine
 *   relay_stop.c     planned stop */
#pragma once

#include "access.h"
#include "caller_server.h"
#include "cold_share.h"
#include "denial_check.h"
#include "entry_plan.h"
#include "histogram.h"
#include "organisation_limits.h"
#include "organisation_page.h"
#include "relay.h"
#include "relay_task.h"
#include "startup_queue.h"
#include "target_client.h"
#include "task_message.h"

typedef struct
{
  MrCallerServerHost host;
  MrRelayTask *task;
} PageHost;

/* A planned stop. */
typedef struct
{
  MrTime began;           /* 0: not begun */
  MrTime listener_closed; /* 0: not yet */
  gboolean ended;
  guint open_requests;   /* read and unanswered when it began */
  guint64 read_requests; /* since */
} MrRelayStop;

struct _MrRelayTask
{
  MrLoopHandler loop_handler;
  MrRelayHost relay_host;
  MrTargetClientHost client_host;
  MrLimitsHost limits_host;
  MrDenialCheckHost denial_check_host;
  MrCallerServerHost caller_host;
  PageHost ready_pages;
  PageHost directory_pages;
  PageHost metrics_pages;
  const MrRelaySettings *settings;
  const MrDialect *dialect;
  MrLoop *loop;
  MrMailbox *control;
  MrRelay *relay;
  MrTargetClient *client;
  MrLimits *limits;
  MrDenialCheck *denial_check; /* requests with unknown keys */
  MrCallerServer *caller_server;
  MrCallerServer *ready_server;
  MrCallerServer *directory_server;
  MrCallerServer *metrics_server; /* NULL: not configured */
  MrView *view;
  MrRoster *roster;
  MrEntryPlan entry_plan; /* computed from the roster */
  MrColdShare *cold_share;
  guint32 load; /* thousandths of a core, rounded up to a power-of-two step */
  guint32 announced_load;
  guint64 calls_at_last_load;     /* calls counted at the last measurement */
  MrTime next_load_at;            /* time of the next measurement */
  gboolean announced_ready;       /* readiness last reported to the control task */
  MrStartupQueue *early_requests; /* requests that arrived before this daemon was ready */
  guint64 content_key;            /* the deployment's key for fingerprints */
  guint64 early_request_count;    /* requests ever queued in early_requests */
  MrRelayStop stop;
  void (*on_stopped) (void *user);
  void *user;
  guint64 success_count; /* complete answers without hedges or retries, to sample their log lines */
  GHashTable *limit_refusals[2]; /* not yet logged: for an unknown limit, for an exceeded one */
  MrTime limit_log_at;           /* when to log them; 0: there are none */
  guint limit_logged_ids;        /* requests in them that the log lines will name */
  guint64 denied_counts[MR_ACCESS_UNKNOWN_KEY + 1]; /* requests answered with 401, by cause */
  guint64 status_class_counts[6];                   /* answers by hundreds of the status code */
  MrHistogram success_latency;                      /* of successful answers */
};

#define RELAY_TASK_OF(pointer, member)                                                             \
  ((MrRelayTask *) (void *) ((char *) (pointer) -offsetof (MrRelayTask, member)))

/* TRUE if the view from the control task is ready and has a configuration. */
gboolean mr_relay_task_ready (const MrRelayTask *task);

/* Properties of a request for its log line. */
typedef struct
{
  const char *id;
  MrFingerprint fingerprint;
  const MrRoute *route;
  const char *organisation; /* NULL: none */
  guint64 version;          /* version of the configuration */
  int status;
  MrTime took;
  MrTime time_left; /* time until the caller's deadline */
} MrRequestLogInfo;

void
mr_relay_log_result (MrRelayTask *task, const MrRequestLogInfo *info, const MrRelayResult *result);

typedef void (*MrLimitDecidedFunc) (MrLimitsHost *host,
                                    gpointer request,
                                    MrLimitDecision decision,
                                    MrTime retry_after);

void mr_relay_limits_init (MrRelayTask *task, MrLimitDecidedFunc decided);
/* Handles a message about rate limits from another daemon. */
void mr_relay_limits_receive (MrRelayTask *task, const MrLimitTaskMessage *message);
/* Decides on @request; one without an organisation (NULL) or without a limit is admitted. */
MrLimitDecision mr_relay_limits_check (MrRelayTask *task,
                                       const MrOrganisation *organisation,
                                       MrTime deadline,
                                       gpointer request,
                                       MrTime *retry_after);
MrTime mr_relay_limits_tick (MrRelayTask *task, MrTime now);
void mr_relay_limits_clear (MrRelayTask *task);

/* A request that a rate limit did not admit. */
typedef struct
{
  const char *id;
  const char *organisation;
  gboolean exceeded; /* FALSE: the counter was not reached */
  MrTime retry_after;
} MrLimitRefusal;

/* Counts the refusal for the next log line of its organisation. */
void mr_relay_limits_refused (MrRelayTask *task, const MrLimitRefusal *refusal);
/* Cause for logs and answers; does not change between versions. */
const char *mr_relay_limit_cause (gboolean exceeded);
/* Answers with the page of the largest organisations. */
void mr_relay_limits_answer_page (const MrRelayTask *task, MrCaller *caller);
/* Appends counts of rate limits and denied requests. */
void mr_relay_limits_write_metrics (GString *out, const MrRelayTask *task);

void mr_relay_request_init (MrRelayTask *task);
/* Starts the requests that arrived early once this daemon is ready; refuses them when their waiting
 * time is over.  Lowers @next to that time. */
void mr_relay_request_flush_early (MrRelayTask *task, MrTime now, MrTime *next);
/* Refuses the requests that were read and not submitted to the relay yet. */
void mr_relay_request_refuse_waiting (MrRelayTask *task);
/* Logs the requests that were read and are not answered, when the process ends. */
void mr_relay_request_log_unanswered (MrRelayTask *task);
void mr_relay_pages_init (MrRelayTask *task);

gboolean mr_relay_stop_has_begun (const MrRelayTask *task);
void mr_relay_stop_begin (MrRelayTask *task);
/* Carries out what is due; lowers @next to the time of the next step. */
void mr_relay_stop_continue (MrRelayTask *task, MrTime now, MrTime *next);
