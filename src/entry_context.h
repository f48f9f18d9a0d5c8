/* What the parts of the entry task share; owned by the task, used from its
 * thread only. */
#pragma once

#include "batch.h"
#include "burn.h"
#include "histogram.h"
#include "http_server.h"
#include "mailbox.h"
#include "quarantine.h"
#include "result.h"
#include "settings.h"
#include "view.h"

typedef struct
{
  const MrSettings *settings;
  guint64 incarnation;
  MrHttpServer *server;
  MrMailbox *target_mailbox;
  MrMailbox *control_mailbox;
  MrView *view; /* newest; NULL until the first */
  MrBurn *burn;
  MrQuarantine *quarantine;
  guint64 content_key; /* of fingerprints */
  MrHistogram latency[MR_TRAFFIC_CLASS_COUNT];
  guint64 last_batch_id;
  guint window_refused; /* for overload, since the last look */
  guint window_served;
} MrEntryContext;

/* A caller's request as the filter chain leaves it. */
typedef struct
{
  guint64 http_id;
  const MrServiceView *service;
  MrTime received_at;
  MrTime deadline;
  MrTrafficClass traffic_class;
  const char *request_id; /* the caller's own; may be "" */
} MrEntryRequest;

/* Answers with a refusal or an error: result, name, ran, message. */
void mr_entry_refuse (MrEntryContext *context,
                      guint64 http_id,
                      MrResult result,
                      gint64 retry_after_ms,
                      const char *message);

/* Posts @batch to the target task, as this daemon's own. */
void mr_entry_submit_batch (MrEntryContext *context, MrBatch *batch);

/* Sends @bytes, which it takes, to the member @name. */
void mr_entry_send_to_member (MrEntryContext *context, const char *name, GString *bytes);

/* Appends @text as a JSON string, quotes included. */
void mr_json_append_string (GString *out, MrText text);
