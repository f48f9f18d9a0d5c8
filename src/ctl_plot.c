#include "ctl_plot.h"

#include "ctl_loss.h"
#include "ctl_traffic.h"

#include <math.h>

enum
{
  WIDTH = 900,
  PANEL_HEIGHT = 300, /* height of one plot */
  MARGIN = 60,        /* left and right */
  TOP = 40,
  GAP = 70, /* between the plots, with room for the axis */
  PAGE_HEIGHT = 4 * PANEL_HEIGHT + 3 * GAP + TOP + 60,
  CURVE_STEPS = 120,
};

/* Decades of the logarithmic latency axis, which starts at 1 ms and so ends at 10 s. */
static const double DECADES = 4;

typedef enum
{
  OUTCOME_SERVED,
  OUTCOME_PARTIAL,
  OUTCOME_REFUSED,
  OUTCOME_FAILED,
  OUTCOMES,
} Outcome;

static const char *const outcome_names[OUTCOMES] = {
  [OUTCOME_SERVED] = "served",
  [OUTCOME_PARTIAL] = "served in part, or with hedges or retries",
  [OUTCOME_REFUSED] = "refused",
  [OUTCOME_FAILED] = "failed or timed out",
};

static const char *const outcome_colors[OUTCOMES] = {
  [OUTCOME_SERVED] = "#4c9f70",
  [OUTCOME_PARTIAL] = "#e0b13c",
  [OUTCOME_REFUSED] = "#d9793a",
  [OUTCOME_FAILED] = "#b23a48",
};

static const char *const loss_colors[CTL_LOSS_KINDS] = {
  [CTL_LOSS_PARTIAL] = "#e0b13c",
  [CTL_LOSS_LATE] = "#8e5ea2",
  [CTL_LOSS_REFUSED] = "#d9793a",
  [CTL_LOSS_FAILED] = "#b23a48",
};

static const char *const traffic_colors[MR_TRAFFIC_KINDS] = {
  [MR_TRAFFIC_HEARTBEAT] = "#2d6a9f", [MR_TRAFFIC_MEMBERS] = "#8e5ea2",
  [MR_TRAFFIC_NEWS] = "#4c9f70",      [MR_TRAFFIC_COMPARE] = "#e0b13c",
  [MR_TRAFFIC_GET] = "#d9793a",       [MR_TRAFFIC_OBJECTS] = "#b23a48",
  [MR_TRAFFIC_SEARCH] = "#555555",    [MR_TRAFFIC_ORDER] = "#999999",
  [MR_TRAFFIC_VERSION] = "#117a8b",
};

static const char *const route_colors[] = { "#2d6a9f", "#b23a48", "#4c9f70",
                                            "#8e5ea2", "#d9793a", "#555555" };

typedef struct
{
  guint counts[OUTCOMES];
  guint requests; /* including those of suppressed log lines */
  double lost[CTL_LOSS_KINDS];
  double sent[MR_TRAFFIC_KINDS]; /* bytes to other failure domains */
} SecondCounts;

struct _CtlPlot
{
  GHashTable *seconds; /* Unix time in s -> SecondCounts */
  gint64 first;
  gint64 last;
  GString *curves;
  guint routes;
};

CtlPlot *
ctl_plot_new (void)
{
  CtlPlot *plot = g_new0 (CtlPlot, 1);
  plot->seconds = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  plot->first = G_MAXINT64;
  plot->curves = g_string_new (NULL);
  return plot;
}

void
ctl_plot_free (CtlPlot *plot)
{
  if (!plot)
    return;
  g_hash_table_unref (plot->seconds);
  g_string_free (plot->curves, TRUE);
  g_free (plot);
}

static Outcome
S_outcome (const json_t *line)
{
  const char *verdict = ctl_json_string (line, "verdict");
  if (g_str_equal (verdict, "refused"))
    return OUTCOME_REFUSED;
  if (ctl_json_integer (line, "status") >= 300)
    return OUTCOME_FAILED;
  return ctl_line_weight (line) == 1 ? OUTCOME_PARTIAL : OUTCOME_SERVED;
}

static SecondCounts *
S_get_second (CtlPlot *plot, const json_t *line)
{
  gint64 time = ctl_json_integer (line, "time") / 1000;
  SecondCounts *second = g_hash_table_lookup (plot->seconds, &time);
  plot->first = MIN (plot->first, time);
  plot->last = MAX (plot->last, time);
  if (second)
    return second;
  gint64 *key = g_new (gint64, 1);
  *key = time;
  second = g_new0 (SecondCounts, 1);
  g_hash_table_insert (plot->seconds, key, second);
  return second;
}

void
ctl_plot_add_traffic (CtlPlot *plot, const json_t *line)
{
  SecondCounts *second = S_get_second (plot, line);
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    second->sent[kind] += ctl_line_sent_bytes (line, (MrTrafficKind) kind, FALSE);
}

void
ctl_plot_add_request (CtlPlot *plot, const json_t *line)
{
  SecondCounts *second = S_get_second (plot, line);
  second->counts[S_outcome (line)] += ctl_line_weight (line);
  CtlLineLoss loss;
  if (ctl_line_loss (line, &loss))
    {
      second->requests += loss.requests;
      second->lost[loss.kind] += loss.lost_share * loss.requests;
    }
}

static double
S_latency_x (double us)
{
  double decades = log10 (MAX (us, 1) / 1000);
  return MARGIN + CLAMP (decades / DECADES, 0, 1) * (WIDTH - 2 * MARGIN);
}

void
ctl_plot_add_route (CtlPlot *plot, const char *route, const MrHistogram *latency)
{
  if (latency->count == 0)
    return;
  const char *color = route_colors[plot->routes % G_N_ELEMENTS (route_colors)];
  g_autofree char *name = g_markup_escape_text (route, -1);
  g_string_append_printf (plot->curves, "<polyline fill='none' stroke='%s' points='", color);
  for (guint i = 0; i <= CURVE_STEPS; i++)
    {
      double us = 1000 * pow (10, DECADES * i / CURVE_STEPS);
      double share =
          (double) mr_histogram_count_up_to (latency, (gint64) us) / (double) latency->count;
      g_string_append_printf (plot->curves, "%.1f,%.1f ", S_latency_x (us),
                              TOP + PANEL_HEIGHT - share * PANEL_HEIGHT);
    }
  g_string_append_printf (plot->curves,
                          "'/>\n<text x='%d' y='%u' fill='%s'>%s (%" G_GUINT64_FORMAT ")</text>\n",
                          MARGIN + 10, TOP + 20 + 16 * plot->routes, color, name, latency->count);
  plot->routes++;
}

static void
S_add_latency_axis (GString *out)
{
  static const char *const labels[] = { "1 ms", "10 ms", "100 ms", "1 s", "10 s" };
  g_string_append_printf (out,
                          "<text x='%d' y='%d'>fraction of answers within a latency, by route"
                          "</text>\n",
                          MARGIN, TOP - 12);
  for (guint i = 0; i < G_N_ELEMENTS (labels); i++)
    {
      double x = S_latency_x (1000 * pow (10, i));
      g_string_append_printf (out,
                              "<line x1='%.1f' y1='%d' x2='%.1f' y2='%d' stroke='#ddd'/>"
                              "<text x='%.1f' y='%d' text-anchor='middle'>%s</text>\n",
                              x, TOP, x, TOP + PANEL_HEIGHT, x, TOP + PANEL_HEIGHT + 16, labels[i]);
    }
  for (guint tenth = 0; tenth <= 10; tenth += 5)
    g_string_append_printf (out, "<text x='%d' y='%u' text-anchor='end'>%.1f</text>\n", MARGIN - 6,
                            TOP + PANEL_HEIGHT - tenth * PANEL_HEIGHT / 10, tenth / 10.0);
}

static double
S_total_requests (const SecondCounts *second)
{
  guint sum = 0;
  for (guint i = 0; i < OUTCOMES; i++)
    sum += second->counts[i];
  return sum;
}

static double
S_total_sent (const SecondCounts *second)
{
  double sum = 0;
  for (guint i = 0; i < MR_TRAFFIC_KINDS; i++)
    sum += second->sent[i];
  return sum;
}

/* Returns the highest value of @total over all seconds, but at least 1. */
static double
S_max_per_second (const CtlPlot *plot, double (*total) (const SecondCounts *second))
{
  double max = 1;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, plot->seconds);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    max = MAX (max, total (item));
  return max;
}

/* A stacked bar chart with one bar for each second. */
typedef struct
{
  int baseline; /* y coordinate of the bottom of the bars */
  guint segment_count;
  /* Returns the height of one segment as a fraction of the plot; its full height represents @max.
   */
  double (*share) (const SecondCounts *second, guint segment, double max);
  double max;
  const char *const *colors;
  const char *const *names;
} StackedBars;

static double
S_outcome_share (const SecondCounts *second, guint segment, double max)
{
  return (double) second->counts[segment] / max;
}

static double
S_loss_share (const SecondCounts *second, guint segment, double max)
{
  (void) max;
  return second->lost[segment] / MAX (second->requests, 1);
}

static double
S_sent_share (const SecondCounts *second, guint segment, double max)
{
  return second->sent[segment] / max;
}

static void
S_add_bar (
    const StackedBars *bars, GString *out, const SecondCounts *second, double x, double width)
{
  double y = bars->baseline;
  for (guint i = 0; i < bars->segment_count; i++)
    {
      double height = bars->share (second, i, bars->max) * PANEL_HEIGHT;
      y -= height;
      if (height > 0)
        g_string_append_printf (out,
                                "<rect x='%.2f' y='%.2f' width='%.2f' height='%.2f' fill='%s'/>\n",
                                x, y, MAX (width - 0.5, 0.5), height, bars->colors[i]);
    }
}

static void
S_add_bars (const CtlPlot *plot, GString *out, const StackedBars *bars, const char *title)
{
  double bar_width = (double) (WIDTH - 2 * MARGIN) / (double) (plot->last - plot->first + 1);
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, plot->seconds);
  while (g_hash_table_iter_next (&iter, &key, &item))
    S_add_bar (bars, out, item, MARGIN + (double) (*(gint64 *) key - plot->first) * bar_width,
               bar_width);
  g_string_append_printf (out, "<text x='%d' y='%d'>%s</text>\n", MARGIN,
                          bars->baseline - PANEL_HEIGHT - 12, title);
  for (guint i = 0; i < bars->segment_count; i++)
    g_string_append_printf (out, "<text x='%u' y='%d' fill='%s'>%s</text>\n",
                            MARGIN + i * (WIDTH - 2 * MARGIN) / bars->segment_count,
                            bars->baseline + 24, bars->colors[i], bars->names[i]);
}

static void
S_add_bar_charts (const CtlPlot *plot, GString *out)
{
  const StackedBars served = {
    .baseline = TOP + 2 * PANEL_HEIGHT + GAP,
    .segment_count = OUTCOMES,
    .share = S_outcome_share,
    .max = S_max_per_second (plot, S_total_requests),
    .colors = outcome_colors,
    .names = outcome_names,
  };
  const StackedBars lost = {
    .baseline = TOP + 3 * PANEL_HEIGHT + 2 * GAP,
    .segment_count = CTL_LOSS_KINDS,
    .share = S_loss_share,
    .max = 1,
    .colors = loss_colors,
    .names = ctl_loss_names,
  };
  const char *kinds[MR_TRAFFIC_KINDS];
  const StackedBars sent = {
    .baseline = TOP + 4 * PANEL_HEIGHT + 3 * GAP,
    .segment_count = MR_TRAFFIC_KINDS,
    .share = S_sent_share,
    .max = S_max_per_second (plot, S_total_sent),
    .colors = traffic_colors,
    .names = kinds,
  };
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    kinds[kind] = mr_traffic_kind_name ((MrTrafficKind) kind);
  g_autofree char *requests =
      g_strdup_printf ("requests per second (estimate, maximum %.0f), over %" G_GINT64_FORMAT " s",
                       served.max, plot->last - plot->first + 1);
  g_autofree char *bytes = g_strdup_printf (
      "bytes that daemons sent to other failure domains, by the time of their log lines"
      " (maximum %.0f kB in one second)",
      sent.max / 1000);
  S_add_bars (plot, out, &served, requests);
  S_add_bars (plot, out, &lost, "share of each second's worth that was lost");
  S_add_bars (plot, out, &sent, bytes);
}

CtlExit
ctl_plot_write (const CtlPlot *plot, const char *path)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  g_string_append_printf (out,
                          "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
                          "font-family='sans-serif' font-size='12'>\n"
                          "<rect width='100%%' height='100%%' fill='white'/>\n",
                          WIDTH, PAGE_HEIGHT);
  S_add_latency_axis (out);
  g_string_append_len (out, plot->curves->str, (gssize) plot->curves->len);
  if (g_hash_table_size (plot->seconds) > 0)
    S_add_bar_charts (plot, out);
  g_string_append (out, "</svg>\n");
  if (!g_file_set_contents (path, out->str, (gssize) out->len, &error))
    return ctl_fail (CTL_FAILED, "%s", error->message);
  return CTL_OK;
}
