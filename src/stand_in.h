/* Whether a relay that is not chosen to watch the platform has to do so for now.
 *
 * While the first members of all failure domains say that they do not reach the platform, either it
 * is down, or they are cut off from it and others may not be.  The next members find out one after
 * the other, which takes a time-out each.  All others therefore read from the platform as well,
 * each at a random time, so that all of them together make a limited number of calls a second.
 * Once no chosen member reaches the platform, those that do watch until one of the chosen does. */
#pragma once

#include "clock.h"
#include "roster.h"

typedef struct
{
  gboolean needed;  /* no first member reaches the platform */
  gboolean reaches; /* this daemon did when it last called */
  gboolean watches; /* it does, and no chosen member does */
  guint members;    /* of the fleet, when it was last updated */
  MrTime try_at;    /* if needed: when to read from the platform next */
} MrStandIn;

/* Updates the state; @chosen: this daemon is chosen to watch.  @random: 0 to 1. */
void mr_stand_in_update (
    MrStandIn *stand_in, MrTime now, const MrRoster *roster, gboolean chosen, double random);
/* TRUE if this daemon has to read from the platform now. */
gboolean mr_stand_in_is_due (const MrStandIn *stand_in, MrTime now);
/* A call to the platform has ended. */
void mr_stand_in_called (MrStandIn *stand_in, MrTime now, gboolean success, double random);
