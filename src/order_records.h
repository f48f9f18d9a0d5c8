/* Records of the orders of one process incarnation; with them an order runs at most once.
 *
 * Only the process that issued a ticket may dispatch it, and it keeps in memory whether it did.
 * No clock of another process, no lease and no store is involved, so a paused process, a
 * network partition or an outage of the platform cannot make an order run twice.  Once the
 * process has ended, its tickets are never dispatched again.  Alternatives that were considered:
 * docs/design/at-most-once.md. */
#pragma once

#include "result.h"
#include "ticket.h"

typedef struct _MrOrderRecords MrOrderRecords;

typedef struct
{
  MrTime ticket_life; /* how long after its issue a ticket can be dispatched */
  MrTime record_life; /* how much longer its record is kept */
  guint max_records;
} MrOrderRecordLimits;

typedef enum
{
  MR_ORDER_ACTION_RUN,     /* dispatch it now; its record has been made */
  MR_ORDER_ACTION_FORWARD, /* issued by another incarnation, whose daemon @ticket names */
  MR_ORDER_ACTION_ANSWER,  /* answer with @result and @reply without dispatching */
} MrOrderAction;

typedef struct
{
  MrOrderAction action;
  MrResult result;
  MrText reply; /* valid until the next call */
  MrTicket ticket;
} MrOrderDecision;

/* Takes ownership of @issuer. */
MrOrderRecords *mr_order_records_new (MrTicketIssuer *issuer, const MrOrderRecordLimits *limits);
void mr_order_records_free (MrOrderRecords *records);
MrTicketIssuer *mr_order_records_issuer (MrOrderRecords *records);

/* Decides what to do with a request for @service that presents @ticket and @body. */
MrOrderDecision mr_order_records_begin (
    MrOrderRecords *records, MrTime now, MrText ticket, MrText service, MrText body);

/* Records the end of the dispatch of @sequence.  If the order did not run, its record is
 * deleted, so that the ticket can be used again. */
void
mr_order_records_end (MrOrderRecords *records, guint64 sequence, MrResult result, MrText reply);

guint mr_order_records_count (const MrOrderRecords *records);
guint mr_order_records_in_flight (const MrOrderRecords *records);
