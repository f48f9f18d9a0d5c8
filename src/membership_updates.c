#include "membership_private.h"

#include <xxhash.h>

/* News that was sent is taken to be under way for this long; then it is sent anew. */
static const MrTime UNDER_WAY = 500 * MR_MS;
/* Who has said nothing for this long is told anew from where views differ. */
static const MrTime OUT_OF_TOUCH = 5 * MR_SECOND;
/* Two whose views are the same may yet differ in states that changed this lately: in a
 * cut that ends before either is called dead, 6.5 s after its begin. */
static const MrTime LATELY = 8 * MR_SECOND;
/* Between two heartbeats on a link that has more to tell, or something urgent.  A
 * fleet of 295 that starts together agrees on its members in under two seconds. */
static const MrTime NEWS_GAP = 100 * MR_MS;

enum
{
  /* Members that a seed names to one that starts.  All that start together ask the
   * same three seeds, so that each answer has to be small; the asker goes on to one
   * of those that were named. */
  SOME_NEAR = 8, /* of its own failure domain */
  SOME_STRONG = 16,
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

/* Number of the last news before LATELY. */
static guint64
S_settled (const MrMembership *m, MrTime now)
{
  guint64 settled = m->last_update_seq;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      if (now - peer->changed_at < LATELY)
        settled = MIN (settled, peer->update_seq - 1);
    }
  return settled;
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
  if (now - peer->last_heartbeat_at > OUT_OF_TOUCH)
    mr_updates_reset_link (peer);
  peer->last_heartbeat_at = now;
  if (!peer->link_established)
    {
      /* A member is told of all that it may lack, 20 kB in a fleet of 295, only if
       * its view differs; that of one that has asked for the list does not. */
      peer->link_established = TRUE;
      peer->acked_seq =
          heartbeat->members_digest == mr_membership_members_digest (m) ? S_settled (m, now) : 0;
      peer->sent_seq = peer->acked_seq;
    }
  /* What comes after a gap is taken, but not acknowledged, so that its sender tells
   * anew what was lost. */
  if (heartbeat->updates_upto != 0 &&
      (peer->received_seq == 0 || heartbeat->updates_after <= peer->received_seq))
    peer->received_seq = MAX (peer->received_seq, heartbeat->updates_upto);
  /* A number that is none of ours was meant for the process before. */
  if (heartbeat->updates_acked > peer->acked_seq && heartbeat->updates_acked <= m->last_update_seq)
    {
      peer->acked_seq = heartbeat->updates_acked;
      peer->has_acked = TRUE;
    }
}

static guint64
S_begin (MrTime now, const Peer *peer)
{
  gboolean under_way = peer->has_acked && now - peer->sent_at < UNDER_WAY;
  return under_way ? MAX (peer->sent_seq, peer->acked_seq) : peer->acked_seq;
}

/* What others say of @peer is for @peer to refute, or it would be removed while it
 * works. */
static gboolean
S_is_accused (const Peer *peer)
{
  return peer->member.state == MR_MEMBER_SUSPECT || !mr_peer_is_present (peer);
}

static gboolean
S_is_for (const Peer *news, const Peer *peer, guint64 begin)
{
  return news->update_seq > begin && news != peer &&
         news->source_hash != g_str_hash (peer->member.name);
}

void
mr_updates_fill (MrMembership *m, MrTime now, Peer *peer, MrHeartbeat *heartbeat)
{
  const Peer *picked[MR_HEARTBEAT_UPDATES_MAX];
  guint room = MR_HEARTBEAT_UPDATES_MAX - 1; /* one is for what is said of the receiver */
  guint count = 0;
  gboolean more = FALSE;
  gboolean contradicts = heartbeat->update_count > 0;
  guint64 begin = S_begin (now, peer);
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (peer->link_established && g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *news = item;
      if (!S_is_for (news, peer, begin))
        continue;
      guint place = count;
      while (place > 0 && news->update_seq < picked[place - 1]->update_seq)
        place--;
      more = more || count == room;
      if (place == room)
        continue;
      count = MIN (count + 1, room);
      memmove (&picked[place + 1], &picked[place], (count - 1 - place) * sizeof *picked);
      picked[place] = news;
    }
  for (guint i = 0; i < count; i++)
    heartbeat->updates[heartbeat->update_count++] = picked[i]->member;
  if (!contradicts && S_is_accused (peer))
    heartbeat->updates[heartbeat->update_count++] = peer->member;
  if (!peer->link_established)
    return;
  heartbeat->updates_after = begin;
  heartbeat->updates_upto = more ? picked[count - 1]->update_seq : m->last_update_seq;
  peer->sent_seq = heartbeat->updates_upto;
  peer->sent_at = now;
}

gboolean
mr_updates_urgent_due (const MrMembership *m, MrTime now, const Peer *peer, MrTime *next)
{
  if (!peer->link_established || S_begin (now, peer) >= m->last_urgent_seq)
    return FALSE;
  MrTime due = peer->sent_at + NEWS_GAP;
  *next = MIN (*next, MAX (due, now));
  return now >= due;
}

/* Adds @most members of the asker's failure domain; which ones, chance decides, so
 * that askers spread over them. */
static void
S_add_near (const MrMembership *m, const MrMember *asker, guint most, MrHeartbeat *heartbeat)
{
  gint32 seen = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Peer *peer = item;
      if (!mr_peer_is_present (peer) || !g_str_equal (peer->member.domain, asker->domain) ||
          g_str_equal (peer->member.name, asker->name))
        continue;
      guint place = (guint) g_rand_int_range (m->random, 0, ++seen);
      if (heartbeat->update_count < most)
        heartbeat->updates[heartbeat->update_count++] = peer->member;
      else if (place < most)
        heartbeat->updates[place] = peer->member;
    }
}

static gboolean
S_is_stronger (const MrMember *a, const MrMember *b)
{
  if (a->capacity != b->capacity)
    return a->capacity > b->capacity;
  return a->busy < b->busy;
}

/* Adds the @most members that callers are most likely to be sent to.  One that starts
 * is asked for addresses at once; knowing its neighbours only, it would send callers
 * to VMs that a wide search takes a quarter of a second on. */
static void
S_add_strongest (const MrMembership *m, guint most, MrHeartbeat *heartbeat)
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
      guint place = count;
      while (place > 0 && S_is_stronger (&peer->member, &first[place - 1]))
        place--;
      if (place == most)
        continue;
      count = MIN (count + 1, most);
      memmove (&first[place + 1], &first[place], (count - 1 - place) * sizeof *first);
      first[place] = peer->member;
    }
  heartbeat->update_count += count;
}

void
mr_updates_fill_sample (const MrMembership *m, const MrMember *asker, MrHeartbeat *heartbeat)
{
  S_add_near (m, asker, heartbeat->update_count + SOME_NEAR, heartbeat);
  S_add_strongest (m, SOME_STRONG, heartbeat);
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
