// The guarantees of a search, checked for random configurations, faults and snapshot changes
// against a simple reference merge (bench/search_sim.c):
//   - an answer has hits of a single snapshot, and only those of the caller's own query,
//   - the coverage is that of the merged shards,
//   - "not run" is only answered if no call was sent,
//   - leaving targets get no new calls.
// Each property is then shown to fail when its safeguard is switched off.

#include "core.hpp"
#include <cstdio>
#include <functional>

extern "C"
{
#include "search_sim.h"
}

namespace
{

// The ranges are chosen so that a run takes milliseconds and yet most kinds of faults occur.
MrSearchSimConfig
random_config (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  MrSearchSimConfig c = mr_search_sim_shop_config ();
  auto below = [&] (int n) { return (guint) g_rand_int_range (random, 0, n); };
  auto random_time = [&] () { return (MrTime) below ((int) (200 * MR_MS)); };
  c.seed = seed;
  c.daemons = 1 + below (4);
  c.targets = 2 + below (5);
  c.slots = 1 + below (5);
  c.shards = 1 + below (16);
  guint replicas = 1 + below (3);
  c.replicas = MIN (replicas, c.targets);
  c.cell_shards = 1 + below (16);
  c.top_k = 1 + below (12);
  c.rate = 40 + below (400);
  c.duration = 250 * MR_MS;
  c.deadline = (20 + below (130)) * MR_MS;
  c.policy = below (3) ? MR_SEARCH_SIM_OWNERS : MR_SEARCH_SIM_DIRECT;
  c.partial_loss_share = below (4) ? 0 : 0.2;
  c.partial_duplicate_share = below (4) ? 0 : 0.3;
  if (below (3) == 0)
    {
      c.snapshot_switch_at = random_time ();
      c.old_snapshot_drop_delay = (MrTime) below ((int) (60 * MR_MS));
    }
  if (below (3) == 0)
    {
      c.unreachable_daemon = below (4);
      c.unreachable_from = random_time ();
    }
  for (guint i = 0; i < c.targets; i++)
    {
      MrSearchSimFault *f = &c.faults[i];
      f->slow_factor = below (5) ? 1 : 10;
      f->wrong_snapshot_share = below (4) ? 0 : 0.3;
      f->wrong_id_share = below (4) ? 0 : 0.3;
      f->duplicate_share = below (4) ? 0 : 0.3;
      f->broken_share = below (4) ? 0 : 0.2;
      if (below (5) == 0)
        {
          f->down_from = random_time ();
          f->down_until = f->down_from + random_time ();
        }
      if (below (5) == 0)
        {
          f->silent_from = random_time ();
          f->silent_until = MR_NEVER;
        }
      if (below (5) == 0)
        f->leaving_from = random_time ();
    }
  g_rand_free (random);
  return c;
}

// Lasts for 5 s, since targets may get calls for 3 s after they are listed as leaving.
MrSearchSimConfig
leaving_config (guint32 seed)
{
  MrSearchSimConfig c = random_config (seed);
  c.duration = 5 * MR_SECOND;
  c.rate = 20;
  c.leaving_listed_delay = 200 * MR_MS;
  c.faults[seed % c.targets].leaving_from = 100 * MR_MS;
  return c;
}

enum Guarantee
{
  HITS,
  COVERAGE,
  NOT_RUN,
  LEAVING,
};

guint64
violation_count (const MrSearchSimResult &r, Guarantee guarantee)
{
  switch (guarantee)
    {
    case HITS:
      return r.bad_hits;
    case COVERAGE:
      return r.bad_coverage;
    case NOT_RUN:
      return r.calls_despite_not_run;
    case LEAVING:
      return r.late_calls_to_leaving;
    }
  return 0;
}

// Returns a function for fails_without () that runs the configuration of a seed and returns
// "violated" if the run violates @guarantee.
auto
violates (MrSearchSimConfig (*make) (guint32), Guarantee guarantee)
{
  return [make, guarantee] (guint32 seed) -> std::string {
    MrSearchSimConfig c = make (seed);
    MrSearchSimResult r;
    mr_search_sim_run (&c, &r);
    return violation_count (r, guarantee) > 0 ? "violated" : "";
  };
}

} // namespace

int
main ()
{
  mr_log_set_level (MR_LOG_ERROR);
  guint64 queries = 0;
  guint64 partial = 0;
  guint64 refused = 0;
  bool ok = rc::check ("search guarantees hold under generated faults", [&] {
    // Ten configurations per case: 10,000 in total with 1,000 RapidCheck cases.
    auto first_seed = *rc::gen::inRange<guint32> (0, 1U << 30);
    for (guint32 i = 0; i < 10; i++)
      {
        MrSearchSimConfig c = random_config (first_seed + i);
        MrSearchSimResult r;
        mr_search_sim_run (&c, &r);
        queries += r.queries;
        partial += r.partial;
        refused += r.refused;
        RC_ASSERT (r.bad_hits == 0U);
        RC_ASSERT (r.bad_coverage == 0U);
        RC_ASSERT (r.calls_despite_not_run == 0U);
        RC_ASSERT (r.late_answers == 0U);
      }
  });
  ok = rc::check ("leaving targets get no new calls after 3 s",
                  [] {
                    MrSearchSimConfig c = leaving_config (*rc::gen::inRange<guint32> (0, 1U << 30));
                    MrSearchSimResult r;
                    mr_search_sim_run (&c, &r);
                    RC_ASSERT (r.late_calls_to_leaving == 0U);
                  }) &&
       ok;
  std::printf ("%" G_GUINT64_FORMAT " queries, %" G_GUINT64_FORMAT " partial, %" G_GUINT64_FORMAT
               " refused\n",
               queries, partial, refused);
  ok =
      fails_without ("snapshot echo", MR_GUARD_SNAPSHOT, 400, violates (random_config, HITS)) && ok;
  ok = fails_without ("reply id", MR_GUARD_REPLY_ID, 400, violates (random_config, HITS)) && ok;
  ok = fails_without ("count once", MR_GUARD_COUNT_ONCE, 400, violates (random_config, COVERAGE)) &&
       ok;
  ok = fails_without ("coverage of what was merged", MR_GUARD_COVERAGE, 400,
                      violates (random_config, COVERAGE)) &&
       ok;
  ok = fails_without ("not run", MR_GUARD_NOT_RUN, 400, violates (random_config, NOT_RUN)) && ok;
  ok = fails_without ("leaving", MR_GUARD_LEAVING, 400, violates (leaving_config, LEAVING)) && ok;
  return ok ? 0 : 1;
}
