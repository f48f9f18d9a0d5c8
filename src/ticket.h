/* Tickets: ids for orders that name the one process that may dispatch them.
 *
 * "<daemon>.<incarnation>.<sequence>.<issued ms>.<code>".  The incarnation is
 * random, 128 bit, made at start and held in memory only; the code is a keyed
 * hash, so that nobody can make a ticket or take another's number.  Issuing
 * needs no record and no store. */
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
  guint64 issued_ms; /* on the issuer's monotonic clock, since its start */
} MrTicket;

typedef struct _MrTicketIssuer MrTicketIssuer;

/* @random: 32 bytes: incarnation, then key. */
MrTicketIssuer *mr_ticket_issuer_new (const char *daemon, MrTime now, const guint8 random[32]);
void mr_ticket_issuer_free (MrTicketIssuer *issuer);
const char *mr_ticket_issuer_incarnation (const MrTicketIssuer *issuer);

/* Writes a new ticket's text. */
void mr_ticket_issue (MrTicketIssuer *issuer, MrTime now, char text[MR_TICKET_MAX_LENGTH + 1]);

/* Reads the form only. */
MrStatus mr_ticket_parse (MrText text, MrTicket *ticket);

/* TRUE if this issuer made the ticket of @text. */
gboolean mr_ticket_is_own (const MrTicketIssuer *issuer, MrText text, const MrTicket *ticket);

/* Time since @ticket was issued; of own tickets only. */
MrTime mr_ticket_age (const MrTicketIssuer *issuer, const MrTicket *ticket, MrTime now);
