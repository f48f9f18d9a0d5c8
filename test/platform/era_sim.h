/* Simulation of daemons beside a store that comes back from older copies, on a virtual clock:
 * the real control tasks and the real codec, with a store, operators and targets in memory. */
#pragma once

#include <glib.h>

/* Runs a random schedule of changes, copies, restores, delayed, lost and late answers, exchanges
 * between daemons and restarts. Returns a description of the first violation, to be freed with
 * g_free (), or NULL. */
char *era_sim_run (guint32 seed);
