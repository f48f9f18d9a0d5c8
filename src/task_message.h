/* Typed messages between the tasks of one daemon.
 *
 * Each struct starts with MrMessage; a message's content passes with it to the
 * task that takes it, which moves out what it keeps and frees the rest with
 * mr_message_free (). */
#pragma once

#include "batch.h"
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
  MR_MESSAGE_STOP,
} MrMessageType;

/* Control to entry and targets. */
typedef struct
{
  MrMessage base;
  MrView *view;
} MrViewMessage;

/* Control to a relay: what has changed since the message before. */
typedef struct
{
  MrMessage base;
  GPtrArray *targets; /* MrTargetChange */
  GArray *members;    /* MrMember */
} MrChangesMessage;

/* Where a batch came from; an empty root is this daemon's own entry task. */
typedef struct
{
  char root[MR_NAME_MAX + 1];
  guint64 incarnation;
  guint64 batch_id; /* the root's own number */
} MrOrigin;

/* Entry or control to targets. */
typedef struct
{
  MrMessage base;
  MrBatch *batch;
  MrOrigin origin;
} MrSubmitMessage;

typedef struct
{
  MrMessage base;
  MrOrigin origin;
} MrCancelBatchMessage;

/* Targets or control to entry. */
typedef struct
{
  MrMessage base;
  MrPartial *partial;
  char from[MR_NAME_MAX + 1]; /* owner; empty: this daemon */
} MrPartialMessage;

/* Any task to control: bytes for a peer. */
typedef struct
{
  MrMessage base;
  char to[MR_NAME_MAX + 1];
  GString *bytes;
} MrPeerSendMessage;

/* Control to entry: another daemon's caller presents a ticket of ours. */
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

typedef struct
{
  MrMessage base;
  guint64 request_id;
  MrResult result;
  gint64 retry_after_ms;
  GString *body;
} MrOrderResultMessage;

/* Entry to control: what to tell the others of this daemon. */
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

/* Control to platform. */
typedef struct
{
  MrMessage base;
  MrPlatformAction action;
  char kind[24];
  char name[MR_NAME_MAX + 1];
  guint64 since_revision;           /* of LIST; 0: everything */
  char after_name[MR_NAME_MAX + 1]; /* of LIST: names that follow this one */
  guint wait_ms;                    /* of LIST; over 0 makes it a watch */
  guint watch_call;                 /* of LIST and VMS: its number among those of its watch */
  guint64 expected_version;         /* of WRITE */
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

/* Platform to control. */
typedef struct
{
  MrMessage base;
  MrPlatformRequest *request;
  int status; /* MrStatus */
  guint64 revision;
  guint64 version;          /* of a write */
  guint64 removed_version;  /* of LIST: above that of all it names, below any later one */
  gboolean truncated;       /* of LIST: names follow the last one */
  gboolean history_expired; /* of LIST: the changes since then are no longer known */
  GPtrArray *objects;
  GArray *vms; /* MrPlatformVm */
} MrPlatformResult;

/* Control to those that send requests, and back: targets ended under a content. */
typedef struct
{
  MrMessage base;
  MrFingerprint fingerprint;
  MrEvidence evidence;
  gboolean forget; /* nothing is to be known of it any more */
} MrEvidenceMessage;

/* Entry to targets and back: text for an operator's request. */
typedef struct
{
  MrMessage base;
  guint64 request_id;
  GString *text;
} MrReportMessage;

MrViewMessage *mr_view_message_new (MrView *view);
/* Takes both; either may be NULL. */
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
/* Takes @request. */
MrPlatformResult *mr_platform_result_new (MrPlatformRequest *request, int status);
void mr_platform_result_add (
    MrPlatformResult *result, MrText name, guint64 version, gboolean deleted, MrText body);
MrReportMessage *mr_report_message_new (guint64 request, GString *text);
/* @evidence NULL: to forget it. */
MrEvidenceMessage *mr_evidence_message_new (MrFingerprint fingerprint, const MrEvidence *evidence);
MrMessage *mr_stop_message_new (void);
