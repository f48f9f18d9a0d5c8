#include "membership_private.h"

#include "log.h"
#include "safeguard.h"

/* Interval between pings to the same successor. */
static const MrTime PING_INTERVAL = 1 * MR_SECOND;
static const MrTime ACK_TIMEOUT = 500 * MR_MS;
/* Consecutive pings without an ack that make a member suspect. */
static const guint SUSPECT_AFTER_MISSES = 2;
/* Time for a suspect to refute the suspicion: several rounds of heartbeats. */
static const MrTime SUSPICION_TIMEOUT = 4 * MR_SECOND;
/* Dead members are kept in the updates for this long, then removed. */
static const MrTime DEAD_RETENTION = 60 * MR_SECOND;
/* Interval between queries for members that are not in the view, to heal partitions. */
static const MrTime JOIN_INTERVAL = 10 * MR_SECOND;
static const MrTime JOIN_INTERVAL_ALONE = 500 * MR_MS;
/* Shorter interval for a process that has just started and knows no other member: where all
 * start within 0.3 s, its seeds may start later than itself. */
static const MrTime JOIN_INTERVAL_STARTING = 60 * MR_MS;
static const MrTime STARTING_PERIOD = 1 * MR_SECOND;
/* A longer gap between ticks means that this process was suspended. */
static const MrTime TICK_GAP_MAX = 1500 * MR_MS;
/* If two views differ for this long, updates were lost.  The full list is sent then, and not
 * again before FULL_LIST_INTERVAL, since it is large. */
static const MrTime VIEW_DIFFERENCE_MAX = 8 * MR_SECOND;
static const MrTime FULL_LIST_INTERVAL = 30 * MR_SECOND;
/* Minimum time between two such lists, to any members. */
static const MrTime FULL_LIST_INTERVAL_ANY = 2 * MR_SECOND;
/* Time after which a starting member requests the full list from another member. */
static const MrTime LIST_REQUEST_INTERVAL = 150 * MR_MS;
/* Where all members start together, a seed answers the first queries before it knows the
 * others, and updates about hundreds of members take a second to spread.  Each member therefore
 * queries a seed again after this time and after three times this.  Without it, small VMs that
 * had not yet learned of the large ones named each other to callers, and a wide search on them
 * took 0.25 s. */
static const MrTime SEED_QUERY_INTERVAL = 100 * MR_MS;
static const guint SEED_QUERIES_MAX = 2;

MrMembership *
mr_membership_new (MrMembershipHost *host, const MrMember *self, guint32 seed)
{
  MrMembership *m = g_new0 (MrMembership, 1);
  m->host = host;
  m->self.member = *self;
  m->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  m->seeds = g_array_new (FALSE, FALSE, sizeof (MrMember));
  m->random = g_rand_new_with_seed (seed);
  /* Random start values, so that an ack for the previous process matches no id or number of
   * this one. */
  m->last_update_seq = g_rand_int (m->random);
  m->last_ping_id = g_rand_int (m->random);
  m->links_stale = TRUE;
  return m;
}

void
mr_membership_free (MrMembership *m)
{
  if (!m)
    return;
  g_hash_table_unref (m->peers);
  g_array_unref (m->seeds);
  g_rand_free (m->random);
  g_free (m);
}

void
mr_membership_set_seeds (MrMembership *m, const MrMember *seeds, guint count)
{
  g_array_set_size (m->seeds, 0);
  if (count > 0)
    g_array_append_vals (m->seeds, seeds, count);
}

void
mr_membership_set_registry_digest (MrMembership *m, guint64 digest)
{
  m->registry_digest = digest;
}

/* Records a change of @peer.  @source is the member that reported it; NULL if it was detected
 * locally. */
static void
S_record_change (MrMembership *m, MrTime now, Peer *peer, const char *source, gboolean urgent)
{
  peer->changed_at = now;
  peer->update_seq = ++m->last_update_seq;
  peer->source_hash = source ? g_str_hash (source) : 0;
  if (urgent)
    m->last_urgent_seq = peer->update_seq;
  m->links_stale = TRUE;
  m->members_digest = 0;
  m->host->member_changed (m->host, &peer->member);
}

static MrHeartbeat
S_make_heartbeat (MrMembership *m, MrHeartbeatKind kind, guint64 ping_id, MrMember *updates)
{
  return (MrHeartbeat){
    .kind = kind,
    .ping_id = ping_id,
    .registry_digest = m->registry_digest,
    .members_digest = mr_membership_members_digest (m),
    .from = m->self.member,
    .updates = updates,
  };
}

static void
S_send_full_list (MrMembership *m, MrTime now, Peer *peer, guint64 ping_id)
{
  MrHeartbeat heartbeat = S_make_heartbeat (m, MR_HEARTBEAT_ACK, ping_id, NULL);
  mr_updates_fill_all (m, &heartbeat);
  heartbeat.updates_acked = peer->received_seq;
  peer->sent_seq = heartbeat.updates_upto;
  peer->sent_at = now;
  peer->full_list_sent_at = now;
  m->full_list_sent_at = now;
  m->host->send (m->host, &peer->member, &heartbeat);
  g_free (heartbeat.updates);
}

/* Returns TRUE if @update supersedes @known of the same member. */
static gboolean
S_supersedes (const MrMember *update, const MrMember *known)
{
  if (update->incarnation != known->incarnation)
    return update->incarnation > known->incarnation;
  if (update->state_version != known->state_version)
    return update->state_version > known->state_version;
  return update->state > known->state;
}

/* Handles an update about the local member.  A pause or a partition makes others suspect it,
 * and without a refutation it would be removed while it works.  The local record with a higher
 * state version overrides theirs. */
static void
S_apply_self_update (MrMembership *m, MrTime now, const MrMember *update)
{
  MrMember *self = &m->self.member;
  if (update->incarnation > self->incarnation)
    {
      /* An earlier process whose clock was ahead of ours: move past its incarnation. */
      self->incarnation = update->incarnation + 1;
      self->state_version = 0;
      S_record_change (m, now, &m->self, NULL, TRUE);
      return;
    }
  if (update->incarnation < self->incarnation || update->state == MR_MEMBER_ALIVE ||
      update->state_version < self->state_version || update->state == self->state)
    return;
  if (!MR_SAFEGUARD (MR_GUARD_REFUTE))
    return;
  self->state_version = update->state_version + 1;
  mr_log (MR_LOG_NOTICE, MR_EVENT_SUSPICION_REFUTED,
          "other members report this daemon as %s; refuting it",
          mr_member_state_name (update->state));
  S_record_change (m, now, &m->self, NULL, TRUE);
}

static void
S_log_state (const MrMember *member)
{
  static const MrEvent events[] = {
    [MR_MEMBER_ALIVE] = MR_EVENT_MEMBER_ALIVE,  [MR_MEMBER_SUSPECT] = MR_EVENT_MEMBER_SUSPECT,
    [MR_MEMBER_LEAVING] = MR_EVENT_MEMBER_LEFT, [MR_MEMBER_LEFT] = MR_EVENT_MEMBER_LEFT,
    [MR_MEMBER_DEAD] = MR_EVENT_MEMBER_DEAD,
  };
  mr_log (MR_LOG_INFO, events[member->state], "member %s (%s:%d) is %s", member->name, member->ip,
          member->peer_port, mr_member_state_name (member->state));
}

/* Returns TRUE if the other members should act on the difference immediately.  A change of load
 * only affects later placement of work. */
static gboolean
S_is_urgent (const MrMember *update, const MrMember *known)
{
  return update->incarnation != known->incarnation || update->state != known->state ||
         update->busy != known->busy || update->platform_unreachable != known->platform_unreachable;
}

static void
S_apply_update (MrMembership *m, MrTime now, const MrMember *update, const char *source)
{
  if (g_str_equal (update->name, m->self.member.name))
    {
      S_apply_self_update (m, now, update);
      return;
    }
  Peer *peer = g_hash_table_lookup (m->peers, update->name);
  gboolean urgent = TRUE;
  if (!peer)
    {
      if (update->state >= MR_MEMBER_LEFT)
        return; /* never known, nothing to remove */
      peer = g_new0 (Peer, 1);
      peer->member = *update;
      peer->ping_at = now;
      g_hash_table_insert (m->peers, peer->member.name, peer);
    }
  else if (S_supersedes (update, &peer->member))
    {
      urgent = S_is_urgent (update, &peer->member);
      if (update->incarnation != peer->member.incarnation)
        {
          peer->missed_acks = 0;
          mr_updates_reset_link (peer);
        }
      if (update->state != peer->member.state || update->incarnation != peer->member.incarnation)
        S_log_state (update);
      peer->member = *update;
    }
  else
    return;
  S_record_change (m, now, peer, source, urgent);
}

/* Returns TRUE if @peer should be sent the full list: a partition at the wrong moment can make
 * a member miss an update permanently. */
static gboolean
S_needs_full_list (MrMembership *m, MrTime now, Peer *peer, guint64 digest)
{
  if (digest == mr_membership_members_digest (m))
    {
      peer->view_differs_since = 0;
      return FALSE;
    }
  if (peer->view_differs_since == 0)
    peer->view_differs_since = now;
  return now - peer->view_differs_since >= VIEW_DIFFERENCE_MAX &&
         (peer->full_list_sent_at == 0 || now - peer->full_list_sent_at >= FULL_LIST_INTERVAL) &&
         (m->full_list_sent_at == 0 || now - m->full_list_sent_at >= FULL_LIST_INTERVAL_ANY);
}

static void
S_on_ping (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *ping)
{
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  MrHeartbeat ack = S_make_heartbeat (m, MR_HEARTBEAT_ACK, ping->ping_id, updates);
  if (ping->members_request == MR_MEMBERS_REQUEST_ALL ||
      S_needs_full_list (m, now, peer, ping->members_digest))
    {
      S_send_full_list (m, now, peer, ping->ping_id);
      return;
    }
  ack.updates_acked = peer->received_seq;
  /* A sender whose record here differs must receive it, or it cannot refute it. */
  if (peer->member.state != ping->from.state || peer->member.incarnation != ping->from.incarnation)
    updates[ack.update_count++] = peer->member;
  if (ping->members_request == MR_MEMBERS_REQUEST_SAMPLE)
    mr_updates_fill_sample (m, &ping->from, &ack);
  else if (!ping->no_updates)
    {
      peer->pinged_us_at = now;
      mr_updates_fill (m, now, peer, &ack);
    }
  m->host->send (m->host, &ping->from, &ack);
}

static void
S_on_ack (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *ack)
{
  if (ack->is_full_list)
    m->list_received = TRUE;
  if (peer->pending_ping != ack->ping_id)
    return;
  peer->pending_ping = 0;
  peer->missed_acks = 0;
  peer->ping_at = now + PING_INTERVAL;
}

void
mr_membership_receive (MrMembership *m, MrTime now, const MrHeartbeat *heartbeat)
{
  const char *from = heartbeat->from.name;
  if (g_str_equal (from, m->self.member.name))
    return; /* a seed is the own address, or another daemon uses the same name */
  S_apply_update (m, now, &heartbeat->from, from);
  for (guint i = 0; i < heartbeat->update_count; i++)
    S_apply_update (m, now, &heartbeat->updates[i], from);
  m->joined = TRUE;
  Peer *peer = g_hash_table_lookup (m->peers, from);
  if (!peer)
    return; /* it has announced that it left */
  if (peer->member.incarnation == heartbeat->from.incarnation)
    mr_updates_on_heartbeat (m, now, peer, heartbeat);
  if (heartbeat->kind == MR_HEARTBEAT_PING)
    S_on_ping (m, now, peer, heartbeat);
  else
    S_on_ack (m, now, peer, heartbeat);
}

/* Timers. */

static void
S_raise_suspicion (MrMembership *m, MrTime now, Peer *peer)
{
  if (peer->member.state == MR_MEMBER_ALIVE)
    peer->member.state = MR_MEMBER_SUSPECT;
  else if (peer->member.state == MR_MEMBER_LEAVING)
    peer->member.state = MR_MEMBER_DEAD;
  else
    return;
  S_log_state (&peer->member);
  S_record_change (m, now, peer, NULL, TRUE);
}

static void
S_ping (MrMembership *m, MrTime now, guint index)
{
  Peer *peer = m->links[index];
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  peer->pending_ping = ++m->last_ping_id;
  peer->ping_at = now + ACK_TIMEOUT;
  MrHeartbeat ping = S_make_heartbeat (m, MR_HEARTBEAT_PING, peer->pending_ping, updates);
  ping.no_updates = m->no_updates[index];
  ping.updates_acked = peer->received_seq;
  if (!ping.no_updates)
    mr_updates_fill (m, now, peer, &ping);
  m->host->send (m->host, &peer->member, &ping);
}

static void
S_tick_links (MrMembership *m, MrTime now, MrTime *next)
{
  mr_membership_refresh_links (m);
  for (guint i = 0; i < m->link_count; i++)
    {
      Peer *peer = m->links[i];
      gboolean urgent = peer->pending_ping == 0 && !m->no_updates[i] &&
                        mr_updates_urgent_due (m, now, peer, next);
      if (peer->ping_at <= now || urgent)
        {
          if (peer->pending_ping != 0 && ++peer->missed_acks >= SUSPECT_AFTER_MISSES)
            S_raise_suspicion (m, now, peer);
          S_ping (m, now, i);
        }
      *next = MIN (*next, peer->ping_at);
    }
}

static void
S_tick_peers (MrMembership *m, MrTime now, MrTime *next)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Peer *peer = item;
      if (peer->member.state == MR_MEMBER_SUSPECT)
        {
          if (now >= peer->changed_at + SUSPICION_TIMEOUT)
            {
              peer->member.state = MR_MEMBER_DEAD;
              S_log_state (&peer->member);
              S_record_change (m, now, peer, NULL, TRUE);
            }
          else
            *next = MIN (*next, peer->changed_at + SUSPICION_TIMEOUT);
        }
      if (!mr_peer_is_present (peer) && now >= peer->changed_at + DEAD_RETENTION)
        {
          m->links_stale = TRUE;
          m->members_digest = 0;
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Sends a ping that requests members.  @to is a member, or only the address of one. */
static void
S_request_members (MrMembership *m, const MrMember *to, MrMembersRequest request)
{
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  MrHeartbeat ping = S_make_heartbeat (m, MR_HEARTBEAT_PING, ++m->last_ping_id, updates);
  ping.members_request = request;
  /* A member that is recorded as dead here refutes that if it is alive. */
  if (to->name[0] != '\0' && to->state >= MR_MEMBER_LEFT)
    updates[ping.update_count++] = *to;
  m->host->send (m->host, to, &ping);
}

static MrTime
S_join_interval (MrMembership *m, MrTime now)
{
  if (m->joined)
    return JOIN_INTERVAL;
  if (m->first_tick_at == 0)
    m->first_tick_at = now;
  return now - m->first_tick_at < STARTING_PERIOD ? JOIN_INTERVAL_STARTING : JOIN_INTERVAL_ALONE;
}

/* Queries one address that should be a member but is not in the view: a seed or a dead member.
 * This lets the two sides of a partition find each other again.  A process that has just
 * started queries all seeds, since some may start later than itself; otherwise the others
 * would take half a second to learn of it. */
static void
S_tick_join (MrMembership *m, MrTime now, MrTime *next)
{
  if (now >= m->join_at)
    {
      g_autoptr (GPtrArray) absent = g_ptr_array_new ();
      GHashTableIter iter;
      gpointer item = NULL;
      g_autoptr (GHashTable) present =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_iter_init (&iter, m->peers);
      while (g_hash_table_iter_next (&iter, NULL, &item))
        {
          const MrMember *member = &((Peer *) item)->member;
          if (mr_peer_is_present (item))
            g_hash_table_add (present, g_strdup_printf ("%s:%d", member->ip, member->peer_port));
          else if (member->state == MR_MEMBER_DEAD)
            g_ptr_array_add (absent, (gpointer) member);
        }
      for (guint i = 0; i < m->seeds->len; i++)
        {
          const MrMember *seed = &g_array_index (m->seeds, MrMember, i);
          g_autofree char *key = g_strdup_printf ("%s:%d", seed->ip, seed->peer_port);
          gboolean own = seed->peer_port == m->self.member.peer_port &&
                         g_str_equal (seed->ip, m->self.member.ip);
          if (!own && !g_hash_table_contains (present, key))
            g_ptr_array_add (absent, (gpointer) seed);
        }
      if (m->join_at == 0)
        for (guint i = 0; i < absent->len; i++)
          S_request_members (m, g_ptr_array_index (absent, i), MR_MEMBERS_REQUEST_SAMPLE);
      else if (absent->len > 0)
        S_request_members (m,
                           g_ptr_array_index (absent, (guint) g_rand_int_range (
                                                          m->random, 0, (gint32) absent->len)),
                           MR_MEMBERS_REQUEST_SAMPLE);
      MrTime interval = S_join_interval (m, now);
      m->join_at = now + interval / 2 + (MrTime) (g_rand_double (m->random) * (double) interval);
    }
  *next = MIN (*next, m->join_at);
}

/* Returns a random present member, from the local failure domain if one is known there. */
static const Peer *
S_choose_list_source (const MrMembership *m)
{
  const Peer *chosen = NULL;
  gint32 seen = 0;
  gboolean own_domain_only = FALSE;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      gboolean in_own_domain = mr_peer_is_in_own_domain (m, peer);
      if (!mr_peer_is_present (peer) || (own_domain_only && !in_own_domain))
        continue;
      if (in_own_domain && !own_domain_only)
        {
          own_domain_only = TRUE;
          seen = 0;
        }
      if (g_rand_int_range (m->random, 0, ++seen) == 0)
        chosen = peer;
    }
  return chosen;
}

/* After the start, requests the full member list from one member, and from another if that one
 * does not answer. */
static void
S_tick_list_request (MrMembership *m, MrTime now, MrTime *next)
{
  if (m->list_received || !m->joined)
    return;
  if (now >= m->request_list_at)
    {
      const Peer *source = S_choose_list_source (m);
      if (source)
        S_request_members (m, &source->member, MR_MEMBERS_REQUEST_ALL);
      m->request_list_at = now + LIST_REQUEST_INTERVAL;
    }
  *next = MIN (*next, m->request_list_at);
}

static void
S_tick_seed_query (MrMembership *m, MrTime now, MrTime *next)
{
  if (!m->joined || m->seed_query_count >= SEED_QUERIES_MAX || m->seeds->len == 0)
    return;
  if (m->seed_query_at == 0)
    m->seed_query_at = now + SEED_QUERY_INTERVAL;
  if (now >= m->seed_query_at)
    {
      guint index = (guint) g_rand_int_range (m->random, 0, (gint32) m->seeds->len);
      S_request_members (m, &g_array_index (m->seeds, MrMember, index), MR_MEMBERS_REQUEST_SAMPLE);
      m->seed_query_at = now + 2 * SEED_QUERY_INTERVAL;
      m->seed_query_count++;
    }
  if (m->seed_query_count < SEED_QUERIES_MAX)
    *next = MIN (*next, m->seed_query_at);
}

/* After this process was suspended every outstanding ping looks overdue although the fault was
 * local.  Counting these as missed acks would remove healthy members. */
static void
S_reset_timeouts (MrMembership *m, MrTime now)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Peer *peer = item;
      peer->missed_acks = 0;
      peer->pending_ping = 0;
      peer->ping_at = now;
      if (peer->member.state == MR_MEMBER_SUSPECT)
        peer->changed_at = now;
    }
}

MrTime
mr_membership_tick (MrMembership *m, MrTime now)
{
  if (m->last_tick_at != 0 && now - m->last_tick_at > TICK_GAP_MAX)
    S_reset_timeouts (m, now);
  m->last_tick_at = now;
  MrTime next = now + PING_INTERVAL;
  S_tick_peers (m, now, &next);
  S_tick_links (m, now, &next);
  S_tick_join (m, now, &next);
  S_tick_list_request (m, now, &next);
  S_tick_seed_query (m, now, &next);
  return MAX (next, now + 1);
}

static void
S_record_self_change (MrMembership *m, MrTime now)
{
  m->self.member.state_version++;
  S_record_change (m, now, &m->self, NULL, FALSE);
}

static void
S_ping_all (MrMembership *m, MrTime now)
{
  mr_membership_refresh_links (m);
  for (guint i = 0; i < m->link_count; i++)
    S_ping (m, now, i);
}

void
mr_membership_set_state (MrMembership *m, MrTime now, MrMemberState state)
{
  if (m->self.member.state == state)
    return;
  m->self.member.state = state;
  S_record_self_change (m, now);
  S_ping_all (m, now);
}

void
mr_membership_set_platform_unreachable (MrMembership *m, MrTime now, gboolean unreachable)
{
  if (m->self.member.platform_unreachable == unreachable)
    return;
  m->self.member.platform_unreachable = unreachable;
  S_record_self_change (m, now);
  S_ping_all (m, now);
}

void
mr_membership_set_load (MrMembership *m, MrTime now, guint32 load)
{
  if (m->self.member.load == load)
    return;
  m->self.member.load = load;
  S_record_self_change (m, now);
}

void
mr_membership_set_busy (MrMembership *m, MrTime now, gboolean busy)
{
  if (m->self.member.busy == busy)
    return;
  m->self.member.busy = busy;
  S_record_self_change (m, now);
  /* Callers are routed here, and starting daemons fetch objects from here, only after the
   * others have learned of it. */
  if (!busy)
    S_ping_all (m, now);
}

MrMemberList *
mr_membership_list (const MrMembership *m)
{
  MrHeartbeat all = { 0 };
  mr_updates_fill_all (m, &all);
  all.updates[all.update_count++] = m->self.member;
  MrMemberList *list = mr_member_list_new (all.updates, all.update_count);
  g_free (all.updates);
  return list;
}

void
mr_membership_foreach (const MrMembership *m,
                       void (*visit) (const MrMember *member, void *user),
                       void *user)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    visit (&((const Peer *) item)->member, user);
}

const MrMember *
mr_membership_find (const MrMembership *m, const char *name)
{
  const Peer *peer = g_hash_table_lookup (m->peers, name);
  return peer ? &peer->member : NULL;
}

const MrMember *
mr_membership_self (const MrMembership *m)
{
  return &m->self.member;
}

gboolean
mr_membership_joined (const MrMembership *m)
{
  return m->joined;
}
