/* Inside of the relay's task, shared by its files:
 *   relay_task.c     views, readiness, planned stop, the loop
 *   relay_request.c  a caller's request from its head to its answer
 *   relay_log.c      log lines of what became of requests
 *   relay_pages.c    readiness, addresses, metrics */
#pragma once

#include "caller_server.h"
#include "cold_share.h"
#include "entry_plan.h"
#include "histogram.h"
#include "message.h"
#include "relay.h"
#include "relay_task.h"
#include "startup_queue.h"
#include "target_client.h"

typedef struct
{
  MrCallerServerHost host;
  MrRelayTask *task;
} PageHost;

struct _MrRelayTask
{
  MrLoopHost loop_host;
  MrRelayHost relay_host;
  MrTargetClientHost client_host;
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
  MrCallerServer *caller_server;
  MrCallerServer *ready_server;
  MrCallerServer *directory_server;
  MrCallerServer *metrics_server; /* NULL: not asked for */
  MrView *view;
  MrRoster *roster;
  MrEntryPlan entry_plan; /* of the roster's members */
  MrColdShare *cold_share;
  guint32 load; /* thousandths of a core, in steps */
  guint32 announced_load;
  guint64 calls_at_last_load;     /* counted when the load was measured */
  MrTime next_load_at;            /* next measurement */
  gboolean announced_ready;       /* told the others that this daemon takes callers */
  MrStartupQueue *early_requests; /* requests that came before this daemon was ready */
  guint64 content_key;            /* of fingerprints: the deployment's */
  guint64 early_request_count;    /* of them, ever */
  MrTime stop_began;              /* when the planned stop began; 0: none */
  gboolean stopped;
  void (*on_stopped) (void *user);
  void *user;
  guint64 success_count;          /* plain answers, for the sampling of their log lines */
  guint64 status_class_counts[6]; /* answers by hundreds */
  MrHistogram success_latency;    /* of answers with success */
};

#define RELAY_TASK_OF(pointer, member)                                                             \
  ((MrRelayTask *) (void *) ((char *) (pointer) -offsetof (MrRelayTask, member)))

/* TRUE if this daemon can serve what the operators have put in force. */
gboolean mr_relay_task_ready (const MrRelayTask *task);

/* What a request's log line says beside its result. */
typedef struct
{
  const char *id;
  MrFingerprint fingerprint;
  const MrRoute *route;
  guint64 version; /* of the configuration */
  int status;
  MrTime took;
  MrTime time_left; /* until the caller's deadline */
} MrRequestLogInfo;

void
mr_relay_log_result (MrRelayTask *task, const MrRequestLogInfo *about, const MrRelayResult *result);

void mr_relay_request_init (MrRelayTask *task);
/* Begins the requests that came early, or refuses them if it is time. */
void mr_relay_request_flush_early (MrRelayTask *task, MrTime now, MrTime *next);
void mr_relay_pages_init (MrRelayTask *task);
