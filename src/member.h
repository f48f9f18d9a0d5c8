/* Members of the fleet, as messages between tasks carry them: an immutable, reference-counted
 * list. */
#pragma once

#include "document.h"
#include "shardmap.h"

enum
{
  /* In thousandths of a core.  A wide search takes longer than the callers' latency goal on a
   * VM with less, so such a VM is named to callers only if there are no others. */
  MR_SMALL_CAPACITY = 200,
};

typedef enum
{
  MR_MEMBER_ALIVE,
  MR_MEMBER_SUSPECT,
  MR_MEMBER_LEAVING, /* still serves, but gets no new work */
  MR_MEMBER_LEFT,
  MR_MEMBER_DEAD,
} MrMemberState;

typedef struct
{
  char name[MR_NAME_MAX + 1]; /* stable across restarts */
  guint64 incarnation;        /* never reused; normally higher than those of earlier processes */
  char ip[46];
  int peer_port;
  int http_port;
  char domain[MR_NAME_MAX + 1];
  char region[MR_NAME_MAX + 1];
  MrMemberState state;
  guint32 state_version; /* raised by the member itself with each change that it announces */
  gboolean busy;         /* starting, or refusing load: not to be named to callers */
  gboolean platform_unreachable; /* the member cannot reach the platform */
  guint32 capacity;              /* CPU available to it, in thousandths of a core */
  guint32 load;                  /* CPU used by requests, in the same unit; in coarse steps */
} MrMember;

typedef struct
{
  guint count;
  MrMember *members; /* sorted by name */
} MrMemberList;

/* Returns the incarnation of a process that starts now: above those of earlier processes of the
 * same daemon if the clock was not set back. */
guint64 mr_member_new_incarnation (guint32 seed);

/* Copies @members. */
MrMemberList *mr_member_list_new (const MrMember *members, guint count);
MrMemberList *mr_member_list_ref (MrMemberList *list);
void mr_member_list_unref (MrMemberList *list);
const MrMember *mr_member_list_find (const MrMemberList *list, const char *name);
const char *mr_member_state_name (MrMemberState state);

/* Returns TRUE if the member may be given work. */
static inline gboolean
mr_member_usable (const MrMember *member)
{
  return member->state == MR_MEMBER_ALIVE || member->state == MR_MEMBER_SUSPECT;
}
