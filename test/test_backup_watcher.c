/* Guards against relays that reach the platform and follow no change, because all those that are
 * chosen to watch it are cut off; and against an outage in which every relay calls the platform
 * again and again. */

#include "backup_watcher.h"

#include "watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const MrTime STEP = 5 * MR_MS;

typedef struct
{
  const char *name;
  guint members;
  guint domains;
  guint left; /* members that reach the platform, the last in rank of their domains */
} Case;

static const Case cases[] = {
  { "six in one domain", 6, 1, 1 },    { "six in two domains", 6, 2, 1 },
  { "71, one left", 71, 3, 1 },        { "71, some left", 71, 3, 7 },
  { "295, a tenth left", 295, 5, 30 }, { "295, outage", 295, 5, 0 },
  { "2,000, outage", 2000, 12, 0 },
};

typedef struct
{
  MrMember member;
  MrBackupWatcher backup;
  gboolean reaches;
} Daemon;

static guint
S_rank (const MrRoster *roster, const MrMember *member)
{
  return mr_roster_rank (roster, mr_roster_domain_index (roster, member->domain), member->name);
}

/* Makes the fleet of @c; all that reach the platform are last in rank. */
static Daemon *
S_make_fleet (const Case *c, MrRoster *roster)
{
  Daemon *daemons = g_new0 (Daemon, c->members);
  for (guint i = 0; i < c->members; i++)
    {
      MrMember *m = &daemons[i].member;
      g_snprintf (m->name, sizeof m->name, "d%u", i);
      g_snprintf (m->domain, sizeof m->domain, "z%u", i % c->domains);
      mr_roster_put (roster, m);
    }
  guint lowest = (c->members + c->domains - 1) / c->domains - 1;
  for (guint left = c->left, rank = lowest; left > 0; rank--)
    for (guint i = 0; i < c->members && left > 0; i++)
      if (S_rank (roster, &daemons[i].member) == rank)
        {
          daemons[i].reaches = TRUE;
          left--;
        }
  return daemons;
}

/* All chosen daemons call the platform until those that are cut off say so. */
static void
S_let_chosen_fail (const Case *c, Daemon *daemons, MrRoster *roster)
{
  for (gboolean changed = TRUE; changed;)
    {
      changed = FALSE;
      for (guint i = 0; i < c->members; i++)
        if (!daemons[i].reaches && !daemons[i].member.platform_unreachable &&
            mr_watch_is_relay_watcher (roster, daemons[i].member.name))
          {
            daemons[i].member.platform_unreachable = TRUE;
            mr_roster_put (roster, &daemons[i].member);
            changed = TRUE;
          }
    }
}

/* The first member in rank is cut off, or no more. */
static void
S_set_first (Daemon *daemons, MrRoster *roster, gboolean cut)
{
  guint i = 0;
  while (S_rank (roster, &daemons[i].member) > 0)
    i++;
  daemons[i].member.platform_unreachable = cut;
  mr_roster_put (roster, &daemons[i].member);
}

static void
S_run_case (const Case *c)
{
  enum
  {
    SECONDS = 8,
  };
  MrRoster *roster = mr_roster_new ();
  GRand *random = g_rand_new_with_seed (7);
  Daemon *daemons = S_make_fleet (c, roster);
  guint calls[SECONDS] = { 0 };
  MrTime reached_at = MR_NEVER;
  S_let_chosen_fail (c, daemons, roster);
  for (MrTime now = 0; now < SECONDS * MR_SECOND; now += STEP)
    for (guint i = 0; i < c->members; i++)
      {
        Daemon *d = &daemons[i];
        gboolean chosen = mr_watch_is_relay_watcher (roster, d->member.name);
        if (chosen && d->reaches)
          reached_at = MIN (reached_at, now);
        mr_backup_watcher_update (&d->backup, now, roster, chosen, g_rand_double (random));
        if (!mr_backup_watcher_is_due (&d->backup, now))
          continue;
        calls[now / MR_SECOND]++;
        mr_backup_watcher_called (&d->backup, now, d->reaches, g_rand_double (random));
        if (d->reaches)
          reached_at = MIN (reached_at, now);
      }
  /* All read once within the time that the fleet takes for so many calls. */
  MrTime all_read = c->members * MR_SECOND / MR_BACKUP_READS_PER_SECOND;
  if (c->left > 0 && reached_at > all_read)
    fail_msg ("%s: reached after %d ms", c->name, (int) (reached_at / MR_MS));
  /* The times are random: the limit holds on average, and with a quarter more in each second. */
  guint total = 0;
  for (guint s = 0; s < SECONDS; s++)
    {
      total += calls[s];
      if (calls[s] > MR_BACKUP_READS_PER_SECOND * 5 / 4)
        fail_msg ("%s: %u calls in second %u", c->name, calls[s], s);
    }
  if (total > SECONDS * MR_BACKUP_READS_PER_SECOND)
    fail_msg ("%s: %u calls", c->name, total);
  g_free (daemons);
  g_rand_free (random);
  mr_roster_free (roster);
}

static void
test_cuts (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

/* While the first member alone is cut off, one that is not chosen reads now and then, and does not
 * watch.  It watches once no chosen member reaches the platform, and until the first one does. */
static void
test_role (void **state)
{
  (void) state;
  const Case c = { "role", 6, 1, 1 };
  MrRoster *roster = mr_roster_new ();
  Daemon *daemons = S_make_fleet (&c, roster);
  MrBackupWatcher backup = { 0 };
  mr_backup_watcher_update (&backup, 0, roster, FALSE, 0);
  assert_false (backup.needed);
  S_set_first (daemons, roster, TRUE);
  mr_backup_watcher_update (&backup, 0, roster, FALSE, 0);
  assert_true (mr_backup_watcher_is_due (&backup, 0));
  mr_backup_watcher_called (&backup, 0, TRUE, 0);
  mr_backup_watcher_update (&backup, 1 * MR_SECOND, roster, FALSE, 0);
  assert_false (mr_backup_watcher_is_due (&backup, 1 * MR_SECOND) || backup.watches);
  S_let_chosen_fail (&c, daemons, roster);
  mr_backup_watcher_update (&backup, 0, roster, FALSE, 0);
  assert_true (backup.watches);
  S_set_first (daemons, roster, FALSE);
  mr_backup_watcher_update (&backup, 0, roster, FALSE, 0);
  assert_false (backup.needed || backup.watches);
  g_free (daemons);
  mr_roster_free (roster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cuts),
    cmocka_unit_test (test_role),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
