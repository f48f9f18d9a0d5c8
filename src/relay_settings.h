/* Settings of a relay in addition to those of every daemon. */
#pragma once

#include "organisation_limits.h"
#include "settings.h"

typedef struct
{
  MrSettings base;                  /* http_port accepts requests of callers */
  int ready_port;                   /* for the readiness checks of the VM supervisor */
  int directory_port;               /* for callers that look up addresses */
  int metrics_port;                 /* 0: none */
  int grace_ms;                     /* from the stop signal until the process is killed */
  int budget_window_ms;             /* window of the limit on hedges and retries */
  double resend_ratio;              /* hedges and retries per request in the window */
  double resend_slack;              /* hedges and retries of the whole fleet beyond the ratio */
  double cold_factor;               /* a cold target gets at most this many times its call rate */
  double cold_slack;                /* plus this many calls a second */
  MrLimitTolerance limit_tolerance; /* of the rate limits of organisations */
  GHashTable *regions;              /* failure domain -> region, as configured */
  int tolerated_domain_losses;      /* failure domains whose simultaneous loss is tolerated */
  int address_ttl_max_ms;           /* longest TTL of address answers; 0: unlimited */
  int max_descriptors;
  int memory_limit_mb; /* memory that the process may take; 0: not known */
} MrRelaySettings;
