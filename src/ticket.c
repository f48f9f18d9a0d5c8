#include "ticket.h"

enum
{
  CODE_HEX_DIGITS = 16, /* hex digits that are kept of the keyed hash: 64 bits */
  KEY_BYTES = 16,
  FIELD_COUNT = 5,
};

struct _MrTicketIssuer
{
  char daemon[MR_NAME_MAX + 1];
  char incarnation[MR_INCARNATION_HEX_DIGITS + 1];
  guint8 key[KEY_BYTES];
  MrTime started_at;
  guint64 last_sequence;
};

MrTicketIssuer *
mr_ticket_issuer_new (const char *daemon, MrTime now, const guint8 random[32])
{
  MrTicketIssuer *issuer = g_new0 (MrTicketIssuer, 1);
  g_strlcpy (issuer->daemon, daemon, sizeof issuer->daemon);
  for (int i = 0; i < MR_INCARNATION_HEX_DIGITS / 2; i++)
    g_snprintf (issuer->incarnation + (gsize) i * 2, 3, "%02x", random[i]);
  memcpy (issuer->key, random + 16, KEY_BYTES);
  issuer->started_at = now;
  return issuer;
}

void
mr_ticket_issuer_free (MrTicketIssuer *issuer)
{
  g_free (issuer);
}

const char *
mr_ticket_issuer_incarnation (const MrTicketIssuer *issuer)
{
  return issuer->incarnation;
}

/* Keyed hash of the ticket up to the code. */
static char *
S_compute_code (const MrTicketIssuer *issuer, MrText payload)
{
  char *code = g_compute_hmac_for_data (G_CHECKSUM_SHA256, issuer->key, KEY_BYTES,
                                        (const guchar *) payload.data, payload.len);
  code[CODE_HEX_DIGITS] = '\0';
  return code;
}

void
mr_ticket_issue (MrTicketIssuer *issuer, MrTime now, char text[MR_TICKET_MAX_LENGTH + 1])
{
  g_autofree char *payload = g_strdup_printf (
      "%s.%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, issuer->daemon, issuer->incarnation,
      ++issuer->last_sequence, (guint64) ((now - issuer->started_at) / MR_MS));
  g_autofree char *code = S_compute_code (issuer, mr_text (payload));
  g_snprintf (text, MR_TICKET_MAX_LENGTH + 1, "%s.%s", payload, code);
}

MrStatus
mr_ticket_parse (MrText text, MrTicket *ticket)
{
  if (text.len == 0 || text.len > MR_TICKET_MAX_LENGTH)
    return mr_fail (MR_ERROR_INVALID, "ticket: expected 1 to %d characters", MR_TICKET_MAX_LENGTH);
  g_autofree char *copy = mr_text_dup (text);
  g_auto (GStrv) fields = g_strsplit (copy, ".", FIELD_COUNT + 1);
  if (g_strv_length (fields) != FIELD_COUNT || !mr_name_valid (mr_text (fields[0])) ||
      strlen (fields[1]) != MR_INCARNATION_HEX_DIGITS || strlen (fields[4]) != CODE_HEX_DIGITS ||
      !mr_text_parse_u64 (mr_text (fields[2]), &ticket->sequence) ||
      !mr_text_parse_u64 (mr_text (fields[3]), &ticket->issued_ms))
    return mr_fail (MR_ERROR_INVALID, "ticket: expected daemon.incarnation.sequence.time.code");
  g_strlcpy (ticket->daemon, fields[0], sizeof ticket->daemon);
  g_strlcpy (ticket->incarnation, fields[1], sizeof ticket->incarnation);
  return MR_OK;
}

gboolean
mr_ticket_is_own (const MrTicketIssuer *issuer, MrText text, const MrTicket *ticket)
{
  if (!g_str_equal (ticket->incarnation, issuer->incarnation))
    return FALSE;
  MrText payload = { .data = text.data, .len = text.len - CODE_HEX_DIGITS - 1 };
  g_autofree char *code = S_compute_code (issuer, payload);
  return memcmp (code, text.data + text.len - CODE_HEX_DIGITS, CODE_HEX_DIGITS) == 0;
}

MrTime
mr_ticket_age (const MrTicketIssuer *issuer, const MrTicket *ticket, MrTime now)
{
  return now - issuer->started_at - (MrTime) ticket->issued_ms * MR_MS;
}
