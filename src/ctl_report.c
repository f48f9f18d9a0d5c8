#include "ctl_loss.h"
#include "ctl_plot.h"
#include "ctl_traffic.h"

#include <stdio.h>

enum
{
  ROUTE_NAME_WIDTH_MAX = 30,
};

/* Statistics of one route. */
typedef struct
{
  char *name;
  guint lines;
  guint partial;
  guint hedges;
  guint retries;
  MrHistogram latency; /* of requests with a status below 300, us */
} RouteStats;

typedef struct
{
  GHashTable *routes;   /* name -> RouteStats */
  GHashTable *causes;   /* "verdict cause" -> log lines of requests that were not served */
  GHashTable *events;   /* event -> log lines */
  GHashTable *versions; /* configuration version -> times at which relays put it in force */
  CtlTraffic traffic;
  CtlLoss *loss;
  CtlPlot *plot;    /* NULL: not requested */
  guint64 left_out; /* lines suppressed by the log's rate limit */
  guint64 dropped;  /* lines lost because the reader of a log was too slow */
  guint lines;
} Report;

static void
S_route_free (gpointer data)
{
  RouteStats *route = data;
  g_free (route->name);
  g_free (route);
}

static RouteStats *
S_get_route (Report *report, const char *name)
{
  RouteStats *route = g_hash_table_lookup (report->routes, name);
  if (route)
    return route;
  route = g_new0 (RouteStats, 1);
  route->name = g_strdup (name);
  g_hash_table_insert (report->routes, route->name, route);
  return route;
}

static void
S_add_request (Report *report, const json_t *line)
{
  RouteStats *route = S_get_route (report, ctl_json_string (line, "route"));
  if (report->plot && *ctl_json_string (line, "verdict") != '\0')
    ctl_plot_add_request (report->plot, line);
  size_t i = 0;
  json_t *call = NULL;
  route->lines++;
  json_array_foreach (json_object_get (line, "calls"), i, call)
  {
    route->hedges += g_str_equal (ctl_json_string (call, "why"), "hedge");
    route->retries += g_str_equal (ctl_json_string (call, "why"), "retry");
  }
  if (ctl_json_integer (line, "status") >= 300)
    {
      g_autofree char *key = g_strdup_printf ("%s %s", ctl_json_string (line, "verdict"),
                                              ctl_json_string (line, "cause"));
      ctl_add_count (report->causes, key, 1);
      return;
    }
  route->partial += ctl_json_integer (line, "missing") > 0;
  for (guint remaining = ctl_line_weight (line); remaining > 0; remaining--)
    mr_histogram_add (&route->latency, ctl_json_integer (line, "took_us"));
}

/* Parses the message of an E1206 line, "configuration 16 is in force here, after 12", and records
 * its time.  The first configuration of a relay ("after 0") is not part of a rollout. */
static void
S_add_version (Report *report, const json_t *line)
{
  g_auto (GStrv) words = g_strsplit (ctl_json_string (line, "message"), " ", 3);
  gint64 time = ctl_json_integer (line, "time");
  if (g_strv_length (words) < 3 || !g_str_has_suffix (words[2], " 0"))
    {
      GArray *times = g_hash_table_lookup (report->versions, words[1]);
      if (!times)
        {
          times = g_array_new (FALSE, FALSE, sizeof (gint64));
          g_hash_table_insert (report->versions, g_strdup (words[1]), times);
        }
      g_array_append_val (times, time);
    }
}

static void
S_add_traffic (Report *report, const json_t *line)
{
  ctl_traffic_add (&report->traffic, line);
  if (report->plot)
    ctl_plot_add_traffic (report->plot, line);
}

static void
S_add_line (json_t *line, void *user)
{
  Report *report = user;
  const char *event = ctl_json_string (line, "event");
  report->lines++;
  report->left_out += (guint64) ctl_json_integer (line, "left_out");
  report->dropped += (guint64) ctl_json_integer (line, "dropped");
  ctl_add_count (report->events, event, 1);
  ctl_loss_add (report->loss, line);
  if (json_object_get (line, "route"))
    S_add_request (report, line);
  else if (g_str_equal (event, "E1206"))
    S_add_version (report, line);
  else if (g_str_equal (event, "E1106"))
    S_add_traffic (report, line);
}

static int
S_compare_text (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static GList *
S_sorted_keys (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), S_compare_text);
}

static void
S_print_routes (const Report *report)
{
  g_autoptr (GList) names = S_sorted_keys (report->routes);
  printf ("%-16s %8s %8s %8s %8s %10s %10s %10s\n", "route", "lines", "partial", "hedges",
          "retries", "p50 ms", "p90 ms", "p99 ms");
  for (const GList *name = names; name; name = name->next)
    {
      const RouteStats *route = g_hash_table_lookup (report->routes, name->data);
      printf ("%-16.*s %8u %8u %8u %8u %10.1f %10.1f %10.1f\n", ROUTE_NAME_WIDTH_MAX, route->name,
              route->lines, route->partial, route->hedges, route->retries,
              (double) mr_histogram_quantile (&route->latency, 0.5) / 1000,
              (double) mr_histogram_quantile (&route->latency, 0.9) / 1000,
              (double) mr_histogram_quantile (&route->latency, 0.99) / 1000);
    }
}

static void
S_print_counts (const char *title, GHashTable *table)
{
  g_autoptr (GList) keys = S_sorted_keys (table);
  printf ("\n%s\n", title);
  for (const GList *key = keys; key; key = key->next)
    printf ("  %-28s %8u\n", (const char *) key->data,
            GPOINTER_TO_UINT (g_hash_table_lookup (table, key->data)));
}

static void
S_print_versions (const Report *report)
{
  g_autoptr (GList) versions = S_sorted_keys (report->versions);
  printf ("\nconfigurations: relays, ms from the first to the last relay that put it in force\n");
  for (const GList *version = versions; version; version = version->next)
    {
      const GArray *times = g_hash_table_lookup (report->versions, version->data);
      gint64 first = G_MAXINT64;
      gint64 last = 0;
      for (guint i = 0; i < times->len; i++)
        {
          first = MIN (first, g_array_index (times, gint64, i));
          last = MAX (last, g_array_index (times, gint64, i));
        }
      printf ("  %-12s %4u %8" G_GINT64_FORMAT "\n", (const char *) version->data, times->len,
              last - first);
    }
}

static CtlExit
S_write_plots (const Report *report, const char *path)
{
  g_autoptr (GList) names = S_sorted_keys (report->routes);
  for (const GList *name = names; name; name = name->next)
    {
      const RouteStats *route = g_hash_table_lookup (report->routes, name->data);
      ctl_plot_add_route (report->plot, route->name, &route->latency);
    }
  return ctl_plot_write (report->plot, path);
}

CtlExit
ctl_report (const CtlOptions *options)
{
  Report report = {
    .routes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_route_free),
    .causes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .events = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .versions =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref),
    .loss = ctl_loss_new (),
    .plot = options->svg ? ctl_plot_new () : NULL,
  };
  CtlExit result = ctl_read_log_files (options->argc, options->argv, S_add_line, &report);
  if (result == CTL_OK && report.lines == 0)
    result = ctl_fail (CTL_FAILED, "no log lines found");
  if (result == CTL_OK)
    {
      printf ("%u lines, %" G_GUINT64_FORMAT " suppressed by the rate limit, %" G_GUINT64_FORMAT
              " dropped; of complete answers without hedges or retries one in 50 is logged and "
              "counts as 50\n\n",
              report.lines, report.left_out, report.dropped);
      S_print_routes (&report);
      ctl_loss_print (report.loss);
      S_print_counts ("not served, by verdict and cause", report.causes);
      S_print_counts ("events", report.events);
      S_print_versions (&report);
      ctl_traffic_print (&report.traffic);
      if (options->svg)
        result = S_write_plots (&report, options->svg);
    }
  ctl_loss_free (report.loss);
  ctl_plot_free (report.plot);
  g_hash_table_unref (report.routes);
  g_hash_table_unref (report.causes);
  g_hash_table_unref (report.events);
  g_hash_table_unref (report.versions);
  return result;
}
