#include "backup_watcher.h"

#include "watch.h"

/* Mean time until a relay reads again, after a failure and after a success; longer in a fleet in
 * which that would exceed MR_BACKUP_READS_PER_SECOND. */
static const MrTime RETRY_DELAY = 2 * MR_SECOND;
static const MrTime READ_INTERVAL = 10 * MR_SECOND;

/* Time in which each member of the fleet calls once. */
static MrTime
S_spread (const MrBackupWatcher *backup)
{
  return backup->members * MR_SECOND / MR_BACKUP_READS_PER_SECOND;
}

void
mr_backup_watcher_update (
    MrBackupWatcher *backup, MrTime now, const MrRoster *roster, gboolean chosen, double random)
{
  gboolean needed = !chosen && !mr_watch_has_reachable_first_member (roster);
  backup->members = mr_roster_count (roster);
  if (needed && !backup->needed)
    {
      backup->reaches = FALSE;
      backup->try_at = now + (MrTime) (random * (double) S_spread (backup));
    }
  backup->needed = needed;
  backup->watches = needed && backup->reaches && !mr_watch_has_reachable_watcher (roster);
}

gboolean
mr_backup_watcher_is_due (const MrBackupWatcher *backup, MrTime now)
{
  return backup->needed && !backup->watches && now >= backup->try_at;
}

void
mr_backup_watcher_called (MrBackupWatcher *backup, MrTime now, gboolean success, double random)
{
  if (!backup->needed)
    return;
  backup->reaches = success;
  MrTime delay = MAX (success ? READ_INTERVAL : RETRY_DELAY, S_spread (backup));
  backup->try_at = now + delay / 2 + (MrTime) (random * (double) delay);
}
