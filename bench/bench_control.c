/* make bench, make slopes: what control costs as the fleet grows.
 *
 * Real membership, spread and wire code of every daemon on a virtual clock,
 * messages delivered at the next step of 5 ms: bytes a daemon sends a second, time
 * until a change of configuration is held everywhere, time until a death is
 * known everywhere, CPU a daemon spends.  No sockets; 54 bytes of TCP and IP are
 * added to each message. */

#include "log.h"
#include "membership.h"
#include "spread.h"
#include "watch.h"
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

enum
{
  WIRE_OVERHEAD = 54 + 2, /* TCP, IP and ZeroMQ framing of one message */
  DOCUMENTS = 50,
  SETTLE_SECONDS = 60,
  MEASURE_SECONDS = 60,
};

static const MrTime STEP = 5 * MR_MS;

typedef struct _Fleet Fleet;

typedef struct
{
  MrMembershipHost membership_host;
  MrSpreadHost spread_host;
  Fleet *fleet;
  guint index;
  MrMember self;
  MrMembership *membership;
  MrRegistry *registry;
  MrSpread *spread;
  MrTime due;
  gboolean dead;
  GPtrArray *inbox; /* GString, due at the next step */
  guint64 bytes;
  guint64 messages;
} Node;

struct _Fleet
{
  guint count;
  Node *nodes;
  MrTime now;
  guint holders; /* daemons that hold the newest version */
  guint64 newest;
};

#define NODE_OF_SPREAD(host) ((Node *) (void *) ((char *) (host) -offsetof (Node, spread_host)))

static void
S_post (Node *from, guint to, GString *bytes)
{
  from->bytes += bytes->len + WIRE_OVERHEAD;
  from->messages++;
  if (to < from->fleet->count && !from->fleet->nodes[to].dead)
    g_ptr_array_add (from->fleet->nodes[to].inbox, bytes);
  else
    g_string_free (bytes, TRUE);
}

static void
S_on_heartbeat (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat)
{
  Node *node = (Node *) host;
  S_post (node, (guint) to->peer_port - 1, mr_wire_heartbeat (node->self.name, heartbeat));
}

static void
S_on_changed (MrMembershipHost *host)
{
  (void) host;
}

static void
S_on_send (MrSpreadHost *host, const char *name, GString *bytes)
{
  S_post (NODE_OF_SPREAD (host), (guint) strtoul (name + 1, NULL, 10), bytes);
}

static guint
S_on_successors (MrSpreadHost *host, const char **names)
{
  const MrMember *successors[MR_RINGS];
  guint count = mr_membership_successors (NODE_OF_SPREAD (host)->membership, successors);
  for (guint i = 0; i < count; i++)
    names[i] = successors[i]->name;
  return count;
}

static void
S_on_taken (MrSpreadHost *host, const MrObject *object)
{
  Node *node = NODE_OF_SPREAD (host);
  node->fleet->holders += object->version == node->fleet->newest;
  mr_membership_set_digest (node->membership, mr_registry_digest (node->registry));
}

static void
S_make_node (Fleet *fleet, guint index)
{
  Node *node = &fleet->nodes[index];
  node->fleet = fleet;
  node->index = index;
  node->membership_host = (MrMembershipHost){ .send = S_on_heartbeat, .changed = S_on_changed };
  node->spread_host = (MrSpreadHost){
    .send = S_on_send,
    .successors = S_on_successors,
    .taken = S_on_taken,
  };
  node->self = (MrMember){ .incarnation = index + 1, .peer_port = (int) index + 1 };
  g_snprintf (node->self.name, sizeof node->self.name, "d%u", index);
  g_snprintf (node->self.ip, sizeof node->self.ip, "10.%u.%u.1", index / 250, index % 250);
  g_snprintf (node->self.domain, sizeof node->self.domain, "domain-%u", index % 6);
  g_snprintf (node->self.region, sizeof node->self.region, "region-%u", index % 2);
  node->membership = mr_membership_new (&node->membership_host, &node->self, index + 1);
  node->registry = mr_registry_new ();
  node->spread = mr_spread_new (&node->spread_host, node->registry, node->self.name);
  node->inbox = g_ptr_array_new ();
  for (guint d = 0; d < DOCUMENTS; d++)
    {
      g_autofree char *name = g_strdup_printf ("service-%u", d);
      mr_registry_offer (node->registry, MR_OBJECT_ACCEPTED, mr_text (name), 100 + d,
                         MR_TEXT ("{\"source\":1,\"document\":{}}"));
    }
  mr_membership_set_digest (node->membership, mr_registry_digest (node->registry));
}

/* The list of VMs names the first few, as it would name all. */
static void
S_seed (Fleet *fleet)
{
  MrMember seeds[5];
  for (guint i = 0; i < G_N_ELEMENTS (seeds); i++)
    seeds[i] = fleet->nodes[i].self;
  for (guint i = 0; i < fleet->count; i++)
    mr_membership_set_seeds (fleet->nodes[i].membership, seeds, G_N_ELEMENTS (seeds));
}

static void
S_receive (Node *node, const GString *bytes)
{
  MrWireMessage message;
  if (mr_wire_decode (mr_text_of (bytes), &message) != MR_OK)
    abort ();
  if (message.type == MR_WIRE_HEARTBEAT)
    {
      mr_membership_receive (node->membership, node->fleet->now, &message.heartbeat);
      mr_spread_digest (node->spread, node->fleet->now, message.sender, message.heartbeat.digest);
    }
  else
    mr_spread_receive (node->spread, node->fleet->now, &message);
  mr_wire_message_clear (&message);
}

static void
S_step (Fleet *fleet)
{
  fleet->now += STEP;
  g_autofree GPtrArray **inboxes = g_new (GPtrArray *, fleet->count);
  for (guint i = 0; i < fleet->count; i++)
    {
      inboxes[i] = fleet->nodes[i].inbox;
      fleet->nodes[i].inbox = g_ptr_array_new ();
    }
  for (guint i = 0; i < fleet->count; i++)
    {
      Node *node = &fleet->nodes[i];
      for (guint m = 0; m < inboxes[i]->len; m++)
        {
          GString *bytes = g_ptr_array_index (inboxes[i], m);
          if (!node->dead)
            S_receive (node, bytes);
          g_string_free (bytes, TRUE);
        }
      g_ptr_array_unref (inboxes[i]);
      if (!node->dead && fleet->now >= node->due)
        node->due = mr_membership_tick (node->membership, fleet->now);
    }
}

static void
S_run (Fleet *fleet, MrTime span)
{
  for (MrTime until = fleet->now + span; fleet->now < until;)
    S_step (fleet);
}

static double
S_cpu_seconds (void)
{
  struct timespec spec;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &spec);
  return (double) spec.tv_sec + (double) spec.tv_nsec / 1e9;
}

/* Members of @state that node 0 sees. */
static guint
S_count_state (const Fleet *fleet, guint node, MrMemberState state)
{
  MrMemberList *list = mr_membership_list (fleet->nodes[node].membership);
  guint count = 0;
  for (guint i = 0; i < list->count; i++)
    count += list->members[i].state == state;
  mr_member_list_unref (list);
  return count;
}

/* Seconds until all daemons hold a new version that one was given. */
static double
S_measure_change (Fleet *fleet, guint64 version)
{
  MrTime started = fleet->now;
  fleet->newest = version;
  fleet->holders = 0;
  mr_spread_offer (fleet->nodes[fleet->count / 2].spread, MR_OBJECT_ACCEPTED, MR_TEXT ("service-0"),
                   version, MR_TEXT ("{\"source\":2,\"document\":{}}"), NULL);
  while (fleet->holders < fleet->count && fleet->now < started + 60 * MR_SECOND)
    S_step (fleet);
  return (double) (fleet->now - started) / (double) MR_SECOND;
}

/* Seconds until every daemon calls a killed one dead. */
static double
S_measure_death (Fleet *fleet)
{
  MrTime started = fleet->now;
  fleet->nodes[1].dead = TRUE;
  for (guint i = 0; i < fleet->count && fleet->now < started + 60 * MR_SECOND;)
    {
      const MrMember *seen = mr_membership_find (fleet->nodes[i].membership, "d1");
      if (i == 1 || !seen || seen->state >= MR_MEMBER_LEFT)
        i++;
      else
        S_step (fleet);
    }
  return (double) (fleet->now - started) / (double) MR_SECOND;
}

static guint
S_watchers (const Fleet *fleet)
{
  MrMemberList *list = mr_membership_list (fleet->nodes[0].membership);
  guint watchers = 0;
  for (guint i = 0; i < list->count; i++)
    watchers += mr_watch_rank (list, list->members[i].name) < MR_WATCHERS;
  mr_member_list_unref (list);
  return watchers;
}

/* Calls of relays to the platform on a calm day of DAY_SECONDS: each watcher lists
 * twice and holds two watches of 28 s, the rest read now and then. */
static double
S_relay_calls (const Fleet *fleet, guint *watchers)
{
  enum
  {
    DAY_SECONDS = 45,
    WATCH_SECONDS = 28,
    KINDS = 2,
  };
  MrMemberList *list = mr_membership_list (fleet->nodes[0].membership);
  *watchers = 0;
  for (guint i = 0; i < list->count; i++)
    *watchers += mr_watch_relay (list, list->members[i].name) ? 1 : 0;
  mr_member_list_unref (list);
  double read_gap = (double) mr_watch_read_gap (fleet->count) / (double) MR_SECOND;
  double watch = KINDS * (1 + (double) DAY_SECONDS / WATCH_SECONDS);
  return *watchers * watch + (fleet->count - *watchers) * KINDS * DAY_SECONDS / read_gap;
}

static void
S_measure (guint count)
{
  Fleet fleet = { .count = count, .nodes = g_new0 (Node, count), .now = MR_SECOND };
  for (guint i = 0; i < count; i++)
    S_make_node (&fleet, i);
  S_seed (&fleet);
  S_run (&fleet, SETTLE_SECONDS * MR_SECOND);
  guint alive = S_count_state (&fleet, 0, MR_MEMBER_ALIVE);
  for (guint i = 0; i < count; i++)
    fleet.nodes[i].bytes = fleet.nodes[i].messages = 0;
  double cpu = S_cpu_seconds ();
  S_run (&fleet, MEASURE_SECONDS * MR_SECOND);
  cpu = S_cpu_seconds () - cpu;
  guint64 bytes = 0;
  guint64 most = 0;
  guint64 messages = 0;
  for (guint i = 0; i < count; i++)
    {
      bytes += fleet.nodes[i].bytes;
      messages += fleet.nodes[i].messages;
      most = MAX (most, fleet.nodes[i].bytes);
    }
  double span = MEASURE_SECONDS;
  double change = S_measure_change (&fleet, 1000);
  double death = S_measure_death (&fleet);
  guint watchers = S_watchers (&fleet);
  guint relay_watchers = 0;
  double relay_calls = S_relay_calls (&fleet, &relay_watchers);
  printf ("%7u %7u %9.0f %9.0f %9.1f %9.3f %10.2f %10.2f %9u %10.1f %8u %10.0f\n", count, alive,
          (double) bytes / count / span, (double) most / span, (double) messages / count / span,
          cpu / count / span * 100, change, death, watchers,
          /* A watcher: 3 watches of 10 s and the list of VMs each second; the rest
           * read 3 objects lists every 3 minutes. */
          watchers * (3 / 10.0 + 1) + (count - watchers) * 3 / 180.0, relay_watchers, relay_calls);
  for (guint i = 0; i < count; i++)
    {
      mr_membership_free (fleet.nodes[i].membership);
      mr_spread_free (fleet.nodes[i].spread);
      mr_registry_free (fleet.nodes[i].registry);
      for (guint m = 0; m < fleet.nodes[i].inbox->len; m++)
        g_string_free (g_ptr_array_index (fleet.nodes[i].inbox, m), TRUE);
      g_ptr_array_unref (fleet.nodes[i].inbox);
    }
  g_free (fleet.nodes);
}

int
main (void)
{
  static const guint sizes[] = { 7, 70, 810 };
  mr_log_set_level (MR_LOG_ERROR);
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("control, by size of the fleet (virtual clock, %d services in force)\n", DOCUMENTS);
  printf ("%7s %7s %9s %9s %9s %9s %10s %10s %9s %10s %8s %10s\n", "daemons", "seen", "B/s each",
          "B/s most", "msg/s", "core %", "change s", "death s", "watchers", "platform/s",
          "relay w.", "calls/day");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    S_measure (sizes[i]);
  return EXIT_SUCCESS;
}
