/* Target sets of shard maps in the relay engine: one set for each shard of a map, and one of
 * all its targets.
 *
 * The sets of a map are created when a batch first uses the map, and removed once a newer map
 * of the service is in use and no batch uses them. */
#pragma once

#include "batch.h"
#include "relay.h"

typedef struct _MrLayouts MrLayouts;
typedef struct _MrLayout MrLayout;

/* Used in place of a shard index for the set of all targets. */
#define MR_ALL_SHARDS G_MAXUINT

/* @relay must outlive the layouts. */
MrLayouts *mr_layouts_new (MrRelay *relay);
void mr_layouts_free (MrLayouts *layouts);

/* Returns the layout of @map, creating it if needed.  Valid while a batch uses it, and after
 * that until the next mr_layouts_remove_unused (). */
MrLayout *mr_layouts_get (MrLayouts *layouts, MrTime now, MrShardMap *map);
/* Removes outdated layouts that no batch uses.  Must not be called from a callback of the
 * engine, which may be iterating over one of the sets. */
void mr_layouts_remove_unused (MrLayouts *layouts);
/* Records whether the target at @key ("ip:port") is leaving; the target need not be in a
 * layout yet. */
void mr_layouts_set_leaving (MrLayouts *layouts, const char *key, gboolean leaving);
guint mr_layouts_count (const MrLayouts *layouts);

/* Marks the layout as used by one more batch, and limits the calls to its targets to this
 * daemon's share of their slots. */
void mr_layout_acquire (MrLayout *layout, const MrBatchPolicy *policy);
void mr_layout_release (MrLayout *layout);
/* Returns the set of @shard in the form that routes refer to. */
const MrRouteService *mr_layout_shard_set (const MrLayout *layout, guint shard);
/* Returns the state of the target at @index in the map. */
MrTargetState *mr_layout_target (const MrLayout *layout, guint index);
