/* Which daemons speak to the platform, and when.
 *
 * A few watchers in each failure domain, picked by rendezvous hashing over the
 * members, hold the watches; everybody else reads now and then as a last
 * resort, so that the platform's calls do not grow with the fleet.  A wrong
 * view makes too many or too few watch for some seconds; the reads bound what
 * that can cost. */
#pragma once

#include "clock.h"
#include "roster.h"

enum
{
  MR_WATCHERS_PER_DOMAIN = 2, /* in each failure domain */
  /* Of relays, which tell each other at once when one is cut off: one a failure
   * domain, and this many in all where there are fewer domains. */
  MR_RELAY_WATCHERS_MIN = 3,
};

/* Place of @self among the usable members of its failure domain, from 0;
 * under MR_WATCHERS it watches. */
guint mr_watch_rank (const MrRoster *roster, const char *self);

/* TRUE if a relay's @self is to hold the watches: the first of each failure
 * domain among those that reach the platform, and more where there are fewer
 * domains than MR_RELAY_WATCHERS. */
bool mr_watch_is_relay_watcher (const MrRoster *roster, const char *self);

/* TRUE if @self is the first of all that watch: the one whose watches are short, so
 * that it finds out for all when the platform does not answer them any more. */
bool mr_watch_is_first_watcher (const MrRoster *roster, const char *self);

/* One repeated call to the platform. */
typedef struct
{
  guint64 since;                    /* revision that was read last */
  guint64 listing_revision;         /* revision of the full listing under way */
  char page_after[MR_NAME_MAX + 1]; /* of a full listing: the page to read next */
  gboolean in_flight;               /* the call is out */
  guint call_number;                /* begun, ever: the number of the one that counts */
  gboolean has_succeeded;           /* it has succeeded at least once */
  MrTime due;
  MrTime retry_delay; /* after a failure; doubles */
  MrTime call_pause;  /* a watcher's, between two calls */
  guint reader_count; /* daemons that read now and then; 0 and 1: this one alone */
} MrWatch;

/* Time between two reads of a daemon that does not watch, one of @readers: the
 * sum of their calls stays the same in a large fleet. */
MrTime mr_watch_read_interval (guint readers);

/* A call begins; its number. */
guint mr_watch_begin (MrWatch *watch);
/* The call that is out, if any, counts no more, and the next is due now. */
void mr_watch_restart (MrWatch *watch);
/* FALSE for the end of a call in whose place another has begun, or is due: were it taken for
 * that one's, there would be one call more at a time after each renewal. */
bool mr_watch_is_current (const MrWatch *watch, guint call);

/* The call has ended; sets when the next is due.  @jitter: 0 to 1, random. */
void mr_watch_ended (MrWatch *watch, MrTime now, gboolean success, gboolean watcher, double jitter);
