/* Settings of a relay beside those that every daemon has. */
#pragma once

#include "settings.h"

typedef struct
{
  MrSettings base;             /* http_port takes callers' requests */
  int ready_port;              /* whoever watches over the VMs asks here */
  int directory_port;          /* callers ask here for addresses */
  int metrics_port;            /* 0: none */
  int grace_ms;                /* from the order to stop until the process is killed */
  int budget_window_ms;        /* in which hedges and retries are bounded */
  double resend_ratio;         /* hedges and retries for each request */
  double resend_slack;         /* of the whole fleet, beside the ratio */
  double cold_factor;          /* a cold target bears so many times its rate */
  double cold_slack;           /* and so many calls a second more */
  GHashTable *regions;         /* failure domain -> its region, as far as settings say */
  int tolerated_domain_losses; /* failure domains that may be lost at once */
  int address_ttl_max_ms;      /* that callers keep an address answer; 0: not bounded */
  int max_descriptors;
} MrRelaySettings;
