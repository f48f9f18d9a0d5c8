#include "order_records.h"

#include "safeguard.h"
#include <xxhash.h>

typedef enum
{
  RECORD_IN_FLIGHT,
  RECORD_ENDED,
} RecordState;

typedef struct
{
  guint64 sequence;
  guint64 body_hash; /* of service and body */
  RecordState state;
  MrResult result;
  GString *reply;
  MrTime expires_at;
  GList *age_link; /* in by_age */
} Record;

struct _MrOrderRecords
{
  MrTicketIssuer *issuer;
  MrOrderRecordLimits limits;
  GHashTable *by_sequence; /* sequence -> Record */
  GQueue by_age;           /* Record, in order of creation */
  guint in_flight;
};

static void
S_record_free (gpointer data)
{
  Record *record = data;
  if (record->reply)
    g_string_free (record->reply, TRUE);
  g_free (record);
}

MrOrderRecords *
mr_order_records_new (MrTicketIssuer *issuer, const MrOrderRecordLimits *limits)
{
  MrOrderRecords *records = g_new0 (MrOrderRecords, 1);
  records->issuer = issuer;
  records->limits = *limits;
  records->by_sequence = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_record_free);
  g_queue_init (&records->by_age);
  return records;
}

void
mr_order_records_free (MrOrderRecords *records)
{
  if (!records)
    return;
  g_queue_clear (&records->by_age);
  g_hash_table_unref (records->by_sequence);
  mr_ticket_issuer_free (records->issuer);
  g_free (records);
}

MrTicketIssuer *
mr_order_records_issuer (MrOrderRecords *records)
{
  return records->issuer;
}

static void
S_delete (MrOrderRecords *records, Record *record)
{
  g_queue_delete_link (&records->by_age, record->age_link);
  g_hash_table_remove (records->by_sequence, &record->sequence);
}

/* Deletes expired records in order of creation, up to the first that has not expired or is in
 * flight.  A record in flight must never be deleted. */
static void
S_delete_expired (MrOrderRecords *records, MrTime now)
{
  for (Record *record = g_queue_peek_head (&records->by_age);
       record && record->expires_at <= now && record->state == RECORD_ENDED;
       record = g_queue_peek_head (&records->by_age))
    S_delete (records, record);
}

static MrOrderDecision
S_answer (MrOrderDecision decision, MrResult result)
{
  decision.action = MR_ORDER_ACTION_ANSWER;
  decision.result = result;
  return decision;
}

static guint64
S_body_hash (MrText service, MrText body)
{
  guint64 seed = XXH64 (service.data, service.len, 0);
  return XXH64 (body.data ? body.data : "", body.len, seed);
}

static MrOrderDecision
S_answer_from_record (const Record *record, MrOrderDecision decision, guint64 body_hash)
{
  if (record->body_hash != body_hash)
    return S_answer (decision, MR_RESULT_TICKET_REUSED);
  if (record->state == RECORD_IN_FLIGHT)
    return S_answer (decision, MR_RESULT_IN_FLIGHT);
  if (record->reply)
    decision.reply = mr_text_of (record->reply);
  return S_answer (decision, record->result);
}

/* Decides on a ticket of this issuer that has no record: it was never dispatched, or its record
 * has expired.  Its age tells which, because records outlive tickets.  Up to ticket_life the
 * order may run; for another record_life a record would still exist, so the order has never
 * run; after that it is unknown whether it ran. */
static MrOrderDecision
S_begin_new (MrOrderRecords *records, MrTime now, MrOrderDecision decision, guint64 body_hash)
{
  MrTime age = mr_ticket_age (records->issuer, &decision.ticket, now);
  if (MR_SAFEGUARD (MR_GUARD_TICKET_EXPIRY))
    {
      if (age > records->limits.ticket_life + records->limits.record_life)
        return S_answer (decision, MR_RESULT_RECORD_GONE);
      if (age > records->limits.ticket_life)
        return S_answer (decision, MR_RESULT_TICKET_EXPIRED);
    }
  if (g_hash_table_size (records->by_sequence) >= records->limits.max_records)
    return S_answer (decision, MR_RESULT_ORDERS_FULL);
  Record *record = g_new (Record, 1);
  *record = (Record){
    .sequence = decision.ticket.sequence,
    .body_hash = body_hash,
    .state = RECORD_IN_FLIGHT,
    .expires_at = now - age + records->limits.ticket_life + records->limits.record_life,
  };
  g_hash_table_insert (records->by_sequence, &record->sequence, record);
  g_queue_push_tail (&records->by_age, record);
  record->age_link = g_queue_peek_tail_link (&records->by_age);
  records->in_flight++;
  decision.action = MR_ORDER_ACTION_RUN;
  return decision;
}

MrOrderDecision
mr_order_records_begin (
    MrOrderRecords *records, MrTime now, MrText ticket, MrText service, MrText body)
{
  MrOrderDecision decision = { 0 };
  S_delete_expired (records, now);
  if (ticket.len == 0)
    return S_answer (decision, MR_RESULT_NO_TICKET);
  if (mr_ticket_parse (ticket, &decision.ticket) != MR_OK)
    return S_answer (decision, MR_RESULT_BAD_TICKET);
  const char *incarnation = mr_ticket_issuer_incarnation (records->issuer);
  if (!g_str_equal (decision.ticket.incarnation, incarnation))
    {
      /* Another incarnation may have dispatched it already.  Only that process has the
       * record, so the request is forwarded to it; if it has ended, no daemon dispatches the
       * ticket. */
      if (MR_SAFEGUARD (MR_GUARD_TICKET_OWNER))
        {
          decision.action = MR_ORDER_ACTION_FORWARD;
          return decision;
        }
    }
  else if (!mr_ticket_is_own (records->issuer, ticket, &decision.ticket))
    return S_answer (decision, MR_RESULT_BAD_TICKET);
  guint64 hash = S_body_hash (service, body);
  Record *record = g_hash_table_lookup (records->by_sequence, &decision.ticket.sequence);
  /* The caller repeats its request after a lost response; without the record the order would be
   * sent a second time. */
  if (record && MR_SAFEGUARD (MR_GUARD_ORDER_RECORD))
    return S_answer_from_record (record, decision, hash);
  if (record)
    S_delete (records, record);
  return S_begin_new (records, now, decision, hash);
}

void
mr_order_records_end (MrOrderRecords *records, guint64 sequence, MrResult result, MrText reply)
{
  Record *record = g_hash_table_lookup (records->by_sequence, &sequence);
  if (!record || record->state != RECORD_IN_FLIGHT)
    return;
  records->in_flight--;
  if (mr_result_ran (result) == MR_RAN_NO)
    {
      S_delete (records, record);
      return;
    }
  record->state = RECORD_ENDED;
  record->result = result;
  record->reply = g_string_new_len (reply.data, (gssize) reply.len);
}

guint
mr_order_records_count (const MrOrderRecords *records)
{
  return g_hash_table_size (records->by_sequence);
}

guint
mr_order_records_in_flight (const MrOrderRecords *records)
{
  return records->in_flight;
}
