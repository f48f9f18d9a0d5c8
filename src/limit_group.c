#include "limits_private.h"
#include "log.h"
#include "safeguard.h"

#include <xxhash.h>

static const MrTime ALIVE_INTERVAL = 200 * MR_MS;
/* After a change of the entries or voters, so that new ones get the first message early. */
static const MrTime ALIVE_INTERVAL_MIN = 40 * MR_MS;
/* For peers that have never been heard from, which may run an earlier build. */
static const MrTime ALIVE_SLOW_INTERVAL = 5 * MR_SECOND;
/* A lost member can be a voter for this long; the longer time holds for a daemon that gets no
 * answers from the voters, which is the case for most daemons of a large fleet. */
static const MrTime LOST_MEMBER_KEEP_TIME = 60 * MR_SECOND;
static const MrTime LOST_MEMBER_KEEP_TIME_MAX = 86400 * MR_SECOND;

enum
{
  SENT_COUNT = 32, /* send times that are kept: those of MR_LIMIT_LEASE and some more */
  /* Unless there are fewer members.  Of three domains with three voters each, one domain and a
   * daemon of another can be lost. */
  VOTERS_MIN = 9,
  DOMAINS_MAX = 7, /* with voters */
  SETS_MAX = 64,   /* a fleet that starts changes its voters with each member that it finds */
};

/* One version of the set of voters. */
typedef struct
{
  GPtrArray *peers; /* MrLimitPeer */
  MrTime until;     /* a majority of it is needed until then; MR_NEVER: current set */
} VoterSet;

typedef struct
{
  char domain[MR_NAME_MAX + 1];
  guint64 hash;   /* of the name */
  guint size;     /* logarithm of its capacity */
  MrTime lost_at; /* 0: not lost */
} Member;

struct _MrLimitGroup
{
  gboolean active; /* a limit is configured */
  MrTime active_since;
  GHashTable *by_name; /* MrLimitPeer.name -> MrLimitPeer */
  GPtrArray *peers;    /* MrLimitPeer, by index */
  MrLimitPeer *self;
  GPtrArray *entries; /* MrLimitPeer of the current entry plan */
  guint size;         /* highest number of entries in the last MR_LIMIT_SETTLE */
  MrTime size_until;  /* when @size becomes the current number */
  GPtrArray *sets;    /* VoterSet, the current one last */
  MrTime blocked_until;
  GHashTable *members; /* name -> Member, this daemon included */
  guint lost_count;
  gboolean voters_changed; /* members have been added or removed */
  guint32 sequence;        /* of the last ALIVE */
  MrTime sent[SENT_COUNT]; /* send times of ALIVE, by sequence */
  MrTime last_round;
  MrTime next_round;
  MrTime next_check;
  gboolean reported_closed;
  gboolean reported_open;
};

static void
S_hasten_round (MrLimitGroup *group)
{
  group->next_round = MIN (group->next_round, group->last_round + ALIVE_INTERVAL_MIN);
}

static void
S_set_free (gpointer data)
{
  VoterSet *set = data;
  g_ptr_array_unref (set->peers);
  g_free (set);
}

static MrLimitPeer *
S_add_peer (MrLimitGroup *group, const char *name)
{
  MrLimitPeer *peer = g_hash_table_lookup (group->by_name, name);
  if (peer)
    return peer;
  peer = g_new0 (MrLimitPeer, 1);
  g_strlcpy (peer->name, name, sizeof peer->name);
  peer->hash = XXH64 (name, strlen (name), 0);
  peer->index = group->peers->len;
  g_ptr_array_add (group->peers, peer);
  g_hash_table_insert (group->by_name, peer->name, peer);
  return peer;
}

static Member *
S_add_member (MrLimitGroup *group, const char *name)
{
  Member *member = g_hash_table_lookup (group->members, name);
  if (member)
    return member;
  member = g_new0 (Member, 1);
  member->hash = XXH64 (name, strlen (name), 0);
  g_hash_table_insert (group->members, g_strdup (name), member);
  group->voters_changed = TRUE;
  return member;
}

MrLimitGroup *
mr_limit_group_new (const MrLimitsOptions *options)
{
  MrLimitGroup *group = g_new (MrLimitGroup, 1);
  *group = (MrLimitGroup){
    .by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free),
    .peers = g_ptr_array_new (),
    .entries = g_ptr_array_new (),
    .sets = g_ptr_array_new_with_free_func (S_set_free),
    .members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    /* An earlier process of this daemon used other numbers, so that a peer which repeats one of
     * them confirms nothing. */
    .sequence = (guint32) XXH64 (&options->incarnation, sizeof options->incarnation, 0),
  };
  group->self = S_add_peer (group, options->self);
  group->self->incarnation = options->incarnation;
  S_add_member (group, options->self);
  return group;
}

void
mr_limit_group_free (MrLimitGroup *group)
{
  g_hash_table_unref (group->members);
  g_ptr_array_unref (group->sets);
  g_ptr_array_unref (group->entries);
  g_ptr_array_unref (group->peers);
  g_hash_table_unref (group->by_name);
  g_free (group);
}

MrLimitPeer *
mr_limit_group_self (const MrLimits *limits)
{
  return limits->group->self;
}

MrLimitPeer *
mr_limit_group_find (const MrLimits *limits, const char *name)
{
  return g_hash_table_lookup (limits->group->by_name, name);
}

/* Entries. */

gboolean
mr_limit_group_is_entry (const MrLimits *limits, const MrLimitPeer *peer)
{
  return g_ptr_array_find (limits->group->entries, peer, NULL);
}

gboolean
mr_limit_group_is_known_to_entries (const MrLimits *limits)
{
  const MrLimitGroup *group = limits->group;
  guint others = 0;
  /* A member that is lost here may be an entry elsewhere. */
  if (group->lost_count > 0)
    return FALSE;
  for (guint i = 0; i < group->entries->len; i++)
    {
      const MrLimitPeer *peer = g_ptr_array_index (group->entries, i);
      if (peer != group->self && peer->confirmed == 0)
        return FALSE;
      others += peer != group->self;
    }
  return others > 0;
}

guint
mr_limit_group_size (const MrLimits *limits)
{
  return limits->group->size;
}

void
mr_limit_group_set_entries (MrLimits *limits, MrTime now, const GPtrArray *entries)
{
  MrLimitGroup *group = limits->group;
  GPtrArray *peers = g_ptr_array_new ();
  for (guint i = 0; entries && i < entries->len; i++)
    {
      const MrMember *member = g_ptr_array_index (entries, i);
      MrLimitPeer *peer = S_add_peer (group, member->name);
      if (!mr_limit_group_is_entry (limits, peer))
        {
          peer->group_since = now;
          S_hasten_round (group);
        }
      g_ptr_array_add (peers, peer);
    }
  g_ptr_array_unref (group->entries);
  group->entries = peers;
  if (peers->len >= group->size || now >= group->size_until)
    {
      group->size = peers->len;
      group->size_until = now + MR_LIMIT_SETTLE;
    }
}

/* Members of the fleet. */

void
mr_limit_group_on_member (MrLimits *limits, MrTime now, const MrMember *member)
{
  MrLimitGroup *group = limits->group;
  gboolean is_self = g_str_equal (member->name, group->self->name);
  gboolean is_lost = member->state == MR_MEMBER_SUSPECT || member->state == MR_MEMBER_DEAD;
  Member *known = S_add_member (group, member->name);
  if (!g_str_equal (known->domain, member->domain))
    {
      g_strlcpy (known->domain, member->domain, sizeof known->domain);
      group->voters_changed = TRUE;
    }
  if (known->size != g_bit_storage (member->capacity))
    {
      known->size = g_bit_storage (member->capacity);
      group->voters_changed = TRUE;
    }
  if (is_self)
    return;
  /* After a cut a member that has not been heard from yet is as one that is new. */
  MrLimitPeer *peer = g_hash_table_lookup (group->by_name, member->name);
  if (peer && known->lost_at != 0 && !is_lost)
    peer->group_since = now;
  group->lost_count -= known->lost_at != 0;
  known->lost_at = is_lost ? MAX (known->lost_at, 1) : 0;
  if (is_lost && known->lost_at == 1)
    known->lost_at = now;
  group->lost_count += is_lost;
  if (member->state == MR_MEMBER_LEFT)
    {
      g_hash_table_remove (group->members, member->name);
      group->voters_changed = TRUE;
    }
}

static gboolean
S_sees_most_members (const MrLimitGroup *group)
{
  return 2 * group->lost_count < g_hash_table_size (group->members);
}

/* Voters: the same number of members in each failure domain, those with the highest hashes, whether
 * they are lost or not.  They do not depend on the entry plan, which views of the members that
 * differ for a while can change completely. */

typedef struct
{
  const char *name;
  const Member *member;
} Candidate;

static int
S_compare_text_hash (const char *a, const char *b)
{
  guint64 one = XXH64 (a, strlen (a), 0);
  guint64 other = XXH64 (b, strlen (b), 0);
  return one < other ? 1 : one > other ? -1 : strcmp (a, b);
}

/* By domain, and within a domain large VMs first, which start sooner than small ones, then by hash.
 */
static int
S_compare_candidates (const void *a, const void *b)
{
  const Candidate *one = a;
  const Candidate *other = b;
  int order = S_compare_text_hash (one->member->domain, other->member->domain);
  if (order != 0)
    return order;
  if (one->member->size != other->member->size)
    return one->member->size < other->member->size ? 1 : -1;
  return one->member->hash < other->member->hash   ? 1
         : one->member->hash > other->member->hash ? -1
                                                   : strcmp (one->name, other->name);
}

static GArray *
S_sorted_candidates (const MrLimitGroup *group, guint *domains)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  GHashTableIter iter;
  gpointer name = NULL;
  gpointer member = NULL;
  g_hash_table_iter_init (&iter, group->members);
  while (g_hash_table_iter_next (&iter, &name, &member))
    {
      Candidate candidate = { .name = name, .member = member };
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, S_compare_candidates);
  *domains = 0;
  for (guint i = 0; i < candidates->len; i++)
    *domains +=
        i == 0 || !g_str_equal (g_array_index (candidates, Candidate, i).member->domain,
                                g_array_index (candidates, Candidate, i - 1).member->domain);
  return candidates;
}

static GPtrArray *
S_choose_voters (MrLimitGroup *group)
{
  guint domains = 0;
  g_autoptr (GArray) candidates = S_sorted_candidates (group, &domains);
  GPtrArray *peers = g_ptr_array_new ();
  domains = CLAMP (domains, 1, DOMAINS_MAX);
  guint per_domain = (VOTERS_MIN + domains - 1) / domains;
  guint domain = 0;
  guint rank = 0;
  for (guint i = 0; i < candidates->len; i++, rank++)
    {
      const Candidate *candidate = &g_array_index (candidates, Candidate, i);
      if (i > 0 && !g_str_equal (candidate->member->domain, candidate[-1].member->domain))
        {
          domain++;
          rank = 0;
        }
      if (rank < per_domain && domain < domains)
        g_ptr_array_add (peers, S_add_peer (group, candidate->name));
    }
  return peers;
}

static const VoterSet *
S_current_set (const MrLimitGroup *group)
{
  return group->sets->len > 0 ? g_ptr_array_index (group->sets, group->sets->len - 1) : NULL;
}

static gboolean
S_same_peers (const VoterSet *set, const GPtrArray *peers)
{
  if (!set || set->peers->len != peers->len)
    return FALSE;
  for (guint i = 0; i < peers->len; i++)
    if (!g_ptr_array_find (set->peers, g_ptr_array_index (peers, i), NULL))
      return FALSE;
  return TRUE;
}

static void
S_add_set (MrLimitGroup *group, MrTime now, GPtrArray *peers)
{
  VoterSet *previous = (VoterSet *) S_current_set (group);
  for (guint i = 0; i < peers->len; i++)
    {
      MrLimitPeer *peer = g_ptr_array_index (peers, i);
      if (!previous || !g_ptr_array_find (previous->peers, peer, NULL))
        peer->group_since = now;
    }
  if (previous)
    previous->until = now + MR_LIMIT_SETTLE;
  if (group->sets->len == SETS_MAX)
    {
      /* Without the oldest set a majority of it cannot be demanded. */
      group->blocked_until = now + MR_LIMIT_SETTLE;
      g_ptr_array_remove_index (group->sets, 0);
    }
  S_hasten_round (group);
  VoterSet *set = g_new (VoterSet, 1);
  *set = (VoterSet){ .peers = g_ptr_array_ref (peers), .until = MR_NEVER };
  g_ptr_array_add (group->sets, set);
}

/* Brings the sets of voters up to date. */
static void
S_update_voters (MrLimitGroup *group, MrTime now)
{
  while (group->sets->len > 0 &&
         ((const VoterSet *) g_ptr_array_index (group->sets, 0))->until <= now)
    g_ptr_array_remove_index (group->sets, 0);
  if (!group->voters_changed)
    return;
  group->voters_changed = FALSE;
  g_autoptr (GPtrArray) peers = S_choose_voters (group);
  if (!S_same_peers (S_current_set (group), peers))
    S_add_set (group, now, peers);
}

/* Peers. */

gboolean
mr_limit_peer_is_leased (const MrLimits *limits, MrTime now, const MrLimitPeer *peer)
{
  return peer == limits->group->self || !MR_SAFEGUARD (MR_GUARD_LIMIT_FENCE) ||
         (peer->confirmed != 0 && now < peer->confirmed + MR_LIMIT_LEASE);
}

gboolean
mr_limit_peer_is_present (const MrLimits *limits, MrTime now, const MrLimitPeer *peer)
{
  const MrLimitGroup *group = limits->group;
  /* Other daemons than entries need not get ALIVE messages. */
  if (peer == group->self || !mr_limit_group_is_entry (limits, group->self))
    return TRUE;
  return peer->incarnation != 0 && now < peer->heard + MR_LIMIT_MISSING;
}

void
mr_limit_peer_confirm (MrLimitPeer *peer, MrTime now, MrTime sent)
{
  if (sent <= peer->confirmed)
    return;
  if (now >= peer->confirmed + MR_LIMIT_LEASE)
    peer->lapses++;
  peer->confirmed = sent;
}

/* Members that are alive but have never been heard from do not speak this protocol, unless they are
 * new here.  One that is lost may only be out of reach of a daemon that has restarted. */
static gboolean
S_is_counted (const MrLimitGroup *group, MrTime now, const MrLimitPeer *peer)
{
  if (peer->incarnation != 0 ||
      now < MAX (peer->group_since, group->active_since) + MR_LIMIT_SETTLE)
    return TRUE;
  const Member *member = g_hash_table_lookup (group->members, peer->name);
  return member && member->lost_at != 0;
}

static MrLimitSupport
S_set_support (
    MrLimits *limits, MrTime now, const VoterSet *set, MrLimitPeerTest test, const void *user)
{
  guint counted = 0;
  guint passed = 0;
  gboolean others_are_silent = TRUE;
  for (guint i = 0; i < set->peers->len; i++)
    {
      const MrLimitPeer *peer = g_ptr_array_index (set->peers, i);
      if (!S_is_counted (limits->group, now, peer))
        continue;
      counted++;
      if (test (limits, now, peer, user))
        passed++;
      else if (mr_limit_peer_is_leased (limits, now, peer))
        others_are_silent = FALSE;
    }
  if (2 * passed > counted)
    return MR_LIMIT_SUPPORT_FULL;
  return passed > 0 && 2 * passed == counted && others_are_silent ? MR_LIMIT_SUPPORT_HALF
                                                                  : MR_LIMIT_SUPPORT_NONE;
}

MrLimitSupport
mr_limit_group_support (MrLimits *limits, MrTime now, MrLimitPeerTest test, const void *user)
{
  MrLimitGroup *group = limits->group;
  MrLimitSupport support = MR_LIMIT_SUPPORT_FULL;
  S_update_voters (group, now);
  for (guint i = 0; i < group->sets->len && support != MR_LIMIT_SUPPORT_NONE; i++)
    support =
        MIN (support, S_set_support (limits, now, g_ptr_array_index (group->sets, i), test, user));
  return support;
}

static gboolean
S_is_leased (MrLimits *limits, MrTime now, const MrLimitPeer *peer, const void *user)
{
  (void) user;
  return mr_limit_peer_is_leased (limits, now, peer);
}

/* Only a part of the fleet with a majority of the voters may soon choose other voters in place of
 * those it has lost; elsewhere another part may have that majority. */
static void
S_expire_lost_members (MrLimits *limits, MrTime now)
{
  MrLimitGroup *group = limits->group;
  GHashTableIter iter;
  gpointer value = NULL;
  if (group->lost_count == 0)
    return;
  MrTime keep_time = LOST_MEMBER_KEEP_TIME_MAX;
  if (mr_limit_group_support (limits, now, S_is_leased, NULL) == MR_LIMIT_SUPPORT_FULL)
    keep_time = LOST_MEMBER_KEEP_TIME;
  else if (!S_sees_most_members (group))
    return;
  g_hash_table_iter_init (&iter, group->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Member *member = value;
      if (member->lost_at == 0 || now <= member->lost_at + keep_time)
        continue;
      g_hash_table_iter_remove (&iter);
      group->lost_count--;
      group->voters_changed = TRUE;
    }
}

gboolean
mr_limit_group_may_vote (MrLimits *limits, MrTime now)
{
  const MrLimitGroup *group = limits->group;
  if (!group->active)
    return FALSE;
  if (!MR_SAFEGUARD (MR_GUARD_LIMIT_FENCE))
    return TRUE;
  if (now < group->blocked_until)
    return FALSE;
  return g_hash_table_size (group->members) > 1 || !limits->options.has_other_members;
}

gboolean
mr_limit_group_is_open (MrLimits *limits, MrTime now)
{
  return mr_limit_group_is_entry (limits, limits->group->self) &&
         mr_limit_group_may_vote (limits, now) &&
         mr_limit_group_support (limits, now, S_is_leased, NULL) != MR_LIMIT_SUPPORT_NONE;
}

void
mr_limit_group_foreach (MrLimits *limits, MrTime now, MrLimitPeerTest visit, const void *user)
{
  MrLimitGroup *group = limits->group;
  g_autoptr (GHashTable) visited = g_hash_table_new (NULL, NULL);
  S_update_voters (group, now);
  for (guint i = 0; i < group->sets->len; i++)
    {
      const VoterSet *set = g_ptr_array_index (group->sets, i);
      for (guint j = 0; j < set->peers->len; j++)
        {
          MrLimitPeer *peer = g_ptr_array_index (set->peers, j);
          if (peer != group->self && peer->incarnation != 0 && g_hash_table_add (visited, peer))
            visit (limits, now, peer, user);
        }
    }
}

/* Election. */

MrLimitPeer *
mr_limit_group_elect (MrLimits *limits, MrTime now, const char *key, guint rank, guint *count)
{
  const GPtrArray *entries = limits->group->entries;
  MrLimitPeer *elected = NULL;
  guint64 bound = G_MAXUINT64;
  *count = 0;
  for (guint i = 0; i < entries->len; i++)
    *count += mr_limit_peer_is_present (limits, now, g_ptr_array_index (entries, i));
  for (guint r = 0; *count > 0 && r <= rank % *count; r++)
    {
      guint64 highest = 0;
      for (guint i = 0; i < entries->len; i++)
        {
          MrLimitPeer *peer = g_ptr_array_index (entries, i);
          guint64 score = XXH64 (key, strlen (key), peer->hash);
          if (score < bound && score >= highest && mr_limit_peer_is_present (limits, now, peer))
            {
              highest = score;
              elected = peer;
            }
        }
      bound = highest;
    }
  return elected;
}

/* Messages. */

/* The number of ALIVE contains the sender's sequence and, in the lower half, the last sequence that
 * it has received from the receiver.  A message that was delayed on its way, or read late by a
 * daemon that was frozen, therefore does not count as recent. */
static void
S_send_alive (MrLimits *limits, MrTime now, MrLimitPeer *peer)
{
  const MrLimitGroup *group = limits->group;
  MrTime recent = MAX (peer->group_since, group->active_since) + MR_LIMIT_SETTLE;
  gboolean slow = peer->incarnation == 0 && now >= recent;
  peer->next_alive = slow ? now + ALIVE_SLOW_INTERVAL : now;
  mr_limits_send (limits, peer->name,
                  (MrLimitMessage){
                      .kind = MR_LIMIT_ALIVE,
                      .number = (guint64) group->sequence << 32 | peer->sequence,
                  });
}

static void
S_send_alive_to (MrLimits *limits, MrTime now, GHashTable *done, const GPtrArray *peers)
{
  for (guint i = 0; i < peers->len; i++)
    {
      MrLimitPeer *peer = g_ptr_array_index (peers, i);
      peer->listed_at = now;
      if (peer != limits->group->self && now >= peer->next_alive && g_hash_table_add (done, peer))
        S_send_alive (limits, now, peer);
    }
}

/* Daemons that are no entry or voter here, but may still or already be one in their own view, need
 * answers to count; each gets them for a limited time, since it may answer these in turn. */
static void
S_send_alive_to_unlisted (MrLimits *limits, MrTime now)
{
  const MrLimitGroup *group = limits->group;
  for (guint i = 0; i < group->peers->len; i++)
    {
      MrLimitPeer *peer = g_ptr_array_index (group->peers, i);
      if (peer != group->self && peer->listed_at != now && peer->sequence != 0 &&
          now < peer->alive_at + MR_LIMIT_MISSING &&
          now < MAX (peer->listed_at, peer->heard_since) + MR_LIMIT_SETTLE)
        S_send_alive (limits, now, peer);
    }
}

static gboolean
S_is_in_group (const MrLimits *limits)
{
  const MrLimitGroup *group = limits->group;
  gboolean is_voter = FALSE;
  for (guint i = 0; i < group->sets->len; i++)
    {
      const VoterSet *set = g_ptr_array_index (group->sets, i);
      is_voter = is_voter || g_ptr_array_find (set->peers, group->self, NULL);
    }
  return is_voter || mr_limit_group_is_entry (limits, group->self);
}

/* Entries that still have this daemon as a voter need its messages. */
static void
S_answer_entries (MrLimits *limits, MrTime now)
{
  const MrLimitGroup *group = limits->group;
  for (guint i = 0; i < group->entries->len; i++)
    {
      MrLimitPeer *peer = g_ptr_array_index (group->entries, i);
      if (peer->sequence != 0 && now < peer->alive_at + MR_LIMIT_MISSING)
        S_send_alive (limits, now, peer);
    }
}

/* Entries and voters send to all others. */
static void
S_start_round (MrLimits *limits, MrTime now)
{
  MrLimitGroup *group = limits->group;
  g_autoptr (GHashTable) done = g_hash_table_new (NULL, NULL);
  group->last_round = now;
  group->next_round = now + ALIVE_INTERVAL;
  group->sequence++;
  group->sent[group->sequence % SENT_COUNT] = now;
  S_update_voters (group, now);
  if (!S_is_in_group (limits))
    {
      S_answer_entries (limits, now);
      return;
    }
  S_send_alive_to (limits, now, done, group->entries);
  for (guint i = 0; i < group->sets->len; i++)
    S_send_alive_to (limits, now, done,
                     ((const VoterSet *) g_ptr_array_index (group->sets, i))->peers);
  S_send_alive_to_unlisted (limits, now);
}

static void
S_on_alive (MrLimits *limits, MrTime now, MrLimitPeer *peer, guint64 number)
{
  const MrLimitGroup *group = limits->group;
  guint32 repeated = (guint32) number;
  gboolean is_first = peer->sequence == 0;
  peer->sequence = (guint32) (number >> 32);
  peer->alive_at = now;
  if (group->sequence - repeated < SENT_COUNT)
    mr_limit_peer_confirm (peer, now, group->sent[repeated % SENT_COUNT]);
  if (is_first && S_is_in_group (limits))
    S_send_alive (limits, now, peer);
}

MrLimitPeer *
mr_limit_group_receive (MrLimits *limits,
                        MrTime now,
                        const char *sender,
                        const MrLimitMessage *message)
{
  MrLimitPeer *peer = S_add_peer (limits->group, sender);
  if (peer == limits->group->self)
    return peer;
  gboolean was_missing = now >= peer->heard + MR_LIMIT_MISSING;
  if (message->incarnation < peer->incarnation && !was_missing)
    return NULL;
  if (message->incarnation != peer->incarnation)
    {
      peer->incarnation = message->incarnation;
      peer->confirmed = 0;
      peer->sequence = 0;
      peer->lapses++;
      was_missing = TRUE;
    }
  if (was_missing)
    peer->heard_since = now;
  peer->heard = now;
  if (message->kind == MR_LIMIT_ALIVE)
    S_on_alive (limits, now, peer, message->number);
  return peer;
}

/* Logs changes of the fence; no line at the start, when it opens for the first time. */
static void
S_report_fence (MrLimits *limits, MrTime now)
{
  MrLimitGroup *group = limits->group;
  gboolean is_entry = mr_limit_group_is_entry (limits, group->self);
  gboolean is_open = mr_limit_group_is_open (limits, now);
  if (group->reported_open && !is_open && is_entry)
    {
      limits->counts.fence_closed++;
      group->reported_closed = TRUE;
      mr_log (MR_LOG_WARNING, MR_EVENT_LIMIT_FENCE,
              "no tokens are granted here: too few of the other daemons answer");
    }
  else if (group->reported_closed && is_open)
    {
      group->reported_closed = FALSE;
      mr_log (MR_LOG_NOTICE, MR_EVENT_LIMIT_FENCE, "tokens are granted here again");
    }
  group->reported_open = is_open;
}

void
mr_limit_group_set_active (MrLimits *limits, MrTime now, gboolean active)
{
  MrLimitGroup *group = limits->group;
  if (active && !group->active)
    {
      group->active_since = now;
      group->next_round = now;
      group->next_check = now;
    }
  group->active = active;
}

MrTime
mr_limit_group_tick (MrLimits *limits, MrTime now)
{
  MrLimitGroup *group = limits->group;
  if (!group->active)
    return MR_NEVER;
  if (now >= group->next_round)
    S_start_round (limits, now);
  if (now >= group->next_check)
    {
      group->next_check = now + MR_LIMIT_SCAN_INTERVAL;
      if (now >= group->size_until)
        group->size = group->entries->len;
      S_expire_lost_members (limits, now);
      S_report_fence (limits, now);
    }
  return MIN (group->next_round, group->next_check);
}
