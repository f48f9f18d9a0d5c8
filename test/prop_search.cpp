// The promises of a search, over generated schedules of replies, faults and
// version changes, against a naive reference merge (bench/search_sim.c):
//   a single snapshot, truthful coverage, the caller's own and whole answer,
//   "not run" only if nothing was sent, no new work for leaving targets.
// Each property is then shown to fail with its safeguard switched off.

#include "core.hpp"
#include <cstdio>
#include <functional>

extern "C"
{
#include "search_sim.h"
}

namespace
{

// Chosen so that one schedule takes milliseconds and yet meets every fault.
MrWorldConfig
schedule (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  MrWorldConfig c = mr_world_today ();
  auto below = [&] (int n) { return (guint) g_rand_int_range (random, 0, n); };
  auto at = [&] () { return (MrTime) below ((int) (200 * MR_MS)); };
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
  c.policy = below (3) ? MR_WORLD_OWNERS : MR_WORLD_DIRECT;
  c.partial_loss = below (4) ? 0 : 0.2;
  c.partial_double = below (4) ? 0 : 0.3;
  if (below (3) == 0)
    {
      c.switch_at = at ();
      c.drop_old_after = (MrTime) below ((int) (60 * MR_MS));
    }
  if (below (3) == 0)
    {
      c.dead_owner = below (4);
      c.dead_owner_at = at ();
    }
  for (guint i = 0; i < c.targets; i++)
    {
      MrWorldFault *f = &c.faults[i];
      f->slow_factor = below (5) ? 1 : 10;
      f->wrong_snapshot = below (4) ? 0 : 0.3;
      f->wrong_id = below (4) ? 0 : 0.3;
      f->doubled = below (4) ? 0 : 0.3;
      f->broken = below (4) ? 0 : 0.2;
      if (below (5) == 0)
        {
          f->dead_from = at ();
          f->dead_until = f->dead_from + at ();
        }
      if (below (5) == 0)
        {
          f->silent_from = at ();
          f->silent_until = MR_NEVER;
        }
      if (below (5) == 0)
        f->leaving_from = at ();
    }
  g_rand_free (random);
  return c;
}

// For the leaving promise: long enough that a few seconds pass.
MrWorldConfig
leaving_schedule (guint32 seed)
{
  MrWorldConfig c = schedule (seed);
  c.duration = 5 * MR_SECOND;
  c.rate = 20;
  c.listed_lag = 200 * MR_MS;
  c.faults[seed % c.targets].leaving_from = 100 * MR_MS;
  return c;
}

enum Promise
{
  OWN_HITS,
  COVERAGE,
  NOT_RUN,
  LEAVING,
};

guint64
broken (const MrWorldResult &r, Promise promise)
{
  switch (promise)
    {
    case OWN_HITS:
      return r.bad_hits;
    case COVERAGE:
      return r.bad_coverage;
    case NOT_RUN:
      return r.ran_though_not_run;
    case LEAVING:
      return r.late_calls_to_leaving;
    }
  return 0;
}

// Whether a schedule of @make breaks @promise, in words.
auto
breaks (MrWorldConfig (*make) (guint32), Promise promise)
{
  return [make, promise] (guint32 seed) -> std::string {
    MrWorldConfig c = make (seed);
    MrWorldResult r;
    mr_world_run (&c, &r);
    return broken (r, promise) > 0 ? "broken" : "";
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
  bool ok = rc::check ("search promises hold under generated faults", [&] {
    // Ten schedules a case: 10,000 a run at RapidCheck's 1,000 cases.
    auto base = *rc::gen::inRange<guint32> (0, 1U << 30);
    for (guint32 i = 0; i < 10; i++)
      {
        MrWorldConfig c = schedule (base + i);
        MrWorldResult r;
        mr_world_run (&c, &r);
        queries += r.queries;
        partial += r.partial;
        refused += r.refused;
        RC_ASSERT (r.bad_hits == 0U);
        RC_ASSERT (r.bad_coverage == 0U);
        RC_ASSERT (r.ran_though_not_run == 0U);
        RC_ASSERT (r.late_answers == 0U);
      }
  });
  ok = rc::check ("leaving targets get no new work after 3 s",
                  [] {
                    MrWorldConfig c = leaving_schedule (*rc::gen::inRange<guint32> (0, 1U << 30));
                    MrWorldResult r;
                    mr_world_run (&c, &r);
                    RC_ASSERT (r.late_calls_to_leaving == 0U);
                  }) &&
       ok;
  std::printf ("%" G_GUINT64_FORMAT " queries, %" G_GUINT64_FORMAT " partial, %" G_GUINT64_FORMAT
               " refused\n",
               queries, partial, refused);
  ok = fails_without ("snapshot echo", MR_GUARD_SNAPSHOT, 400, breaks (schedule, OWN_HITS)) && ok;
  ok = fails_without ("reply id", MR_GUARD_REPLY_ID, 400, breaks (schedule, OWN_HITS)) && ok;
  ok = fails_without ("count once", MR_GUARD_COUNT_ONCE, 400, breaks (schedule, COVERAGE)) && ok;
  ok = fails_without ("coverage of what was merged", MR_GUARD_COVERAGE, 400,
                      breaks (schedule, COVERAGE)) &&
       ok;
  ok = fails_without ("not run", MR_GUARD_NOT_RUN, 400, breaks (schedule, NOT_RUN)) && ok;
  ok = fails_without ("leaving", MR_GUARD_LEAVING, 400, breaks (leaving_schedule, LEAVING)) && ok;
  return ok ? 0 : 1;
}
