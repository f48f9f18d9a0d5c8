/* One version of the operators' configuration: routes, services and limits for callers.
 * Immutable and reference-counted; a request uses the version under which it was admitted
 * until it ends. */
#pragma once

#include "clock.h"
#include "organisation.h"
#include "status.h"
#include "text.h"

typedef struct
{
  char *name;
  guint max_connections_per_target; /* that one target accepts, summed over all daemons */
  double cold_rate; /* calls per second that a cold target should get; 0: no limit */
  MrTime cold_time; /* period after its start during which a target is cold */
} MrServiceInfo;

typedef struct
{
  char *service;
  double weight;
} MrRouteService;

typedef enum
{
  MR_ROUTE_SERVICE, /* any target of one service */
  MR_ROUTE_SPLIT,   /* any target of one of several services, chosen by weight */
  MR_ROUTE_SHARDS,  /* one target of each shard; the answers are merged */
  MR_ROUTE_BATCH,   /* one target of each shard; the answers received by the deadline count */
} MrRouteKind;

typedef struct
{
  char *name;
  char *host;   /* lower case */
  char *prefix; /* begins and ends with a slash */
  MrRouteKind kind;
  gboolean idempotent; /* may be executed more than once */
  guint attempt_limit; /* targets tried for a request, or for each of its shards */
  guint priority;      /* 0 is served first */
  MrTime time_limit;
  MrTime latency_goal; /* an answer within this time has its full value to the caller */
  guint service_count;
  MrRouteService *services; /* one unless split or sharded */
  guint top_records;        /* in a merged answer */
  double min_coverage;      /* share of the shards that a merged answer needs */
  char **home_regions;      /* the only regions whose targets may get the request; NULL: any */
  gboolean is_public;       /* needs no key */
} MrRoute;

typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
  MrTime head_timeout; /* for a caller to send its request head */
  MrTime idle_timeout; /* for a caller's connection between two requests */
} MrCallerLimits;

typedef struct _MrConfiguration MrConfiguration;

/* Parses the JSON form (docs/CONFIGURATION.md). Returns NULL and sets the status message on
 * error.  The version is a number up to 2^53 - 1; other numbers above 2^31 - 1 count as that. */
MrConfiguration *mr_configuration_parse (MrText json);
MrConfiguration *mr_configuration_ref (MrConfiguration *configuration);
void mr_configuration_unref (MrConfiguration *configuration);

/* Returns the number that the configuration's author gave it, without building the tree of @json,
 * which holds megabytes of key digests; 0 if there is none or @json is cut off. */
guint64 mr_configuration_read_version (MrText json);

guint64 mr_configuration_version (const MrConfiguration *configuration);
const MrCallerLimits *mr_configuration_limits (const MrConfiguration *configuration);

/* Returns NULL if the configuration has no organisations, so that callers need no key. */
const MrOrganisations *mr_configuration_organisations (const MrConfiguration *configuration);

/* Returns the route of @host with the longest prefix that matches @path, or NULL if there is
 * none. */
const MrRoute *
mr_configuration_find_route (const MrConfiguration *configuration, MrText host, MrText path);

/* Returns the set of home regions of all routes of @host (strings are borrowed), or NULL if no
 * route has one. */
GHashTable *mr_configuration_home_regions (const MrConfiguration *configuration, MrText host);

/* Returns NULL if the configuration has no such service. */
const MrServiceInfo *mr_configuration_find_service (const MrConfiguration *configuration,
                                                    const char *name);
