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
  guint max_connections_per_target; /* that one target accepts from all daemons together */
  double cold_rate;                 /* calls a second that a cold target is to get; 0: any */
  MrTime cold_time;                 /* for which a target is cold after its start */
} MrServiceInfo;

typedef struct
{
  char *service;
  double weight;
} MrRouteService;

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
  gboolean idempotent; /* idempotent: may run more than once */
  guint attempt_limit; /* most targets for one request, or for each of its shards */
  guint priority;      /* 0 is served first */
  MrTime time_limit;
  MrTime latency_goal; /* within which an answer is worth its full value to the caller */
  guint service_count;
  MrRouteService *services; /* services; one unless split or sharded */
  guint top_records;        /* of a merged answer */
  double min_coverage;      /* of the shards that a merged answer needs */
  char **home_regions;      /* regions whose targets alone may be sent it; NULL: any */
} MrRoute;

typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
  MrTime head_timeout; /* for a caller to send its head */
  MrTime idle_timeout; /* of a caller's connection between requests */
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
mr_configuration_find_route (const MrConfiguration *configuration, MrText host, MrText path);

/* The home regions of all routes of @host, as a set of borrowed texts; NULL if none has any. */
GHashTable *mr_configuration_home_regions (const MrConfiguration *configuration, MrText host);

/* NULL if the version names no such service. */
const MrServiceInfo *mr_configuration_find_service (const MrConfiguration *configuration,
                                                    const char *name);
