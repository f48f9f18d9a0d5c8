/* Decides whether a relay that is not chosen to watch the platform reads from it nevertheless, and
 * whether it watches.
 *
 * While the first members of all failure domains report that they do not reach the platform, either
 * it is down, or they are cut off from it and others may not be.  The next members are chosen one
 * after the other, each after a timeout of the one before.  The relays that are not chosen
 * therefore read from the platform as well, each at a random time, so that the fleet makes a
 * limited number of calls a second.  A relay that reaches the platform watches while no chosen one
 * does. */
#pragma once

#include "clock.h"
#include "roster.h"

enum
{
  MR_BACKUP_READS_PER_SECOND = 50, /* of the whole fleet */
};

typedef struct
{
  gboolean needed;  /* no first member reaches the platform */
  gboolean reaches; /* this daemon reached it with its last call */
  gboolean watches; /* this daemon reaches it, and no chosen member does */
  guint members;    /* of the fleet, when it was last updated */
  MrTime try_at;    /* if needed: when to read from the platform next */
} MrBackupWatcher;

/* Updates the state; @chosen: this daemon is chosen to watch.  @random: 0 to 1. */
void mr_backup_watcher_update (
    MrBackupWatcher *backup, MrTime now, const MrRoster *roster, gboolean chosen, double random);
/* TRUE if this daemon has to read from the platform now. */
gboolean mr_backup_watcher_is_due (const MrBackupWatcher *backup, MrTime now);
/* A call to the platform has ended. */
void
mr_backup_watcher_called (MrBackupWatcher *backup, MrTime now, gboolean success, double random);
