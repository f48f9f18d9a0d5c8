#include "membership_private.h"

#include <xxhash.h>

/* Sent updates are assumed to be in transit for this long before they are sent again. */
static const MrTime IN_TRANSIT_TIME = 500 * MR_MS;
/* After silence of this length the update state of a link is reset, and updates are resent if
 * the views differ. */
static const MrTime SILENCE_MAX = 5 * MR_SECOND;
/* Members with equal digests may still differ in states that changed within this time, as
 * after a partition that ends before either side is declared dead, 6.5 s after it began. */
static const MrTime RECENT_CHANGE = 8 * MR_SECOND;
/* Minimum time between two heartbeats on a link with urgent or remaining updates.  A fleet of
 * 295 that starts together agrees on its members in under two seconds. */
static const MrTime URGENT_INTERVAL = 100 * MR_MS;

enum
{
  /* Members that a seed returns to a starting member.  All that start together query the same
   * three seeds, so each answer must be small; the requester continues with one of the members
   * named. */
  SAMPLE_NEAR = 8, /* in the requester's failure domain */
  SAMPLE_STRONGEST = 16,
};

static guint64
S_fingerprint (const MrMember *member)
{
  return XXH64 (member->name, strlen (member->name), member->incarnation);
}

guint64
mr_membership_members_digest (MrMembership *m)
{
  if (m->members_digest != 0)
    return m->members_digest;
  GHashTableIter iter;
  gpointer item = NULL;
  guint64 digest = S_fingerprint (&m->self.member);
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (mr_peer_is_present (item))
      digest ^= S_fingerprint (&((Peer *) item)->member);
  m->members_digest = digest;
  return digest;
}

/* Returns the highest update number below all changes of the last RECENT_CHANGE. */
static guint64
S_settled_seq (const MrMembership *m, MrTime now)
{
  guint64 settled_seq = m->last_update_seq;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      if (now - peer->changed_at < RECENT_CHANGE)
        settled_seq = MIN (settled_seq, peer->update_seq - 1);
    }
  return settled_seq;
}

void
mr_updates_reset_link (Peer *peer)
{
  peer->link_established = FALSE;
  peer->has_acked = FALSE;
  peer->acked_seq = 0;
  peer->sent_seq = 0;
  peer->sent_at = 0;
  peer->received_seq = 0;
}

void
mr_updates_on_heartbeat (MrMembership *m, MrTime now, Peer *peer, const MrHeartbeat *heartbeat)
{
  if (now - peer->last_heartbeat_at > SILENCE_MAX)
    mr_updates_reset_link (peer);
  peer->last_heartbeat_at = now;
  if (!peer->link_established)
    {
      /* A member is sent everything that it may lack, 20 kB in a fleet of 295, only if its
       * view differs.  The view of a member that has requested the full list does not. */
      peer->link_established = TRUE;
      peer->acked_seq = heartbeat->members_digest == mr_membership_members_digest (m)
                            ? S_settled_seq (m, now)
                            : 0;
      peer->sent_seq = peer->acked_seq;
    }
  /* Updates after a gap are applied but not acknowledged, so that the sender repeats the lost
   * ones. */
  if (heartbeat->updates_upto != 0 &&
      (peer->received_seq == 0 || heartbeat->updates_after <= peer->received_seq))
    peer->received_seq = MAX (peer->received_seq, heartbeat->updates_upto);
  /* A number that was never issued here acknowledges updates of the previous process. */
  if (heartbeat->updates_acked > peer->acked_seq && heartbeat->updates_acked <= m->last_update_seq)
    {
      peer->acked_seq = heartbeat->updates_acked;
      peer->has_acked = TRUE;
    }
}

/* Returns the number above which updates are to be sent to @peer: all below have been
 * acknowledged or are in transit. */
static guint64
S_send_after_seq (MrTime now, const Peer *peer)
{
  gboolean in_transit = peer->has_acked && now - peer->sent_at < IN_TRANSIT_TIME;
  return in_transit ? MAX (peer->sent_seq, peer->acked_seq) : peer->acked_seq;
}

/* Returns TRUE if @peer must receive its own record.  It has to refute a suspicion, or it would
 * be removed while it works. */
static gboolean
S_must_refute (const Peer *peer)
{
  return peer->member.state == MR_MEMBER_SUSPECT || !mr_peer_is_present (peer);
}

static gboolean
S_is_due_for (const Peer *changed, const Peer *peer, guint64 after_seq)
{
  return changed->update_seq > after_seq && changed != peer &&
         changed->source_hash != g_str_hash (peer->member.name);
}

void
mr_updates_fill (MrMembership *m, MrTime now, Peer *peer, MrHeartbeat *heartbeat)
{
  const Peer *picked[MR_HEARTBEAT_UPDATES_MAX];
  guint limit = MR_HEARTBEAT_UPDATES_MAX - 1; /* one is reserved for the record of the receiver */
  guint count = 0;
  gboolean more = FALSE;
  gboolean has_receiver = heartbeat->update_count > 0;
  guint64 after_seq = S_send_after_seq (now, peer);
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (peer->link_established && g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *changed = item;
      if (!S_is_due_for (changed, peer, after_seq))
        continue;
      guint position = count;
      while (position > 0 && changed->update_seq < picked[position - 1]->update_seq)
        position--;
      more = more || count == limit;
      if (position == limit)
        continue;
      count = MIN (count + 1, limit);
      memmove (&picked[position + 1], &picked[position], (count - 1 - position) * sizeof *picked);
      picked[position] = changed;
    }
  for (guint i = 0; i < count; i++)
    heartbeat->updates[heartbeat->update_count++] = picked[i]->member;
  if (!has_receiver && S_must_refute (peer))
    heartbeat->updates[heartbeat->update_count++] = peer->member;
  if (!peer->link_established)
    return;
  heartbeat->updates_after = after_seq;
  heartbeat->updates_upto = more ? picked[count - 1]->update_seq : m->last_update_seq;
  peer->sent_seq = heartbeat->updates_upto;
  peer->sent_at = now;
}

gboolean
mr_updates_urgent_due (const MrMembership *m, MrTime now, const Peer *peer, MrTime *next)
{
  if (!peer->link_established || S_send_after_seq (now, peer) >= m->last_urgent_seq)
    return FALSE;
  MrTime due = peer->sent_at + URGENT_INTERVAL;
  *next = MIN (*next, MAX (due, now));
  return now >= due;
}

/* Adds up to @limit members in the requester's failure domain, chosen at random so that requesters
 * spread over them. */
static void
S_add_near (const MrMembership *m, const MrMember *requester, guint limit, MrHeartbeat *heartbeat)
{
  gint32 seen = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      if (!mr_peer_is_present (peer) || !g_str_equal (peer->member.domain, requester->domain) ||
          g_str_equal (peer->member.name, requester->name))
        continue;
      guint position = (guint) g_rand_int_range (m->random, 0, ++seen);
      if (heartbeat->update_count < limit)
        heartbeat->updates[heartbeat->update_count++] = peer->member;
      else if (position < limit)
        heartbeat->updates[position] = peer->member;
    }
}

static gboolean
S_is_stronger (const MrMember *a, const MrMember *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return a->busy < b->busy;
}

/* Adds up to @limit members that callers are most likely to be sent to.  A starting daemon is
 * queried for addresses immediately; if it knew only its neighbours it would send callers to
 * VMs on which a wide search takes a quarter of a second. */
static void
S_add_strongest (const MrMembership *m, guint limit, MrHeartbeat *heartbeat)
{
  MrMember *first = &heartbeat->updates[heartbeat->update_count];
  guint count = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      if (!mr_peer_is_present (peer))
        continue;
      guint position = count;
      while (position > 0 && S_is_stronger (&peer->member, &first[position - 1]))
        position--;
      if (position == limit)
        continue;
      count = MIN (count + 1, limit);
      memmove (&first[position + 1], &first[position], (count - 1 - position) * sizeof *first);
      first[position] = peer->member;
    }
  heartbeat->update_count += count;
}

void
mr_updates_fill_sample (const MrMembership *m, const MrMember *requester, MrHeartbeat *heartbeat)
{
  S_add_near (m, requester, heartbeat->update_count + SAMPLE_NEAR, heartbeat);
  S_add_strongest (m, SAMPLE_STRONGEST, heartbeat);
}

void
mr_updates_fill_all (const MrMembership *m, MrHeartbeat *heartbeat)
{
  heartbeat->updates = g_new (MrMember, g_hash_table_size (m->peers) + 1);
  heartbeat->is_full_list = TRUE;
  heartbeat->updates_upto = m->last_update_seq;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    heartbeat->updates[heartbeat->update_count++] = ((Peer *) item)->member;
}
