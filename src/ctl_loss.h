/* What callers lost, from relays' log lines alone: by second, kind of request and
 * cause.
 *
 * A request that is answered within its route's aim earns the square of the share of
 * its parts that are in, later a tenth, else nothing; what is missing to one is lost.
 * Lines stand for what they were sampled from, and for those of their event that
 * were left out for volume just before.  Requests that reached no relay are not
 * seen. */
#pragma once

#include "ctl.h"

typedef enum
{
  CTL_LOSS_PARTIAL, /* in time, without some parts */
  CTL_LOSS_LATE,
  CTL_LOSS_REFUSED,
  CTL_LOSS_FAILED,
  CTL_LOSSES,
} CtlLossKind;

/* One line's share: @requests that it stands for, and what each lost. */
typedef struct
{
  guint requests;
  CtlLossKind kind;
  double lost; /* of each, 0 to 1 */
} CtlLineLoss;

extern const char *const ctl_loss_names[CTL_LOSSES];

/* FALSE if the line is of no request that a caller was owed an answer to. */
gboolean ctl_line_loss (const json_t *line, CtlLineLoss *loss);

typedef struct _CtlLoss CtlLoss;

CtlLoss *ctl_loss_new (void);
void ctl_loss_free (CtlLoss *loss);
void ctl_loss_add (CtlLoss *loss, const json_t *line);
/* Prints what was lost by route and cause, and the seconds that lost most. */
void ctl_loss_print (const CtlLoss *loss);
