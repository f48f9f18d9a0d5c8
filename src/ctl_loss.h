/* Value that callers lost by late, partial and missing answers, estimated from the log lines of
 * relays: by second, route and cause.
 *
 * An answer within the latency goal of its route has the square of the fraction of its parts that
 * are present as its value, a later one a tenth of that, a request without an answer 0.  The
 * difference to 1 is lost.  A line represents the requests that it was sampled from, and also those
 * of the lines of the same event that the log's rate limit suppressed before it.  Requests that
 * reached no relay are not counted. */
#pragma once

#include "ctl.h"

typedef enum
{
  CTL_LOSS_PARTIAL, /* within the latency goal, but some parts may be missing */
  CTL_LOSS_LATE,    /* after the latency goal */
  CTL_LOSS_REFUSED,
  CTL_LOSS_FAILED,
  CTL_LOSS_KINDS,
} CtlLossKind;

/* Loss of the requests that one log line represents. */
typedef struct
{
  guint requests;
  CtlLossKind kind;
  double lost_share; /* lost value of each request, 0 to 1 */
} CtlLineLoss;

extern const char *const ctl_loss_names[CTL_LOSS_KINDS];

/* Computes the loss of one log line.  Returns FALSE if the line is not of a request, or of one that
 * matched no route. */
gboolean ctl_line_loss (const json_t *line, CtlLineLoss *loss);

typedef struct _CtlLoss CtlLoss;

CtlLoss *ctl_loss_new (void);
void ctl_loss_free (CtlLoss *loss);
void ctl_loss_add (CtlLoss *loss, const json_t *line);

/* Prints the loss by route and cause, and the seconds with the greatest loss. */
void ctl_loss_print (const CtlLoss *loss);
