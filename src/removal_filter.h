/* Filter that delays removals of objects which an outage of the store may have caused.
 *
 * Targets renew their entries at the store. During an outage the entries expire although the
 * targets are alive, and the targets write them again soon after the store returns. If such
 * removals were applied at once, all targets would go out of use at the worst moment. A
 * removal that is learned around an outage, or in a burst that suggests an undetected outage,
 * is therefore delayed for a grace period and discarded if the entry reappears. Any other
 * removal is applied at once, because the target has left.
 *
 * Removals are learned from events and from full paged listings that lack an object. */
#pragma once

#include "clock.h"
#include "text.h"
#include <stdbool.h>

typedef struct _MrRemovalFilter MrRemovalFilter;

MrRemovalFilter *mr_removal_filter_new (void);
void mr_removal_filter_free (MrRemovalFilter *filter);

/* Reports whether the store answers. */
void mr_removal_filter_set_store_up (MrRemovalFilter *filter, MrTime now, bool up);

/* Reports that the store has come back from a copy: targets write again what it lacks. */
void mr_removal_filter_set_restored (MrRemovalFilter *filter, MrTime now);

/* Sets the number of known objects. A burst that removes a large part of them is treated as an
 * outage. */
void mr_removal_filter_set_object_count (MrRemovalFilter *filter, unsigned object_count);

/* Starts a full listing. An object that the listing lacks was removed at @version. */
void mr_removal_filter_begin_listing (MrRemovalFilter *filter, guint64 version);
guint64 mr_removal_filter_listing_version (const MrRemovalFilter *filter);

/* Reports that the object exists at @version, as seen in a listing or an event. */
void mr_removal_filter_add_present (MrRemovalFilter *filter, const char *name, guint64 version);

/* TRUE if the current listing contains the object. */
bool mr_removal_filter_is_listed (const MrRemovalFilter *filter, const char *name);

/* Reports that the object was removed at @version. */
void mr_removal_filter_add_removed (MrRemovalFilter *filter,
                                    MrTime now,
                                    const char *name,
                                    guint64 version);

/* Takes one removal that is due. Returns false if there is none. The caller frees @name. */
bool
mr_removal_filter_take_due (MrRemovalFilter *filter, MrTime now, char **name, guint64 *version);

/* Returns when the next removal is due, or MR_NEVER if there is none. */
MrTime mr_removal_filter_next_due (const MrRemovalFilter *filter);
