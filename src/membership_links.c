#include "membership_private.h"

#include <xxhash.h>

/* Members of a failure domain, the own one included, from which on it has rings of
 * its own: fewer are watched and told by too few if not by others as well. */
static const guint NEAR_LEAST = 8;
/* Who has pinged within this is a neighbour. */
static const MrTime PINGED_LATELY = 3 * MR_SECOND;

enum
{
  /* Members of a failure domain that tell the other domains of objects.  Each
   * domain reads the platform itself, so that these are for the times when it
   * can't; two, since one may be about to die. */
  BRIDGES = 2,
  DOMAINS_MAX = 12,  /* that bridges reach; beyond, digests in heartbeats do it */
  BRIDGE_SEED = 101, /* of the hash that ranks; any that no ring uses */
};

static guint64
S_ring_place (guint ring, const char *name)
{
  return XXH64 (name, strlen (name), ring);
}

static gboolean
S_is_near_ring (const MrMembership *m, guint ring)
{
  return m->has_domain_rings && ring < MR_DOMAIN_RINGS;
}

/* On a ring over all domains a suspect is passed over at once, not only once it is
 * dead: where a domain is lost as a whole, members whose watchers were all in it would
 * be found out 5 s after the others, and callers be sent to them meanwhile.  One that
 * lives refutes with its own pings. */
static gboolean
S_is_on_ring (const MrMembership *m, const Peer *peer, guint ring)
{
  if (!mr_peer_is_present (peer))
    return FALSE;
  if (S_is_near_ring (m, ring))
    return mr_peer_is_in_own_domain (m, peer);
  return ring < MR_DOMAIN_RINGS || peer->member.state != MR_MEMBER_SUSPECT;
}

/* The member that follows us on @ring; NULL if there is no other. */
static Peer *
S_successor (MrMembership *m, guint ring)
{
  guint64 own = S_ring_place (ring, m->self.member.name);
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
      guint64 distance = S_ring_place (ring, peer->member.name) - own;
      if (distance > best_distance)
        continue;
      best = peer;
      best_distance = distance;
    }
  return best;
}

static guint
S_count_near (MrMembership *m)
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
  m->has_domain_rings = S_count_near (m) >= NEAR_LEAST;
  for (guint ring = 0; ring < MR_RING_COUNT; ring++)
    {
      Peer *peer = S_successor (m, ring);
      gboolean known = !peer;
      for (guint i = 0; i < m->link_count; i++)
        known = known || m->links[i] == peer;
      if (known)
        continue;
      /* One ring over all carries news between domains; the last finds deaths. */
      m->no_updates[m->link_count] = m->has_domain_rings && ring == MR_RING_COUNT - 1;
      m->links[m->link_count++] = peer;
    }
}

/* Neighbours. */

typedef struct
{
  const char *domain;
  const Peer *best[BRIDGES]; /* NULL: self, or nobody */
  guint64 scores[BRIDGES];
} Bridges;

static Bridges *
S_bridges_of (Bridges *domains, guint *count, const char *domain)
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
S_rank (Bridges *domains, guint *count, const MrMember *member, const Peer *peer)
{
  Bridges *bridges = S_bridges_of (domains, count, member->domain);
  guint64 score = XXH64 (member->name, strlen (member->name), BRIDGE_SEED);
  for (guint rank = 0; bridges && rank < BRIDGES; rank++)
    {
      if (score <= bridges->scores[rank])
        continue;
      for (guint below = BRIDGES - 1; below > rank; below--)
        {
          bridges->scores[below] = bridges->scores[below - 1];
          bridges->best[below] = bridges->best[below - 1];
        }
      bridges->scores[rank] = score;
      bridges->best[rank] = peer;
      return;
    }
}

/* Bridges of equal rank tell each other. */
static guint
S_add_bridges (MrMembership *m, const MrMember **neighbours, guint count)
{
  Bridges domains[DOMAINS_MAX];
  guint domain_count = 0;
  GHashTableIter iter;
  gpointer item = NULL;
  S_rank (domains, &domain_count, &m->self.member, NULL);
  g_hash_table_iter_init (&iter, m->peers);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    if (mr_member_usable (&((Peer *) item)->member))
      S_rank (domains, &domain_count, &((Peer *) item)->member, item);
  guint rank = 0;
  while (rank < BRIDGES && domains[0].best[rank])
    rank++;
  for (guint i = 1; rank < BRIDGES && i < domain_count && count < MR_NEIGHBOURS_MAX; i++)
    {
      const Peer *bridge = domains[i].best[rank] ? domains[i].best[rank] : domains[i].best[0];
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
      gboolean known = peer->pinged_us_at == 0 || now - peer->pinged_us_at > PINGED_LATELY ||
                       !mr_peer_is_in_own_domain (m, peer) || !mr_peer_is_present (peer);
      for (guint i = 0; i < count; i++)
        known = known || neighbours[i] == &peer->member;
      if (!known)
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
