/* Counters of the bytes and messages between daemons, by kind and by whether the peer is
 * in the same failure domain: traffic across domains is slower and is billed.
 *
 * The counters belong to the process.  The control task updates them; any thread may read
 * them. */
#pragma once

#include "wire.h"

typedef enum
{
  MR_TRAFFIC_HEARTBEAT,
  MR_TRAFFIC_MEMBERS, /* full membership lists */
  MR_TRAFFIC_NEWS,    /* announcements of newly accepted object versions */
  MR_TRAFFIC_COMPARE, /* anti-entropy: version lists and range digests */
  MR_TRAFFIC_GET,
  MR_TRAFFIC_OBJECTS,
  MR_TRAFFIC_SEARCH,
  MR_TRAFFIC_ORDER,
  MR_TRAFFIC_LIMIT,   /* tokens of rate limits */
  MR_TRAFFIC_VERSION, /* queries for the version of an object, and replies */
  MR_TRAFFIC_KINDS,
} MrTrafficKind;

typedef enum
{
  MR_TRAFFIC_SENT,
  MR_TRAFFIC_RECEIVED,
  MR_TRAFFIC_DIRECTIONS,
} MrTrafficDirection;

MrTrafficKind mr_traffic_kind (MrWireType type);
const char *mr_traffic_kind_name (MrTrafficKind kind);

void mr_traffic_add (MrTrafficDirection direction,
                     MrTrafficKind kind,
                     gboolean same_domain,
                     guint64 bytes);
guint64 mr_traffic_bytes (MrTrafficDirection direction, MrTrafficKind kind, gboolean same_domain);
guint64
mr_traffic_messages (MrTrafficDirection direction, MrTrafficKind kind, gboolean same_domain);

/* Logs what was sent since the last such line, if anything was.  Only the control task may
 * call this.  @platform_calls: calls to the platform since the start of the process. */
void mr_traffic_log (guint64 platform_calls);

/* Appends all nonzero counters in the Prometheus text format. */
void mr_traffic_write_metrics (GString *out);
