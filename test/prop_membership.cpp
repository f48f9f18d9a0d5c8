// Members agree once faults end: running members are seen as alive, others are not.
//
// Runs the real membership module of up to 12 members, or 25 in two failure domains, over a
// simulated network with kills, restarts, freezes, one-way cuts, partitions, and jumps of the
// time of day.

#include "core.hpp"
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

namespace
{

struct Simulation;

struct Node
{
  MrMembershipHost host; // must be the first field
  Simulation *simulation = nullptr;
  int index = 0;
  MrMembership *membership = nullptr;
  bool alive = false;
  bool frozen = false;
  bool busy = false;
  MrTime due = 0;
  std::deque<std::string> inbox;
};

struct Simulation
{
  MrTime now = MR_SECOND;
  std::vector<Node> nodes;
  std::vector<std::vector<bool> > cut;
  std::vector<gint64> clock; // time of day minus steady clock, in ms
  guint64 start_count = 0;
  int loss_percent = 0;
  GRand *random = g_rand_new_with_seed (1);

  int domains; // failure domains; with eight members or more each has its own rings

  explicit Simulation (int count, int domains_ = 1);
  ~Simulation ();
  void start (Node &n);
  void stop (Node &n);
  void run (MrTime until);
  void apply (const Command &c);
  std::string find_disagreement ();
};

void
membership_send (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat)
{
  auto *n = reinterpret_cast<Node *> (host);
  int target = to->peer_port - 1;
  if (n->simulation->cut[n->index][target] ||
      g_rand_int_range (n->simulation->random, 0, 100) < n->simulation->loss_percent)
    return;
  GString *bytes = mr_wire_heartbeat (heartbeat->from.name, heartbeat);
  n->simulation->nodes[target].inbox.push_back (std::string (bytes->str, bytes->len));
  g_string_free (bytes, TRUE);
}

void
membership_changed (MrMembershipHost *, const MrMember *)
{
}

Simulation::Simulation (int count, int domains_)
    : nodes (count), cut (count, std::vector<bool> (count, false)), clock (count, 1000000),
      domains (domains_)
{
  for (int i = 0; i < count; i++)
    {
      nodes[i].simulation = this;
      nodes[i].index = i;
      start (nodes[i]);
    }
}

Simulation::~Simulation ()
{
  for (auto &n : nodes)
    if (n.alive)
      stop (n);
  g_rand_free (random);
}

void
Simulation::start (Node &n)
{
  MrMember self = {};
  g_snprintf (self.name, sizeof self.name, "d%d", n.index);
  g_strlcpy (self.ip, "10.0.0.1", sizeof self.ip);
  self.peer_port = n.index + 1;
  g_snprintf (self.domain, sizeof self.domain, "domain-%d", n.index % domains);
  // From the time of day, which may have jumped, and a counter that makes it unique.
  self.incarnation = ((guint64) (now / MR_MS + clock[n.index]) << 20) | ++start_count;
  n.host = { membership_send, membership_changed };
  n.membership = mr_membership_new (&n.host, &self, (guint32) start_count);
  std::vector<MrMember> seeds;
  // The platform's list of VMs names all members.
  for (size_t i = 0; i < nodes.size (); i++)
    {
      MrMember seed = {};
      g_strlcpy (seed.ip, "10.0.0.1", sizeof seed.ip);
      seed.peer_port = (int) i + 1;
      seeds.push_back (seed);
    }
  mr_membership_set_seeds (n.membership, seeds.data (), (guint) seeds.size ());
  n.alive = true;
  n.frozen = false;
  n.busy = false;
  n.due = now;
  n.inbox.clear ();
}

void
Simulation::stop (Node &n)
{
  mr_membership_free (n.membership);
  n.membership = nullptr;
  n.alive = false;
}

void
Simulation::run (MrTime until)
{
  for (; now < until; now += 50 * MR_MS)
    for (auto &n : nodes)
      {
        if (!n.alive || n.frozen)
          {
            if (!n.alive)
              n.inbox.clear ();
            continue;
          }
        auto inbox = std::move (n.inbox);
        n.inbox.clear ();
        for (auto &bytes : inbox)
          {
            MrWireMessage message;
            RC_ASSERT (mr_wire_decode ({ bytes.data (), bytes.size () }, &message) == MR_OK);
            mr_membership_receive (n.membership, now, &message.heartbeat);
            mr_wire_message_clear (&message);
          }
        if (now >= n.due)
          n.due = mr_membership_tick (n.membership, now);
      }
}

void
Simulation::apply (const Command &c)
{
  size_t count = nodes.size ();
  Node &n = nodes[(size_t) c.a % count];
  switch (c.kind)
    {
    case 0:
      if (n.alive)
        stop (n);
      else
        start (n);
      break;
    case 1:
      n.frozen = n.alive && !n.frozen;
      break;
    case 2:
      cut[(size_t) c.a % count][(size_t) c.b % count] = true;
      break;
    case 3:
      for (size_t i = 0; i < count; i++)
        for (size_t j = 0; j < count; j++)
          cut[i][j] = c.b % 2 == 0 && (i % 2) != (j % 2);
      break;
    case 4:
      clock[(size_t) c.a % count] = 1000000 + (c.b - 50) * 1000;
      break;
    case 8:
      n.busy = !n.busy;
      if (n.alive && !n.frozen)
        mr_membership_set_busy (n.membership, now, n.busy);
      else
        n.busy = !n.busy;
      break;
    case 9:
      // Cuts off a domain for about as long as suspicion or removal takes.
      for (size_t i = 0; i < count; i++)
        for (size_t j = 0; j < count; j++)
          cut[i][j] = (i % (size_t) domains == (size_t) c.a % (size_t) domains) !=
                      (j % (size_t) domains == (size_t) c.a % (size_t) domains);
      run (now + (3 + c.b % 6) * MR_SECOND);
      for (auto &row : cut)
        row.assign (row.size (), false);
      break;
    default:
      run (now + (1 + c.b % 12) * MR_SECOND);
      break;
    }
}

std::string
Simulation::find_disagreement ()
{
  loss_percent = 0;
  for (auto &row : cut)
    row.assign (row.size (), false);
  for (auto &n : nodes)
    n.frozen = false;
  run (now + 150 * MR_SECOND);
  for (auto &n : nodes)
    {
      if (!n.alive)
        continue;
      MrMemberList *list = mr_membership_list (n.membership);
      std::string wrong;
      for (auto &other : nodes)
        {
          char name[16];
          g_snprintf (name, sizeof name, "d%d", other.index);
          const MrMember *seen = mr_member_list_find (list, name);
          bool usable = seen && seen->state == MR_MEMBER_ALIVE;
          if (usable && other.alive && seen->busy != other.busy)
            wrong = "d" + std::to_string (n.index) + " has an outdated record of " + name;
          if (usable != other.alive)
            wrong = "d" + std::to_string (n.index) + " lists " + name +
                    (usable ? " as alive, but it does not run" : " as not alive, but it runs");
        }
      mr_member_list_unref (list);
      if (!wrong.empty ())
        return wrong;
    }
  return "";
}

std::string
run_schedule (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  Simulation sim (3 + g_rand_int_range (random, 0, 10));
  sim.run (sim.now + 20 * MR_SECOND);
  for (int i = 0; i < 15; i++)
    sim.apply ({ g_rand_int_range (random, 0, 8), g_rand_int_range (random, 0, 100),
                 g_rand_int_range (random, 0, 100) });
  g_rand_free (random);
  return sim.find_disagreement ();
}

// Two failure domains with their own rings and few links between them, lost messages, and
// updates that no digest covers (whether a member accepts callers).
std::string
run_schedule_in_domains (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  Simulation sim (18 + g_rand_int_range (random, 0, 8), 2);
  sim.loss_percent = g_rand_int_range (random, 0, 60);
  sim.run (sim.now + 20 * MR_SECOND);
  for (int i = 0; i < 12; i++)
    sim.apply ({ g_rand_int_range (random, 0, 10), g_rand_int_range (random, 0, 100),
                 g_rand_int_range (random, 0, 100) });
  g_rand_free (random);
  return sim.find_disagreement ();
}

} // namespace

int
main ()
{
  mr_log_set_level (MR_LOG_ERROR);
  bool ok = rc::check ("members agree once faults end", [] {
    std::string wrong = run_schedule (*rc::gen::inRange<guint32> (0, 1U << 30));
    RC_ASSERT (wrong == "");
  });
  ok = rc::check ("members of two failure domains agree once faults end",
                  [] {
                    std::string wrong =
                        run_schedule_in_domains (*rc::gen::inRange<guint32> (0, 1U << 30));
                    RC_ASSERT (wrong == "");
                  }) &&
       ok;
  ok = fails_without ("refutation", MR_GUARD_REFUTE, 200, run_schedule) && ok;
  return ok ? 0 : 1;
}
