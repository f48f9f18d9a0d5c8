/* Typed messages between the tasks of one daemon.
 *
 * Each struct starts with MrMessage.  The receiving task owns the message and its content: it
 * moves out what it keeps (and sets it to NULL) and frees the rest with mr_message_free ().
 *
 * The entry task serves callers, the target task calls targets, the control task exchanges
 * messages with other daemons, the platform task calls the platform and the relay task forwards
 * requests to targets. */
#pragma once

#include "batch.h"
#include "limit_message.h"
#include "mailbox.h"
#include "member.h"
#include "quarantine.h"
#include "result.h"
#include "target_table.h"
#include "view.h"

typedef enum
{
  MR_MESSAGE_VIEW,
  MR_MESSAGE_CHANGES,
  MR_MESSAGE_SUBMIT,
  MR_MESSAGE_CANCEL_BATCH,
  MR_MESSAGE_PARTIAL,
  MR_MESSAGE_PEER_SEND,
  MR_MESSAGE_ORDER,
  MR_MESSAGE_ORDER_RESULT,
  MR_MESSAGE_LOCAL_STATE,
  MR_MESSAGE_PLATFORM_REQUEST,
  MR_MESSAGE_PLATFORM_RESULT,
  MR_MESSAGE_REPORT,
  MR_MESSAGE_EVIDENCE,
  MR_MESSAGE_LIMIT,
  MR_MESSAGE_STOP,
  MR_MESSAGE_STOP_TIME,
  MR_MESSAGE_VERSION_QUERY,
  MR_MESSAGE_VERSION_REPLY,
} MrMessageType;

/* Control task to entry and target task: the current view. */
typedef struct
{
  MrMessage base;
  MrView *view;
} MrViewMessage;

/* Control task to relay task: what has changed since the previous message. */
typedef struct
{
  MrMessage base;
  GPtrArray *targets; /* MrTargetChange */
  GArray *members;    /* MrMember */
} MrChangesMessage;

/* Entry task to target task: a planned stop has begun.  Batches end by @at; with @refuse_batches,
 * those of other daemons are refused. */
typedef struct
{
  MrMessage base;
  MrTime at;
  gboolean refuse_batches;
} MrStopTimeMessage;

/* Where a batch came from: its root is the daemon that received the search and merges the partial
 * results.  An empty root is the entry task of this daemon. */
typedef struct
{
  char root[MR_NAME_MAX + 1];
  guint64 incarnation;
  guint64 batch_id; /* assigned by the root */
} MrOrigin;

/* Entry or control task to target task: run a batch. */
typedef struct
{
  MrMessage base;
  MrBatch *batch;
  MrOrigin origin;
} MrSubmitMessage;

/* Entry or control task to target task: the result of a batch is no longer needed. */
typedef struct
{
  MrMessage base;
  MrOrigin origin;
} MrCancelBatchMessage;

/* Target or control task to entry task: result of a batch. */
typedef struct
{
  MrMessage base;
  MrPartial *partial;
  char from[MR_NAME_MAX + 1]; /* owner daemon; empty: this daemon */
} MrPartialMessage;

/* Any task to control task: an encoded message to send to a peer. */
typedef struct
{
  MrMessage base;
  char to[MR_NAME_MAX + 1];
  GString *bytes;
} MrPeerSendMessage;

/* Control task to entry task: another daemon has forwarded an order whose ticket was issued by this
 * daemon. */
typedef struct
{
  MrMessage base;
  char from[MR_NAME_MAX + 1];
  guint64 incarnation;
  guint64 request_id;
  char service[MR_NAME_MAX + 1];
  char *ticket;
  gint64 remaining_ms;
  GString *body;
} MrOrderMessage;

/* Control task to entry task: the outcome of an order that this daemon forwarded. */
typedef struct
{
  MrMessage base;
  guint64 request_id;
  MrResult result;
  gint64 retry_after_ms;
  GString *body;
} MrOrderResultMessage;

/* Entry or relay task to control task: the state of this daemon to announce to its peers. */
typedef struct
{
  MrMessage base;
  MrMemberState state;
  gboolean busy;
  guint32 load; /* thousandths of a core */
} MrLocalStateMessage;

typedef enum
{
  MR_PLATFORM_LIST, /* objects of a kind changed since a revision */
  MR_PLATFORM_READ,
  MR_PLATFORM_WRITE,
  MR_PLATFORM_LIST_VMS,
} MrPlatformAction;

/* Control task to platform task. */
typedef struct
{
  MrMessage base;
  MrPlatformAction action;
  char kind[24];
  char name[MR_NAME_MAX + 1];
  guint64 since_revision;   /* of LIST; 0 lists all objects */
  GString *after_name;      /* of LIST: only names after this one; NULL: all */
  guint wait_ms;            /* of LIST: how long the call may wait for changes; 0: no watch */
  guint watch_call;         /* of LIST and LIST_VMS: number of the call within its watch */
  guint64 expected_version; /* of WRITE */
  guint64 era;              /* of the store, as known when the request was made; 0: unknown */
  GString *body;
} MrPlatformRequest;

typedef struct
{
  char name[MR_NAME_MAX + 1];
  guint64 version;
  gboolean deleted;
  GString *body;
} MrPlatformObject;

typedef struct
{
  char ip[46];
  int port; /* of an entry VM: its daemon's peer port */
  gboolean entry;
  gboolean leaving;
} MrPlatformVm;

/* Platform task to control task. */
typedef struct
{
  MrMessage base;
  MrPlatformRequest *request;
  int status;  /* MrStatus */
  guint64 era; /* of the store; rises when it comes back from a copy; 0: not stated */
  guint64 revision;
  guint64 version; /* of WRITE */
  /* Of LIST: version of the removal of objects that it lacks; above every listed version, below
   * any later one. */
  guint64 removed_version;
  gboolean truncated; /* of LIST: there are more names after the last one */
  /* Of LIST: the last name on the page that could be read, as stored, also of an entry that was
   * refused; NULL: none. */
  GString *last_name;
  gboolean history_expired; /* of LIST: the changes since that revision are no longer available */
  GPtrArray *objects;
  GArray *vms; /* MrPlatformVm */
} MrPlatformResult;

/* Between the control task and the tasks that call targets, in both directions: evidence that
 * requests with this content crash targets. */
typedef struct
{
  MrMessage base;
  MrFingerprint fingerprint;
  MrEvidence evidence;
  gboolean forget; /* delete the evidence on this fingerprint */
} MrEvidenceMessage;

/* Between the relay task and the control task, in both directions: a message about rate limits to
 * or from another daemon. */
typedef struct
{
  MrMessage base;
  char peer[MR_NAME_MAX + 1];
  MrLimitMessage limit;
} MrLimitTaskMessage;

/* Between entry and target task: text of the answer to an operator's request. */
typedef struct
{
  MrMessage base;
  guint64 request_id;
  GString *text;
} MrReportMessage;

/* Relay task to control task: ask @to for the version of the configuration that it holds. */
typedef struct
{
  MrMessage base;
  char to[MR_NAME_MAX + 1];
  guint64 number;
} MrVersionQueryMessage;

/* Control task to relay task: the reply to a query. */
typedef struct
{
  MrMessage base;
  guint64 number;
  guint64 version;
} MrVersionReplyMessage;

MrViewMessage *mr_view_message_new (MrView *view);
/* Takes ownership of both arrays; either may be NULL. */
MrChangesMessage *mr_changes_message_new (GPtrArray *targets, GArray *members);
MrSubmitMessage *mr_submit_message_new (MrBatch *batch, const MrOrigin *origin);
MrCancelBatchMessage *mr_cancel_batch_message_new (const MrOrigin *origin);
MrPartialMessage *mr_partial_message_new (MrPartial *partial, const char *from);
MrPeerSendMessage *mr_peer_send_message_new (const char *to, GString *bytes);
MrOrderMessage *mr_order_message_new (void);
MrOrderResultMessage *mr_order_result_message_new (void);
MrLocalStateMessage *mr_local_state_message_new (MrMemberState state, gboolean busy);
MrPlatformRequest *
mr_platform_request_new (MrPlatformAction action, const char *kind, const char *name);
/* Takes ownership of @request. */
MrPlatformResult *mr_platform_result_new (MrPlatformRequest *request, int status);
void mr_platform_result_add (
    MrPlatformResult *result, MrText name, guint64 version, gboolean deleted, MrText body);
MrReportMessage *mr_report_message_new (guint64 request_id, GString *text);
/* NULL as @evidence deletes the evidence on @fingerprint. */
MrEvidenceMessage *mr_evidence_message_new (MrFingerprint fingerprint, const MrEvidence *evidence);
MrLimitTaskMessage *mr_limit_task_message_new (const char *peer, const MrLimitMessage *limit);
MrMessage *mr_stop_message_new (void);
MrStopTimeMessage *mr_stop_time_message_new (MrTime at, gboolean refuse_batches);
MrVersionQueryMessage *mr_version_query_message_new (const char *to, guint64 number);
MrVersionReplyMessage *mr_version_reply_message_new (guint64 number, guint64 version);
