#include "membership_private.h"

#include <xxhash.h>

/* Members in the local failure domain, including this one, from which it has rings of its own.
 * Smaller domains would have too few members to monitor each other and spread updates. */
static const guint DOMAIN_RINGS_MIN = 8;
/* Members that have pinged within this time count as neighbours. */
static const MrTime RECENT_PING = 3 * MR_SECOND;

enum
{
  /* Members of a failure domain that send object versions to the other domains.  Each domain
   * reads the platform itself, so bridges matter only while it cannot; there are two because
   * one may be about to fail. */
  BRIDGES = 2,
  /* Domains that bridges reach; others are synchronised by the digests in heartbeats. */
  DOMAINS_MAX = 12,
  BRIDGE_SEED = 101, /* of the hash that ranks bridges; differs from all ring seeds */
};

static guint64
S_ring_position (guint ring, const char *name)
{
  return XXH64 (name, strlen (name), ring);
}

static gboolean
S_is_domain_ring (const MrMembership *m, guint ring)
{
  return m->has_domain_rings && ring < MR_DOMAIN_RINGS;
}

/* On a ring over all domains a suspect is skipped immediately rather than once it is dead.
 * Otherwise, when a whole domain is lost, members monitored only from inside it would be
 * detected 5 s after the others, and callers would be sent to them meanwhile.  A suspect that
 * is alive refutes the suspicion with its own pings. */
static gboolean
S_is_on_ring (const MrMembership *m, const Peer *peer, guint ring)
{
  if (!mr_peer_is_present (peer))
    return FALSE;
  if (S_is_domain_ring (m, ring))
    return mr_peer_is_in_own_domain (m, peer);
  return ring < MR_DOMAIN_RINGS || peer->member.state != MR_MEMBER_SUSPECT;
}

/* Returns the next member on @ring; NULL if there is no other. */
static Peer *
S_successor (MrMembership *m, guint ring)
{
  guint64 own = S_ring_position (ring, m->self.member.name);
  Peer *best = NULL;
  guint64 best_distance = G_MAXUINT64;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      Peer *peer = item;
      if (!S_is_on_ring (m, peer, ring))
        continue;
      guint64 distance = S_ring_position (ring, peer->member.name) - own;
      if (distance > best_distance)
        continue;
      best = peer;
      best_distance = distance;
    }
  return best;
}

static guint
S_count_own_domain (MrMembership *m)
{
  guint count = 1;
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    count += mr_peer_is_present (item) && mr_peer_is_in_own_domain (m, item);
  return count;
}

void
mr_membership_refresh_links (MrMembership *m)
{
  if (!m->links_stale)
    return;
  m->links_stale = FALSE;
  m->link_count = 0;
  m->has_domain_rings = S_count_own_domain (m) >= DOMAIN_RINGS_MIN;
  for (guint ring = 0; ring < MR_RING_COUNT; ring++)
    {
      Peer *peer = S_successor (m, ring);
      gboolean skip = !peer;
      for (guint i = 0; i < m->link_count; i++)
        skip = skip || m->links[i] == peer;
      if (skip)
        continue;
      /* One global ring carries updates between domains; the last one only detects failures. */
      m->no_updates[m->link_count] = m->has_domain_rings && ring == MR_RING_COUNT - 1;
      m->links[m->link_count++] = peer;
    }
}

/* Neighbours. */

typedef struct
{
  const char *domain;
  const Peer *peers[BRIDGES]; /* NULL: the local member, or none */
  guint64 scores[BRIDGES];
} Bridges;

static Bridges *
S_find_bridges (Bridges *domains, guint *count, const char *domain)
{
  for (guint i = 0; i < *count; i++)
    if (g_str_equal (domains[i].domain, domain))
      return &domains[i];
  if (*count == DOMAINS_MAX)
    return NULL;
  domains[*count] = (Bridges){ .domain = domain };
  return &domains[(*count)++];
}

static void
S_rank_bridge (Bridges *domains, guint *count, const MrMember *member, const Peer *peer)
{
  Bridges *bridges = S_find_bridges (domains, count, member->domain);
  guint64 score = XXH64 (member->name, strlen (member->name), BRIDGE_SEED);
  for (guint rank = 0; bridges && rank < BRIDGES; rank++)
    {
      if (score <= bridges->scores[rank])
        continue;
      for (guint below = BRIDGES - 1; below > rank; below--)
        {
          bridges->scores[below] = bridges->scores[below - 1];
          bridges->peers[below] = bridges->peers[below - 1];
        }
      bridges->scores[rank] = score;
      bridges->peers[rank] = peer;
      return;
    }
}

/* Adds the bridges of the other domains that have the rank of this member in its own. */
static guint
S_add_bridges (MrMembership *m, const MrMember **neighbours, guint count)
{
  Bridges domains[DOMAINS_MAX];
  guint domain_count = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  S_rank_bridge (domains, &domain_count, &m->self.member, NULL);
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (mr_member_usable (&((Peer *) item)->member))
      S_rank_bridge (domains, &domain_count, &((Peer *) item)->member, item);
  guint rank = 0;
  while (rank < BRIDGES && domains[0].peers[rank])
    rank++;
  for (guint i = 1; rank < BRIDGES && i < domain_count && count < MR_NEIGHBOURS_MAX; i++)
    {
      const Peer *bridge = domains[i].peers[rank] ? domains[i].peers[rank] : domains[i].peers[0];
      neighbours[count++] = &bridge->member;
    }
  return count;
}

static guint
S_add_pingers (MrMembership *m, MrTime now, const MrMember **neighbours, guint count)
{
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item) && count < MR_NEIGHBOURS_MAX)
    {
      const Peer *peer = item;
      gboolean skip = peer->pinged_us_at == 0 || now - peer->pinged_us_at > RECENT_PING ||
                      !mr_peer_is_in_own_domain (m, peer) || !mr_peer_is_present (peer);
      for (guint i = 0; i < count; i++)
        skip = skip || neighbours[i] == &peer->member;
      if (!skip)
        neighbours[count++] = &peer->member;
    }
  return count;
}

guint
mr_membership_neighbours (MrMembership *m,
                          MrTime now,
                          const MrMember *neighbours[MR_NEIGHBOURS_MAX])
{
  guint count = 0;
  mr_membership_refresh_links (m);
  for (guint i = 0; i < m->link_count; i++)
    if (!m->has_domain_rings || mr_peer_is_in_own_domain (m, m->links[i]))
      neighbours[count++] = &m->links[i]->member;
  if (!m->has_domain_rings)
    return count;
  count = S_add_bridges (m, neighbours, count);
  return S_add_pingers (m, now, neighbours, count);
}
