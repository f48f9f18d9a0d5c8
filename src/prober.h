/* Probes of targets: whether anybody takes connections at an address.
 *
 * A process that ends closes its connections before its listener, 0.1 ms before as a rule
 * and 6 ms on a busy machine.  A probe that follows a broken call at once is accepted in
 * between, by the kernel, and reset when the listener closes.  So one that follows a break
 * has to stand for a moment; if it is reset it is made again.  A target that resets what is
 * over its cap accepts that as well, and counts as living.
 *
 * Without it most ends of targets were no evidence against the request that caused them:
 * seven targets ended where three are the bound, twelve with a listener that closes 6 ms
 * late (process_quarantine).  It costs a request whose connection was reset by a living
 * target 10 ms, if none of its parts has been answered yet. */
#pragma once

#include "loop.h"
#include "target.h"

typedef struct _MrProber MrProber;
typedef struct _MrProberHost MrProberHost;

struct _MrProberHost
{
  void (*probed) (MrProberHost *host, const char *target, gboolean answered);
};

typedef struct
{
  guint64 connections; /* opened, ever */
  guint64 repeated;    /* of them, since the one before was reset */
} MrProberCounts;

MrProber *mr_prober_new (MrProberHost *host, MrLoop *loop);
/* After the loop was freed. */
void mr_prober_free (MrProber *prober);

/* The result is reported later, never from within. */
void mr_prober_start (MrProber *prober, MrTime now, const MrTargetState *target);
/* Ends the probes of @target without a result: another process may have its id by then. */
void mr_prober_cancel (MrProber *prober, const char *target);

/* Reports what is due; returns when to come back. */
MrTime mr_prober_tick (MrProber *prober, MrTime now);

const MrProberCounts *mr_prober_counts (const MrProber *prober);
