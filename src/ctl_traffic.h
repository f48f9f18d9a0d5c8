/* What daemons sent each other, from their log lines of traffic: by kind, inside and
 * across failure domains. */
#pragma once

#include "ctl.h"
#include "traffic.h"

typedef struct
{
  guint lines;
  double bytes[MR_TRAFFIC_KINDS][2]; /* by 1: the same domain */
  guint64 platform_calls;
} CtlTraffic;

/* Bytes of @kind in one line of traffic. */
double ctl_line_sent (const json_t *line, MrTrafficKind kind, gboolean same_domain);

void ctl_traffic_add (CtlTraffic *traffic, const json_t *line);
void ctl_traffic_print (const CtlTraffic *traffic);
