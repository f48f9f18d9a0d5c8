/* Cost of a change of one member or one target to a daemon that holds many. */

#include "cold_share.h"
#include "entry_plan.h"
#include "target_table.h"
#include "watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  DOMAINS = 5,
  CHANGES = 200,
};

static const guint sizes[] = { 100, 4000, 20000 };

static MrMember
S_member (guint index)
{
  MrMember member = { .capacity = index < 50 ? 1000 : 120 };
  g_snprintf (member.name, sizeof member.name, "m%u", index);
  g_snprintf (member.domain, sizeof member.domain, "d%u", index % DOMAINS);
  return member;
}

/* Makes all decisions that depend on the members after @member has changed. */
static void
S_apply_change (MrRoster *roster, MrColdShare *share, MrTime now, const MrMember *member)
{
  mr_roster_put (roster, member);
  mr_cold_share_on_member (share, now, member);
  MrEntryPlan plan = mr_entry_plan_compute (roster, "m0");
  mr_cold_share_update (share, now, roster, &plan);
  mr_watch_is_relay_watcher (roster, "m7");
  mr_watch_is_first_watcher (roster, "m7");
  mr_entry_plan_clear (&plan);
}

/* Guards against a scan of all members at each change. The number of changes grows with the
 * number of members, so in a fleet of a thousand a daemon that scans falls behind and delays
 * callers. */
static void
test_member_changes (void **state)
{
  guint64 fewest_steps = G_MAXUINT64;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      MrRoster *roster = mr_roster_new ();
      MrColdShare *share = mr_cold_share_new ("d0", DOMAINS);
      for (guint m = 0; m < sizes[i]; m++)
        {
          MrMember member = S_member (m);
          mr_roster_put (roster, &member);
        }
      guint64 before = mr_roster_work_count (roster);
      for (guint change = 0; change < CHANGES; change++)
        {
          MrMember member = S_member (change * 37 % sizes[i]);
          member.state = change % 3 == 0   ? MR_MEMBER_SUSPECT
                         : change % 3 == 1 ? MR_MEMBER_ALIVE
                                           : MR_MEMBER_DEAD;
          member.load = change;
          S_apply_change (roster, share, (1 + change) * MR_SECOND, &member);
        }
      guint64 steps = (mr_roster_work_count (roster) - before) / CHANGES;
      fewest_steps = MIN (fewest_steps, steps);
      print_message ("%u members: %u steps a change\n", sizes[i], (guint) steps);
      /* The factor of 2 allows for a search in a sorted order of 200 times as many members. */
      if (steps > 2 * fewest_steps + 8)
        fail_msg ("%u members: %u steps a change, %u with fewer", sizes[i], (guint) steps,
                  (guint) fewest_steps);
      mr_cold_share_free (share);
      mr_roster_free (roster);
    }
}

static MrTargetRecord *
S_record (guint index, gboolean leaving)
{
  g_autofree char *id = g_strdup_printf ("i-%u", index);
  g_autofree char *json = g_strdup_printf (
      "{\"service\":\"s%u\",\"address\":\"10.0.0.1:%u\",\"domain\":\"d0\",\"slots\":7,"
      "\"leaving\":%s,\"cold_ms\":0}",
      index / 45, 1000 + index, leaving ? "true" : "false");
  return mr_target_record_parse (mr_text (id), mr_text (json));
}

/* Guards against a cost per changed target, here one that starts to leave, that grows with the
 * number of unchanged targets. */
static void
test_target_changes (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      MrTargetTable *table = mr_target_table_new ();
      for (guint t = 0; t < sizes[i]; t++)
        mr_target_table_put (table, S_record (t, FALSE));
      GPtrArray *all = mr_target_table_take_changes (table);
      assert_int_equal (all->len, sizes[i]);
      g_ptr_array_unref (all);
      assert_null (mr_target_table_take_changes (table));
      mr_target_table_put (table, S_record (7, TRUE));
      mr_target_table_put (table, S_record (7, TRUE));
      mr_target_table_remove (table, "i-8");
      mr_target_table_remove (table, "unknown");
      g_autoptr (GPtrArray) changes = mr_target_table_take_changes (table);
      assert_int_equal (changes->len, 2);
      for (guint c = 0; c < changes->len; c++)
        {
          const MrTargetChange *change = g_ptr_array_index (changes, c);
          gboolean gone = g_str_equal (change->id, "i-8");
          assert_true (gone ? change->record == NULL : change->record->leaving);
        }
      assert_int_equal (mr_target_table_count (table), sizes[i] - 1);
      mr_target_table_free (table);
    }
}

/* Guards against a roster that deviates from the members and so names dead members or makes
 * two members watch. After many changes it has to give the same results as a newly built one. */
static void
test_updated_roster_equals_rebuilt (void **state)
{
  enum
  {
    MEMBERS = 60,
    STEPS = 3000,
  };
  (void) state;
  MrMember members[MEMBERS];
  g_autoptr (GRand) random = g_rand_new_with_seed (11);
  MrRoster *updated = mr_roster_new ();
  for (guint m = 0; m < MEMBERS; m++)
    {
      members[m] = S_member (m);
      mr_roster_put (updated, &members[m]);
    }
  for (guint step = 0; step < STEPS; step++)
    {
      MrMember *member = &members[g_rand_int_range (random, 0, MEMBERS)];
      member->state = (MrMemberState) g_rand_int_range (random, 0, MR_MEMBER_DEAD + 1);
      member->busy = g_rand_boolean (random);
      member->platform_unreachable = g_rand_boolean (random);
      member->load = (guint32) g_rand_int_range (random, 0, 400);
      mr_roster_put (updated, member);
      MrRoster *rebuilt = mr_roster_new ();
      for (guint m = 0; m < MEMBERS; m++)
        mr_roster_put (rebuilt, &members[m]);
      MrEntryPlan a = mr_entry_plan_compute (updated, "m3");
      MrEntryPlan b = mr_entry_plan_compute (rebuilt, "m3");
      assert_int_equal (mr_roster_count (updated), mr_roster_count (rebuilt));
      assert_int_equal (mr_roster_usable_count (updated), mr_roster_usable_count (rebuilt));
      assert_int_equal (mr_roster_total_load (updated), mr_roster_total_load (rebuilt));
      assert_int_equal (a.entries->len, b.entries->len);
      for (guint e = 0; e < a.entries->len; e++)
        assert_string_equal (((const MrMember *) a.entries->pdata[e])->name,
                             ((const MrMember *) b.entries->pdata[e])->name);
      assert_true (mr_watch_is_relay_watcher (updated, "m3") ==
                   mr_watch_is_relay_watcher (rebuilt, "m3"));
      assert_true (mr_watch_is_first_watcher (updated, "m3") ==
                   mr_watch_is_first_watcher (rebuilt, "m3"));
      assert_int_equal (mr_watch_rank (updated, "m3"), mr_watch_rank (rebuilt, "m3"));
      mr_entry_plan_clear (&a);
      mr_entry_plan_clear (&b);
      mr_roster_free (rebuilt);
    }
  mr_roster_free (updated);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_member_changes),
    cmocka_unit_test (test_target_changes),
    cmocka_unit_test (test_updated_roster_equals_rebuilt),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
