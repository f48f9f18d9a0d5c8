/* Handles orders: requests of callers, the dispatch of tickets that this process has issued,
 * and forwarding to the process that issued a ticket (order_records.c decides which). */
#pragma once

#include "entry_context.h"
#include "task_message.h"

typedef struct _MrOrderHandler MrOrderHandler;

/* @random: 32 bytes for the ticket issuer. */
MrOrderHandler *mr_order_handler_new (MrEntryContext *context, const guint8 random[32]);
void mr_order_handler_free (MrOrderHandler *handler);
const char *mr_order_handler_incarnation (const MrOrderHandler *handler);

/* Responds with a new ticket. */
void mr_order_handler_issue_ticket (MrOrderHandler *handler, guint64 http_id);

void mr_order_handler_begin (MrOrderHandler *handler,
                             const MrEntryRequest *request,
                             MrText ticket,
                             MrText body);

/* Another daemon has forwarded a ticket that was issued here. */
void mr_order_handler_on_forwarded (MrOrderHandler *handler, const MrOrderMessage *message);
/* The issuer reports the result of a forwarded order. */
void mr_order_handler_on_result (MrOrderHandler *handler, const MrOrderResultMessage *message);

/* Takes ownership of @partial and returns TRUE if it belongs to an order; otherwise returns
 * FALSE. */
gboolean mr_order_handler_on_partial (MrOrderHandler *handler, MrPartial *partial);
MrTime mr_order_handler_tick (MrOrderHandler *handler, MrTime now);

/* Forwarded orders end by @at at the latest, as unknown. */
void mr_order_handler_end_by (MrOrderHandler *handler, MrTime at);
/* From now on no order is dispatched or forwarded; those that were not run are refused. */
void mr_order_handler_refuse (MrOrderHandler *handler);
/* Answers all orders without a result: they may have run. */
void mr_order_handler_end_all (MrOrderHandler *handler);

/* Number of orders that were dispatched or forwarded and have no result yet. */
guint mr_order_handler_pending_count (const MrOrderHandler *handler);
