// Orders run at most once, and "not run" is never wrong.
//
// Three daemons with the real ticket, record and dispatch modules, two fake
// targets that count what ran.  Commands: tickets, orders presented anywhere,
// kills and restarts, freezes, time, and targets that drop the connection
// before or after running, shed, drain, refuse or stay silent.  An independent
// checker keeps the history of each ticket.

#include "core.hpp"
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "dispatch.h"
}

namespace
{

constexpr int DAEMONS = 3;
constexpr int TARGETS = 2;
constexpr MrTime LIFE = 60 * MR_SECOND;
constexpr MrTime RECORD_LIFE = 600 * MR_SECOND;
constexpr MrTime DEADLINE = 500 * MR_MS;

enum Behaviour
{
  SERVE,
  SHED,
  DRAIN,
  REFUSE,
  DROP_BEFORE, // the connection ends before the order ran
  DROP_AFTER,  // it ran, and only the answer is lost
  SILENT,      // it ran, and nothing more is heard
  BEHAVIOURS,
};

struct World;

struct Pending // a call whose end has not been reported
{
  guint64 id;
  MrCallOutcome outcome;
};

struct Message // an order on its way to the issuer of its ticket
{
  std::string ticket;
  int from;
};

struct Daemon
{
  MrDispatchHost host; // first, so that the host is cast to its daemon
  World *world = nullptr;
  int index = 0;
  bool frozen = false;
  std::string name;
  MrOrderRecords *orders = nullptr;
  MrDispatch *dispatch = nullptr;
  std::vector<Pending> pending;
  std::vector<Message> inbox;
  std::vector<MrPartial *> partials;
  std::map<guint64, std::pair<guint64, std::string> > dispatched; // batch -> sequence, ticket
};

struct World
{
  MrTime now = MR_SECOND;
  guint32 births = 0;
  guint64 batches = 0;
  Daemon daemons[DAEMONS];
  int behaviour[TARGETS] = { SERVE, SERVE };
  std::map<std::string, int> runs;
  std::vector<std::string> tickets;
  MrShardMap *map = nullptr;
  std::string broken; // the first promise that broke

  World ();
  ~World ();
  void birth (Daemon &d);
  void death (Daemon &d);
  void answer (const std::string &ticket, MrResult result);
  bool decide (Daemon &d, const std::string &ticket);
  void present (Daemon &d, const std::string &ticket);
  void settle (Daemon &d);
  void step (MrTime by);
  void apply (const Command &c);
};

void
start_call (MrDispatchHost *host, const MrShardCall *start)
{
  auto *d = reinterpret_cast<Daemon *> (host);
  World *w = d->world;
  int target = start->target->port - 1;
  MrCallOutcome outcome = MR_CALL_ANSWER;
  bool ran = true;
  switch (w->behaviour[target])
    {
    case SHED:
      outcome = MR_CALL_SHED;
      ran = false;
      break;
    case DRAIN:
      outcome = MR_CALL_DRAINING;
      ran = false;
      break;
    case REFUSE:
      outcome = MR_CALL_NOT_CONNECTED;
      ran = false;
      break;
    case DROP_BEFORE:
      outcome = MR_CALL_BROKEN;
      ran = false;
      break;
    case DROP_AFTER:
      outcome = MR_CALL_BROKEN;
      break;
    case SILENT:
      outcome = MR_CALL_SILENT;
      break;
    default:
      break;
    }
  if (ran)
    w->runs[start->batch->ticket]++;
  if (outcome != MR_CALL_SILENT)
    d->pending.push_back ({ start->id, outcome });
}

void
cancel_call (MrDispatchHost *host, guint64 id)
{
  reinterpret_cast<Daemon *> (host)->pending.push_back ({ id, MR_CALL_SILENT });
}

void
probe (MrDispatchHost *, const MrTargetState *)
{
}

void
renew (MrDispatchHost *, const MrTargetState *)
{
}

void
done (MrDispatchHost *host, MrPartial *partial)
{
  reinterpret_cast<Daemon *> (host)->partials.push_back (partial);
}

World::World ()
{
  static const char json[]
      = R"({"snapshot":"s1","targets":[{"id":"t0","ip":"10.0.0.1","port":1,"domain":"a"},
           {"id":"t1","ip":"10.0.0.1","port":2,"domain":"b"}],
           "shards":[{"name":"h0","weight":1,"replicas":["t0","t1"]}]})";
  map = mr_shard_map_parse (mr_text ("shop"), 1, mr_text (json));
for (int i = 0; i < DAEMONS; i++)
  {
    daemons[i].world = this;
    daemons[i].index = i;
    daemons[i].name = "d" + std::to_string (i);
    birth (daemons[i]);
  }
}

World::~World ()
{
  for (auto &d : daemons)
    death (d);
  mr_shard_map_unref (map);
}

void
World::birth (Daemon &d)
{
  guint8 random[32] = { 0 };
  births++;
  for (int i = 0; i < 32; i++)
    random[i] = (guint8) (births * 37 + i);
  MrOrderRecordLimits limits = { LIFE, RECORD_LIFE, 50 };
  d.host = { start_call, cancel_call, probe, renew, done };
  d.orders = mr_order_records_new (mr_ticket_issuer_new (d.name.c_str (), now, random), &limits);
  MrDispatchInfo info = {};
  info.seed = births;
  d.dispatch = mr_dispatch_new (&d.host, &info);
  d.frozen = false;
}

void
World::death (Daemon &d)
{
  for (auto *partial : d.partials)
    mr_partial_free (partial);
  d.partials.clear ();
  d.pending.clear ();
  d.inbox.clear ();
  d.dispatched.clear ();
  mr_dispatch_free (d.dispatch);
  mr_order_records_free (d.orders);
}

// The checker: what a caller is told against what ran.
void
World::answer (const std::string &ticket, MrResult result)
{
  int count = runs[ticket];
  if (mr_result_ran (result) == MR_RAN_NO && count > 0)
    broken = "told not run, but it ran";
  if (result == MR_RESULT_DONE && count != 1)
    broken = "told done, but it did not run just once";
}

// What the process that got the request does; false: the ticket is not its own.
bool
World::decide (Daemon &d, const std::string &ticket)
{
  MrOrderDecision v = mr_order_records_begin (d.orders, now, mr_text (ticket.c_str ()),
                                              mr_text ("shop"), mr_text ("order"));
  if (v.action == MR_ORDER_ACTION_FORWARD)
    return false;
  if (v.action == MR_ORDER_ACTION_ANSWER)
    {
      answer (ticket, v.result);
      return true;
    }
  MrBatch *batch = mr_batch_new (++batches, map, 1);
  batch->is_order = TRUE;
  batch->top_k = 1;
  batch->deadline = now + DEADLINE;
  batch->shards[0] = (guint) (v.ticket.sequence % TARGETS);
  g_strlcpy (batch->ticket, ticket.c_str (), sizeof batch->ticket);
  d.dispatched[batch->id] = { v.ticket.sequence, ticket };
  mr_dispatch_submit (d.dispatch, now, batch);
  return true;
}

void
World::present (Daemon &d, const std::string &ticket)
{
  if (d.frozen)
    return; // nothing answers the caller
  if (decide (d, ticket))
    return;
  for (auto &home : daemons)
    if (ticket.rfind (home.name + ".", 0) == 0)
      home.inbox.push_back ({ ticket, d.index });
}

MrResult
result_of (const MrPartial *partial)
{
  if (partial->kind != MR_PARTIAL_ANSWER)
    return MR_RESULT_DEADLINE;
  if (partial->order_outcome == MR_ORDER_DONE)
    return MR_RESULT_DONE;
  return partial->order_outcome == MR_ORDER_UNKNOWN ? MR_RESULT_UNKNOWN : MR_RESULT_NO_TARGET;
}

// Everything that has reached a running daemon is worked on.
void
World::settle (Daemon &d)
{
  if (d.frozen)
    return;
  for (bool more = true; more;)
    {
      more = false;
      mr_dispatch_tick (d.dispatch, now);
      auto pending = std::move (d.pending);
      d.pending.clear ();
      for (auto &p : pending)
        {
          MrCallResult end = {};
          end.id = p.id;
          end.outcome = p.outcome;
          end.echoed_id = p.id;
          end.order_reply = mr_text ("{}");
          mr_dispatch_call_end (d.dispatch, now, &end);
          more = true;
        }
      auto partials = std::move (d.partials);
      d.partials.clear ();
      for (auto *partial : partials)
        {
          auto found = d.dispatched.find (partial->batch_id);
          if (partial->kind != MR_PARTIAL_IN_PROGRESS && found != d.dispatched.end ())
            {
              mr_order_records_end (d.orders, found->second.first, result_of (partial),
                                    mr_text ("{}"));
              answer (found->second.second, result_of (partial));
              d.dispatched.erase (found);
            }
          mr_partial_free (partial);
          more = true;
        }
      auto inbox = std::move (d.inbox);
      d.inbox.clear ();
      for (auto &m : inbox)
        {
          decide (d, m.ticket); // another incarnation's ticket is told as unknown
          more = true;
        }
    }
}

void
World::step (MrTime by)
{
  now += by;
  for (auto &d : daemons)
    settle (d);
}

void
World::apply (const Command &c)
{
  Daemon &d = daemons[c.a % DAEMONS];
  char text[MR_TICKET_MAX_LENGTH + 1];
  switch (c.kind)
    {
    case 0:
      if (!d.frozen)
        {
          mr_ticket_issue (mr_order_records_issuer (d.orders), now, text);
          tickets.push_back (text);
        }
      break;
    case 1:
    case 2:
    case 3:
      if (!tickets.empty ())
        present (d, tickets[(size_t) c.b % tickets.size ()]);
      break;
    case 4:
      death (d);
      birth (d);
      break;
    case 5:
      d.frozen = !d.frozen;
      break;
    case 6:
      behaviour[c.a % TARGETS] = c.b % BEHAVIOURS;
      break;
    case 7:
      step (c.b % 8 == 0 ? RECORD_LIFE + LIFE / 2 : c.b % 8 == 1 ? LIFE : 300 * MR_MS);
      break;
    default:
      step (1);
      break;
    }
  for (auto &[ticket, count] : runs)
    if (count > 1)
      broken = "an order ran twice";
}

std::string
run (const std::vector<Command> &commands)
{
  World w;
  for (auto &c : commands)
    {
      w.apply (c);
      if (!w.broken.empty ())
        break;
    }
  return w.broken;
}

std::string
run_seed (guint32 seed)
{
  return run (generate_commands (seed, 60, 9));
}

} // namespace

int
main ()
{
  mr_log_set_level (MR_LOG_ERROR);
  bool ok = rc::check ("orders run at most once and 'not run' is true", [] {
    auto base = *rc::gen::inRange<guint32> (0, 1U << 30);
    for (guint32 i = 0; i < 10; i++)
      {
        std::string broken = run_seed (base + i);
        RC_ASSERT (broken == "");
      }
  });
  ok = fails_without ("record of a dispatched ticket", MR_GUARD_ORDER_RECORD, 5000, run_seed) && ok;
  ok = fails_without ("only the issuer dispatches", MR_GUARD_TICKET_OWNER, 5000, run_seed) && ok;
  ok =
      fails_without ("tickets expire before records", MR_GUARD_TICKET_EXPIRY, 5000, run_seed) && ok;
  ok = fails_without ("a broken call is unknown", MR_GUARD_NOT_RUN, 5000, run_seed) && ok;
  return ok ? 0 : 1;
}
