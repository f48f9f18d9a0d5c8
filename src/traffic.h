/* Bytes and messages between daemons, by kind and by whether the other end is in the
 * same failure domain: what crosses domains is slower and is paid for.
 *
 * Counters of this process, raised by the control task and read by any. */
#pragma once

#include "wire.h"

typedef enum
{
  MR_TRAFFIC_HEARTBEAT,
  MR_TRAFFIC_MEMBERS, /* whole lists of members */
  MR_TRAFFIC_NEWS,    /* versions that were just taken */
  MR_TRAFFIC_COMPARE, /* lists of versions, digests of ranges */
  MR_TRAFFIC_GET,
  MR_TRAFFIC_OBJECTS,
  MR_TRAFFIC_SEARCH,
  MR_TRAFFIC_ORDER,
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

void
mr_traffic_add (MrTrafficDirection way, MrTrafficKind kind, gboolean same_domain, guint64 bytes);
guint64 mr_traffic_bytes (MrTrafficDirection way, MrTrafficKind kind, gboolean same_domain);
guint64 mr_traffic_messages (MrTrafficDirection way, MrTrafficKind kind, gboolean same_domain);

/* Writes a log line of what was sent since the last such line, if anything was; by
 * the control task only.  @platform_calls: calls to the platform since the start. */
void mr_traffic_log (guint64 platform_calls);

/* Appends all that are not 0, in the exposition text. */
void mr_traffic_write_metrics (GString *out);
