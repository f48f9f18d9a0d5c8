/* HTTP conventions of a platform: names of header fields, and the two requests that are not for
 * a service, the readiness check and the address lookup.
 *
 * The relay implements their meaning; an adapter provides their names and formats. */
#pragma once

#include "clock.h"
#include "text.h"

typedef struct
{
  MrText host;   /* host name that the caller wants to reach */
  MrText domain; /* failure domain of the caller, if stated */
  MrText region; /* region of the caller, if stated */
} MrAddressRequest;

typedef struct
{
  const char *request_id;    /* identifies one attempt of a caller; targets echo it */
  const char *remaining_ms;  /* how long the sender of the request will wait */
  const char *expected_id;   /* the target id; a target with another id refuses the request */
  const char *key;           /* the caller's key, if the configuration has organisations */
  const char *organisation;  /* name of the organisation that holds the key, sent to targets */
  const char *signature;     /* the target's signature of its response to this request */
  const char *not_run;       /* states that the target did not run the request */
  const char *signatures;    /* signatures of the responses that were merged */
  const char *missing_parts; /* number of shards that a merged answer lacks */

  /* TRUE if the request target @target is the readiness check. */
  gboolean (*is_readiness_check) (MrText target);
  /* TRUE if the request target @target is an address lookup; the texts that it stores point into
   * @target. */
  gboolean (*parse_address_request) (MrText target, MrAddressRequest *request);
  /* Returns a new JSON body.  @addresses: "ip:port"; @keep: how long callers may use them. */
  GString *(*format_addresses) (const GPtrArray *addresses, MrTime keep);
} MrDialect;
