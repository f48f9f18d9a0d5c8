/* Arithmetic of rate limits: the limits of a configuration, the tolerance of the bound, and token
 * buckets.  One request costs one token. */
#pragma once

#include "organisation_limits.h"

/* What a rate limit is applied to. */
typedef struct
{
  char key[MR_NAME_MAX + 1]; /* name in messages between daemons */
  const char *name;          /* of the organisation */
  MrRateLimit limit;         /* burst is at least 1 */
  MrTime binding_from;       /* a new limit is not applied before */
} MrLimitSubject;

/* The rate limits of one version of the configuration. */
typedef struct _MrLimitTable MrLimitTable;

/* Returns NULL if @configuration has no rate limit. */
MrLimitTable *mr_limit_table_new (const MrConfiguration *configuration);
/* Limits that @previous does not contain bind from @time. */
void mr_limit_table_delay_new (MrLimitTable *table, const MrLimitTable *previous, MrTime time);
void mr_limit_table_free (MrLimitTable *table);
/* Both return NULL if there is no limit; @table may be NULL. */
const MrLimitSubject *mr_limit_table_find (const MrLimitTable *table, const char *key);
const MrLimitSubject *mr_limit_table_find_name (const MrLimitTable *table, const char *name);

/* Requests that the bound allows beyond the limit in one window. */
double mr_limit_headroom (const MrRateLimit *limit, const MrLimitTolerance *tolerance);
/* Tokens that each of @entries may hold in advance: an equal part of half of what the bound allows
 * beyond the limit. */
guint
mr_limit_entry_share (const MrRateLimit *limit, const MrLimitTolerance *tolerance, guint entries);

typedef struct
{
  double tokens;
  MrTime filled; /* time for which @tokens is right */
} MrTokenBucket;

/* Adds what has been generated since the last call. */
void mr_token_bucket_fill (MrTokenBucket *bucket, MrTime now, double rate, double capacity);
/* Takes up to @wanted tokens, but leaves @rest; returns how many it took. */
guint mr_token_bucket_take (MrTokenBucket *bucket, guint wanted, double rest);
