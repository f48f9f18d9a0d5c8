/* Generated catalogue of goat cheese records, divided into shards.  The same seed
 * gives the same catalogue. */
#pragma once

#include <glib.h>

typedef struct _MrCatalogue MrCatalogue;

MrCatalogue *mr_catalogue_new (guint records, guint shards, guint32 seed);

/* Sets @index to the shard called @name ("shard-00" and so on); FALSE if there is none. */
gboolean mr_catalogue_find_shard (const MrCatalogue *catalogue, const char *name, guint *index);

/* Appends a JSON array of the @k records of @shard with the highest scores that contain
 * words of @query, each with key, score and data. */
void mr_catalogue_search (
    const MrCatalogue *catalogue, guint shard, const char *query, guint k, GString *out);

/* Number of records of @shard. */
guint mr_catalogue_record_count (const MrCatalogue *catalogue, guint shard);
