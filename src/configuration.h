/* One version of what operators have put in force: routes, services, limits for
 * callers.  Immutable and shared by reference count; a request keeps the
 * version it was taken with to its end. */
#pragma once

#include "clock.h"
#include "status.h"
#include "text.h"

typedef struct
{
  char *name;
  guint most_connections; /* that one target accepts from all daemons together */
  double cold_rate;       /* calls a second that a cold target is to get; 0: any */
  MrTime cold_time;       /* for which a target is cold after its start */
} MrServiceInfo;

typedef struct
{
  char *service;
  double weight;
} MrSplitPart;

typedef enum
{
  MR_ROUTE_SERVICE, /* any target of one service */
  MR_ROUTE_SPLIT,   /* one of several services, by weight */
  MR_ROUTE_SHARDS,  /* one target of each shard, answers merged */
  MR_ROUTE_BATCH,   /* one target of each shard, whatever has come by the end counts */
} MrRouteKind;

typedef struct
{
  char *name;
  char *host;   /* lower case */
  char *prefix; /* begins and ends with a slash */
  MrRouteKind kind;
  gboolean repeatable; /* idempotent: may run more than once */
  guint attempts;      /* most targets for one request, or for each of its shards */
  guint rank;          /* 0 is served first */
  MrTime time_limit;
  MrTime aim; /* within which an answer is worth its full value to the caller */
  guint part_count;
  MrSplitPart *parts; /* services; one unless split or sharded */
  guint top_records;  /* of a merged answer */
  double least_share; /* of the shards that a merged answer needs */
  char **homes;       /* regions whose targets alone may be sent it; NULL: any */
} MrRoute;

typedef struct
{
  gsize head_bytes;
  gsize body_bytes;
  MrTime head_time; /* for a caller to send its head */
  MrTime idle_time; /* of a caller's connection between requests */
} MrCallerLimits;

typedef struct _MrConfiguration MrConfiguration;

/* Reads the JSON form (docs/CONFIGURATION.md); NULL with a message. */
MrConfiguration *mr_configuration_parse (MrText json);
MrConfiguration *mr_configuration_ref (MrConfiguration *configuration);
void mr_configuration_unref (MrConfiguration *configuration);

guint64 mr_configuration_version (const MrConfiguration *configuration);
const MrCallerLimits *mr_configuration_limits (const MrConfiguration *configuration);

/* The route with the longest prefix that begins @path; NULL if there is none. */
const MrRoute *
mr_configuration_match (const MrConfiguration *configuration, MrText host, MrText path);

/* The home regions of all routes of @host, as a set of borrowed texts; NULL if none has any. */
GHashTable *mr_configuration_homes (const MrConfiguration *configuration, MrText host);

/* NULL if the version names no such service. */
const MrServiceInfo *mr_configuration_service (const MrConfiguration *configuration,
                                               const char *name);
