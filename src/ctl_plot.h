/* Plots of a run out of relays' log lines, as one SVG page: how long answers took,
 * by route, what became of requests and what daemons sent into other failure domains,
 * second by second. */
#pragma once

#include "ctl.h"
#include "histogram.h"

typedef struct _CtlPlot CtlPlot;

CtlPlot *ctl_plot_new (void);
void ctl_plot_free (CtlPlot *plot);

/* Counts one line of a request. */
void ctl_plot_add (CtlPlot *plot, const json_t *line);

/* Counts one line of traffic between daemons. */
void ctl_plot_add_traffic (CtlPlot *plot, const json_t *line);

/* A curve for the answers of @route. */
void ctl_plot_route (CtlPlot *plot, const char *route, const MrHistogram *latency);

/* Writes the page to @path. */
CtlExit ctl_plot_write (const CtlPlot *plot, const char *path);
