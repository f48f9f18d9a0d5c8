/* Plots of the log lines of relays, as one SVG page: the distribution of latency by route, and for
 * each second the outcomes of requests, the lost value and the bytes that daemons sent to other
 * failure domains. */
#pragma once

#include "ctl.h"
#include "histogram.h"

typedef struct _CtlPlot CtlPlot;

CtlPlot *ctl_plot_new (void);
void ctl_plot_free (CtlPlot *plot);

/* Counts the log line of a request. */
void ctl_plot_add_request (CtlPlot *plot, const json_t *line);

/* Counts a log line of traffic between daemons. */
void ctl_plot_add_traffic (CtlPlot *plot, const json_t *line);

/* Adds the cumulative distribution of the latency of @route. */
void ctl_plot_add_route (CtlPlot *plot, const char *route, const MrHistogram *latency);

/* Writes the page to the file @path. */
CtlExit ctl_plot_write (const CtlPlot *plot, const char *path);
