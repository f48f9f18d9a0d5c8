#include "ctl_traffic.h"

#include <stdio.h>

static const double MEGABYTE = 1e6;

double
ctl_line_sent_bytes (const json_t *line, MrTrafficKind kind, gboolean same_domain)
{
  const json_t *sent = json_object_get (line, "sent");
  const json_t *of_kind = json_object_get (sent, mr_traffic_kind_name (kind));
  return (double) ctl_json_integer (of_kind, same_domain ? "same" : "other");
}

void
ctl_traffic_add (CtlTraffic *traffic, const json_t *line)
{
  traffic->lines++;
  traffic->platform_calls += (guint64) ctl_json_integer (line, "platform_calls");
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    for (int same = 0; same < 2; same++)
      traffic->bytes[kind][same] += ctl_line_sent_bytes (line, (MrTrafficKind) kind, same);
}

void
ctl_traffic_print (const CtlTraffic *traffic)
{
  if (traffic->lines == 0)
    return;
  double totals[2] = { 0 };
  printf ("\nsent between daemons, MB; %" G_GUINT64_FORMAT " calls to the platform\n"
          "%-16s %14s %14s\n",
          traffic->platform_calls, "kind", "same domain", "other domains");
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    {
      const double *bytes = traffic->bytes[kind];
      totals[0] += bytes[0];
      totals[1] += bytes[1];
      if (bytes[0] + bytes[1] > 0)
        printf ("%-16s %14.3f %14.3f\n", mr_traffic_kind_name ((MrTrafficKind) kind),
                bytes[1] / MEGABYTE, bytes[0] / MEGABYTE);
    }
  printf ("%-16s %14.3f %14.3f\n", "all", totals[1] / MEGABYTE, totals[0] / MEGABYTE);
}
