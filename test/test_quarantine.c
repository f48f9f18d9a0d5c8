/* A request that ends each target that begins it, on the virtual clock.
 *
 * What callers saw: every few seconds hardly any search was answered, since up to thirty
 * targets of all shards had ended within a second.  A search went to all ten shards at
 * once; each end was taken for the target's own, so that the part went to the next
 * target, slow parts were sent twice, and its caller's repeat met, at any daemon, one
 * that had never seen it.  Proof: the calls of this one content broke one after the
 * other, wherever they were, and no others but those that were beside them.
 *
 * The aim: once three targets have ended, and the news had its time, the same content
 * reaches at most three targets, for ever; as few as possible end before that; and the
 * other searches are served. */

#include "relay_site.h"

#include "log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  /* The aim's: calls after the news. */
  LATE_MOST = 3,
};

typedef struct
{
  const char *name;
  SimPlan plan;
  guint crashed_most; /* the aim's: see each */
  double least;       /* credit of the wide searches, as a share of what was asked */
} Case;

/* What a first arrival has in flight when its first target ends can't be called back for
 * sure: one target a shard, and the one that makes certain. */
enum
{
  FIRST_ARRIVAL = 10 + 1,
};

static const Case cases[] = {
  { "once",
    { SITE, .poison = { .count = 1, .from_ms = 5000, .time_to_crash_ms = 60, .restart_ms = 3000 },
      .evidence_delay_ms = 20 },
    FIRST_ARRIVAL,
    0.90 },
  { "each 5 s, repeated at once",
    { SITE,
      .poison = { .count = 4,
                  .from_ms = 3000,
                  .interval_ms = 5000,
                  .caller_retries = 1,
                  .time_to_crash_ms = 60,
                  .restart_ms = 3000 },
      .evidence_delay_ms = 20 },
    FIRST_ARRIVAL + 3,
    0.90 },
  /* Those that arrive together can't know of each other. */
  { "four at once",
    { SITE,
      .poison = { .count = 4,
                  .from_ms = 3000,
                  .interval_ms = 5000,
                  .copies = 4,
                  .caller_retries = 1,
                  .time_to_crash_ms = 60,
                  .restart_ms = 3000 },
      .evidence_delay_ms = 20 },
    3 * 10,
    0.80 },
  { "it ends its targets late",
    { SITE,
      .poison = { .count = 4,
                  .from_ms = 3000,
                  .interval_ms = 5000,
                  .caller_retries = 3,
                  .time_to_crash_ms = 300,
                  .restart_ms = 1000 },
      .evidence_delay_ms = 20 },
    2 * FIRST_ARRIVAL,
    0.80 },
};

static void
test_wide (void **state)
{
  guint failed = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      SimResult r;
      sim_run (&cases[i].plan, &r);
      double credit = r.routes[0].utility / MAX (r.routes[0].requests, 1);
      printf ("%-28s ended %3u calls %3u late %3u, others' credit %.3f refused %u failed %u\n",
              cases[i].name, r.poison_crashes, r.poison_calls, r.poison_calls_late, credit,
              r.routes[0].refused, r.routes[0].failed);
      assert_int_equal (r.poison_served, 0);
      failed += r.poison_calls_late > LATE_MOST || r.poison_crashes > cases[i].crashed_most ||
                credit < cases[i].least;
    }
  assert_int_equal (failed, 0);
}

/* Fails if @crasher ends more than @most targets in one of twenty seeds. */
static void
S_check_ended (const char *name, const SimPoisonRequest *crasher, guint most)
{
  guint failed = 0;
  for (guint seed = 1; seed <= 20; seed++)
    {
      SimPlan plan = { SITE, .poison = *crasher, .evidence_delay_ms = 20 };
      SimResult r;
      plan.seed = seed;
      sim_run (&plan, &r);
      if (seed == 1 || r.poison_crashes > most)
        printf ("%s, seed %2u: ended %3u calls %3u, others' credit %.3f refused %u\n", name, seed,
                r.poison_crashes, r.poison_calls,
                r.routes[0].utility / MAX (r.routes[0].requests, 1), r.routes[0].refused);
      failed += r.poison_crashes > most;
    }
  assert_int_equal (failed, 0);
}

/* What callers saw: one search of ten shards ended 21 of 30 targets, a second one beside it
 * 25, and for three seconds other searches found shards without any.  The content ends a
 * target some 60 ms after its begin, also once the call's connection is closed; at 48 ms
 * none of the ten parts had been answered, and each was sent to a second target.  Proof:
 * the request's line (E1703) lists ten calls "why":"hedge" at one moment, 8 ms before the
 * first E1409, and each of their targets has an E1409 of its own 40 to 110 ms later. */
static void
test_second_sends_wait_for_an_answer (void **state)
{
  static const SimPoisonRequest crasher = { .count = 1,
                                            .from_ms = 5000,
                                            .time_to_crash_ms = 120,
                                            .restart_ms = 3000,
                                            .crashes_after_disconnect = true };
  (void) state;
  /* One target a shard, one second send, and the one that makes certain. */
  S_check_ended ("second sends", &crasher, 10 + 1 + 1);
}

/* What callers saw: a search that did no harm was answered 500 "quarantined" for half a
 * minute.  Two of its targets had ended under a content that two daemons had sent at one
 * moment; its trial went out at once, and met a third target that had begun the same content
 * and ended 40 ms later.  Proof: its E1703 has one call "why":"retry", sent in the millisecond
 * of its second end, to a target on which the other content's call is listed as well. */
static void
test_company_is_not_blocked (void **state)
{
  guint failed = 0;
  (void) state;
  for (guint seed = 1; seed <= 40; seed++)
    {
      SimPlan plan = { SITE,
                       .poison = { .count = 1,
                                   .from_ms = 3000,
                                   .copies = 2,
                                   .time_to_crash_ms = 60 + seed % 4 * 20,
                                   .restart_ms = 3000,
                                   .crashes_after_disconnect = true },
                       .evidence_delay_ms = 10 };
      plan.seed = seed;
      plan.duration_s = 8;
      SimResult r;
      sim_run (&plan, &r);
      guint blocked = r.routes[0].quarantined + r.routes[1].quarantined;
      if (blocked > 0)
        printf ("in company, seed %2u: ended %3u, blocked %u %u\n", seed, r.poison_crashes,
                r.routes[0].quarantined, r.routes[1].quarantined);
      failed += blocked > 0 ? 1 : 0;
    }
  assert_int_equal (failed, 0);
}

/* What callers saw: each further content of the kind took as many targets as the first, one a
 * shard at least; four in 12 s ended 44, and each time other searches were refused for
 * seconds.  A search goes to all its shards at once, and all that have begun it are lost by
 * the time that the first one ends.  Proof: on the users' bench 20 of 20 targets that had a
 * call of the content ended, up to 90 ms after their connections had been closed. */
static void
test_further_contents_end_few (void **state)
{
  static const SimPoisonRequest crasher = { .count = 4,
                                            .from_ms = 3000,
                                            .interval_ms = 4000,
                                            .varying_content = true,
                                            .caller_retries = 1,
                                            .time_to_crash_ms = 60,
                                            .restart_ms = 3000,
                                            .crashes_after_disconnect = true };
  (void) state;
  /* One target a shard, a second send and a trial for the first; what makes certain for
   * each of the three others. */
  S_check_ended ("further contents", &crasher, 10 + 1 + 1 + 3 * 3);
}

/* One service of three targets: there the next target is all that can be tried, and the
 * third end is the last. */
static void
test_one_service (void **state)
{
  static const char *const names[] = { "may be repeated", "order" };
  guint failed = 0;
  (void) state;
  for (guint unsafe = 0; unsafe < 2; unsafe++)
    {
      SimPlan plan = {
        .seed = 7,
        .daemons = 6,
        .shards = 1,
        .replicas = 5,
        .slots = 5,
        .queue = 20,
        .connections = 60,
        .duration_s = 30,
        .attempts = 2,
        .routes = { { .requests_per_second = 20,
                      .service_time_ms = 30,
                      .latency_goal_ms = 200,
                      .deadline_ms = 2000,
                      .unsafe = unsafe == 1 } },
        .poison = { .count = 10,
                    .from_ms = 3000,
                    .interval_ms = 2500,
                    .caller_retries = 1,
                    .time_to_crash_ms = 30,
                    .restart_ms = 2000 },
        .evidence_delay_ms = 20,
      };
      SimResult r;
      sim_run (&plan, &r);
      double credit = r.routes[0].utility / MAX (r.routes[0].requests, 1);
      printf ("%-28s ended %3u calls %3u late %3u, others' credit %.3f refused %u failed %u\n",
              names[unsafe], r.poison_crashes, r.poison_calls, r.poison_calls_late, credit,
              r.routes[0].refused, r.routes[0].failed);
      assert_int_equal (r.ran_twice, 0);
      failed +=
          r.poison_calls_late > LATE_MOST || r.poison_crashes > 3 + LATE_MOST || credit < 0.95;
    }
  assert_int_equal (failed, 0);
}

/* Targets end for reasons of their own, and searches that nobody is to blame for are on
 * them: a rack, a seventh of all, one after the other, all of two shards, with answers lost
 * beside it, again and again.  Such a search is never blocked, whether each asks for
 * something of its own or half of them for the same. */
typedef struct
{
  const char *name;
  SimFault events[8];
  double least; /* credit of the wide searches */
} Calm;

enum
{
  ONE_AFTER_THE_OTHER = 2, /* place in the table */
};

static const Calm calms[] = {
  { "a rack", { { SIM_FAULT_CRASHED, 0, 29, 3, 3000, 6000, 0 } }, 0.95 },
  { "a seventh, three times",
    { { SIM_FAULT_CRASHED, 0, 29, 7, 3000, 5000, 0 },
      { SIM_FAULT_CRASHED, 1, 29, 7, 7000, 9000, 0 },
      { SIM_FAULT_CRASHED, 2, 29, 7, 11000, 13000, 0 } },
    0.95 },
  { "one after the other",
    { { SIM_FAULT_CRASHED, 0, 29, 8, 3000, 6000, 0 },
      { SIM_FAULT_CRASHED, 1, 29, 8, 3030, 6000, 0 },
      { SIM_FAULT_CRASHED, 2, 29, 8, 3060, 6000, 0 },
      { SIM_FAULT_CRASHED, 3, 29, 8, 3090, 6000, 0 },
      { SIM_FAULT_CRASHED, 4, 29, 8, 3120, 6000, 0 },
      { SIM_FAULT_CRASHED, 5, 29, 8, 3150, 6000, 0 },
      { SIM_FAULT_CRASHED, 6, 29, 8, 3180, 6000, 0 } },
    0.70 },
  { "all of two shards", { { SIM_FAULT_CRASHED, 0, 5, 1, 3000, 8000, 0 } }, 0.70 },
  { "all at once", { { SIM_FAULT_CRASHED, 0, 29, 1, 3000, 4000, 0 } }, 0.90 },
  { "a rack, and answers lost",
    { { SIM_FAULT_CRASHED, 0, 29, 3, 3000, 6000, 0 },
      { SIM_FAULT_LOSES_RESPONSES, 1, 29, 3, 3000, 6000, 0.2 } },
    0.85 },
  { "a rack, and its entries", { { SIM_FAULT_CRASHED_AND_REMOVED, 0, 29, 3, 3000, 0, 0 } }, 0.95 },
  { "a few entries, one after the other",
    { { SIM_FAULT_CRASHED_AND_REMOVED, 0, 29, 10, 3000, 0, 0 },
      { SIM_FAULT_CRASHED_AND_REMOVED, 1, 29, 10, 3030, 0, 0 } },
    0.70 },
  { "two racks, dark and ended",
    { { SIM_FAULT_UNRESPONSIVE, 0, 29, 3, 3000, 6000, 0 },
      { SIM_FAULT_CRASHED, 1, 29, 3, 3000, 6000, 0 } },
    0.70 },
};

/* FALSE if a search is blocked, or the credit is too low. */
static gboolean
S_serves (const Calm *calm, guint seed)
{
  SimPlan plan = { SITE, .popular_ratio = seed % 2 * 0.5, .evidence_delay_ms = 20 };
  plan.seed = seed;
  plan.routes[2] = (SimRoute){ .requests_per_second = 40,
                               .service_time_ms = 40,
                               .latency_goal_ms = 400,
                               .deadline_ms = 2000,
                               .unsafe = seed % 3 == 0 };
  memcpy (plan.faults, calm->events, sizeof plan.faults);
  SimResult r;
  sim_run (&plan, &r);
  double credit = r.routes[0].utility / MAX (r.routes[0].requests, 1);
  guint blocked = r.routes[0].quarantined + r.routes[1].quarantined + r.routes[2].quarantined;
  gboolean serves = blocked == 0 && credit >= calm->least;
  if (seed == 1 || !serves)
    printf ("%-28s seed %2u: blocked %u %u %u, credit %.3f refused %u failed %u, single "
            "failed %u\n",
            calm->name, seed, r.routes[0].quarantined, r.routes[1].quarantined,
            r.routes[2].quarantined, credit, r.routes[0].refused, r.routes[0].failed,
            r.routes[2].failed);
  return serves;
}

static void
test_others_are_never_blocked (void **state)
{
  guint failed = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (calms); i++)
    for (guint seed = 1; seed <= 10; seed++)
      failed += !S_serves (&calms[i], seed);
  assert_int_equal (failed, 0);
}

/* What callers saw: among targets that ended by themselves, 30 ms apart, one search of its own
 * was blocked for half a minute: it was called back at its second end, with the calls that
 * would have been answered, and its trial met the next.  Proof: these four seeds of sixty. */
static void
test_ends_apart_block_nobody (void **state)
{
  static const guint seeds[] = { 19, 36, 38, 53 };
  guint failed = 0;
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (seeds); i++)
    failed += !S_serves (&calms[ONE_AFTER_THE_OTHER], seeds[i]);
  assert_int_equal (failed, 0);
}

/* What callers saw: for half a minute one search that many ask for all the time was
 * refused, "quarantined".  All targets had ended within 34 ms, each with a call of it; a
 * call that was sent after the first ends were known met a target that ended a moment
 * later, which made a second occasion, and no target was left to answer and to clear it.
 * It had been answered milliseconds before.  Proof: evidence of three ends on two occasions
 * within 5 ms, and the first answer after 27 s, on probation. */
static void
test_popular_is_never_blocked (void **state)
{
  static const Calm all_in_34_ms = { "all within 34 ms",
                                     { { SIM_FAULT_CRASHED, 0, 29, 6, 3000, 5000, 0 },
                                       { SIM_FAULT_CRASHED, 1, 29, 6, 3006, 5000, 0 },
                                       { SIM_FAULT_CRASHED, 2, 29, 6, 3011, 5000, 0 },
                                       { SIM_FAULT_CRASHED, 3, 29, 6, 3020, 5000, 0 },
                                       { SIM_FAULT_CRASHED, 4, 29, 6, 3025, 5000, 0 },
                                       { SIM_FAULT_CRASHED, 5, 29, 6, 3034, 5000, 0 } },
                                     0.70 };
  guint failed = 0;
  (void) state;
  for (gsize i = 0; i <= G_N_ELEMENTS (calms); i++)
    for (guint seed = 1; seed <= 10; seed++)
      {
        const Calm *calm = i < G_N_ELEMENTS (calms) ? &calms[i] : &all_in_34_ms;
        SimPlan plan = { SITE, .popular_ratio = 1, .evidence_delay_ms = 20 };
        plan.seed = seed;
        memcpy (plan.faults, calm->events, sizeof plan.faults);
        SimResult r;
        sim_run (&plan, &r);
        guint blocked = r.routes[0].quarantined + r.routes[1].quarantined;
        if (blocked > 0)
          printf ("%-28s seed %2u: blocked %u %u\n", calm->name, seed, r.routes[0].quarantined,
                  r.routes[1].quarantined);
        failed += blocked > 0 ? 1 : 0;
      }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  mr_log_set_level (MR_LOG_ERROR);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_wide),
    cmocka_unit_test (test_second_sends_wait_for_an_answer),
    cmocka_unit_test (test_company_is_not_blocked),
    cmocka_unit_test (test_further_contents_end_few),
    cmocka_unit_test (test_one_service),
    cmocka_unit_test (test_others_are_never_blocked),
    cmocka_unit_test (test_ends_apart_block_nobody),
    cmocka_unit_test (test_popular_is_never_blocked),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
