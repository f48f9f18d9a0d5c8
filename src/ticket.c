#include "ticket.h"

enum
{
  CODE_TEXT = 16, /* hex digits of the keyed hash that are kept: 64 bit */
  KEY_BYTES = 16,
  FIELDS = 5,
};

struct _MrTicketIssuer
{
  char daemon[MR_NAME_MAX + 1];
  char incarnation[MR_INCARNATION_HEX_DIGITS + 1];
  guint8 key[KEY_BYTES];
  MrTime started;
  guint64 last;
};

MrTicketIssuer *
mr_ticket_issuer_new (const char *daemon, MrTime now, const guint8 random[32])
{
  MrTicketIssuer *issuer = g_new0 (MrTicketIssuer, 1);
  g_strlcpy (issuer->daemon, daemon, sizeof issuer->daemon);
  for (int i = 0; i < MR_INCARNATION_HEX_DIGITS / 2; i++)
    g_snprintf (issuer->incarnation + (gsize) i * 2, 3, "%02x", random[i]);
  memcpy (issuer->key, random + 16, KEY_BYTES);
  issuer->started = now;
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

/* Keyed hash of everything before the code. */
static char *
S_code (const MrTicketIssuer *issuer, MrText front)
{
  char *code = g_compute_hmac_for_data (G_CHECKSUM_SHA256, issuer->key, KEY_BYTES,
                                        (const guchar *) front.data, front.len);
  code[CODE_TEXT] = '\0';
  return code;
}

void
mr_ticket_issue (MrTicketIssuer *issuer, MrTime now, char text[MR_TICKET_MAX_LENGTH + 1])
{
  g_autofree char *front = g_strdup_printf ("%s.%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                                            issuer->daemon, issuer->incarnation, ++issuer->last,
                                            (guint64) ((now - issuer->started) / MR_MS));
  g_autofree char *code = S_code (issuer, mr_text (front));
  g_snprintf (text, MR_TICKET_MAX_LENGTH + 1, "%s.%s", front, code);
}

MrStatus
mr_ticket_parse (MrText text, MrTicket *ticket)
{
  if (text.len == 0 || text.len > MR_TICKET_MAX_LENGTH)
    return mr_fail (MR_ERROR_INVALID, "ticket: expected 1 to %d characters", MR_TICKET_MAX_LENGTH);
  g_autofree char *copy = mr_text_dup (text);
  g_auto (GStrv) fields = g_strsplit (copy, ".", FIELDS + 1);
  if (g_strv_length (fields) != FIELDS || !mr_name_valid (mr_text (fields[0])) ||
      strlen (fields[1]) != MR_INCARNATION_HEX_DIGITS || strlen (fields[4]) != CODE_TEXT ||
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
  MrText front = { .data = text.data, .len = text.len - CODE_TEXT - 1 };
  g_autofree char *code = S_code (issuer, front);
  return memcmp (code, text.data + text.len - CODE_TEXT, CODE_TEXT) == 0;
}

MrTime
mr_ticket_age (const MrTicketIssuer *issuer, const MrTicket *ticket, MrTime now)
{
  return now - issuer->started - (MrTime) ticket->issued_ms * MR_MS;
}
