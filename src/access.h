/* Decides whether a request may be served, given its route and its key. */
#pragma once

#include "configuration.h"

typedef enum
{
  MR_ACCESS_PUBLIC,       /* the route, or the whole configuration, requires no key */
  MR_ACCESS_ORGANISATION, /* the key belongs to an organisation */
  MR_ACCESS_NO_KEY,       /* denied: absent or empty */
  MR_ACCESS_SEVERAL_KEYS, /* denied: more than one key field */
  MR_ACCESS_UNKNOWN_KEY,  /* denied: no organisation of this configuration holds the key */
} MrAccessKind;

typedef struct
{
  MrAccessKind kind;
  const MrOrganisation *organisation; /* of MR_ACCESS_ORGANISATION; owned by the configuration */
} MrAccess;

/* @key: value of the first key field; @key_count: number of key fields in the request. */
MrAccess mr_access_check (const MrConfiguration *configuration,
                          const MrRoute *route,
                          MrText key,
                          guint key_count);

static inline gboolean
mr_access_is_denied (MrAccess access)
{
  return access.kind >= MR_ACCESS_NO_KEY;
}

/* Cause of a denial for logs and answers; does not change between versions. */
const char *mr_access_name (MrAccessKind kind);
