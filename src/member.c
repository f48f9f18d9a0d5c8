#include "member.h"

#include "clock.h"

#include <stdatomic.h>
#include <stdlib.h>

typedef struct
{
  MrMemberList list; /* first, so that an MrMemberList can be cast to it */
  atomic_int reference_count;
} SharedList;

guint64
mr_member_new_incarnation (guint32 seed)
{
  return ((guint64) (g_get_real_time () / MR_MS) << 20) | (seed & 0xfffff);
}

static int
S_compare (const void *a, const void *b)
{
  return strcmp (((const MrMember *) a)->name, ((const MrMember *) b)->name);
}

MrMemberList *
mr_member_list_new (const MrMember *members, guint count)
{
  SharedList *shared = g_new0 (SharedList, 1);
  atomic_init (&shared->reference_count, 1);
  shared->list.count = count;
  shared->list.members = g_new0 (MrMember, MAX (count, 1));
  if (count > 0)
    memcpy (shared->list.members, members, count * sizeof *members);
  qsort (shared->list.members, count, sizeof *members, S_compare);
  return &shared->list;
}

MrMemberList *
mr_member_list_ref (MrMemberList *list)
{
  atomic_fetch_add (&((SharedList *) list)->reference_count, 1);
  return list;
}

void
mr_member_list_unref (MrMemberList *list)
{
  if (!list || atomic_fetch_sub (&((SharedList *) list)->reference_count, 1) > 1)
    return;
  g_free (list->members);
  g_free (list);
}

const MrMember *
mr_member_list_find (const MrMemberList *list, const char *name)
{
  MrMember key = { 0 };
  g_strlcpy (key.name, name, sizeof key.name);
  return bsearch (&key, list->members, list->count, sizeof key, S_compare);
}

const char *
mr_member_state_name (MrMemberState state)
{
  static const char *const names[] = {
    [MR_MEMBER_ALIVE] = "alive", [MR_MEMBER_SUSPECT] = "suspect", [MR_MEMBER_LEAVING] = "leaving",
    [MR_MEMBER_LEFT] = "left",   [MR_MEMBER_DEAD] = "dead",
  };
  return names[state];
}
