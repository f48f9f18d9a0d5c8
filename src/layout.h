/* Shard maps as the engine sees them: a set of targets for each shard, and one of
 * all targets of the map.
 *
 * A map is laid out when a batch first names it, and taken down once a newer one of
 * its service is in use and no batch needs it any more. */
#pragma once

#include "batch.h"
#include "relay.h"

typedef struct _MrLayouts MrLayouts;
typedef struct _MrLayout MrLayout;

/* In place of a shard's index: any target of the map. */
#define MR_ALL_SHARDS G_MAXUINT

/* @relay outlives the layouts. */
MrLayouts *mr_layouts_new (MrRelay *relay);
void mr_layouts_free (MrLayouts *layouts);

/* Borrowed until the next mr_layouts_release () after its last batch's end. */
MrLayout *mr_layouts_get (MrLayouts *layouts, MrTime now, MrShardMap *map);
/* Takes down what no batch needs; not from within a callback of the engine, which
 * may be in the middle of one of the sets. */
void mr_layouts_remove_unused (MrLayouts *layouts);
/* The target at @key ("ip:port") is listed as leaving, in use already or not. */
void mr_layouts_set_leaving (MrLayouts *layouts, const char *key, gboolean leaving);
guint mr_layouts_count (const MrLayouts *layouts);

/* A batch begins to use the layout; its targets' limits become this daemon's share
 * of their slots. */
void mr_layout_acquire (MrLayout *layout, const MrPolicy *policy);
void mr_layout_release (MrLayout *layout);
/* The set of a shard, as a route names it. */
const MrRouteService *mr_layout_shard_set (const MrLayout *layout, guint shard);
/* The state of a target of the map. */
MrTargetState *mr_layout_target (const MrLayout *layout, guint index);
