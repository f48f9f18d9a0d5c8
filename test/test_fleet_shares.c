/* What each daemon may use of what the fleet shares: second sends, connections,
 * callers, calls to the platform. */

#include "entry_plan.h"
#include "merge_records.h"
#include "resend_budget.h"
#include "timers.h"
#include "watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  WINDOW = 10, /* seconds */
};

static const MrResendBudgetConfig terms = {
  .window = WINDOW * MR_SECOND,
  .ratio = 0.2,
  .allowance = 60,
  .share = 1.0 / 6,
  .margin = MR_RESEND_BUDGET_MARGIN,
  .started_at = MR_SECOND,
};

/* Callers see nothing of it, targets do: an outage turns every call into a
 * second send.  Six daemons spend as fast as they may; in no window may the sum
 * go over the ratio of the requests and the allowance. */
static void
test_window (void **state)
{
  enum
  {
    DAEMONS = 6,
    STEPS = 6000, /* of 10 ms */
  };
  (void) state;
  MrResendBudget budgets[DAEMONS] = { 0 };
  guint spent[STEPS] = { 0 };
  guint requests[STEPS] = { 0 };
  for (guint step = 0; step < STEPS; step++)
    for (guint i = 0; i < DAEMONS; i++)
      {
        MrTime now = MR_SECOND + step * 10 * MR_MS;
        if ((step / 500 + i) % 3 != 0) /* callers come and go */
          {
            mr_resend_budget_add_request (&budgets[i], &terms, now);
            requests[step]++;
          }
        while (mr_resend_budget_try_spend (&budgets[i], &terms, now, 1))
          spent[step]++;
      }
  const guint steps = WINDOW * 100;
  guint most = 0;
  for (guint end = steps; end <= STEPS; end++)
    {
      guint extra = 0;
      guint asked = 0;
      for (guint step = end - steps; step < end; step++)
        {
          extra += spent[step];
          asked += requests[step];
        }
      if (extra > terms.ratio * asked + terms.allowance)
        fail_msg ("window that ends at step %u: %u second sends for %u requests", end, extra,
                  asked);
      most = MAX (most, extra);
    }
  assert_true (most > 400); /* of 800 and the allowance: it is a bound, not a ban */
}

/* A process that is killed every second and starts anew has no memory of what
 * it spent; its share of the allowance grows over a window. */
static void
test_restarts (void **state)
{
  static const double shares[] = { 1.0 / 6, 0.5, 1 };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      guint extra = 0;
      for (guint life = 0; life < WINDOW; life++)
        {
          MrResendBudget budget = { 0 };
          MrResendBudgetConfig reborn = terms;
          reborn.share = shares[i];
          reborn.started_at = (life + 1) * MR_SECOND;
          for (guint step = 0; step < 100; step++)
            while (mr_resend_budget_try_spend (&budget, &reborn,
                                               reborn.started_at + step * 10 * MR_MS, 1))
              extra++;
        }
      assert_true (extra <= terms.allowance * shares[i]);
    }
}

/* A relay that had just started left a part out of its answer, which said so: the first
 * target refused, and there was no second send yet, since the share grows from nothing.
 * What a process may spend at once keeps a process that starts each second within its share:
 * a tenth of that; one send at least, for failures and not for slowness; and none where the
 * share is so small that a few starts would go over it. */
static void
test_first_send (void **state)
{
  static const struct
  {
    double share;
    double use; /* of what is allowed, as hedges may */
    guint sends;
  } cases[] = {
    { 1.0 / 6, 1, 1 }, { 1.0 / 6, 0.75, 0 }, { 1.0 / 60, 1, 0 }, { 1.0, 1, 6 }, { 1.0, 0.75, 4 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrResendBudget budget = { 0 };
      MrResendBudgetConfig young = terms;
      young.share = cases[i].share;
      guint sends = 0;
      while (
          mr_resend_budget_try_spend (&budget, &young, young.started_at + 30 * MR_MS, cases[i].use))
        sends++;
      assert_int_equal (sends, cases[i].sends);
    }
}

static MrMember
S_member (guint index, guint domains, guint32 capacity)
{
  MrMember member = { .http_port = 80, .capacity = capacity };
  g_snprintf (member.name, sizeof member.name, "m%u", index);
  g_snprintf (member.domain, sizeof member.domain, "d%u", index % domains);
  g_snprintf (member.ip, sizeof member.ip, "10.0.0.%u", index);
  return member;
}

static MrRoster *
S_roster (const MrMember *members, guint count)
{
  MrRoster *roster = mr_roster_new ();
  for (guint m = 0; m < count; m++)
    mr_roster_put (roster, &members[m]);
  return roster;
}

typedef struct
{
  const char *name;
  guint members;
  guint domains;
  guint32 load; /* of each */
  guint dead;   /* the first ones */
  guint entries;
  guint large; /* the first ones, of four times the processor */
} PlanCase;

static void
test_entries (void **state)
{
  static const PlanCase cases[] = {
    { .name = "a small site: all", .members = 6, .domains = 3, .entries = 6 },
    { .name = "one more waits", .members = 7, .domains = 3, .entries = 6 },
    { .name = "a large site: few", .members = 71, .domains = 3, .entries = 6 },
    { .name = "a large site with load", .members = 71, .domains = 3, .load = 16, .entries = 23 },
    { .name = "two of six dead", .members = 6, .domains = 3, .dead = 2, .entries = 4 },
    { .name = "all dead but one", .members = 6, .domains = 3, .dead = 5, .entries = 1 },
    /* Counters wait: half of the callers are sent to VMs on which a search takes
     * 25 ms of processor, though three large ones could take all. */
    { .name = "three large of thirty", .members = 30, .domains = 3, .entries = 3, .large = 3 },
    { .name = "three large with load",
      .members = 30,
      .domains = 3,
      .load = 21,
      .entries = 4,
      .large = 3 },
    { .name = "one of the large dead",
      .members = 30,
      .domains = 3,
      .dead = 1,
      .entries = 3,
      .large = 3 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const PlanCase *c = &cases[i];
      g_autofree MrMember *members = g_new0 (MrMember, c->members);
      for (guint m = 0; m < c->members; m++)
        {
          members[m] = S_member (m, c->domains, m < c->large ? 1000 : 250);
          members[m].load = c->load;
          members[m].state = m < c->dead ? MR_MEMBER_DEAD : MR_MEMBER_ALIVE;
        }
      MrRoster *roster = S_roster (members, c->members);
      double connections = 0;
      double allowance = 0;
      for (guint m = c->dead; m < c->members; m++)
        {
          MrEntryPlan plan = mr_entry_plan (roster, members[m].name);
          if (plan.entries->len != c->entries)
            fail_msg ("%s: %u entries, expected %u", c->name, plan.entries->len, c->entries);
          connections += plan.connections;
          allowance += plan.allowance;
          mr_entry_plan_clear (&plan);
        }
      if (connections > 1 || allowance > 1.0001 || allowance < 0.99)
        fail_msg ("%s: shares add up to %.3f and %.3f", c->name, connections, allowance);
      mr_roster_free (roster);
    }
}

/* The loss of a failure domain must not take most of the entries, and large VMs
 * come first. */
static void
test_entries_spread (void **state)
{
  enum
  {
    MEMBERS = 60
  };
  (void) state;
  MrMember members[MEMBERS];
  for (guint m = 0; m < MEMBERS; m++)
    members[m] = S_member (m, 3, m < 6 ? 500 : 120);
  MrRoster *roster = S_roster (members, MEMBERS);
  MrEntryPlan plan = mr_entry_plan (roster, "m0");
  guint domains[3] = { 0 };
  for (guint i = 0; i < plan.entries->len; i++)
    {
      const MrMember *member = g_ptr_array_index (plan.entries, i);
      domains[member->domain[1] - '0']++;
      assert_int_equal (member->capacity, 500);
    }
  for (guint i = 0; i < 3; i++)
    assert_int_equal (domains[i], 2);
  assert_true (plan.is_entry);
  mr_entry_plan_clear (&plan);
  mr_roster_free (roster);
}

/* What callers see: after a loss of all VMs they are sent to small ones, where a wide
 * search takes too long, or to some that can't serve yet.  Each VM starts as one that
 * can't; a small one that has heard of nobody must not name itself. */
static void
test_entries_at_a_start (void **state)
{
  static const struct
  {
    const char *name;
    guint ready;    /* the first so many */
    guint starting; /* and so many after them */
    guint32 capacity;
    guint named;
    gboolean ready_only;
  } cases[] = {
    { "a small one, alone", 0, 1, 120, 0, FALSE },
    { "a small one that is ready, alone", 1, 0, 120, 1, TRUE },
    { "a larger one, alone", 0, 1, 250, 1, FALSE },
    { "two small ones that start", 0, 2, 120, 2, FALSE },
    { "one of many is ready", 1, 9, 250, 1, TRUE },
    { "all of many start", 0, 10, 250, 6, FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint count = cases[i].ready + cases[i].starting;
      g_autofree MrMember *members = g_new0 (MrMember, count);
      for (guint m = 0; m < count; m++)
        {
          members[m] = S_member (m, 3, cases[i].capacity);
          members[m].busy = m >= cases[i].ready;
        }
      MrRoster *roster = S_roster (members, count);
      MrEntryPlan plan = mr_entry_plan (roster, members[0].name);
      if (plan.entries->len != cases[i].named)
        fail_msg ("%s: %u named", cases[i].name, plan.entries->len);
      for (guint e = 0; e < plan.entries->len; e++)
        if (cases[i].ready_only && ((MrMember *) g_ptr_array_index (plan.entries, e))->busy)
          fail_msg ("%s: one that starts is named", cases[i].name);
      mr_entry_plan_clear (&plan);
      mr_roster_free (roster);
    }
}

/* @count of a quarter core each, in three failure domains. */
static void
S_equal_members (MrMember *members, guint count)
{
  for (guint m = 0; m < count; m++)
    members[m] = S_member (m, 3, 250);
}

/* The operators' change is not in force for seconds: all who watch are cut off
 * from the store at once, and nobody else asks it.  Each who loses it says so,
 * and the next in rank watches. */
static void
test_relay_watchers (void **state)
{
  enum
  {
    MEMBERS = 9
  };
  (void) state;
  MrMember members[MEMBERS];
  S_equal_members (members, MEMBERS);
  for (guint cut = 0; cut < MEMBERS; cut++)
    {
      MrRoster *roster = S_roster (members, MEMBERS);
      guint healthy = 0;
      for (guint m = 0; m < MEMBERS; m++)
        if (mr_watch_is_relay_watcher (roster, members[m].name) && !members[m].platform_unreachable)
          healthy++;
      assert_true (healthy >= 1);
      assert_true (healthy <= MR_RELAY_WATCHERS_MIN + 1); /* rounded up in each domain */
      if (cut == 0)
        assert_int_equal (healthy, MR_RELAY_WATCHERS_MIN);
      /* The next to be cut off is one that watches now. */
      for (guint m = 0; m < MEMBERS; m++)
        if (mr_watch_is_relay_watcher (roster, members[m].name) && !members[m].platform_unreachable)
          {
            members[m].platform_unreachable = TRUE;
            break;
          }
      mr_roster_free (roster);
    }
}

/* The store answers nobody for 6 s, and pays for 3,800 calls of 295 relays: each that finds
 * out says that it is cut off, and the duty to watch went on to the next, until all asked.
 * A few in each failure domain go on asking, also when all are cut off; while some are, one
 * of those that reach it is the first that watches. */
static void
test_outage_for_all (void **state)
{
  enum
  {
    MEMBERS = 300,
    DOMAINS = 5,
    ASKING_MOST = 3 * DOMAINS,
  };
  (void) state;
  MrMember members[MEMBERS];
  for (guint m = 0; m < MEMBERS; m++)
    members[m] = S_member (m, DOMAINS, 250);
  for (guint cut = 0; cut <= MEMBERS; cut++)
    {
      MrRoster *roster = S_roster (members, MEMBERS);
      guint asking = 0;
      guint firsts = 0;
      guint next = MEMBERS;
      for (guint m = 0; m < MEMBERS; m++)
        {
          gboolean watches = mr_watch_is_relay_watcher (roster, members[m].name);
          asking += watches;
          firsts += watches && !members[m].platform_unreachable &&
                    mr_watch_is_first_watcher (roster, members[m].name);
          if (watches && !members[m].platform_unreachable)
            next = m;
        }
      assert_true (asking <= ASKING_MOST);
      mr_roster_free (roster);
      if (next == MEMBERS)
        break; /* nobody who could is left to ask */
      assert_int_equal (firsts, 1);
      members[next].platform_unreachable = TRUE;
    }
}

static void
test_merge (void **state)
{
  (void) state;
  const MrText parts[] = {
    MR_TEXT ("b000000000000000a000000000000000"),
    MR_TEXT ("c000000000000000b000000000000000short"),
    { 0 },
  };
  g_autoptr (GString) most = mr_merge_records (parts, 3, 3);
  assert_string_equal (most->str, "c000000000000000b000000000000000b000000000000000");
  g_autoptr (GString) all = mr_merge_records (parts, 3, 50);
  assert_int_equal (all->len, 4 * MR_RECORD_BYTES);
  g_autoptr (GString) none = mr_merge_records (parts, 3, 0);
  assert_int_equal (none->len, 0);
}

/* A heap against sorting: 2,000 timers set, moved and removed at random. */
static void
test_timers (void **state)
{
  enum
  {
    TIMERS = 200
  };
  (void) state;
  MrTimers *timers = mr_timers_new ();
  MrTimer items[TIMERS] = { 0 };
  GRand *random = g_rand_new_with_seed (7);
  for (guint i = 0; i < 2000; i++)
    {
      MrTimer *timer = &items[g_rand_int_range (random, 0, TIMERS)];
      gboolean remove = g_rand_int_range (random, 0, 4) == 0;
      mr_timers_set (timers, timer, remove ? MR_NEVER : g_rand_int_range (random, 0, 1000));
    }
  guint left = 0;
  for (guint i = 0; i < TIMERS; i++)
    left += items[i].heap_index > 0;
  MrTime before = 0;
  for (MrTimer *timer = mr_timers_pop (timers, 1000); timer; timer = mr_timers_pop (timers, 1000))
    {
      assert_true (timer->due >= before);
      before = timer->due;
      left--;
    }
  assert_int_equal (left, 0);
  assert_true (mr_timers_next_due (timers) == MR_NEVER);
  g_rand_free (random);
  mr_timers_free (timers);
}

/* The operators' change is not in force for half a minute: all watches were taken by a
 * store that answered nobody then.  Just one of those that reach the store asks anew
 * every few seconds, and another as soon as that one says that it does not reach it. */
static void
test_first_watcher (void **state)
{
  enum
  {
    MEMBERS = 9
  };
  (void) state;
  MrMember members[MEMBERS];
  S_equal_members (members, MEMBERS);
  for (guint cut = 0; cut < MEMBERS; cut++)
    {
      MrRoster *roster = S_roster (members, MEMBERS);
      guint firsts = 0;
      guint first = 0;
      for (guint m = 0; m < MEMBERS; m++)
        if (!members[m].platform_unreachable && mr_watch_is_first_watcher (roster, members[m].name))
          {
            firsts++;
            first = m;
          }
      assert_int_equal (firsts, 1);
      assert_true (mr_watch_is_relay_watcher (roster, members[first].name));
      members[first].platform_unreachable = TRUE;
      mr_roster_free (roster);
    }
}

/* Guards against one call more at the platform, at a time and for good, after each renewal of a
 * watch whose call is still out. */
static void
test_renewed_watch (void **state)
{
  (void) state;
  MrWatch watch = { 0 };
  guint first = mr_watch_begin (&watch);
  assert_true (mr_watch_is_current (&watch, first));
  mr_watch_restart (&watch);
  assert_false (mr_watch_is_current (&watch, first));
  assert_false (watch.in_flight);
  guint second = mr_watch_begin (&watch);
  assert_false (mr_watch_is_current (&watch, first));
  assert_true (mr_watch_is_current (&watch, second));
  mr_watch_ended (&watch, MR_SECOND, true, true, 0.5);
  assert_false (mr_watch_is_current (&watch, second));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_renewed_watch),
    cmocka_unit_test (test_window),
    cmocka_unit_test (test_restarts),
    cmocka_unit_test (test_first_send),
    cmocka_unit_test (test_entries),
    cmocka_unit_test (test_entries_spread),
    cmocka_unit_test (test_entries_at_a_start),
    cmocka_unit_test (test_relay_watchers),
    cmocka_unit_test (test_outage_for_all),
    cmocka_unit_test (test_first_watcher),
    cmocka_unit_test (test_merge),
    cmocka_unit_test (test_timers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
