#include "ctl_plot.h"

#include "ctl_loss.h"
#include "ctl_traffic.h"

#include <math.h>

enum
{
  WIDTH = 900,
  PANEL = 300, /* height of one plot */
  LEFT = 60,
  TOP = 40,
  GAP = 70, /* between the plots, with room for the axis */
  PAGE_HEIGHT = 4 * PANEL + 3 * GAP + TOP + 60,
  CURVE_STEPS = 120,
};

/* Times from 1 ms to 10 s on a logarithmic axis. */
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
  [OUTCOME_PARTIAL] = "served in part or repeated",
  [OUTCOME_REFUSED] = "refused",
  [OUTCOME_FAILED] = "failed or timed out",
};

static const char *const outcome_colors[OUTCOMES] = {
  [OUTCOME_SERVED] = "#4c9f70",
  [OUTCOME_PARTIAL] = "#e0b13c",
  [OUTCOME_REFUSED] = "#d9793a",
  [OUTCOME_FAILED] = "#b23a48",
};

static const char *const loss_colors[CTL_LOSSES] = {
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
};

static const char *const route_colors[] = { "#2d6a9f", "#b23a48", "#4c9f70",
                                            "#8e5ea2", "#d9793a", "#555555" };

typedef struct
{
  guint counts[OUTCOMES];
  guint requests; /* with those of lines left out */
  double lost[CTL_LOSSES];
  double sent[MR_TRAFFIC_KINDS]; /* bytes to other failure domains */
} Second;

struct _CtlPlot
{
  GHashTable *seconds; /* second -> Second */
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
  const char *verdict = ctl_line_text (line, "verdict");
  if (g_str_equal (verdict, "refused"))
    return OUTCOME_REFUSED;
  if (ctl_line_number (line, "status") >= 300)
    return OUTCOME_FAILED;
  return ctl_line_weight (line) == 1 ? OUTCOME_PARTIAL : OUTCOME_SERVED;
}

static Second *
S_second_of (CtlPlot *plot, const json_t *line)
{
  gint64 at = ctl_line_number (line, "time") / 1000;
  Second *second = g_hash_table_lookup (plot->seconds, &at);
  plot->first = MIN (plot->first, at);
  plot->last = MAX (plot->last, at);
  if (second)
    return second;
  gint64 *key = g_new (gint64, 1);
  *key = at;
  second = g_new0 (Second, 1);
  g_hash_table_insert (plot->seconds, key, second);
  return second;
}

void
ctl_plot_add_traffic (CtlPlot *plot, const json_t *line)
{
  Second *second = S_second_of (plot, line);
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    second->sent[kind] += ctl_line_sent (line, (MrTrafficKind) kind, FALSE);
}

void
ctl_plot_add (CtlPlot *plot, const json_t *line)
{
  Second *second = S_second_of (plot, line);
  second->counts[S_outcome (line)] += ctl_line_weight (line);
  CtlLineLoss loss;
  if (ctl_line_loss (line, &loss))
    {
      second->requests += loss.requests;
      second->lost[loss.kind] += loss.lost * loss.requests;
    }
}

static double
S_x_of (double us)
{
  double decades = log10 (MAX (us, 1) / 1000);
  return LEFT + CLAMP (decades / DECADES, 0, 1) * (WIDTH - 2 * LEFT);
}

void
ctl_plot_route (CtlPlot *plot, const char *route, const MrHistogram *latency)
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
      g_string_append_printf (plot->curves, "%.1f,%.1f ", S_x_of (us), TOP + PANEL - share * PANEL);
    }
  g_string_append_printf (plot->curves,
                          "'/>\n<text x='%d' y='%u' fill='%s'>%s (%" G_GUINT64_FORMAT ")</text>\n",
                          LEFT + 10, TOP + 20 + 16 * plot->routes, color, name, latency->count);
  plot->routes++;
}

static void
S_add_latency_axis (GString *out)
{
  static const char *const labels[] = { "1 ms", "10 ms", "100 ms", "1 s", "10 s" };
  g_string_append_printf (out,
                          "<text x='%d' y='%d'>share of answers within a time, by route"
                          "</text>\n",
                          LEFT, TOP - 12);
  for (guint i = 0; i < G_N_ELEMENTS (labels); i++)
    {
      double x = S_x_of (1000 * pow (10, i));
      g_string_append_printf (out,
                              "<line x1='%.1f' y1='%d' x2='%.1f' y2='%d' stroke='#ddd'/>"
                              "<text x='%.1f' y='%d' text-anchor='middle'>%s</text>\n",
                              x, TOP, x, TOP + PANEL, x, TOP + PANEL + 16, labels[i]);
    }
  for (guint tenth = 0; tenth <= 10; tenth += 5)
    g_string_append_printf (out, "<text x='%d' y='%u' text-anchor='end'>%.1f</text>\n", LEFT - 6,
                            TOP + PANEL - tenth * PANEL / 10, tenth / 10.0);
}

static double
S_requests_in (const Second *second)
{
  guint sum = 0;
  for (guint i = 0; i < OUTCOMES; i++)
    sum += second->counts[i];
  return sum;
}

static double
S_sent_in (const Second *second)
{
  double sum = 0;
  for (guint i = 0; i < MR_TRAFFIC_KINDS; i++)
    sum += second->sent[i];
  return sum;
}

/* The most that @amount gives for one second, but at least 1. */
static double
S_most (const CtlPlot *plot, double (*amount) (const Second *second))
{
  double most = 1;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, plot->seconds);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    most = MAX (most, amount (item));
  return most;
}

/* A row of bars, one a second, made of pieces on top of each other. */
typedef struct
{
  int base; /* y of its foot */
  guint pieces;
  /* Height of one piece as a share of the panel's; @most is the whole. */
  double (*share) (const Second *second, guint piece, double most);
  double most;
  const char *const *colors;
  const char *const *names;
} Bars;

static double
S_outcome_share (const Second *second, guint piece, double most)
{
  return (double) second->counts[piece] / most;
}

static double
S_loss_share (const Second *second, guint piece, double most)
{
  (void) most;
  return second->lost[piece] / MAX (second->requests, 1);
}

static double
S_sent_share (const Second *second, guint piece, double most)
{
  return second->sent[piece] / most;
}

static void
S_add_bar (const Bars *bars, GString *out, const Second *second, double x, double width)
{
  double y = bars->base;
  for (guint i = 0; i < bars->pieces; i++)
    {
      double height = bars->share (second, i, bars->most) * PANEL;
      y -= height;
      if (height > 0)
        g_string_append_printf (out,
                                "<rect x='%.2f' y='%.2f' width='%.2f' height='%.2f' fill='%s'/>\n",
                                x, y, MAX (width - 0.5, 0.5), height, bars->colors[i]);
    }
}

static void
S_add_bars (const CtlPlot *plot, GString *out, const Bars *bars, const char *title)
{
  double step = (double) (WIDTH - 2 * LEFT) / (double) (plot->last - plot->first + 1);
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, plot->seconds);
  while (g_hash_table_iter_next (&iter, &key, &item))
    S_add_bar (bars, out, item, LEFT + (double) (*(gint64 *) key - plot->first) * step, step);
  g_string_append_printf (out, "<text x='%d' y='%d'>%s</text>\n", LEFT, bars->base - PANEL - 12,
                          title);
  for (guint i = 0; i < bars->pieces; i++)
    g_string_append_printf (out, "<text x='%u' y='%d' fill='%s'>%s</text>\n",
                            LEFT + i * (WIDTH - 2 * LEFT) / bars->pieces, bars->base + 24,
                            bars->colors[i], bars->names[i]);
}

static void
S_add_seconds (const CtlPlot *plot, GString *out)
{
  const Bars served = {
    .base = TOP + 2 * PANEL + GAP,
    .pieces = OUTCOMES,
    .share = S_outcome_share,
    .most = S_most (plot, S_requests_in),
    .colors = outcome_colors,
    .names = outcome_names,
  };
  const Bars lost = {
    .base = TOP + 3 * PANEL + 2 * GAP,
    .pieces = CTL_LOSSES,
    .share = S_loss_share,
    .most = 1,
    .colors = loss_colors,
    .names = ctl_loss_names,
  };
  const char *kinds[MR_TRAFFIC_KINDS];
  const Bars sent = {
    .base = TOP + 4 * PANEL + 3 * GAP,
    .pieces = MR_TRAFFIC_KINDS,
    .share = S_sent_share,
    .most = S_most (plot, S_sent_in),
    .colors = traffic_colors,
    .names = kinds,
  };
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    kinds[kind] = mr_traffic_kind_name ((MrTrafficKind) kind);
  g_autofree char *requests =
      g_strdup_printf ("requests a second, about (%.0f at most), over %" G_GINT64_FORMAT " s",
                       served.most, plot->last - plot->first + 1);
  g_autofree char *bytes =
      g_strdup_printf ("control and searches sent to other failure domains, as their log lines came"
                       " (%.0f kB in one second at most)",
                       sent.most / 1000);
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
    S_add_seconds (plot, out);
  g_string_append (out, "</svg>\n");
  if (!g_file_set_contents (path, out->str, (gssize) out->len, &error))
    return ctl_fail (CTL_FAILED, "%s", error->message);
  return CTL_OK;
}
