/* Which daemons callers are told to use. */
#pragma once

#include "member.h"

enum
{
  MR_ADDRESSES_MAX = 64 /* in one answer */
};

/* Members to name, best first, at most MR_ADDRESSES_MAX; an array of borrowed
 * MrMember.  Empty if none can serve. */
GPtrArray *mr_addresses_choose (const MrMemberList *members, guint32 seed);
