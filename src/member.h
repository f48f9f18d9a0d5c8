/* Members of the tier, as messages between tasks carry them: an immutable list
 * shared by reference count. */
#pragma once

#include "document.h"
#include "shardmap.h"

enum
{
  /* In thousandths of a core; a wide search keeps a VM of less busy for longer than
   * its callers' aim, so that it is named to callers only where there are no others. */
  MR_SMALL_CAPACITY = 200,
};

typedef enum
{
  MR_MEMBER_ALIVE,
  MR_MEMBER_SUSPECT,
  MR_MEMBER_LEAVING, /* serves, but is handed no new work */
  MR_MEMBER_LEFT,
  MR_MEMBER_DEAD,
} MrMemberState;

typedef struct
{
  char name[MR_NAME_MAX + 1]; /* stable over restarts */
  guint64 incarnation;        /* of the process; random, never reused */
  char ip[46];
  int peer_port;
  int http_port;
  char domain[MR_NAME_MAX + 1];
  char region[MR_NAME_MAX + 1];
  MrMemberState state;
  guint32 state_version;         /* raised by the member itself with each news of it */
  gboolean busy;                 /* starts, or refuses load now: not to be handed to callers */
  gboolean platform_unreachable; /* can't reach the platform */
  guint32 capacity;              /* processor that it may use, in thousandths of a core */
  guint32 load;                  /* of these, what requests take; in coarse steps */
} MrMember;

typedef struct
{
  guint count;
  MrMember *members; /* sorted by name */
} MrMemberList;

/* Copies @members. */
MrMemberList *mr_member_list_new (const MrMember *members, guint count);
MrMemberList *mr_member_list_ref (MrMemberList *list);
void mr_member_list_unref (MrMemberList *list);
const MrMember *mr_member_list_find (const MrMemberList *list, const char *name);
const char *mr_member_state_name (MrMemberState state);

/* May be handed work. */
static inline gboolean
mr_member_usable (const MrMember *member)
{
  return member->state == MR_MEMBER_ALIVE || member->state == MR_MEMBER_SUSPECT;
}
