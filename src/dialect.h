/* What callers, targets and whoever watches over the VMs speak: names of header
 * fields, and the two questions beside requests.
 *
 * The relay knows what each means; an adapter says what it is called. */
#pragma once

#include "clock.h"
#include "text.h"

typedef struct
{
  MrText host;   /* that the caller will ask for */
  MrText domain; /* failure domain of the caller, as far as it said */
  MrText region; /* and its region */
} MrAddressRequest;

typedef struct
{
  const char *request_id;    /* of one attempt of a caller; targets echo it */
  const char *remaining_ms;  /* how long the sender of a request will wait */
  const char *expected_id;   /* a target with another id refuses the request */
  const char *signature;     /* a target's, of its answer to this request */
  const char *not_run;       /* a target's promise that it did not run it */
  const char *signatures;    /* of the answers that were merged */
  const char *missing_parts; /* how many shards a merged answer lacks */

  /* TRUE if @target asks whether this daemon is ready. */
  gboolean (*is_readiness_check) (MrText target);
  /* TRUE if @target asks for addresses; texts in @question borrow from it. */
  gboolean (*parse_address_request) (MrText target, MrAddressRequest *question);
  /* @addresses: "ip:port"; a JSON body, new. */
  GString *(*format_addresses) (const GPtrArray *addresses, MrTime keep);
} MrDialect;
