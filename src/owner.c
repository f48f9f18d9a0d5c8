#include "owner.h"

#include <xxhash.h>

/* The failure domain with the most first replicas of the cell. */
static const char *
S_cell_domain (const MrShardMap *map, guint cell, guint cell_shards)
{
  guint first = cell * cell_shards;
  guint last = MIN (first + cell_shards, map->shard_count);
  const char *best = "";
  guint best_count = 0;
  for (guint i = first; i < last; i++)
    {
      const char *domain = map->targets[map->shards[i].replicas[0]].domain;
      guint count = 0;
      for (guint j = first; j < last; j++)
        count += g_str_equal (map->targets[map->shards[j].replicas[0]].domain, domain);
      if (count > best_count)
        {
          best = domain;
          best_count = count;
        }
      if (count * 2 > last - first)
        break; /* an absolute majority */
    }
  return best;
}

static gboolean
S_is_excluded (const char *const *excluded, const char *name)
{
  for (; excluded && *excluded; excluded++)
    if (g_str_equal (*excluded, name))
      return TRUE;
  return FALSE;
}

guint
mr_owner_rank (const MrMemberList *members,
               const MrShardMap *map,
               guint cell,
               guint cell_shards,
               const char *const *excluded,
               const MrMember **ranked,
               guint max)
{
  const char *domain = S_cell_domain (map, cell, cell_shards);
  g_autofree char *key = g_strdup_printf ("%s/%u", map->service, cell);
  guint64 key_hash = XXH64 (key, strlen (key), 0);
  g_autofree guint64 *scores = g_new0 (guint64, max + 1);
  guint count = 0;
  for (guint i = 0; i < members->count; i++)
    {
      const MrMember *member = &members->members[i];
      if (!mr_member_usable (member) || S_is_excluded (excluded, member->name))
        continue;
      guint64 score = XXH64 (member->name, strlen (member->name), key_hash) >> 1;
      if (g_str_equal (member->domain, domain))
        score |= G_GUINT64_CONSTANT (1) << 63;
      guint position = count;
      while (position > 0 && score > scores[position - 1])
        position--;
      if (position == max)
        continue;
      guint shifted = MIN (count, max - 1) - position;
      memmove (&scores[position + 1], &scores[position], shifted * sizeof *scores);
      memmove (&ranked[position + 1], &ranked[position], shifted * sizeof (MrMember *));
      scores[position] = score;
      ranked[position] = member;
      count = MIN (count + 1, max);
    }
  return count;
}
