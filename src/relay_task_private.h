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
#include "start_queue.h"
#include "target_client.h"

typedef struct
{
  MrCallerServerHost host;
  MrRelayTask *task;
} Pages;

struct _MrRelayTask
{
  MrLoopHost loop_host;
  MrRelayHost relay_host;
  MrTargetClientHost client_host;
  MrCallerServerHost caller_host;
  Pages ready_pages;
  Pages directory_pages;
  Pages metrics_pages;
  const MrRelaySettings *settings;
  const MrDialect *dialect;
  MrLoop *loop;
  MrMailbox *control;
  MrRelay *relay;
  MrTargetClient *client;
  MrCallerServer *callers;
  MrCallerServer *ready_server;
  MrCallerServer *directory;
  MrCallerServer *metrics; /* NULL: not asked for */
  MrView *view;
  MrRoster *roster;
  MrEntryPlan plan; /* of the roster's members */
  MrColdShare *cold;
  guint32 load; /* thousandths of a core, in steps */
  guint32 announced_load;
  guint64 load_calls;  /* counted when the load was measured */
  MrTime load_at;      /* next measurement */
  gboolean announced;  /* told the others that this daemon takes callers */
  MrStartQueue *early; /* requests that came before this daemon was ready */
  guint64 content_key; /* of fingerprints: the deployment's */
  guint64 early_count; /* of them, ever */
  MrTime stop_at;      /* when the planned stop began; 0: none */
  gboolean stopped;
  void (*on_stopped) (void *user);
  void *user;
  guint64 served;      /* plain answers, for the sampling of their log lines */
  guint64 statuses[6]; /* answers by hundreds */
  MrHistogram latency; /* of answers with success */
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
  MrTime left; /* until the caller's deadline */
} MrRelayLine;

void mr_relay_log_result (MrRelayTask *task, const MrRelayLine *about, const MrRelayResult *result);

void mr_relay_request_init (MrRelayTask *task);
/* Begins the requests that came early, or refuses them if it is time. */
void mr_relay_request_release (MrRelayTask *task, MrTime now, MrTime *next);
void mr_relay_pages_init (MrRelayTask *task);
