#include "traffic.h"

#include "log.h"
#include <stdatomic.h>

/* Values at the time of the last log line. */
static guint64 logged_bytes[MR_TRAFFIC_KINDS][2];
static guint64 logged_platform_calls;

typedef struct
{
  atomic_ullong bytes;
  atomic_ullong messages;
} Counter;

static Counter counters[MR_TRAFFIC_DIRECTIONS][MR_TRAFFIC_KINDS][2];

static const char *const kind_names[MR_TRAFFIC_KINDS] = {
  [MR_TRAFFIC_HEARTBEAT] = "heartbeat",
  [MR_TRAFFIC_MEMBERS] = "members",
  [MR_TRAFFIC_NEWS] = "news",
  [MR_TRAFFIC_COMPARE] = "compare",
  [MR_TRAFFIC_GET] = "get",
  [MR_TRAFFIC_OBJECTS] = "objects",
  [MR_TRAFFIC_SEARCH] = "search",
  [MR_TRAFFIC_ORDER] = "order",
  [MR_TRAFFIC_LIMIT] = "limit",
  [MR_TRAFFIC_VERSION] = "version",
};

MrTrafficKind
mr_traffic_kind (MrWireType type)
{
  static const MrTrafficKind kinds[] = {
    [MR_WIRE_HEARTBEAT] = MR_TRAFFIC_HEARTBEAT,   [MR_WIRE_MEMBERS] = MR_TRAFFIC_MEMBERS,
    [MR_WIRE_ANNOUNCE] = MR_TRAFFIC_NEWS,         [MR_WIRE_RANGE_SUMMARIES] = MR_TRAFFIC_COMPARE,
    [MR_WIRE_RANGE_DIGESTS] = MR_TRAFFIC_COMPARE, [MR_WIRE_GET] = MR_TRAFFIC_GET,
    [MR_WIRE_OBJECTS] = MR_TRAFFIC_OBJECTS,       [MR_WIRE_BATCH] = MR_TRAFFIC_SEARCH,
    [MR_WIRE_PARTIAL] = MR_TRAFFIC_SEARCH,        [MR_WIRE_CANCEL_BATCH] = MR_TRAFFIC_SEARCH,
    [MR_WIRE_ORDER] = MR_TRAFFIC_ORDER,           [MR_WIRE_ORDER_RESULT] = MR_TRAFFIC_ORDER,
    [MR_WIRE_LIMIT] = MR_TRAFFIC_LIMIT,           [MR_WIRE_VERSION_QUERY] = MR_TRAFFIC_VERSION,
    [MR_WIRE_VERSION_REPLY] = MR_TRAFFIC_VERSION,
  };
  return kinds[type];
}

const char *
mr_traffic_kind_name (MrTrafficKind kind)
{
  return kind_names[kind];
}

void
mr_traffic_add (MrTrafficDirection direction,
                MrTrafficKind kind,
                gboolean same_domain,
                guint64 bytes)
{
  Counter *counter = &counters[direction][kind][same_domain ? 1 : 0];
  atomic_fetch_add_explicit (&counter->bytes, bytes, memory_order_relaxed);
  atomic_fetch_add_explicit (&counter->messages, 1, memory_order_relaxed);
}

guint64
mr_traffic_bytes (MrTrafficDirection direction, MrTrafficKind kind, gboolean same_domain)
{
  return atomic_load_explicit (&counters[direction][kind][same_domain ? 1 : 0].bytes,
                               memory_order_relaxed);
}

guint64
mr_traffic_messages (MrTrafficDirection direction, MrTrafficKind kind, gboolean same_domain)
{
  return atomic_load_explicit (&counters[direction][kind][same_domain ? 1 : 0].messages,
                               memory_order_relaxed);
}

static void
S_write_counter (GString *out,
                 const char *name,
                 const char *help,
                 guint64 (*read) (MrTrafficDirection direction,
                                  MrTrafficKind kind,
                                  gboolean same_domain))
{
  g_string_append_printf (
      out, "# HELP merlinring_%s_total %s\n# TYPE merlinring_%s_total counter\n", name, help, name);
  for (int direction = 0; direction < MR_TRAFFIC_DIRECTIONS; direction++)
    for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
      for (int same_domain = 0; same_domain < 2; same_domain++)
        {
          guint64 value = read ((MrTrafficDirection) direction, (MrTrafficKind) kind, same_domain);
          if (value > 0)
            g_string_append_printf (
                out,
                "merlinring_%s_total{way=\"%s\",kind=\"%s\",domain=\"%s\"} %" G_GUINT64_FORMAT "\n",
                name, direction == MR_TRAFFIC_SENT ? "sent" : "received", kind_names[kind],
                same_domain ? "same" : "other", value);
        }
}

void
mr_traffic_write_metrics (GString *out)
{
  S_write_counter (out, "peer_kind_bytes", "bytes between daemons", mr_traffic_bytes);
  S_write_counter (out, "peer_kind_messages", "messages between daemons", mr_traffic_messages);
}

void
mr_traffic_log (guint64 platform_calls)
{
  g_autoptr (GString) sent = g_string_new ("{");
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    {
      guint64 delta[2];
      for (int same_domain = 0; same_domain < 2; same_domain++)
        {
          guint64 bytes = mr_traffic_bytes (MR_TRAFFIC_SENT, (MrTrafficKind) kind, same_domain);
          delta[same_domain] = bytes - logged_bytes[kind][same_domain];
          logged_bytes[kind][same_domain] = bytes;
        }
      if (delta[0] + delta[1] > 0)
        g_string_append_printf (
            sent, "%s\"%s\":{\"same\":%" G_GUINT64_FORMAT ",\"other\":%" G_GUINT64_FORMAT "}",
            sent->len > 1 ? "," : "", kind_names[kind], delta[1], delta[0]);
    }
  guint64 calls = platform_calls - logged_platform_calls;
  logged_platform_calls = platform_calls;
  if (sent->len == 1 && calls == 0)
    return;
  g_string_append_c (sent, '}');
  MrLogLine *line = mr_log_begin (MR_LOG_INFO, MR_EVENT_TRAFFIC);
  mr_log_json (line, "sent", mr_text_of (sent));
  mr_log_number (line, "platform_calls", (gint64) calls);
  mr_log_end (line);
}
