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
  MrTime purge_at;
  GList *link; /* in by_age */
} Record;

struct _MrOrderRecords
{
  MrTicketIssuer *issuer;
  MrOrderRecordLimits limits;
  GHashTable *records; /* sequence -> Record */
  GQueue by_age;       /* Record, in the order they were made */
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
  MrOrderRecords *orders = g_new0 (MrOrderRecords, 1);
  orders->issuer = issuer;
  orders->limits = *limits;
  orders->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, S_record_free);
  g_queue_init (&orders->by_age);
  return orders;
}

void
mr_order_records_free (MrOrderRecords *orders)
{
  if (!orders)
    return;
  g_queue_clear (&orders->by_age);
  g_hash_table_unref (orders->records);
  mr_ticket_issuer_free (orders->issuer);
  g_free (orders);
}

MrTicketIssuer *
mr_order_records_issuer (MrOrderRecords *orders)
{
  return orders->issuer;
}

static void
S_forget (MrOrderRecords *orders, Record *record)
{
  g_queue_delete_link (&orders->by_age, record->link);
  g_hash_table_remove (orders->records, &record->sequence);
}

/* Drops records past their life; one in flight is never dropped. */
static void
S_purge (MrOrderRecords *orders, MrTime now)
{
  for (Record *record = g_queue_peek_head (&orders->by_age);
       record && record->purge_at <= now && record->state == RECORD_ENDED;
       record = g_queue_peek_head (&orders->by_age))
    S_forget (orders, record);
}

static MrOrderDecision
S_answer (MrOrderDecision verdict, MrResult result)
{
  verdict.action = MR_ORDER_ACTION_ANSWER;
  verdict.result = result;
  return verdict;
}

static guint64
S_body_hash (MrText service, MrText body)
{
  guint64 seed = XXH64 (service.data, service.len, 0);
  return XXH64 (body.data ? body.data : "", body.len, seed);
}

static MrOrderDecision
S_from_record (const Record *record, MrOrderDecision verdict, guint64 body_hash)
{
  if (record->body_hash != body_hash)
    return S_answer (verdict, MR_RESULT_TICKET_REUSED);
  if (record->state == RECORD_IN_FLIGHT)
    return S_answer (verdict, MR_RESULT_IN_FLIGHT);
  if (record->reply)
    verdict.reply = mr_text_of (record->reply);
  return S_answer (verdict, record->result);
}

/* A ticket of ours without a record: was it never dispatched, or is its record
 * gone?  Its age tells, since records outlive tickets: within ticket_life it
 * may run; then until record_life a record would still be here, so it surely
 * never ran; after that nothing can be said. */
static MrOrderDecision
S_first_sight (MrOrderRecords *orders, MrTime now, MrOrderDecision verdict, guint64 body_hash)
{
  MrTime age = mr_ticket_age (orders->issuer, &verdict.ticket, now);
  if (MR_SAFEGUARD (MR_GUARD_TICKET_EXPIRY))
    {
      if (age > orders->limits.ticket_life + orders->limits.record_life)
        return S_answer (verdict, MR_RESULT_RECORD_GONE);
      if (age > orders->limits.ticket_life)
        return S_answer (verdict, MR_RESULT_TICKET_EXPIRED);
    }
  if (g_hash_table_size (orders->records) >= orders->limits.max_records)
    return S_answer (verdict, MR_RESULT_ORDERS_FULL);
  Record *record = g_new (Record, 1);
  *record = (Record){
    .sequence = verdict.ticket.sequence,
    .body_hash = body_hash,
    .state = RECORD_IN_FLIGHT,
    .purge_at = now - age + orders->limits.ticket_life + orders->limits.record_life,
  };
  g_hash_table_insert (orders->records, &record->sequence, record);
  g_queue_push_tail (&orders->by_age, record);
  record->link = g_queue_peek_tail_link (&orders->by_age);
  orders->in_flight++;
  verdict.action = MR_ORDER_ACTION_RUN;
  return verdict;
}

MrOrderDecision
mr_order_records_begin (
    MrOrderRecords *orders, MrTime now, MrText ticket, MrText service, MrText body)
{
  MrOrderDecision verdict = { 0 };
  S_purge (orders, now);
  if (ticket.len == 0)
    return S_answer (verdict, MR_RESULT_NO_TICKET);
  if (mr_ticket_parse (ticket, &verdict.ticket) != MR_OK)
    return S_answer (verdict, MR_RESULT_BAD_TICKET);
  const char *own = mr_ticket_issuer_incarnation (orders->issuer);
  if (!g_str_equal (verdict.ticket.incarnation, own))
    {
      /* Another incarnation may have dispatched it already; only its memory
       * knows, so it is asked, and if it is gone nobody dispatches. */
      if (MR_SAFEGUARD (MR_GUARD_TICKET_OWNER))
        {
          verdict.action = MR_ORDER_ACTION_FORWARD;
          return verdict;
        }
    }
  else if (!mr_ticket_is_own (orders->issuer, ticket, &verdict.ticket))
    return S_answer (verdict, MR_RESULT_BAD_TICKET);
  guint64 hash = S_body_hash (service, body);
  Record *record = g_hash_table_lookup (orders->records, &verdict.ticket.sequence);
  /* The caller asks again after a lost answer; without the record the order
   * would be sent a second time. */
  if (record && MR_SAFEGUARD (MR_GUARD_ORDER_RECORD))
    return S_from_record (record, verdict, hash);
  if (record)
    S_forget (orders, record);
  return S_first_sight (orders, now, verdict, hash);
}

void
mr_order_records_end (MrOrderRecords *orders, guint64 sequence, MrResult result, MrText reply)
{
  Record *record = g_hash_table_lookup (orders->records, &sequence);
  if (!record || record->state != RECORD_IN_FLIGHT)
    return;
  orders->in_flight--;
  if (mr_result_ran (result) == MR_RAN_NO)
    {
      S_forget (orders, record);
      return;
    }
  record->state = RECORD_ENDED;
  record->result = result;
  record->reply = g_string_new_len (reply.data, (gssize) reply.len);
}

guint
mr_order_records_count (const MrOrderRecords *orders)
{
  return g_hash_table_size (orders->records);
}

guint
mr_order_records_in_flight (const MrOrderRecords *orders)
{
  return orders->in_flight;
}
