// Property test: the calls of all daemons to one cold target stay within its rate limit, under
// generated kills, restarts and network partitions of a fleet on a virtual clock.
//
// Guards against more calls per second than a cold target can take, which would crash it.

#include "core.hpp"

extern "C"
{
#include "cold_share.h"
#include "fleet.h"
}

#include <cstdio>
#include <deque>
#include <vector>

namespace
{

constexpr guint DOMAINS = 3;
constexpr MrTime TICK = 20 * MR_MS;
constexpr MrTime DURATION = 14 * MR_SECOND;

struct Sender
{
  MrColdShare *share = nullptr;
  guint64 incarnation = 0;
  MrColdWindow window = {};
};

guint
pick (GRand *random, guint32 below)
{
  return (guint) g_rand_int_range (random, 0, (gint32) below);
}

// A fleet in which each daemon sends as many calls to one target as its share allows, at every
// tick.  max_per_second is the highest number of calls that the target got in any second.
struct ColdRun
{
  Fleet *fleet;
  std::vector<Sender> senders;
  std::deque<MrTime> arrived;
  guint max_per_second = 0;

  explicit ColdRun (const FleetLayout &layout) : fleet (fleet_new (&layout)), senders (layout.count)
  {
    fleet_start_all (fleet, 300 * MR_MS, FALSE);
  }
  ColdRun (const ColdRun &) = delete;
  ColdRun &operator= (const ColdRun &) = delete;
  ~ColdRun ()
  {
    for (auto &sender : senders)
      mr_cold_share_free (sender.share);
    fleet_free (fleet);
  }

  void
  send (FleetNode &node, double max_rate)
  {
    Sender &sender = senders[node.index];
    if (!node.membership)
      return;
    if (!sender.share || sender.incarnation != node.self.incarnation)
      {
        mr_cold_share_free (sender.share);
        sender = Sender{};
        sender.share = mr_cold_share_new (node.self.domain, DOMAINS);
        sender.incarnation = node.self.incarnation;
      }
    MrMemberList *members = mr_membership_list (node.membership);
    MrEntryPlan plan = mr_entry_plan_compute (node.roster, node.self.name);
    for (guint i = 0; i < members->count; i++)
      mr_cold_share_on_member (sender.share, fleet->now, &members->members[i]);
    double share = mr_cold_share_update (sender.share, fleet->now, node.roster, &plan);
    guint permits = mr_cold_share_permits (share, max_rate);
    while (mr_cold_window_allows (&sender.window, fleet->now, permits))
      {
        mr_cold_window_add (&sender.window, fleet->now);
        arrived.push_back (fleet->now);
      }
    mr_entry_plan_clear (&plan);
    mr_member_list_unref (members);
  }

  void
  tick (double max_rate)
  {
    fleet_run (fleet, TICK);
    for (guint i = 0; i < fleet->layout.count; i++)
      send (fleet->nodes[i], max_rate);
    while (!arrived.empty () && fleet->now - arrived.front () >= MR_SECOND)
      arrived.pop_front ();
    max_per_second = MAX (max_per_second, (guint) arrived.size ());
  }
};

void
inject_fault (ColdRun &run, GRand *random)
{
  Fleet *fleet = run.fleet;
  guint count = fleet->layout.count;
  guint index = pick (random, count);
  guint a = pick (random, DOMAINS);
  guint b = (a + 1 + pick (random, DOMAINS - 1)) % DOMAINS;
  switch (pick (random, 8))
    {
    case 0:
      fleet_cut (fleet, a, b, TRUE);
      break;
    case 1:
      fleet_cut_one_way (fleet, a, b, TRUE);
      break;
    case 2:
      fleet_cut_domain (fleet, a, FALSE, TRUE);
      break;
    case 3:
      for (guint x = 0; x < DOMAINS; x++)
        for (guint y = 0; y < x; y++)
          fleet_cut (fleet, x, y, FALSE);
      break;
    case 4:
      fleet_restart_all (fleet, 300 * MR_MS, FALSE);
      break;
    default:
      if (!fleet->nodes[index].membership)
        break;
      fleet_kill (fleet, index);
      fleet_start_at (fleet, index, fleet->now + (MrTime) pick (random, 3000) * MR_MS);
    }
}

// Returns "" if the target never gets more calls per second than its limit.
std::string
exceeds_rate (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  FleetLayout layout = {};
  layout.count = 3 + pick (random, 16);
  layout.domains = DOMAINS;
  layout.regions = 1;
  layout.seeds = 3;
  double max_rate = 5 + 1.5 * pick (random, 60);
  ColdRun run (layout);
  MrTime end = run.fleet->now + DURATION;
  MrTime next_fault = run.fleet->now + 2 * MR_SECOND;
  while (run.fleet->now < end)
    {
      run.tick (max_rate);
      if (run.fleet->now < next_fault)
        continue;
      inject_fault (run, random);
      next_fault = run.fleet->now + (MrTime) pick (random, 2500) * MR_MS;
    }
  g_rand_free (random);
  return run.max_per_second > max_rate ? "exceeded" : "";
}

// Without faults at least 12 of 35 calls per second are used; the safety margin and the rounding
// of each daemon's permits to whole calls take the rest.
bool
uses_rate_without_faults ()
{
  bool used = true;
  for (guint count : { 3U, 6U, 24U })
    {
      FleetLayout layout = {};
      layout.count = count;
      layout.domains = DOMAINS;
      layout.regions = 1;
      layout.seeds = 3;
      ColdRun run (layout);
      MrTime end = run.fleet->now + 10 * MR_SECOND;
      while (run.fleet->now < end)
        run.tick (35);
      std::printf ("%u daemons, no faults: %u of 35 calls a second\n", count, run.max_per_second);
      used = used && run.max_per_second >= 12;
    }
  return used;
}

} // namespace

int
main ()
{
  mr_log_set_level ((MrLogLevel) 0);
  bool ok = uses_rate_without_faults ();
  ok = rc::check ("all daemons together stay within the rate limit of a cold target",
                  [] {
                    auto seed = *rc::gen::inRange<guint32> (0, 1U << 30);
                    RC_ASSERT (exceeds_rate (seed) == "");
                  }) &&
       ok;
  ok = fails_without ("cold share", MR_GUARD_COLD_SHARE, 100, exceeds_rate) && ok;
  return ok ? 0 : 1;
}
