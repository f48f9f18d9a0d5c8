/* Guards against relays that reach the platform and follow no change, because all those that are
 * chosen to watch it are cut off; and against an outage in which every relay calls the platform
 * again and again. */

#include "stand_in.h"

#include "watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  CALLS_PER_SECOND_MAX = 60,
};

static const MrTime STEP = 5 * MR_MS;

typedef struct
{
  const char *name;
  guint members;
  guint domains;
  guint left;        /* members that reach the platform, the last in rank of their domains */
  MrTime reached_by; /* since the cut began */
} Case;

static const Case cases[] = {
  { "six in one domain", 6, 1, 1, 200 * MR_MS },
  { "six in two domains", 6, 2, 1, 200 * MR_MS },
  { "71, one left", 71, 3, 1, 1500 * MR_MS },
  { "71, some left", 71, 3, 7, 1500 * MR_MS },
  { "295, a tenth left", 295, 5, 30, 3 * MR_SECOND },
  { "295, outage", 295, 5, 0, MR_NEVER },
  { "2,000, outage", 2000, 12, 0, MR_NEVER },
};

typedef struct
{
  MrMember member;
  MrStandIn stand_in;
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
        mr_stand_in_update (&d->stand_in, now, roster, chosen, g_rand_double (random));
        if (!mr_stand_in_is_due (&d->stand_in, now))
          continue;
        calls[now / MR_SECOND]++;
        mr_stand_in_called (&d->stand_in, now, d->reaches, g_rand_double (random));
        if (d->reaches)
          reached_at = MIN (reached_at, now);
      }
  if (reached_at > c->reached_by)
    fail_msg ("%s: reached after %d ms", c->name, (int) (reached_at / MR_MS));
  for (guint s = 0; s < SECONDS; s++)
    if (calls[s] > CALLS_PER_SECOND_MAX)
      fail_msg ("%s: %u calls in second %u", c->name, calls[s], s);
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
test_duty (void **state)
{
  (void) state;
  const Case c = { "duty", 6, 1, 1, 0 };
  MrRoster *roster = mr_roster_new ();
  Daemon *daemons = S_make_fleet (&c, roster);
  MrStandIn stand_in = { 0 };
  mr_stand_in_update (&stand_in, 0, roster, FALSE, 0);
  assert_false (stand_in.needed);
  S_set_first (daemons, roster, TRUE);
  mr_stand_in_update (&stand_in, 0, roster, FALSE, 0);
  assert_true (mr_stand_in_is_due (&stand_in, 0));
  mr_stand_in_called (&stand_in, 0, TRUE, 0);
  mr_stand_in_update (&stand_in, 1 * MR_SECOND, roster, FALSE, 0);
  assert_false (mr_stand_in_is_due (&stand_in, 1 * MR_SECOND) || stand_in.watches);
  S_let_chosen_fail (&c, daemons, roster);
  mr_stand_in_update (&stand_in, 0, roster, FALSE, 0);
  assert_true (stand_in.watches);
  S_set_first (daemons, roster, FALSE);
  mr_stand_in_update (&stand_in, 0, roster, FALSE, 0);
  assert_false (stand_in.needed || stand_in.watches);
  g_free (daemons);
  mr_roster_free (roster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cuts),
    cmocka_unit_test (test_duty),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
