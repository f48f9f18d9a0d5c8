/* Tickets: ids for orders that name the one process that may dispatch them.
 *
 * "<daemon>.<incarnation>.<sequence>.<issued ms>.<code>".  The incarnation is a random number
 * of 128 bits that is made at start and kept in memory only.  The code is a keyed hash, so that
 * no client can forge a ticket or use the number of another one.  Issuing a ticket needs no record
 * and no store. */
#pragma once

#include "clock.h"
#include "document.h"
#include "status.h"
#include "text.h"

enum
{
  MR_TICKET_MAX_LENGTH = 159, /* characters */
  MR_INCARNATION_HEX_DIGITS = 32,
};

typedef struct
{
  char daemon[MR_NAME_MAX + 1];
  char incarnation[MR_INCARNATION_HEX_DIGITS + 1];
  guint64 sequence;
  guint64 issued_ms; /* monotonic time since the issuer was created */
} MrTicket;

typedef struct _MrTicketIssuer MrTicketIssuer;

/* @random: 32 bytes, 16 for the incarnation and 16 for the key. */
MrTicketIssuer *mr_ticket_issuer_new (const char *daemon, MrTime now, const guint8 random[32]);
void mr_ticket_issuer_free (MrTicketIssuer *issuer);
const char *mr_ticket_issuer_incarnation (const MrTicketIssuer *issuer);

/* Issues a ticket and writes it to @text. */
void mr_ticket_issue (MrTicketIssuer *issuer, MrTime now, char text[MR_TICKET_MAX_LENGTH + 1]);

/* Parses @text; does not verify the code. */
MrStatus mr_ticket_parse (MrText text, MrTicket *ticket);

/* Verifies that @issuer has issued @text, from which @ticket was parsed. */
gboolean mr_ticket_is_own (const MrTicketIssuer *issuer, MrText text, const MrTicket *ticket);

/* Time since @ticket was issued; only for tickets of this issuer. */
MrTime mr_ticket_age (const MrTicketIssuer *issuer, const MrTicket *ticket, MrTime now);
