/* Which daemons call the platform, and when.
 *
 * A few watchers in each failure domain, chosen by rendezvous hashing over the members, hold
 * long-poll watches.  All other daemons read at long intervals as a fallback, so that the
 * number of platform calls does not grow with the fleet.  While membership views differ, too
 * many or too few daemons watch for some seconds; the fallback reads bound the effect. */
#pragma once

#include "clock.h"
#include "roster.h"

enum
{
  MR_WATCHERS_PER_DOMAIN = 2, /* of daemons that are not relays */
  /* Relays announce immediately when they lose the platform, so they need only one watcher for
   * each failure domain, but at least this many in total if there are fewer domains. */
  MR_RELAY_WATCHERS_MIN = 3,
};

/* Returns the rank of @self among the usable members of its failure domain, from 0; it watches
 * if the rank is below MR_WATCHERS_PER_DOMAIN. */
guint mr_watch_rank (const MrRoster *roster, const char *self);

/* Returns TRUE if the relay @self should hold the watches: the first member of each failure
 * domain that reaches the platform, and more if there are fewer domains than
 * MR_RELAY_WATCHERS_MIN. */
bool mr_watch_is_relay_watcher (const MrRoster *roster, const char *self);

/* Returns TRUE if @self ranks first among all watchers.  Its watches are short, so that it
 * detects for all when the platform stops answering them. */
bool mr_watch_is_first_watcher (const MrRoster *roster, const char *self);

/* Returns TRUE if a relay that mr_watch_is_relay_watcher () chooses reaches the platform, as far as
 * @roster says. */
bool mr_watch_has_reachable_watcher (const MrRoster *roster);

/* Returns TRUE if the first member of a failure domain reaches the platform, as far as @roster
 * says. */
bool mr_watch_has_reachable_first_member (const MrRoster *roster);

/* One kind of repeated call to the platform.  mr_watch_clear () frees what it holds. */
typedef struct
{
  guint64 since;            /* last revision read */
  guint64 listing_revision; /* revision of the full listing in progress */
  GString *page_after;      /* last name on the previous page of a full listing; NULL: first page */
  /* A full listing could not be read to its end, and none has been since: a page led to no further
   * one. */
  gboolean stalled;
  gboolean in_flight;     /* a call awaits its result */
  guint call_number;      /* calls begun so far; also the number of the current call */
  gboolean has_succeeded; /* at least one call has succeeded */
  MrTime due;
  MrTime retry_delay; /* delay after a failure; doubles */
  MrTime call_pause;  /* of a watcher, between two calls */
  guint reader_count; /* daemons that read at long intervals; 0 and 1: only this one */
} MrWatch;

/* Returns the time between two reads of a daemon that does not watch, one of @readers.  The
 * total call rate stays constant in a large fleet. */
MrTime mr_watch_read_interval (guint readers);

void mr_watch_clear (MrWatch *watch);

/* Starts a call; returns its number. */
guint mr_watch_begin (MrWatch *watch);
/* Discards the call in progress, if any, and makes the next one due now. */
void mr_watch_restart (MrWatch *watch);
/* Discards the call in progress and what was read, so that the next call lists everything. It is
 * due now if @now_due, and otherwise when the next call was due. */
void mr_watch_start_over (MrWatch *watch, gboolean now_due);
/* Continues a full listing after a page that is not its last one.  @last_name: the last name on the
 * page; NULL: none could be read.  Returns FALSE if no further page can be requested, so that the
 * listing has to be read again from its start. */
bool mr_watch_next_page (MrWatch *watch, const GString *last_name);
/* The full listing was read to its end. */
void mr_watch_listing_ended (MrWatch *watch);
/* Returns FALSE if @call has been discarded.  Taking its end for the end of its successor would
 * add one concurrent call with each restart. */
bool mr_watch_is_current (const MrWatch *watch, guint call);

/* This daemon begins or ceases to watch.  Retries of an earlier time are forgotten: a daemon that
 * begins makes its next call after the usual pause. */
void mr_watch_set_watching (MrWatch *watch, MrTime now, gboolean watching);

/* Ends the call and schedules the next one.  @jitter: random, 0 to 1. */
void mr_watch_ended (MrWatch *watch, MrTime now, gboolean success, gboolean watcher, double jitter);
