/* Which listed objects are gone, from full listings in pages and from single
 * removals, in spite of outages of the store.
 *
 * Targets renew their entries at the store.  In an outage the entries lapse
 * although their targets live, and come back within GRACE of its return; taken
 * at once, such removals would take every target out of use at the worst
 * moment.  So a removal that is learned around an outage is held back for GRACE
 * and dropped if the entry comes back.  One that is learned in calm times is
 * passed on at once: its target has left. */
#pragma once

#include "clock.h"
#include "text.h"
#include <stdbool.h>

typedef struct _MrRemovalFilter MrRemovalFilter;

MrRemovalFilter *mr_removal_filter_new (void);
void mr_removal_filter_free (MrRemovalFilter *listing);

/* The store does not answer, or answers again. */
void mr_removal_filter_set_store_up (MrRemovalFilter *listing, MrTime now, bool up);

/* How many objects are known: a lapse takes a good part of them. */
void mr_removal_filter_set_object_count (MrRemovalFilter *listing, unsigned known);

/* A full listing begins; what it does not name was gone at @version. */
void mr_removal_filter_begin_listing (MrRemovalFilter *listing, guint64 version);
guint64 mr_removal_filter_listing_version (const MrRemovalFilter *listing);

/* The object exists at @version: named in a listing or in an event. */
void mr_removal_filter_add_present (MrRemovalFilter *listing, const char *name, guint64 version);

/* TRUE if the listing under way has named it. */
bool mr_removal_filter_is_listed (const MrRemovalFilter *listing, const char *name);

/* The object was removed at @version. */
void mr_removal_filter_add_removed (MrRemovalFilter *listing,
                                    MrTime now,
                                    const char *name,
                                    guint64 version);

/* Takes a removal that is to be believed by now; false if there is none.
 * @name is new. */
bool
mr_removal_filter_take_due (MrRemovalFilter *listing, MrTime now, char **name, guint64 *version);

/* When the next removal is to be believed; MR_NEVER if there is none. */
MrTime mr_removal_filter_next_due (const MrRemovalFilter *listing);
