/* Probes that find out whether a process accepts connections at a target's address.
 *
 * A process that ends closes its connections before its listener: usually 0.1 ms before, 6 ms on a
 * busy machine.  In between the kernel accepts a probe that follows a broken call at once, and
 * resets it when the listener closes.  A probe after a break therefore has to stay connected for a
 * moment, and is repeated if it is reset.  A target that resets connections above its limit accepts
 * the repeated probes as well, and counts as alive.
 *
 * Without this most crashes yielded no evidence against the request that caused them: seven targets
 * crashed where three is the limit, and twelve with a listener that closes 6 ms late
 * (process_quarantine).  The cost is a delay of 10 ms for a request whose connection was reset by a
 * live target, if none of its parts has been answered yet. */
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
  guint64 connections;
  guint64 repeated; /* probes repeated after a reset */
} MrProberCounts;

MrProber *mr_prober_new (MrProberHost *host, MrLoop *loop);
/* To be called after the loop was freed. */
void mr_prober_free (MrProber *prober);

/* The result is never reported before this function returns. */
void mr_prober_start (MrProber *prober, MrTime now, const MrTargetState *target);
/* Cancels the probes of @target without a result, since its id may soon belong to another
 * process. */
void mr_prober_cancel (MrProber *prober, const char *target);

/* Reports results that are due; returns the time of the next call. */
MrTime mr_prober_tick (MrProber *prober, MrTime now);

const MrProberCounts *mr_prober_counts (const MrProber *prober);
