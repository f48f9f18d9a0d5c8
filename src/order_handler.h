/* Orders on their way: callers' requests, the dispatch of tickets of this
 * process, and forwarding to the process that issued the ticket (order_records.c
 * decides). */
#pragma once

#include "entry_context.h"
#include "task_message.h"

typedef struct _MrOrderHandler MrOrderHandler;

/* @random: 32 bytes for the ticket issuer. */
MrOrderHandler *mr_order_handler_new (MrEntryContext *context, const guint8 random[32]);
void mr_order_handler_free (MrOrderHandler *flow);
const char *mr_order_handler_incarnation (const MrOrderHandler *flow);

/* Answers with a new ticket. */
void mr_order_handler_issue_ticket (MrOrderHandler *flow, guint64 http_id);

void mr_order_handler_begin (MrOrderHandler *flow,
                             const MrEntryRequest *request,
                             MrText ticket,
                             MrText body);

/* Another daemon's caller presents a ticket of ours. */
void mr_order_handler_on_forwarded (MrOrderHandler *flow, const MrOrderMessage *message);
void mr_order_handler_on_result (MrOrderHandler *flow, const MrOrderResultMessage *message);

/* FALSE, and not taken, if it belongs to no order. */
gboolean mr_order_handler_on_partial (MrOrderHandler *flow, MrPartial *partial);
MrTime mr_order_handler_tick (MrOrderHandler *flow, MrTime now);

/* Orders that are being run or waited for. */
guint mr_order_handler_pending_count (const MrOrderHandler *flow);
