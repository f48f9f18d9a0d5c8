/* Records of orders of one process incarnation: what makes an order run at most
 * once.
 *
 * Only the process that issued a ticket may dispatch it, and its memory says
 * whether it did.  No clock of another process, no lease and no store is
 * involved, so a pause, a cut or an outage of the platform can't make it run
 * twice; if the process is gone its tickets are never dispatched again.
 * What was weighed: docs/design/at-most-once.md. */
#pragma once

#include "result.h"
#include "ticket.h"

typedef struct _MrOrderRecords MrOrderRecords;

typedef struct
{
  MrTime ticket_life; /* a ticket is dispatched within this of its issue */
  MrTime record_life; /* a record is kept this long after that */
  guint max_records;
} MrOrderRecordLimits;

typedef enum
{
  MR_ORDER_ACTION_RUN,     /* dispatch it now; the record is made */
  MR_ORDER_ACTION_FORWARD, /* another incarnation's: its daemon is named in @ticket */
  MR_ORDER_ACTION_ANSWER,  /* answer with @result and @reply; nothing to run */
} MrOrderAction;

typedef struct
{
  MrOrderAction action;
  MrResult result;
  MrText reply; /* borrowed until the next call */
  MrTicket ticket;
} MrOrderDecision;

/* Takes @issuer. */
MrOrderRecords *mr_order_records_new (MrTicketIssuer *issuer, const MrOrderRecordLimits *limits);
void mr_order_records_free (MrOrderRecords *orders);
MrTicketIssuer *mr_order_records_issuer (MrOrderRecords *orders);

/* What to do with a request that presents @ticket with @body for @service. */
MrOrderDecision mr_order_records_begin (
    MrOrderRecords *orders, MrTime now, MrText ticket, MrText service, MrText body);

/* The dispatch of @sequence has ended; not-run outcomes free the ticket for
 * another try. */
void mr_order_records_end (MrOrderRecords *orders, guint64 sequence, MrResult result, MrText reply);

guint mr_order_records_count (const MrOrderRecords *orders);
guint mr_order_records_in_flight (const MrOrderRecords *orders);
