/* Assigns owners to cells by rendezvous hashing over the members; members in the failure domain of
 * the cell rank first.
 *
 * The assignment is only a hint.  Daemons with different views of the members may choose different
 * owners for some seconds; this costs load, but never makes an answer wrong
 * (docs/design/owners.md).
 */
#pragma once

#include "member.h"

/* Fills @ranked with up to @max usable members, best first, and returns their number.  @excluded is
 * a NULL-terminated array of names that are left out, or NULL. */
guint mr_owner_rank (const MrMemberList *members,
                     const MrShardMap *map,
                     guint cell,
                     guint cell_shards,
                     const char *const *excluded,
                     const MrMember **ranked,
                     guint max);
