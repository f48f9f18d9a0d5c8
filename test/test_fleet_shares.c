/* How daemons divide what the fleet shares: the resend budget, connections, callers, and the calls
 * to the platform.  Also tests merging of records and the timer heap. */

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

static const MrResendBudgetConfig config = {
  .window = WINDOW * MR_SECOND,
  .ratio = 0.2,
  .allowance = 60,
  .share = 1.0 / 6,
  .margin = MR_RESEND_BUDGET_MARGIN,
  .started_at = MR_SECOND,
};

/* Guards against an outage that turns every call into a hedge or retry, which overloads targets.
 * Six daemons spend as fast as their budget permits.  In no window may their sum exceed the ratio
 * of the requests plus the allowance. */
static void
test_window_budget (void **state)
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
        if ((step / 500 + i) % 3 != 0) /* daemons without requests some of the time */
          {
            mr_resend_budget_add_request (&budgets[i], &config, now);
            requests[step]++;
          }
        while (mr_resend_budget_try_spend (&budgets[i], &config, now, 1))
          spent[step]++;
      }
  const guint steps = WINDOW * 100;
  guint max_resends = 0;
  for (guint end = steps; end <= STEPS; end++)
    {
      guint resends = 0;
      guint total_requests = 0;
      for (guint step = end - steps; step < end; step++)
        {
          resends += spent[step];
          total_requests += requests[step];
        }
      if (resends > config.ratio * total_requests + config.allowance)
        fail_msg ("window that ends at step %u: %u hedges and retries for %u requests", end,
                  resends, total_requests);
      max_resends = MAX (max_resends, resends);
    }
  assert_true (max_resends > 400); /* of 800 and the allowance: the budget can be used */
}

/* A process that restarts every second does not know what it spent before.  Its share of the
 * allowance therefore accrues over a window. */
static void
test_budget_of_restarting_process (void **state)
{
  static const double shares[] = { 1.0 / 6, 0.5, 1 };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      guint resends = 0;
      for (guint restart = 0; restart < WINDOW; restart++)
        {
          MrResendBudget budget = { 0 };
          MrResendBudgetConfig restarted = config;
          restarted.share = shares[i];
          restarted.started_at = (restart + 1) * MR_SECOND;
          for (guint step = 0; step < 100; step++)
            while (mr_resend_budget_try_spend (&budget, &restarted,
                                               restarted.started_at + step * 10 * MR_MS, 1))
              resends++;
        }
      assert_true (resends <= config.allowance * shares[i]);
    }
}

/* Guards against partial responses right after the start of a relay: the first target of a shard
 * refused the call, and no retry was possible because the share of the allowance grows from zero.
 * A new process may spend a tenth of its share, so that one that restarts every second stays within
 * it, and at least one send, for retries and not for hedges.  It may spend nothing if the share is
 * so small that a few restarts would exceed it. */
static void
test_startup_allowance (void **state)
{
  static const struct
  {
    double share;
    double fraction; /* of the budget; hedges may use less than 1 */
    guint allowed;
  } cases[] = {
    { 1.0 / 6, 1, 1 }, { 1.0 / 6, 0.75, 0 }, { 1.0 / 60, 1, 0 }, { 1.0, 1, 6 }, { 1.0, 0.75, 4 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrResendBudget budget = { 0 };
      MrResendBudgetConfig new_config = config;
      new_config.share = cases[i].share;
      guint allowed = 0;
      while (mr_resend_budget_try_spend (&budget, &new_config, new_config.started_at + 30 * MR_MS,
                                         cases[i].fraction))
        allowed++;
      assert_int_equal (allowed, cases[i].allowed);
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
  guint32 load; /* of each member */
  guint dead;   /* number of dead members, the first ones */
  guint entries;
  guint large; /* number of members with four times the CPU capacity, the first ones */
} EntryCase;

static void
test_entries (void **state)
{
  static const EntryCase cases[] = {
    { .name = "small site: all members are entries", .members = 6, .domains = 3, .entries = 6 },
    { .name = "one member more than entries", .members = 7, .domains = 3, .entries = 6 },
    { .name = "large site: few entries", .members = 71, .domains = 3, .entries = 6 },
    { .name = "large site under load", .members = 71, .domains = 3, .load = 16, .entries = 23 },
    { .name = "two of six dead", .members = 6, .domains = 3, .dead = 2, .entries = 4 },
    { .name = "all dead but one", .members = 6, .domains = 3, .dead = 5, .entries = 1 },
    /* Guards against entries on small VMs, on which a search takes 25 ms of CPU time, while three
     * large VMs could handle all callers: half of the callers were sent there. */
    { .name = "three large members of thirty",
      .members = 30,
      .domains = 3,
      .entries = 3,
      .large = 3 },
    { .name = "three large members under load",
      .members = 30,
      .domains = 3,
      .load = 21,
      .entries = 4,
      .large = 3 },
    { .name = "one of the large members dead",
      .members = 30,
      .domains = 3,
      .dead = 1,
      .entries = 3,
      .large = 3 },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const EntryCase *c = &cases[i];
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
          MrEntryPlan plan = mr_entry_plan_compute (roster, members[m].name);
          if (plan.entries->len != c->entries)
            fail_msg ("%s: %u entries, expected %u", c->name, plan.entries->len, c->entries);
          connections += plan.connection_share;
          allowance += plan.allowance_share;
          mr_entry_plan_clear (&plan);
        }
      if (connections > 1 || allowance > 1.0001 || allowance < 0.99)
        fail_msg ("%s: shares add up to %.3f and %.3f", c->name, connections, allowance);
      mr_roster_free (roster);
    }
}

/* Entries are spread over the failure domains, so that the loss of a domain does not take most of
 * them, and large VMs are preferred. */
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
  MrEntryPlan plan = mr_entry_plan_compute (roster, "m0");
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

/* Guards against callers directed to small VMs, where a wide search takes too long, or to VMs that
 * cannot serve yet, after a loss of all VMs.  Each VM starts as not ready; a small one that does
 * not know any other member must not make itself an entry. */
static void
test_entries_during_startup (void **state)
{
  static const struct
  {
    const char *name;
    guint ready;    /* number of ready members, the first ones */
    guint starting; /* number of starting members, after the ready ones */
    guint32 capacity;
    guint entries;
    gboolean only_ready;
  } cases[] = {
    { "one small member, starting", 0, 1, 120, 0, FALSE },
    { "one small member, ready", 1, 0, 120, 1, TRUE },
    { "one larger member, starting", 0, 1, 250, 1, FALSE },
    { "two small members, starting", 0, 2, 120, 2, FALSE },
    { "one of ten ready", 1, 9, 250, 1, TRUE },
    { "ten members, starting", 0, 10, 250, 6, FALSE },
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
      MrEntryPlan plan = mr_entry_plan_compute (roster, members[0].name);
      if (plan.entries->len != cases[i].entries)
        fail_msg ("%s: %u entries", cases[i].name, plan.entries->len);
      for (guint e = 0; e < plan.entries->len; e++)
        if (cases[i].only_ready && ((MrMember *) g_ptr_array_index (plan.entries, e))->busy)
          fail_msg ("%s: a member that is starting is an entry", cases[i].name);
      mr_entry_plan_clear (&plan);
      mr_roster_free (roster);
    }
}

/* Fills in @count members with a quarter of a core each, in three failure domains. */
static void
S_equal_members (MrMember *members, guint count)
{
  for (guint m = 0; m < count; m++)
    members[m] = S_member (m, 3, 250);
}

/* Guards against changes by operators that take effect seconds late because all watchers have lost
 * the store at once and no other member polls it.  A member that loses the store announces it, and
 * the next in rank becomes a watcher. */
static void
test_watchers (void **state)
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
      /* The next member to lose the store is a current watcher. */
      for (guint m = 0; m < MEMBERS; m++)
        if (mr_watch_is_relay_watcher (roster, members[m].name) && !members[m].platform_unreachable)
          {
            members[m].platform_unreachable = TRUE;
            break;
          }
      mr_roster_free (roster);
    }
}

/* Guards against a store outage that makes every member poll the store: in one of 6 s, 295 relays
 * made 3,800 calls, because each that lost the store announced it and the next in rank took over.
 * Only a few members per failure domain poll, even when all have lost the store.  While some
 * members still reach it, exactly one of them is the first watcher. */
static void
test_watchers_in_store_outage (void **state)
{
  enum
  {
    MEMBERS = 300,
    DOMAINS = 5,
    WATCHERS_MAX = 3 * DOMAINS,
  };
  (void) state;
  MrMember members[MEMBERS];
  for (guint m = 0; m < MEMBERS; m++)
    members[m] = S_member (m, DOMAINS, 250);
  for (guint cut = 0; cut <= MEMBERS; cut++)
    {
      MrRoster *roster = S_roster (members, MEMBERS);
      guint watchers = 0;
      guint first_watchers = 0;
      guint next = MEMBERS;
      for (guint m = 0; m < MEMBERS; m++)
        {
          gboolean watches = mr_watch_is_relay_watcher (roster, members[m].name);
          watchers += watches;
          first_watchers += watches && !members[m].platform_unreachable &&
                            mr_watch_is_first_watcher (roster, members[m].name);
          if (watches && !members[m].platform_unreachable)
            next = m;
        }
      assert_true (watchers <= WATCHERS_MAX);
      mr_roster_free (roster);
      if (next == MEMBERS)
        break; /* no member that could reach the store is left */
      assert_int_equal (first_watchers, 1);
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
  g_autoptr (GString) top_records = mr_merge_records (parts, 3, 3);
  assert_string_equal (top_records->str, "c000000000000000b000000000000000b000000000000000");
  g_autoptr (GString) all = mr_merge_records (parts, 3, 50);
  assert_int_equal (all->len, 4 * MR_RECORD_BYTES);
  g_autoptr (GString) none = mr_merge_records (parts, 3, 0);
  assert_int_equal (none->len, 0);
}

/* 2,000 random operations on the timer heap; the timers must then expire in order. */
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

/* Guards against changes by operators that take effect half a minute late: all watch calls
 * had been accepted by a store that did not answer at the time.  Exactly one of the members that
 * reach the store polls it every few seconds, and another takes over as soon as this member
 * announces that it has lost the store. */
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
      guint first_watchers = 0;
      guint first = 0;
      for (guint m = 0; m < MEMBERS; m++)
        if (!members[m].platform_unreachable && mr_watch_is_first_watcher (roster, members[m].name))
          {
            first_watchers++;
            first = m;
          }
      assert_int_equal (first_watchers, 1);
      assert_true (mr_watch_is_relay_watcher (roster, members[first].name));
      members[first].platform_unreachable = TRUE;
      mr_roster_free (roster);
    }
}

/* Guards against an additional concurrent call to the platform, permanently, after each renewal of
 * a watch whose call is still outstanding. */
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

typedef enum
{
  ROLE_BEGINS,
  ROLE_ENDS,
  CALL_SUCCEEDS,
  CALL_FAILS,
} WatchEvent;

/* Guards against a daemon that watches again and does not read the platform: its next call was due
 * minutes later, because an earlier call of its had failed before it ceased to watch. */
static void
test_watch_again (void **state)
{
  enum
  {
    EVENTS_MAX = 8,
  };
  static const MrTime PAUSE = 400 * MR_MS;
  static const struct
  {
    const char *name;
    guint count;
    WatchEvent events[EVENTS_MAX]; /* a second apart; the last one begins the role */
  } cases[] = {
    { "first time", 2, { CALL_SUCCEEDS, ROLE_BEGINS } },
    { "after calls that succeeded",
      5,
      { CALL_SUCCEEDS, ROLE_BEGINS, CALL_SUCCEEDS, ROLE_ENDS, ROLE_BEGINS } },
    { "after a read", 5, { ROLE_BEGINS, CALL_SUCCEEDS, ROLE_ENDS, CALL_SUCCEEDS, ROLE_BEGINS } },
    { "after a call that failed",
      5,
      { CALL_SUCCEEDS, ROLE_BEGINS, CALL_FAILS, ROLE_ENDS, ROLE_BEGINS } },
    { "after a call that failed and a read",
      6,
      { CALL_SUCCEEDS, ROLE_BEGINS, CALL_FAILS, ROLE_ENDS, CALL_SUCCEEDS, ROLE_BEGINS } },
    { "after calls that failed, the last without the role",
      7,
      { CALL_SUCCEEDS, ROLE_BEGINS, CALL_FAILS, CALL_FAILS, ROLE_ENDS, CALL_FAILS, ROLE_BEGINS } },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrWatch watch = { .call_pause = PAUSE, .reader_count = 6 };
      gboolean watches = FALSE;
      MrTime now = 0;
      for (guint k = 0; k < cases[i].count; k++)
        {
          WatchEvent event = cases[i].events[k];
          now += MR_SECOND;
          if (event == ROLE_BEGINS || event == ROLE_ENDS)
            {
              watches = event == ROLE_BEGINS;
              mr_watch_set_watching (&watch, now, watches);
              continue;
            }
          mr_watch_begin (&watch);
          mr_watch_ended (&watch, now, event == CALL_SUCCEEDS, watches, 0.5);
        }
      if (watch.due > now + PAUSE || watch.retry_delay != 0)
        fail_msg ("%s: the next call is due after %d ms, with a retry delay of %d ms",
                  cases[i].name, (int) ((watch.due - now) / MR_MS),
                  (int) (watch.retry_delay / MR_MS));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_renewed_watch),
    cmocka_unit_test (test_watch_again),
    cmocka_unit_test (test_window_budget),
    cmocka_unit_test (test_budget_of_restarting_process),
    cmocka_unit_test (test_startup_allowance),
    cmocka_unit_test (test_entries),
    cmocka_unit_test (test_entries_spread),
    cmocka_unit_test (test_entries_during_startup),
    cmocka_unit_test (test_watchers),
    cmocka_unit_test (test_watchers_in_store_outage),
    cmocka_unit_test (test_first_watcher),
    cmocka_unit_test (test_merge),
    cmocka_unit_test (test_timers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
