#include "replication.h"

#include "log.h"
#include "membership.h"

/* Minimum time between two fetches of the same version of an object. */
static const MrTime FETCH_INTERVAL = 500 * MR_MS;
/* Minimum time between two comparisons with the same peer, and how long the digests must have
 * differed before. A difference is mostly an announcement still on its way, and a comparison
 * that finds nothing costs more than the announcement. */
static const MrTime COMPARE_INTERVAL = 1 * MR_SECOND;
/* The same while the two registries are changing: objects are still arriving here, or the
 * peer's digest changes. In a large fleet whose targets are listed over seconds no two digests
 * are ever equal, and each comparison would find that all ranges differ and end in full lists. */
static const MrTime COMPARE_INTERVAL_CHANGING = 4 * MR_SECOND;
static const MrTime SETTLE_TIME = 1 * MR_SECOND;
/* Minimum time between two requests of a starting daemon to the same peer for its full list. */
static const MrTime LIST_REQUEST_INTERVAL = 100 * MR_MS;
/* Time over which announcements are batched. Changes come in bursts (282 targets that start
 * together), and one message per change and link made up a tenth of all control traffic. */
static const MrTime ANNOUNCE_DELAY = 3 * MR_MS;

enum
{
  /* A range in which the local daemon holds at most this many objects is sent as a list; a
   * larger range is subdivided. Two daemons that differ in one of 4,800 objects exchange less
   * than 1 kB. */
  LISTED_OBJECTS_MAX = 8,
  /* If more subranges than this differ, the whole range is sent as a list. */
  DIFFERING_PARTS_MAX = 8,
  BODY_BYTES_MAX = 64 * 1024, /* bodies per message; a link transfers them in 30 ms */
  /* Full lists sent per LIST_REQUEST_INTERVAL. Daemons that start together would all ask the first
   * peer that holds objects and keep its link busy for seconds; the rest ask one of those that
   * have already been served. */
  FULL_LISTS_MAX = 4,
};

static const MrHashRange FULL_RANGE = { 0 };

/* An object whose new version has not been announced yet. */
typedef struct
{
  MrObjectKind kind;
  char *name;
  char *received_from; /* peer that sent it, not announced back to it; "": the platform */
} PendingAnnouncement;

/* A member whose digest differs from the local one. */
typedef struct
{
  MrTime since;
  guint64 digest;
} DigestDifference;

struct _MrReplication
{
  MrReplicationHost *host;
  MrRegistry *registry;
  char *self;
  GHashTable *fetch_times;    /* "<kind>/<name>/<version>" -> MrTime* of the last request for it */
  GHashTable *missing_bodies; /* "<kind>/<name>" in a peer's list whose body has not arrived */
  GHashTable *request_times;  /* member -> MrTime* of the last comparison or list request */
  GHashTable *differences;    /* member -> DigestDifference */
  GHashTable *pending;        /* "<kind>/<name>" -> PendingAnnouncement */
  MrTime announce_at;         /* MR_NEVER: nothing pending */
  MrTime last_fetch;          /* when missing bodies were last requested or received */
  MrTime list_interval_start; /* start of the interval that full_lists_sent counts */
  guint full_lists_sent;
  GHashTable *list_sources; /* set of members whose full list was requested */
  gboolean complete;
  gboolean synced;
  gboolean object_stored; /* an object was stored since the last heartbeat digest */
  MrTime last_stored;     /* when such a store was last detected */
};

static void
S_pending_free (gpointer data)
{
  PendingAnnouncement *pending = data;
  g_free (pending->name);
  g_free (pending->received_from);
  g_free (pending);
}

MrReplication *
mr_replication_new (MrReplicationHost *host, MrRegistry *registry, const char *self)
{
  MrReplication *replication = g_new0 (MrReplication, 1);
  replication->host = host;
  replication->registry = registry;
  replication->self = g_strdup (self);
  replication->fetch_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  replication->missing_bodies = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  replication->request_times = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  replication->differences = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  replication->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_pending_free);
  replication->list_sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  replication->announce_at = MR_NEVER;
  return replication;
}

void
mr_replication_free (MrReplication *replication)
{
  if (!replication)
    return;
  g_hash_table_unref (replication->fetch_times);
  g_hash_table_unref (replication->missing_bodies);
  g_hash_table_unref (replication->request_times);
  g_hash_table_unref (replication->differences);
  g_hash_table_unref (replication->pending);
  g_hash_table_unref (replication->list_sources);
  g_free (replication->self);
  g_free (replication);
}

static char *
S_key (MrObjectKind kind, MrText name)
{
  return g_strdup_printf ("%d/%.*s", (int) kind, (int) name.len, name.data);
}

static MrObjectSummary
S_summary (const MrObject *object)
{
  MrObjectSummary summary = { .kind = object->kind, .version = object->version };
  g_strlcpy (summary.name, object->name, sizeof summary.name);
  return summary;
}

static void
S_record_time (GHashTable *times, const char *key, MrTime now)
{
  MrTime *recorded = g_new (MrTime, 1);
  *recorded = now;
  g_hash_table_replace (times, g_strdup (key), recorded);
}

/* Returns TRUE, and records @now, if @key has not been recorded within the last @interval. */
static gboolean
S_is_allowed_after (GHashTable *times, const char *key, MrTime now, MrTime interval)
{
  MrTime *last = g_hash_table_lookup (times, key);
  if (last && now - *last < interval)
    return FALSE;
  S_record_time (times, key, now);
  return TRUE;
}

/* Announcements */

static void
S_announce (MrReplication *replication, const char *neighbour)
{
  g_autoptr (GArray) list = g_array_new (FALSE, FALSE, sizeof (MrObjectSummary));
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, replication->pending);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const PendingAnnouncement *pending = item;
      const MrObject *object =
          mr_registry_get (replication->registry, pending->kind, pending->name);
      if (!object || g_str_equal (pending->received_from, neighbour))
        continue;
      MrObjectSummary summary = S_summary (object);
      g_array_append_val (list, summary);
    }
  if (list->len > 0)
    replication->host->send (replication->host, neighbour,
                             mr_wire_announce (replication->self,
                                               (const MrObjectSummary *) (void *) list->data,
                                               list->len));
}

MrTime
mr_replication_tick (MrReplication *replication, MrTime now)
{
  if (g_hash_table_size (replication->pending) == 0)
    return MR_NEVER;
  if (replication->announce_at == MR_NEVER)
    replication->announce_at = now + ANNOUNCE_DELAY;
  if (now < replication->announce_at)
    return replication->announce_at;
  const char *names[MR_NEIGHBOURS_MAX];
  guint count = replication->host->neighbours (replication->host, names);
  for (guint i = 0; i < count; i++)
    S_announce (replication, names[i]);
  g_hash_table_remove_all (replication->pending);
  replication->announce_at = MR_NEVER;
  return MR_NEVER;
}

/* Once the last missing object of a peer's full list has arrived, this daemon holds everything
 * that the peer holds. */
static void
S_record_arrival (MrReplication *replication, MrObjectKind kind, MrText name)
{
  g_autofree char *key = S_key (kind, name);
  if (g_hash_table_remove (replication->missing_bodies, key) &&
      g_hash_table_size (replication->missing_bodies) == 0)
    replication->synced = TRUE;
}

static void
S_log_rejected (
    MrOfferResult result, MrObjectKind kind, MrText name, guint64 version, const char *from)
{
  char text[MR_VERSION_TEXT_MAX];
  mr_version_write (version, text);
  if (result == MR_OFFER_OLD)
    mr_log (MR_LOG_NOTICE, MR_EVENT_OBJECT_OUTDATED,
            "%s/%.*s: version %s from %s is older than the stored version; ignored",
            mr_object_kind_name (kind), (int) name.len, name.data, text, from);
  if (result != MR_OFFER_BODY_REJECTED)
    return;
  mr_log (MR_LOG_NOTICE,
          kind == MR_OBJECT_TARGET ? MR_EVENT_ENTRY_UNUSABLE : MR_EVENT_OBJECT_OUTDATED,
          "%s/%.*s: version %s from %s %s; ignored", mr_object_kind_name (kind), (int) name.len,
          name.data, text, from,
          kind == MR_OBJECT_TARGET ? "was written by an earlier process or has no start time"
                                   : "has a lower number than the one in force");
}

MrOfferResult
mr_replication_offer (MrReplication *replication,
                      MrObjectKind kind,
                      MrText name,
                      guint64 version,
                      MrText body,
                      const char *from)
{
  MrOfferResult result = mr_registry_offer (replication->registry, kind, name, version, body);
  S_log_rejected (result, kind, name, version, from ? from : "the platform");
  if (from)
    S_record_arrival (replication, kind, name);
  if (result != MR_OFFER_NEW && result != MR_OFFER_BODY_REJECTED)
    return result;
  PendingAnnouncement *pending = g_new (PendingAnnouncement, 1);
  *pending = (PendingAnnouncement){
    .kind = kind,
    .name = mr_text_dup (name),
    .received_from = g_strdup (from ? from : ""),
  };
  g_hash_table_replace (replication->pending, S_key (kind, name), pending);
  replication->object_stored = TRUE;
  g_autofree char *name_string = mr_text_dup (name);
  replication->host->updated (replication->host,
                              mr_registry_get (replication->registry, kind, name_string));
  return result;
}

static void
S_offer_from_peer (MrReplication *replication,
                   const MrObjectSummary *summary,
                   MrText body,
                   const char *from)
{
  MrReplicationHost *host = replication->host;
  MrText name = mr_text (summary->name);
  if (host->defers && host->defers (host, summary->kind, name, summary->version, body))
    S_record_arrival (replication, summary->kind, name);
  else
    mr_replication_offer (replication, summary->kind, name, summary->version, body, from);
}

/* Comparison of registries */

typedef struct
{
  MrHashRange range;
  GArray *summaries; /* MrObjectSummary */
} RangeListing;

static void
S_add_summary (const MrObject *object, void *user)
{
  RangeListing *listing = user;
  MrObjectSummary summary = S_summary (object);
  if (mr_hash_range_contains (listing->range, object->key_hash))
    g_array_append_val (listing->summaries, summary);
}

/* Sends the names and versions of all objects in @range. */
static void
S_send_list (MrReplication *replication, const char *to, MrHashRange range)
{
  RangeListing listing = { .range = range,
                           .summaries = g_array_new (FALSE, FALSE, sizeof (MrObjectSummary)) };
  mr_registry_foreach (replication->registry, S_add_summary, &listing);
  replication->host->send (
      replication->host, to,
      mr_wire_range_summaries (replication->self, range,
                               (const MrObjectSummary *) (void *) listing.summaries->data,
                               listing.summaries->len));
  g_array_unref (listing.summaries);
}

static void
S_send_range_digests (MrReplication *replication, const char *to, MrHashRange range)
{
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint counts[MR_HASH_RANGE_PARTS];
  mr_registry_range_digests (replication->registry, range, digests, counts);
  replication->host->send (replication->host, to,
                           mr_wire_range_digests (replication->self, range, digests));
}

static void
S_on_range_digests (MrReplication *replication, const MrWireMessage *message)
{
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint counts[MR_HASH_RANGE_PARTS];
  guint differing = 0;
  mr_registry_range_digests (replication->registry, message->range, digests, counts);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS; i++)
    differing += digests[i] != message->digests[i];
  gboolean list_whole_range =
      differing > DIFFERING_PARTS_MAX ||
      message->range.bits + MR_HASH_RANGE_PART_BITS > MR_HASH_RANGE_MAX_BITS;
  if (list_whole_range)
    S_send_list (replication, message->sender, message->range);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS && !list_whole_range; i++)
    {
      MrHashRange part = mr_hash_range_part (message->range, i);
      if (digests[i] == message->digests[i])
        continue;
      if (counts[i] <= LISTED_OBJECTS_MAX)
        S_send_list (replication, message->sender, part);
      else
        S_send_range_digests (replication, message->sender, part);
    }
}

/* Requests the bodies of the objects whose versions in @message are newer than the stored ones. */
static void
S_fetch_newer (MrReplication *replication, MrTime now, const MrWireMessage *message)
{
  g_autoptr (GArray) wanted = g_array_new (FALSE, FALSE, sizeof (MrObjectSummary));
  /* Only a list that was requested counts as complete. A list that results from a comparison
   * may come from a peer that holds fewer objects than this daemon. */
  gboolean complete = message->type == MR_WIRE_RANGE_SUMMARIES && message->range.bits == 0 &&
                      g_hash_table_contains (replication->list_sources, message->sender);
  if (complete)
    replication->last_fetch = now;
  if (g_hash_table_size (replication->fetch_times) > MR_TARGETS_MAX)
    g_hash_table_remove_all (replication->fetch_times);
  for (guint i = 0; i < message->summary_count; i++)
    {
      const MrObjectSummary *summary = &message->summaries[i];
      if (summary->version <=
          mr_registry_version (replication->registry, summary->kind, summary->name))
        continue;
      /* Stored at once, since a round trip for a body would leave time in which calls go to
       * targets that must not get them. */
      if (mr_object_is_bodiless (summary->kind))
        {
          S_offer_from_peer (replication, summary, (MrText){ 0 }, message->sender);
          continue;
        }
      if (complete && !replication->synced)
        g_hash_table_add (replication->missing_bodies,
                          S_key (summary->kind, mr_text (summary->name)));
      g_autofree char *key = g_strdup_printf ("%d/%s/%" G_GUINT64_FORMAT, (int) summary->kind,
                                              summary->name, summary->version);
      if (S_is_allowed_after (replication->fetch_times, key, now, FETCH_INTERVAL))
        g_array_append_val (wanted, *summary);
    }
  if (wanted->len > 0)
    replication->host->send (replication->host, message->sender,
                             mr_wire_get (replication->self,
                                          (const MrObjectSummary *) (void *) wanted->data,
                                          wanted->len));
}

typedef struct
{
  const MrWireMessage *list;
  GHashTable *versions; /* "<kind>/<name>" -> MrObjectSummary of the list */
  GArray *summaries;    /* MrObjectSummary: objects that the list's sender lacks */
} MissingAtPeer;

static void
S_add_missing_at_peer (const MrObject *object, void *user)
{
  MissingAtPeer *missing = user;
  if (!mr_hash_range_contains (missing->list->range, object->key_hash))
    return;
  g_autofree char *key = S_key (object->kind, mr_text (object->name));
  const MrObjectSummary *theirs = g_hash_table_lookup (missing->versions, key);
  MrObjectSummary summary = S_summary (object);
  if (!theirs || theirs->version < object->version)
    g_array_append_val (missing->summaries, summary);
}

/* Announces to the sender of a list the objects that it lacks or holds in an older version. */
static void
S_announce_missing (MrReplication *replication, const MrWireMessage *message)
{
  MissingAtPeer missing = {
    .list = message,
    .versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .summaries = g_array_new (FALSE, FALSE, sizeof (MrObjectSummary)),
  };
  for (guint i = 0; i < message->summary_count; i++)
    g_hash_table_replace (missing.versions,
                          S_key (message->summaries[i].kind, mr_text (message->summaries[i].name)),
                          &message->summaries[i]);
  mr_registry_foreach (replication->registry, S_add_missing_at_peer, &missing);
  if (missing.summaries->len > 0)
    replication->host->send (
        replication->host, message->sender,
        mr_wire_announce (replication->self,
                          (const MrObjectSummary *) (void *) missing.summaries->data,
                          missing.summaries->len));
  g_hash_table_unref (missing.versions);
  g_array_unref (missing.summaries);
}

static gboolean
S_may_send_full_list (MrReplication *replication, MrTime now)
{
  if (now - replication->list_interval_start >= LIST_REQUEST_INTERVAL)
    {
      replication->list_interval_start = now;
      replication->full_lists_sent = 0;
    }
  return ++replication->full_lists_sent <= FULL_LISTS_MAX;
}

static void
S_on_range_summaries (MrReplication *replication, MrTime now, const MrWireMessage *message)
{
  /* An empty list of the whole range is the request of a daemon that has just started. */
  if (message->range.bits == 0 && message->summary_count == 0)
    {
      if ((replication->complete || replication->synced) &&
          mr_registry_count (replication->registry) > 0 && S_may_send_full_list (replication, now))
        S_send_list (replication, message->sender, FULL_RANGE);
      return;
    }
  S_fetch_newer (replication, now, message);
  S_announce_missing (replication, message);
}

static void
S_on_get (MrReplication *replication, const MrWireMessage *message)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  gsize bytes = 0;
  for (guint i = 0; i < message->summary_count; i++)
    {
      const MrObjectSummary *summary = &message->summaries[i];
      const MrObject *object =
          mr_registry_get (replication->registry, summary->kind, summary->name);
      if (object)
        g_ptr_array_add (found, (gpointer) object);
      bytes += object ? object->body->len : 0;
      if (found->len == 0 || (bytes < BODY_BYTES_MAX && i + 1 < message->summary_count))
        continue;
      replication->host->send (
          replication->host, message->sender,
          mr_wire_objects (replication->self, (const MrObject *const *) found->pdata, found->len));
      g_ptr_array_set_size (found, 0);
      bytes = 0;
    }
}

static void
S_on_objects (MrReplication *replication, MrTime now, const MrWireMessage *message)
{
  replication->last_fetch = now;
  for (guint i = 0; i < message->object_count; i++)
    S_offer_from_peer (replication, &message->objects[i].summary, message->objects[i].body,
                       message->sender);
}

void
mr_replication_receive (MrReplication *replication, MrTime now, const MrWireMessage *message)
{
  if (message->type == MR_WIRE_ANNOUNCE)
    S_fetch_newer (replication, now, message);
  else if (message->type == MR_WIRE_RANGE_SUMMARIES)
    S_on_range_summaries (replication, now, message);
  else if (message->type == MR_WIRE_RANGE_DIGESTS)
    S_on_range_digests (replication, message);
  else if (message->type == MR_WIRE_GET)
    S_on_get (replication, message);
  else if (message->type == MR_WIRE_OBJECTS)
    S_on_objects (replication, now, message);
}

/* TRUE if the difference may be due to announcements on their way. Updates the stored @digest. */
static gboolean
S_is_changing (MrReplication *replication, MrTime now, DigestDifference *difference, guint64 digest)
{
  gboolean peer_is_changing = difference->digest != digest;
  difference->digest = digest;
  return peer_is_changing ||
         (replication->last_stored != 0 && now - replication->last_stored < SETTLE_TIME);
}

/* TRUE if a comparison with @from is due, given that its @digest differs. */
static gboolean
S_is_compare_due (MrReplication *replication, MrTime now, const char *from, guint64 digest)
{
  DigestDifference *difference = g_hash_table_lookup (replication->differences, from);
  if (!difference)
    {
      difference = g_new (DigestDifference, 1);
      *difference = (DigestDifference){ .since = now, .digest = digest };
      g_hash_table_insert (replication->differences, g_strdup (from), difference);
    }
  /* A daemon that has just started does not wait, because it needs the result of the comparison. */
  MrTime wait = replication->synced ? COMPARE_INTERVAL : 0;
  if (S_is_changing (replication, now, difference, digest))
    wait = COMPARE_INTERVAL_CHANGING;
  if (now - difference->since < wait ||
      !S_is_allowed_after (replication->request_times, from, now, COMPARE_INTERVAL))
    return FALSE;
  if (wait == COMPARE_INTERVAL_CHANGING)
    difference->since = now;
  return TRUE;
}

void
mr_replication_receive_digest (
    MrReplication *replication, MrTime now, const char *from, guint64 digest, gboolean starts)
{
  if (replication->object_stored)
    replication->last_stored = now;
  replication->object_stored = FALSE;
  if (digest == mr_registry_digest (replication->registry))
    {
      g_hash_table_remove (replication->differences, from);
      replication->synced =
          replication->synced || (!starts && mr_registry_count (replication->registry) > 0);
      return;
    }
  if (mr_registry_count (replication->registry) == 0)
    mr_replication_request_list (replication, now, from);
  else if (S_is_compare_due (replication, now, from, digest))
    S_send_range_digests (replication, from, FULL_RANGE);
}

void
mr_replication_request_list (MrReplication *replication, MrTime now, const char *name)
{
  if (replication->synced || mr_replication_is_fetching (replication, now) ||
      !S_is_allowed_after (replication->request_times, name, now, LIST_REQUEST_INTERVAL))
    return;
  g_hash_table_add (replication->list_sources, g_strdup (name));
  replication->host->send (replication->host, name,
                           mr_wire_range_summaries (replication->self, FULL_RANGE, NULL, 0));
}

void
mr_replication_set_complete (MrReplication *replication)
{
  replication->complete = TRUE;
}

gboolean
mr_replication_is_fetching (const MrReplication *replication, MrTime now)
{
  return g_hash_table_size (replication->missing_bodies) > 0 &&
         now - replication->last_fetch < FETCH_INTERVAL;
}

gboolean
mr_replication_is_synced (const MrReplication *replication)
{
  return replication->synced;
}
