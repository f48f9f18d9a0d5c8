/* State that is shared by the modules of the entry task.  It belongs to the task and is only used
 * from its thread. */
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
  MrView *view; /* latest; NULL until the first one arrives */
  MrBurn *burn;
  MrQuarantine *quarantine;
  guint64 content_key; /* key of content fingerprints */
  MrHistogram latency[MR_TRAFFIC_CLASS_COUNT];
  guint64 last_batch_id;
  guint window_refused; /* requests refused for overload since the last check of the load */
  guint window_served;  /* requests served since then */
  MrTime stop_at;       /* all requests end by then; MR_NEVER without a planned stop */
} MrEntryContext;

/* A caller's request after it has passed the filter chain. */
typedef struct
{
  guint64 http_id;
  const MrServiceView *service;
  MrTime received_at;
  MrTime deadline;
  MrTrafficClass traffic_class;
  const char *request_id; /* set by the caller; may be empty */
} MrEntryRequest;

/* Replies with a refusal or an error.  The JSON body has the result, its name, whether the request
 * ran, and
 * @message. */
void mr_entry_refuse (MrEntryContext *context,
                      guint64 http_id,
                      MrResult result,
                      gint64 retry_after_ms,
                      const char *message);

/* TRUE if a request that ends at @now without a full result ends so because of the planned stop. */
gboolean mr_entry_is_cut_short (const MrEntryContext *context, MrTime now);

/* Refuses a request that has not run, as the daemon is stopping. */
void mr_entry_refuse_leaving (MrEntryContext *context, guint64 http_id);

/* Posts @batch to the target task with this daemon as its root.  Takes ownership of @batch. */
void mr_entry_submit_batch (MrEntryContext *context, MrBatch *batch);

/* Sends @bytes to the member @name.  Takes ownership of @bytes. */
void mr_entry_send_to_member (MrEntryContext *context, const char *name, GString *bytes);

/* Appends @text as a quoted JSON string. */
void mr_json_append_string (GString *out, MrText text);
