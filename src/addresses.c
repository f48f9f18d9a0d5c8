#include "addresses.h"

/* All members in @state that have room for callers. */
static void
S_add (GPtrArray *chosen, const MrMemberList *members, MrMemberState state)
{
  for (guint i = 0; i < members->count; i++)
    if (members->members[i].state == state && !members->members[i].busy)
      g_ptr_array_add (chosen, (gpointer) &members->members[i]);
}

/* Callers pick one of the answer at random, so the order matters only where the
 * answer is cut; a shuffle keeps a large fleet's answers from all naming the
 * same part of it. */
static void
S_shuffle (GPtrArray *chosen, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  for (guint i = chosen->len; i > 1; i--)
    {
      guint j = (guint) g_rand_int_range (random, 0, (gint32) i);
      gpointer held = chosen->pdata[i - 1];
      chosen->pdata[i - 1] = chosen->pdata[j];
      chosen->pdata[j] = held;
    }
  g_rand_free (random);
}

GPtrArray *
mr_addresses_choose (const MrMemberList *members, guint32 seed)
{
  GPtrArray *chosen = g_ptr_array_new ();
  S_add (chosen, members, MR_MEMBER_ALIVE);
  /* A member that misses heartbeats may be gone; it is named only if there is
   * nobody else, since one that is cut off costs callers a second each. */
  if (chosen->len == 0)
    S_add (chosen, members, MR_MEMBER_SUSPECT);
  S_shuffle (chosen, seed);
  if (chosen->len > MR_ADDRESSES_MAX)
    g_ptr_array_set_size (chosen, MR_ADDRESSES_MAX);
  return chosen;
}
