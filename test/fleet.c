#include "fleet.h"

#include "watch.h"

#include <stdlib.h>

enum
{
  TARGET_BYTES = 330, /* of a target's object */
};

static const MrTime STEP = 1 * MR_MS;
/* One way, including the wake-ups at both ends. */
static const MrTime DELAY_NEAR = 1 * MR_MS;
static const MrTime DELAY_FAR = 2 * MR_MS;
static const MrTime READ_TIME = 15 * MR_MS;

typedef struct
{
  MrTime at;
  guint from;
  guint to;
  GString *bytes;
} Packet;

#define NODE_OF_REPLICATION(host)                                                                  \
  ((FleetNode *) (void *) ((char *) (host) -offsetof (FleetNode, replication_host)))

guint
fleet_domain (const Fleet *fleet, guint index)
{
  const FleetLayout *layout = &fleet->layout;
  if (!layout->last_vm_alone)
    return index % layout->domains;
  return index + 1 == layout->count ? layout->domains - 1 : index % (layout->domains - 1);
}

static gboolean *
S_link_cut (const Fleet *fleet, guint from, guint to)
{
  return &fleet->domain_cut[from * fleet->layout.domains + to];
}

/* Messages with object bodies arrive one after the other. */
static void
S_delay_bodies (FleetNode *to, Packet *packet)
{
  packet->at = MAX (packet->at, to->bodies_arrive_at) + to->fleet->layout.body_transfer_time;
  to->bodies_arrive_at = packet->at;
}

/* Sends @bytes to node @to; takes ownership of them. */
static void
S_send_packet (FleetNode *node, guint to, GString *bytes)
{
  Fleet *fleet = node->fleet;
  gboolean same = fleet_domain (fleet, node->index) == fleet_domain (fleet, to);
  MrTrafficKind kind = mr_traffic_kind (mr_wire_type (bytes));
  bytes = mr_wire_deflate (node->self.name, bytes);
  fleet->bytes[kind][same] += bytes->len;
  fleet->messages[kind][same]++;
  Packet *packet = g_new (Packet, 1);
  *packet = (Packet){
    .at = fleet->now + (same ? DELAY_NEAR : DELAY_FAR),
    .from = node->index,
    .to = to,
    .bytes = bytes,
  };
  GQueue *queue = &fleet->in_transit[same ? 0 : 1];
  if (kind == MR_TRAFFIC_OBJECTS)
    S_delay_bodies (&fleet->nodes[to], packet);
  GList *place = queue->tail;
  while (place && ((Packet *) place->data)->at > packet->at)
    place = place->prev;
  g_queue_insert_after (queue, place, packet);
}

static void
S_on_send_heartbeat (MrMembershipHost *host, const MrMember *to, const MrHeartbeat *heartbeat)
{
  FleetNode *node = (FleetNode *) host;
  S_send_packet (node, (guint) to->peer_port - 1, mr_wire_heartbeat (node->self.name, heartbeat));
}

static void
S_on_member_changed (MrMembershipHost *host, const MrMember *member)
{
  FleetNode *node = (FleetNode *) host;
  mr_roster_put (node->roster, member);
  node->watcher = mr_watch_is_relay_watcher (node->roster, node->self.name);
  node->due = 0;
}

static void
S_on_replication_send (MrReplicationHost *host, const char *name, GString *bytes)
{
  S_send_packet (NODE_OF_REPLICATION (host), (guint) strtoul (name + 1, NULL, 10), bytes);
}

static guint
S_on_neighbours (MrReplicationHost *host, const char **names)
{
  FleetNode *node = NODE_OF_REPLICATION (host);
  const MrMember *neighbours[MR_NEIGHBOURS_MAX];
  guint count = mr_membership_neighbours (node->membership, node->fleet->now, neighbours);
  for (guint i = 0; i < count; i++)
    names[i] = neighbours[i]->name;
  return count;
}

static void
S_on_object_updated (MrReplicationHost *host, const MrObject *object)
{
  FleetNode *node = NODE_OF_REPLICATION (host);
  (void) object;
  mr_membership_set_registry_digest (node->membership, mr_registry_digest (node->registry));
}

static void
S_set_seeds (FleetNode *node)
{
  guint count = node->fleet->layout.seeds;
  g_autofree MrMember *seeds = g_new0 (MrMember, count);
  for (guint i = 0; i < count; i++)
    {
      seeds[i].peer_port = (int) i + 1;
      g_strlcpy (seeds[i].ip, node->fleet->nodes[i].self.ip, sizeof seeds[i].ip);
    }
  mr_membership_set_seeds (node->membership, seeds, count);
}

static void
S_start (FleetNode *node)
{
  Fleet *fleet = node->fleet;
  node->self.incarnation = ++fleet->last_incarnation;
  node->membership_host =
      (MrMembershipHost){ .send = S_on_send_heartbeat, .member_changed = S_on_member_changed };
  node->replication_host = (MrReplicationHost){
    .send = S_on_replication_send,
    .neighbours = S_on_neighbours,
    .updated = S_on_object_updated,
  };
  guint32 seed = (guint32) node->self.incarnation;
  node->membership = mr_membership_new (&node->membership_host, &node->self, seed);
  node->registry = mr_registry_new ();
  node->replication = mr_replication_new (&node->replication_host, node->registry, node->self.name);
  node->roster = mr_roster_new ();
  mr_roster_put (node->roster, &node->self);
  node->watcher = TRUE;
  S_set_seeds (node);
  g_autoptr (GRand) random = g_rand_new_with_seed (seed);
  MrBootstrapOptions options = { .random = g_rand_double (random),
                                 .capacity = node->self.capacity };
  mr_bootstrap_init (&node->bootstrap, fleet->now, &options);
  node->start_at = MR_NEVER;
  node->due = 0;
  node->store_read_ends_at = 0;
  node->ready_at = 0;
  node->store_version_seen = 0;
}

void
fleet_kill (Fleet *fleet, guint index)
{
  FleetNode *node = &fleet->nodes[index];
  if (!node->membership)
    return;
  g_clear_pointer (&node->roster, mr_roster_free);
  g_clear_pointer (&node->replication, mr_replication_free);
  g_clear_pointer (&node->registry, mr_registry_free);
  g_clear_pointer (&node->membership, mr_membership_free);
}

void
fleet_start_at (Fleet *fleet, guint index, MrTime at)
{
  fleet->nodes[index].start_at = at;
}

void
fleet_start_all (Fleet *fleet, MrTime spread, gboolean seeds_last)
{
  guint count = fleet->layout.count;
  for (guint i = 0; i < count; i++)
    {
      guint position = seeds_last ? count - 1 - i : (guint) ((guint64) i * 37 % count);
      fleet_start_at (fleet, i, fleet->now + spread * position / MAX (count - 1, 1));
    }
}

/* Returns the CPU in thousandths of a core.  The large VMs are spread over the names, and so
 * over the order of starts; the seeds are among them. */
static guint32
S_capacity (const FleetLayout *layout, guint index)
{
  guint large_count = layout->large_vms_per_domain * layout->domains;
  if (large_count == 0)
    return 250;
  guint step = MAX (layout->count / large_count, 1);
  return index < layout->seeds || index % step == step - 1 ? 500 : 120;
}

Fleet *
fleet_new (const FleetLayout *layout)
{
  Fleet *fleet = g_new0 (Fleet, 1);
  fleet->layout = *layout;
  fleet->now = 100 * MR_SECOND;
  fleet->nodes = g_new0 (FleetNode, layout->count);
  fleet->store = mr_registry_new ();
  fleet->store_version = MR_VERSION_STRIDE;
  fleet->domain_cut = g_new0 (gboolean, layout->domains * layout->domains);
  fleet->store_cut = g_new0 (gboolean, layout->domains);
  for (guint i = 0; i < layout->count; i++)
    {
      FleetNode *node = &fleet->nodes[i];
      guint domain = fleet_domain (fleet, i);
      node->fleet = fleet;
      node->index = i;
      node->start_at = MR_NEVER;
      node->self = (MrMember){ .peer_port = (int) i + 1, .busy = TRUE };
      node->self.capacity = S_capacity (layout, i);
      g_snprintf (node->self.name, sizeof node->self.name, "d%u", i);
      g_snprintf (node->self.ip, sizeof node->self.ip, "10.%u.%u.1", i / 250, i % 250);
      g_snprintf (node->self.domain, sizeof node->self.domain, "domain-%u", domain);
      g_snprintf (node->self.region, sizeof node->self.region, "region-%u",
                  domain % MAX (layout->regions, 1));
    }
  return fleet;
}

void
fleet_free (Fleet *fleet)
{
  for (int way = 0; way < 2; way++)
    for (Packet *packet = g_queue_pop_head (&fleet->in_transit[way]); packet;
         packet = g_queue_pop_head (&fleet->in_transit[way]))
      {
        g_string_free (packet->bytes, TRUE);
        g_free (packet);
      }
  for (guint i = 0; i < fleet->layout.count; i++)
    fleet_kill (fleet, i);
  mr_registry_free (fleet->store);
  g_free (fleet->domain_cut);
  g_free (fleet->store_cut);
  g_free (fleet->nodes);
  g_free (fleet);
}

void
fleet_cut_one_way (Fleet *fleet, guint from, guint to, gboolean cut)
{
  *S_link_cut (fleet, from, to) = cut;
}

void
fleet_cut (Fleet *fleet, guint a, guint b, gboolean cut)
{
  *S_link_cut (fleet, a, b) = cut;
  *S_link_cut (fleet, b, a) = cut;
}

void
fleet_cut_regions (Fleet *fleet, gboolean cut)
{
  const FleetLayout *layout = &fleet->layout;
  for (guint a = 0; a < layout->domains; a++)
    for (guint b = 0; b < a; b++)
      if (a % layout->regions != b % layout->regions)
        fleet_cut (fleet, a, b, cut);
}

void
fleet_cut_domain (Fleet *fleet, guint domain, gboolean store, gboolean cut)
{
  for (guint other = 0; other < fleet->layout.domains; other++)
    if (other != domain)
      fleet_cut (fleet, domain, other, cut);
  fleet->store_cut[domain] = store && cut;
}

void
fleet_write_target (Fleet *fleet, guint target)
{
  g_autofree char *name = g_strdup_printf ("i-%010x", target * 2654435761U);
  g_autoptr (GString) body = g_string_new (NULL);
  fleet->store_version += MR_VERSION_STRIDE;
  /* As in production, much of a body is the same for all targets, so it compresses well. */
  g_string_printf (body, "{\"id\":\"%s\",\"port\":%u,\"version\":%u,\"service\":\"shard-%u\"", name,
                   8000 + target % 1000, (guint) fleet->store_version, target / 3);
  while (body->len < TARGET_BYTES - 2)
    g_string_append (body, ",\"field\":\"value\"");
  g_string_append_c (body, '}');
  mr_registry_offer (fleet->store, MR_OBJECT_TARGET, mr_text (name), fleet->store_version,
                     mr_text_of (body));
}

static void
S_offer_object (const MrObject *object, void *user)
{
  FleetNode *node = user;
  if (object->version > node->store_version_seen)
    mr_replication_offer (node->replication, object->kind, mr_text (object->name), object->version,
                          mr_text_of (object->body), NULL);
}

static void
S_read_store (FleetNode *node)
{
  mr_registry_foreach (node->fleet->store, S_offer_object, node);
  node->store_version_seen = node->fleet->store_version;
}

static void
S_tick_bootstrap (FleetNode *node)
{
  Fleet *fleet = node->fleet;
  gboolean synced = mr_replication_is_synced (node->replication);
  gboolean reaches = !fleet->store_cut[fleet_domain (fleet, node->index)];
  if (node->store_read_ends_at == 0)
    {
      const MrBootstrapState state = {
        .self = node->self.name,
        .watcher = node->watcher,
        .fetching = mr_replication_is_fetching (node->replication, fleet->now),
        .synced = synced,
      };
      MrBootstrapStep step = mr_bootstrap_step (&node->bootstrap, fleet->now, node->roster, &state);
      if (step.ask_peer)
        mr_replication_request_list (node->replication, fleet->now, step.ask_peer->name);
      if (step.read_store && !synced && reaches)
        {
          node->store_read_ends_at = fleet->now + READ_TIME;
          fleet->store_reads++;
        }
      node->due = MIN (node->due, MAX (step.next, fleet->now + STEP));
    }
  gboolean read = node->store_read_ends_at != 0 && fleet->now >= node->store_read_ends_at;
  if (read)
    S_read_store (node);
  if (read || synced)
    {
      node->ready_at = fleet->now;
      mr_replication_set_complete (node->replication);
      mr_membership_set_busy (node->membership, fleet->now, FALSE);
    }
  else if (node->store_read_ends_at != 0)
    node->due = MIN (node->due, node->store_read_ends_at);
}

static void
S_tick (FleetNode *node)
{
  Fleet *fleet = node->fleet;
  MrTime now = fleet->now;
  MrTime next = MIN (now + MR_SECOND, mr_membership_tick (node->membership, now));
  node->due = MIN (next, mr_replication_tick (node->replication, now));
  if (node->ready_at == 0)
    S_tick_bootstrap (node);
}

/* Delivers the store's answer to a watch. */
static void
S_tick_watch (FleetNode *node)
{
  Fleet *fleet = node->fleet;
  if (node->ready_at == 0 || node->store_version_seen == fleet->store_version ||
      fleet->store_cut[fleet_domain (fleet, node->index)] || !node->watcher ||
      fleet->now < node->watch_at)
    return;
  node->watch_at = fleet->now + fleet->layout.watch_pause;
  S_read_store (node);
  node->due = 0;
}

static void
S_deliver (Fleet *fleet, const Packet *packet)
{
  FleetNode *node = &fleet->nodes[packet->to];
  MrWireMessage message;
  if (!node->membership || node->frozen ||
      *S_link_cut (fleet, fleet_domain (fleet, packet->from), fleet_domain (fleet, packet->to)))
    return;
  if (mr_wire_decode (mr_text_of (packet->bytes), &message) != MR_OK)
    abort ();
  if (message.type == MR_WIRE_HEARTBEAT || message.type == MR_WIRE_MEMBERS)
    {
      mr_membership_receive (node->membership, fleet->now, &message.heartbeat);
      mr_replication_receive_digest (node->replication, fleet->now, message.sender,
                                     message.heartbeat.registry_digest,
                                     message.heartbeat.from.busy);
    }
  else
    mr_replication_receive (node->replication, fleet->now, &message);
  mr_wire_message_clear (&message);
  node->due = 0;
}

static void
S_step (Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    if (!fleet->nodes[i].membership && fleet->now >= fleet->nodes[i].start_at)
      S_start (&fleet->nodes[i]);
  for (int way = 0; way < 2; way++)
    for (Packet *packet = g_queue_peek_head (&fleet->in_transit[way]);
         packet && packet->at <= fleet->now; packet = g_queue_peek_head (&fleet->in_transit[way]))
      {
        S_deliver (fleet, packet);
        g_queue_pop_head (&fleet->in_transit[way]);
        g_string_free (packet->bytes, TRUE);
        g_free (packet);
      }
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      FleetNode *node = &fleet->nodes[i];
      if (!node->membership || node->frozen)
        continue;
      S_tick_watch (node);
      if (fleet->now >= node->due)
        S_tick (node);
    }
  fleet->now += STEP;
}

void
fleet_run (Fleet *fleet, MrTime span)
{
  for (MrTime end = fleet->now + span; fleet->now < end;)
    S_step (fleet);
}

void
fleet_restart_all (Fleet *fleet, MrTime spread, gboolean seeds_last)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    fleet_kill (fleet, i);
  fleet_run (fleet, MR_SECOND);
  fleet_start_all (fleet, spread, seeds_last);
}

static gboolean
S_sees_running_nodes (const Fleet *fleet, const FleetNode *node)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    {
      const FleetNode *other = &fleet->nodes[i];
      const MrMember *seen = mr_membership_find (node->membership, other->self.name);
      gboolean matches = other->membership ? seen && seen->state == MR_MEMBER_ALIVE
                                           : !seen || seen->state >= MR_MEMBER_LEFT;
      if (other != node && !matches)
        return FALSE;
    }
  return TRUE;
}

gboolean
fleet_members_agree (const Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    if (fleet->nodes[i].start_at != MR_NEVER ||
        (fleet->nodes[i].membership && !S_sees_running_nodes (fleet, &fleet->nodes[i])))
      return FALSE;
  return TRUE;
}

gboolean
fleet_objects_agree (const Fleet *fleet)
{
  guint64 digest = mr_registry_digest (fleet->store);
  for (guint i = 0; i < fleet->layout.count; i++)
    if (fleet->nodes[i].membership && mr_registry_digest (fleet->nodes[i].registry) != digest)
      return FALSE;
  return TRUE;
}

gboolean
fleet_converged (const Fleet *fleet)
{
  return fleet_objects_agree (fleet) && fleet_members_agree (fleet);
}

gboolean
fleet_all_ready (const Fleet *fleet)
{
  for (guint i = 0; i < fleet->layout.count; i++)
    if (fleet->nodes[i].start_at != MR_NEVER ||
        (fleet->nodes[i].membership && fleet->nodes[i].ready_at == 0))
      return FALSE;
  return TRUE;
}

MrTime
fleet_run_until (Fleet *fleet, gboolean (*done) (const Fleet *fleet), MrTime limit)
{
  MrTime begin = fleet->now;
  while (!done (fleet))
    {
      if (fleet->now - begin >= limit)
        return MR_NEVER;
      fleet_run (fleet, 10 * MR_MS);
    }
  return fleet->now - begin;
}

void
fleet_clear_counts (Fleet *fleet)
{
  memset (fleet->bytes, 0, sizeof fleet->bytes);
  memset (fleet->messages, 0, sizeof fleet->messages);
}

guint64
fleet_bytes (const Fleet *fleet, gboolean same_domain)
{
  guint64 sum = 0;
  for (int kind = 0; kind < MR_TRAFFIC_KINDS; kind++)
    sum += fleet->bytes[kind][same_domain ? 1 : 0];
  return sum;
}
