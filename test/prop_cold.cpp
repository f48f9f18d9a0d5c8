// What all daemons together send to one cold target, under generated kills, restarts and cuts
// of a fleet on a virtual clock.
//
// What targets would see: more calls in one second than a cold one bears, which crashes it.

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
constexpr MrTime LENGTH = 14 * MR_SECOND;

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

// Each daemon sends as much as its part allows, at every tick; returns the most calls that one
// target gets in a second.
struct Run
{
  Fleet *fleet;
  std::vector<Sender> senders;
  std::deque<MrTime> arrived;
  guint most = 0;

  explicit Run (const FleetLayout &layout) : fleet (fleet_new (&layout)), senders (layout.count)
  {
    fleet_start_all (fleet, 300 * MR_MS, FALSE);
  }
  Run (const Run &) = delete;
  Run &operator= (const Run &) = delete;
  ~Run ()
  {
    for (auto &sender : senders)
      mr_cold_share_free (sender.share);
    fleet_free (fleet);
  }

  void
  send (FleetNode &node, double bound)
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
    MrEntryPlan plan = mr_entry_plan (node.roster, node.self.name);
    for (guint i = 0; i < members->count; i++)
      mr_cold_share_on_member (sender.share, fleet->now, &members->members[i]);
    double part = mr_cold_share_update (sender.share, fleet->now, node.roster, &plan);
    guint permits = mr_cold_share_permits (part, bound);
    while (mr_cold_window_allows (&sender.window, fleet->now, permits))
      {
        mr_cold_window_add (&sender.window, fleet->now);
        arrived.push_back (fleet->now);
      }
    mr_entry_plan_clear (&plan);
    mr_member_list_unref (members);
  }

  void
  tick (double bound)
  {
    fleet_run (fleet, TICK);
    for (guint i = 0; i < fleet->layout.count; i++)
      send (fleet->nodes[i], bound);
    while (!arrived.empty () && fleet->now - arrived.front () >= MR_SECOND)
      arrived.pop_front ();
    most = MAX (most, (guint) arrived.size ());
  }
};

void
disturb (Run &run, GRand *random)
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

// "" if a cold target never gets more than it bears.
std::string
overrun (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  FleetLayout layout = {};
  layout.count = 3 + pick (random, 16);
  layout.domains = DOMAINS;
  layout.regions = 1;
  layout.seeds = 3;
  double bound = 5 + 1.5 * pick (random, 60);
  Run run (layout);
  MrTime end = run.fleet->now + LENGTH;
  MrTime next = run.fleet->now + 2 * MR_SECOND;
  while (run.fleet->now < end)
    {
      run.tick (bound);
      if (run.fleet->now < next)
        continue;
      disturb (run, random);
      next = run.fleet->now + (MrTime) pick (random, 2500) * MR_MS;
    }
  g_rand_free (random);
  return run.most > bound ? "broken" : "";
}

// In calm times what a target bears is used, but for the margin and what does not divide.
bool
used_when_calm ()
{
  bool used = true;
  for (guint count : { 3U, 6U, 24U })
    {
      FleetLayout layout = {};
      layout.count = count;
      layout.domains = DOMAINS;
      layout.regions = 1;
      layout.seeds = 3;
      Run run (layout);
      MrTime end = run.fleet->now + 10 * MR_SECOND;
      while (run.fleet->now < end)
        run.tick (35);
      std::printf ("%u daemons, calm: %u of 35 calls a second\n", count, run.most);
      used = used && run.most >= 12;
    }
  return used;
}

} // namespace

int
main ()
{
  mr_log_set_level ((MrLogLevel) 0);
  bool ok = used_when_calm ();
  ok = rc::check ("all daemons together keep within what a cold target bears",
                  [] {
                    auto seed = *rc::gen::inRange<guint32> (0, 1U << 30);
                    RC_ASSERT (overrun (seed) == "");
                  }) &&
       ok;
  ok = fails_without ("cold share", MR_GUARD_COLD_SHARE, 100, overrun) && ok;
  return ok ? 0 : 1;
}
