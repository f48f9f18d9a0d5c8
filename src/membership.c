#include "membership_private.h"

#include "log.h"
#include "safeguard.h"

/* Each successor is pinged this often. */
static const MrTime PING_GAP = 1 * MR_SECOND;
static const MrTime ACK_WAIT = 500 * MR_MS;
/* Pings in a row without an ack that make a member suspect. */
static const guint MISSES = 2;
/* Time for a suspect to refute: several rounds of heartbeats. */
static const MrTime SUSPICION = 4 * MR_SECOND;
/* The dead are told of this long, then forgotten. */
static const MrTime BURIAL = 60 * MR_SECOND;
/* Seeds are asked this often for members we don't see (healed partitions). */
static const MrTime JOIN_GAP = 10 * MR_SECOND;
static const MrTime JOIN_GAP_ALONE = 500 * MR_MS;
/* A process that has just started and is alone yet asks this often: where all start
 * within 0.3 s, its seeds may be some of those that come later. */
static const MrTime JOIN_GAP_FIRST = 60 * MR_MS;
static const MrTime JUST_STARTED = 1 * MR_SECOND;
/* A gap between ticks over this means that this process was stopped. */
static const MrTime FROZEN = 1500 * MR_MS;
/* Two views that differ this long have missed news; then one tells all, and not
 * again before TELL_ALL_GAP, since a full list is large. */
static const MrTime DIFFER_MAX = 8 * MR_SECOND;
static const MrTime TELL_ALL_GAP = 30 * MR_SECOND;
/* Between two such lists, whoever they are for. */
static const MrTime LISTS_GAP = 2 * MR_SECOND;
/* One that starts asks another member for the list after this. */
static const MrTime LIST_GAP = 150 * MR_MS;
/* Where all start together a seed answers the first that ask before it has heard of
 * the others, and news of hundreds takes a second.  So each asks a seed again after
 * this and after thrice this: asked for addresses, small VMs that had not heard of the
 * large ones named each other, and a wide search took 0.25 s there. */
static const MrTime LOOK_GAP = 100 * MR_MS;
static const guint LOOKS = 2;
MrMembership *
mr_membership_new (MrMembershipHost *host, const MrMember *self, guint32 seed)
{
  MrMembership *m = g_new0 (MrMembership, 1);
  m->host = host;
  m->self.member = *self;
  m->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  m->seeds = g_array_new (FALSE, FALSE, sizeof (MrMember));
  m->random = g_rand_new_with_seed (seed);
  /* An answer that was meant for the process before fits no number of this one. */
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

/* @teller: who told of it; NULL: nobody, it was found out here. */
static void
S_changed (MrMembership *m, MrTime now, Peer *peer, const char *teller, gboolean urgent)
{
  peer->changed_at = now;
  peer->update_seq = ++m->last_update_seq;
  peer->source_hash = teller ? g_str_hash (teller) : 0;
  if (urgent)
    m->last_urgent_seq = peer->update_seq;
  m->links_stale = TRUE;
  m->members_digest = 0;
  m->host->member_changed (m->host, &peer->member);
}

static MrHeartbeat
S_heartbeat (MrMembership *m, MrHeartbeatKind kind, guint64 number, MrMember *updates)
{
  return (MrHeartbeat){
    .kind = kind,
    .ping_id = number,
    .registry_digest = m->registry_digest,
    .members_digest = mr_membership_members_digest (m),
    .from = m->self.member,
    .updates = updates,
  };
}

static void
S_send_all (MrMembership *m, MrTime now, Peer *peer, guint64 number)
{
  MrHeartbeat heartbeat = S_heartbeat (m, MR_HEARTBEAT_ACK, number, NULL);
  mr_updates_fill_all (m, &heartbeat);
  heartbeat.updates_acked = peer->received_seq;
  peer->sent_seq = heartbeat.updates_upto;
  peer->sent_at = now;
  peer->full_list_sent_at = now;
  m->full_list_sent_at = now;
  m->host->send (m->host, &peer->member, &heartbeat);
  g_free (heartbeat.updates);
}

/* TRUE if @news replaces what is known of the same member. */
static gboolean
S_newer (const MrMember *news, const MrMember *known)
{
  if (news->incarnation != known->incarnation)
    return news->incarnation > known->incarnation;
  if (news->state_version != known->state_version)
    return news->state_version > known->state_version;
  return news->state > known->state;
}

/* Others' word on this member.  A pause or a cut makes others suspect it, and
 * without an answer it would be removed while it works; the word of the member
 * itself, with a higher number, overrides theirs. */
static void
S_hear_of_self (MrMembership *m, MrTime now, const MrMember *news)
{
  MrMember *self = &m->self.member;
  if (news->incarnation > self->incarnation)
    {
      /* An earlier process with a clock ahead of ours: go past it. */
      self->incarnation = news->incarnation + 1;
      self->state_version = 0;
      S_changed (m, now, &m->self, NULL, TRUE);
      return;
    }
  if (news->incarnation < self->incarnation || news->state == MR_MEMBER_ALIVE ||
      news->state_version < self->state_version || news->state == self->state)
    return;
  if (!MR_SAFEGUARD (MR_GUARD_REFUTE))
    return;
  self->state_version = news->state_version + 1;
  mr_log (MR_LOG_NOTICE, MR_EVENT_REFUTED, "others call this daemon %s; refuted",
          mr_member_state_name (news->state));
  S_changed (m, now, &m->self, NULL, TRUE);
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

/* TRUE if others are to act on the difference at once; a load only shifts what is
 * handed to whom later. */
static gboolean
S_is_urgent (const MrMember *news, const MrMember *known)
{
  return news->incarnation != known->incarnation || news->state != known->state ||
         news->busy != known->busy || news->platform_unreachable != known->platform_unreachable;
}

static void
S_hear (MrMembership *m, MrTime now, const MrMember *news, const char *teller)
{
  if (g_str_equal (news->name, m->self.member.name))
    {
      S_hear_of_self (m, now, news);
      return;
    }
  Peer *peer = g_hash_table_lookup (m->peers, news->name);
  gboolean urgent = TRUE;
  if (!peer)
    {
      if (news->state >= MR_MEMBER_LEFT)
        return; /* nothing to bury */
      peer = g_new0 (Peer, 1);
      peer->member = *news;
      peer->ping_at = now;
      g_hash_table_insert (m->peers, peer->member.name, peer);
    }
  else if (S_newer (news, &peer->member))
    {
      urgent = S_is_urgent (news, &peer->member);
      if (news->incarnation != peer->member.incarnation)
        {
          peer->missed_acks = 0;
          mr_updates_reset_link (peer);
        }
      if (news->state != peer->member.state || news->incarnation != peer->member.incarnation)
        S_log_state (news);
      peer->member = *news;
    }
  else
    return;
  S_changed (m, now, peer, teller, urgent);
}

/* A cut at the wrong moment can keep news from a member for good.  TRUE if @peer is
 * to be told everything. */
static gboolean
S_missed_news (MrMembership *m, MrTime now, Peer *peer, guint64 digest)
{
  if (digest == mr_membership_members_digest (m))
    {
      peer->view_differs_since = 0;
      return FALSE;
    }
  if (peer->view_differs_since == 0)
    peer->view_differs_since = now;
  return now - peer->view_differs_since >= DIFFER_MAX &&
         (peer->full_list_sent_at == 0 || now - peer->full_list_sent_at >= TELL_ALL_GAP) &&
         (m->full_list_sent_at == 0 || now - m->full_list_sent_at >= LISTS_GAP);
}

static void
S_on_ping (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *ping)
{
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  MrHeartbeat ack = S_heartbeat (m, MR_HEARTBEAT_ACK, ping->ping_id, updates);
  if (ping->members_request == MR_MEMBERS_REQUEST_ALL ||
      S_missed_news (m, now, peer, ping->members_digest))
    {
      S_send_all (m, now, peer, ping->ping_id);
      return;
    }
  ack.updates_acked = peer->received_seq;
  /* A sender that is called something else here must hear of it, or it can't refute. */
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
  peer->ping_at = now + PING_GAP;
}

void
mr_membership_receive (MrMembership *m, MrTime now, const MrHeartbeat *heartbeat)
{
  const char *from = heartbeat->from.name;
  if (g_str_equal (from, m->self.member.name))
    return; /* a seed that was our own address, or our name taken */
  S_hear (m, now, &heartbeat->from, from);
  for (guint i = 0; i < heartbeat->update_count; i++)
    S_hear (m, now, &heartbeat->updates[i], from);
  m->joined = TRUE;
  Peer *peer = g_hash_table_lookup (m->peers, from);
  if (!peer)
    return; /* it says that it has left */
  if (peer->member.incarnation == heartbeat->from.incarnation)
    mr_updates_on_heartbeat (m, now, peer, heartbeat);
  if (heartbeat->kind == MR_HEARTBEAT_PING)
    S_on_ping (m, now, peer, heartbeat);
  else
    S_on_ack (m, now, peer, heartbeat);
}

/* Time. */

static void
S_suspect (MrMembership *m, MrTime now, Peer *peer)
{
  if (peer->member.state == MR_MEMBER_ALIVE)
    peer->member.state = MR_MEMBER_SUSPECT;
  else if (peer->member.state == MR_MEMBER_LEAVING)
    peer->member.state = MR_MEMBER_DEAD;
  else
    return;
  S_log_state (&peer->member);
  S_changed (m, now, peer, NULL, TRUE);
}

static void
S_ping (MrMembership *m, MrTime now, guint index)
{
  Peer *peer = m->links[index];
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  peer->pending_ping = ++m->last_ping_id;
  peer->ping_at = now + ACK_WAIT;
  MrHeartbeat ping = S_heartbeat (m, MR_HEARTBEAT_PING, peer->pending_ping, updates);
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
          if (peer->pending_ping != 0 && ++peer->missed_acks >= MISSES)
            S_suspect (m, now, peer);
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
          if (now >= peer->changed_at + SUSPICION)
            {
              peer->member.state = MR_MEMBER_DEAD;
              S_log_state (&peer->member);
              S_changed (m, now, peer, NULL, TRUE);
            }
          else
            *next = MIN (*next, peer->changed_at + SUSPICION);
        }
      if (!mr_peer_is_present (peer) && now >= peer->changed_at + BURIAL)
        {
          m->links_stale = TRUE;
          m->members_digest = 0;
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* @to: a member or the bare address of one. */
static void
S_ask (MrMembership *m, const MrMember *to, MrMembersRequest ask)
{
  MrMember updates[MR_HEARTBEAT_UPDATES_MAX];
  MrHeartbeat ping = S_heartbeat (m, MR_HEARTBEAT_PING, ++m->last_ping_id, updates);
  ping.members_request = ask;
  /* One that is called dead here refutes it, if it lives. */
  if (to->name[0] != '\0' && to->state >= MR_MEMBER_LEFT)
    updates[ping.update_count++] = *to;
  m->host->send (m->host, to, &ping);
}

static MrTime
S_join_gap (MrMembership *m, MrTime now)
{
  if (m->joined)
    return JOIN_GAP;
  if (m->first_tick_at == 0)
    m->first_tick_at = now;
  return now - m->first_tick_at < JUST_STARTED ? JOIN_GAP_FIRST : JOIN_GAP_ALONE;
}

/* Asks one address that should be a member and is not seen as one: a seed, or
 * one of the dead.  That is how two halves find each other again.  A process that
 * has just started asks all seeds, since one of them may start later than itself:
 * the others would take half a second to hear of it. */
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
          S_ask (m, g_ptr_array_index (absent, i), MR_MEMBERS_REQUEST_SAMPLE);
      else if (absent->len > 0)
        S_ask (m,
               g_ptr_array_index (absent,
                                  (guint) g_rand_int_range (m->random, 0, (gint32) absent->len)),
               MR_MEMBERS_REQUEST_SAMPLE);
      MrTime gap = S_join_gap (m, now);
      m->join_at = now + gap / 2 + (MrTime) (g_rand_double (m->random) * (double) gap);
    }
  *next = MIN (*next, m->join_at);
}

/* A present member, of the own failure domain if one is known there. */
static const Peer *
S_choose_teller (const MrMembership *m)
{
  const Peer *chosen = NULL;
  gint32 seen = 0;
  gboolean near = FALSE;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      gboolean is_near = mr_peer_is_in_own_domain (m, peer);
      if (!mr_peer_is_present (peer) || (near && !is_near))
        continue;
      if (is_near && !near)
        {
          near = TRUE;
          seen = 0;
        }
      if (g_rand_int_range (m->random, 0, ++seen) == 0)
        chosen = peer;
    }
  return chosen;
}

/* One that has started asks one member for the whole list, and another if that one
 * does not answer. */
static void
S_tick_list (MrMembership *m, MrTime now, MrTime *next)
{
  if (m->list_received || !m->joined)
    return;
  if (now >= m->request_list_at)
    {
      const Peer *teller = S_choose_teller (m);
      if (teller)
        S_ask (m, &teller->member, MR_MEMBERS_REQUEST_ALL);
      m->request_list_at = now + LIST_GAP;
    }
  *next = MIN (*next, m->request_list_at);
}

static void
S_tick_look (MrMembership *m, MrTime now, MrTime *next)
{
  if (!m->joined || m->seed_asks >= LOOKS || m->seeds->len == 0)
    return;
  if (m->ask_seed_at == 0)
    m->ask_seed_at = now + LOOK_GAP;
  if (now >= m->ask_seed_at)
    {
      guint which = (guint) g_rand_int_range (m->random, 0, (gint32) m->seeds->len);
      S_ask (m, &g_array_index (m->seeds, MrMember, which), MR_MEMBERS_REQUEST_SAMPLE);
      m->ask_seed_at = now + 2 * LOOK_GAP;
      m->seed_asks++;
    }
  if (m->seed_asks < LOOKS)
    *next = MIN (*next, m->ask_seed_at);
}

/* After a stop of this process every ping that was out looks overdue, though it
 * was we who did not listen; accusing the others would remove healthy members.
 */
static void
S_forgive (MrMembership *m, MrTime now)
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
  if (m->last_tick_at != 0 && now - m->last_tick_at > FROZEN)
    S_forgive (m, now);
  m->last_tick_at = now;
  MrTime next = now + PING_GAP;
  S_tick_peers (m, now, &next);
  S_tick_links (m, now, &next);
  S_tick_join (m, now, &next);
  S_tick_list (m, now, &next);
  S_tick_look (m, now, &next);
  return MAX (next, now + 1);
}

static void
S_changed_self (MrMembership *m, MrTime now)
{
  m->self.member.state_version++;
  S_changed (m, now, &m->self, NULL, FALSE);
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
  S_changed_self (m, now);
  S_ping_all (m, now);
}

void
mr_membership_set_platform_unreachable (MrMembership *m, MrTime now, gboolean cut_off)
{
  if (m->self.member.platform_unreachable == cut_off)
    return;
  m->self.member.platform_unreachable = cut_off;
  S_changed_self (m, now);
  S_ping_all (m, now);
}

void
mr_membership_set_load (MrMembership *m, MrTime now, guint32 load)
{
  if (m->self.member.load == load)
    return;
  m->self.member.load = load;
  S_changed_self (m, now);
}

void
mr_membership_set_busy (MrMembership *m, MrTime now, gboolean busy)
{
  if (m->self.member.busy == busy)
    return;
  m->self.member.busy = busy;
  S_changed_self (m, now);
  /* Callers are sent here, and those that start learn what is known here, as soon
   * as others hear of it. */
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
