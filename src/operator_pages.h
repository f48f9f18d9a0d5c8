/* Pages that a daemon serves to operators: status, members, error budget burn (JSON) and metrics
 * (Prometheus text format); also the list of addresses for callers. */
#pragma once

#include "entry_context.h"

typedef struct
{
  guint searches; /* in progress */
  guint orders;   /* in progress */
  gboolean leaving;
} MrEntryActivity;

GString *mr_page_status (const MrEntryContext *context, const MrEntryActivity *activity);
GString *mr_page_members (const MrEntryContext *context);
GString *mr_page_burn (const MrEntryContext *context, MrTime now);
GString *mr_page_metrics (const MrEntryContext *context);

/* Returns the addresses of up to @max_count daemons that are neither leaving nor busy, for a caller
 * in the failure domain @domain (NULL: unknown).  Daemons of that domain come first; the order is
 * random otherwise. */
GString *mr_page_addresses (const MrEntryContext *context,
                            const char *domain,
                            guint max_count,
                            GRand *random);
