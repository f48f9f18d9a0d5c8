/* Organisations to which callers belong: keys, priority and rate limit.
 *
 * A configuration contains digests of the keys, never the keys themselves, so that a key does not
 * appear in objects that daemons exchange, in logs or in memory dumps.  A set of organisations is
 * part of one version of the configuration and is immutable. */
#pragma once

#include "status.h"
#include "text.h"
#include <jansson.h>

enum
{
  MR_KEY_DIGEST_DIGITS = 32, /* hexadecimal digits of a key's digest */
  MR_KEY_BYTES_MAX = 128,    /* longer keys are unknown */
};

/* A rate limit for the whole fleet; rate 0 means no limit. */
typedef struct
{
  double rate;  /* requests per second */
  double burst; /* requests at once beyond the rate */
} MrRateLimit;

typedef struct
{
  char *name;
  guint priority; /* 0 is served first; takes precedence over the priority of routes */
  MrRateLimit limit;
} MrOrganisation;

typedef struct _MrOrganisations MrOrganisations;

/* Writes the digest by which configurations name @key: the first digits of its SHA-256, in lower
 * case, with a terminating NUL. */
void mr_key_digest (MrText key, char out[MR_KEY_DIGEST_DIGITS + 1]);

/* Parses the array "organisations" of a configuration (docs/CONFIGURATION.md).  Fails with
 * MR_ERROR_INVALID and a message that names organisation and field, without the digest. */
MrStatus mr_organisations_parse (const json_t *array, MrOrganisations **out);
void mr_organisations_free (MrOrganisations *organisations);

guint mr_organisations_count (const MrOrganisations *organisations);
const MrOrganisation *mr_organisations_at (const MrOrganisations *organisations, guint index);
/* Returns NULL if there is none. */
const MrOrganisation *mr_organisations_find (const MrOrganisations *organisations,
                                             const char *name);
/* Returns the organisation that holds @key, or NULL if none does.  The time that this takes does
 * not depend on how much of the key matches. */
const MrOrganisation *mr_organisations_find_key (const MrOrganisations *organisations, MrText key);
