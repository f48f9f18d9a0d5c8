/* Bytes that daemons sent to each other, summed from their traffic log lines (E1106) by message
 * kind, within a failure domain and between domains. */
#pragma once

#include "ctl.h"
#include "traffic.h"

typedef struct
{
  guint lines;
  double bytes[MR_TRAFFIC_KINDS][2]; /* [kind][1]: to the same domain, [kind][0]: to others */
  guint64 platform_calls;
} CtlTraffic;

/* Returns the bytes of @kind in one traffic log line. */
double ctl_line_sent_bytes (const json_t *line, MrTrafficKind kind, gboolean same_domain);

void ctl_traffic_add (CtlTraffic *traffic, const json_t *line);
void ctl_traffic_print (const CtlTraffic *traffic);
