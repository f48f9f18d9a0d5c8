#include "replication.h"

#include "log.h"
#include "membership.h"

/* An object asked for is not asked for again before this. */
static const MrTime GET_GAP = 500 * MR_MS;
/* Two daemons compare what they hold at most this often, and only once their digests
 * have differed this long: news is mostly on its way, and a comparison that finds
 * nothing costs more than the news. */
static const MrTime COMPARE_GAP = 1 * MR_SECOND;
/* While objects come in here, or the other's digest changes, the difference is news under
 * way: in a fleet whose targets are listed over seconds no two digests are ever the same,
 * and each comparison finds all ranges differ and ends in whole lists.  Then it has to last
 * this long, and again before the next. */
static const MrTime COMPARE_GAP_MOVING = 4 * MR_SECOND;
static const MrTime SETTLED = 1 * MR_SECOND;
/* One that has just started asks the same peer for its list not more often than this. */
static const MrTime ASK_GAP = 100 * MR_MS;
/* News is gathered for this long: changes come in bursts (282 targets that start), and
 * one message for each, over each link, was a tenth of all control bytes. */
static const MrTime GATHER = 3 * MR_MS;

enum
{
  /* A range in which the asked daemon holds this many at most is listed, a larger
   * one is divided: two that differ in one object of 4,800 exchange under 1 kB. */
  LISTED_MOST = 8,
  /* With more parts than this that differ the whole range is listed. */
  PARTS_MOST = 8,
  OBJECTS_BYTES = 64 * 1024, /* of bodies in one message; a link carries it in 30 ms */
  /* Whole lists that are sent within ASK_GAP: all that start together would ask the
   * first that holds something, and its link would be busy for seconds; the others
   * ask one of those that have been served. */
  LISTS_AT_ONCE = 4,
};

static const MrHashRange EVERYTHING = { 0 };

/* News that is gathered, until the neighbours are told. */
typedef struct
{
  MrObjectKind kind;
  char *name;
  char *teller; /* "": the platform */
} Untold;

/* A member whose digest differs from ours. */
typedef struct
{
  MrTime since;
  guint64 digest;
} Differs;

struct _MrReplication
{
  MrReplicationHost *host;
  MrRegistry *registry;
  char *self;
  GHashTable *asked;    /* "<kind>/<name>/<version>" -> MrTime* of the last GET */
  GHashTable *missing;  /* "<kind>/<name>" of a peer's list, not here yet */
  GHashTable *compared; /* member -> MrTime* */
  GHashTable *differs;  /* member -> Differs */
  GHashTable *untold;   /* "<kind>/<name>" -> Untold */
  MrTime tell_at;       /* MR_NEVER: nothing gathered */
  MrTime fetch_at;      /* when bodies that are missing were asked for, or the latest came */
  MrTime listed_at;     /* first of the whole lists that count */
  guint listed;
  GHashTable *lenders; /* set of members that were asked for all that they hold */
  gboolean complete;
  gboolean synced;
  gboolean taken;  /* an object, since a digest was looked at */
  MrTime taken_at; /* the latest, as seen then */
};

static void
S_untold_free (gpointer data)
{
  Untold *untold = data;
  g_free (untold->name);
  g_free (untold->teller);
  g_free (untold);
}

MrReplication *
mr_replication_new (MrReplicationHost *host, MrRegistry *registry, const char *self)
{
  MrReplication *spread = g_new0 (MrReplication, 1);
  spread->host = host;
  spread->registry = registry;
  spread->self = g_strdup (self);
  spread->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  spread->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  spread->compared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  spread->differs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  spread->untold = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_untold_free);
  spread->lenders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  spread->tell_at = MR_NEVER;
  return spread;
}

void
mr_replication_free (MrReplication *spread)
{
  if (!spread)
    return;
  g_hash_table_unref (spread->asked);
  g_hash_table_unref (spread->missing);
  g_hash_table_unref (spread->compared);
  g_hash_table_unref (spread->differs);
  g_hash_table_unref (spread->untold);
  g_hash_table_unref (spread->lenders);
  g_free (spread->self);
  g_free (spread);
}

static char *
S_key (MrObjectKind kind, MrText name)
{
  return g_strdup_printf ("%d/%.*s", (int) kind, (int) name.len, name.data);
}

static MrNews
S_news (const MrObject *object)
{
  MrNews news = { .kind = object->kind, .version = object->version };
  g_strlcpy (news.name, object->name, sizeof news.name);
  return news;
}

static void
S_note_time (GHashTable *times, const char *key, MrTime now)
{
  MrTime *noted = g_new (MrTime, 1);
  *noted = now;
  g_hash_table_replace (times, g_strdup (key), noted);
}

/* TRUE, and noted, if @key was not used in the last @gap. */
static gboolean
S_once_in (GHashTable *times, const char *key, MrTime now, MrTime gap)
{
  MrTime *last = g_hash_table_lookup (times, key);
  if (last && now - *last < gap)
    return FALSE;
  S_note_time (times, key, now);
  return TRUE;
}

/* Telling. */

static void
S_tell (MrReplication *spread, const char *neighbour)
{
  g_autoptr (GArray) list = g_array_new (FALSE, FALSE, sizeof (MrNews));
  GHashTableIter iter;
  gpointer item = NULL;
  g_hash_table_iter_init (&iter, spread->untold);
  while (g_hash_table_iter_next (&iter, NULL, &item))
    {
      const Untold *untold = item;
      const MrObject *object = mr_registry_get (spread->registry, untold->kind, untold->name);
      if (!object || g_str_equal (untold->teller, neighbour))
        continue;
      MrNews news = S_news (object);
      g_array_append_val (list, news);
    }
  if (list->len > 0)
    spread->host->send (
        spread->host, neighbour,
        mr_wire_news (spread->self, (const MrNews *) (void *) list->data, list->len));
}

MrTime
mr_replication_tick (MrReplication *spread, MrTime now)
{
  if (g_hash_table_size (spread->untold) == 0)
    return MR_NEVER;
  if (spread->tell_at == MR_NEVER)
    spread->tell_at = now + GATHER;
  if (now < spread->tell_at)
    return spread->tell_at;
  const char *names[MR_NEIGHBOURS_MAX];
  guint count = spread->host->neighbours (spread->host, names);
  for (guint i = 0; i < count; i++)
    S_tell (spread, names[i]);
  g_hash_table_remove_all (spread->untold);
  spread->tell_at = MR_NEVER;
  return MR_NEVER;
}

/* With the last object of a peer's whole list this daemon knows what that peer knows. */
static void
S_note_arrival (MrReplication *spread, MrObjectKind kind, MrText name)
{
  g_autofree char *key = S_key (kind, name);
  if (g_hash_table_remove (spread->missing, key) && g_hash_table_size (spread->missing) == 0)
    spread->synced = TRUE;
}

MrOfferResult
mr_replication_offer (MrReplication *spread,
                      MrObjectKind kind,
                      MrText name,
                      guint64 version,
                      MrText body,
                      const char *from)
{
  MrOfferResult offer = mr_registry_offer (spread->registry, kind, name, version, body);
  if (offer == MR_OFFER_OLD)
    mr_log (MR_LOG_NOTICE, MR_EVENT_OBJECT_OLD,
            "%s/%.*s: version %" G_GUINT64_FORMAT " from %s is older than ours; passed over",
            mr_object_kind_name (kind), (int) name.len, name.data, version,
            from ? from : "the platform");
  if (offer == MR_OFFER_BODY_REJECTED)
    mr_log (MR_LOG_NOTICE, MR_EVENT_ENTRY_UNUSABLE,
            "%s/%.*s: version %" G_GUINT64_FORMAT
            " from %s was written by an earlier process or tells no start; passed over",
            mr_object_kind_name (kind), (int) name.len, name.data, version,
            from ? from : "the platform");
  if (from)
    S_note_arrival (spread, kind, name);
  if (offer != MR_OFFER_NEW && offer != MR_OFFER_BODY_REJECTED)
    return offer;
  Untold *untold = g_new (Untold, 1);
  *untold = (Untold){
    .kind = kind,
    .name = mr_text_dup (name),
    .teller = g_strdup (from ? from : ""),
  };
  g_hash_table_replace (spread->untold, S_key (kind, name), untold);
  spread->taken = TRUE;
  g_autofree char *own_name = mr_text_dup (name);
  spread->host->updated (spread->host, mr_registry_get (spread->registry, kind, own_name));
  return offer;
}

/* Comparing. */

typedef struct
{
  MrHashRange range;
  GArray *news; /* MrNews */
} Listing;

static void
S_add_news (const MrObject *object, void *user)
{
  Listing *listing = user;
  MrNews news = S_news (object);
  if (mr_hash_range_contains (listing->range, object->key_hash))
    g_array_append_val (listing->news, news);
}

/* All that is held here in @range, by name and version. */
static void
S_send_list (MrReplication *spread, const char *to, MrHashRange range)
{
  Listing listing = { .range = range, .news = g_array_new (FALSE, FALSE, sizeof (MrNews)) };
  mr_registry_foreach (spread->registry, S_add_news, &listing);
  spread->host->send (spread->host, to,
                      mr_wire_list (spread->self, range,
                                    (const MrNews *) (void *) listing.news->data,
                                    listing.news->len));
  g_array_unref (listing.news);
}

static void
S_send_ranges (MrReplication *spread, const char *to, MrHashRange range)
{
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint counts[MR_HASH_RANGE_PARTS];
  mr_registry_range_digests (spread->registry, range, digests, counts);
  spread->host->send (spread->host, to, mr_wire_ranges (spread->self, range, digests));
}

static void
S_on_ranges (MrReplication *spread, const MrWireMessage *message)
{
  guint64 digests[MR_HASH_RANGE_PARTS];
  guint counts[MR_HASH_RANGE_PARTS];
  guint differ = 0;
  mr_registry_range_digests (spread->registry, message->range, digests, counts);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS; i++)
    differ += digests[i] != message->digests[i];
  gboolean whole =
      differ > PARTS_MOST || message->range.bits + MR_HASH_RANGE_PART_BITS > MR_HASH_RANGE_MAX_BITS;
  if (whole)
    S_send_list (spread, message->sender, message->range);
  for (guint i = 0; i < MR_HASH_RANGE_PARTS && !whole; i++)
    {
      MrHashRange part = mr_hash_range_part (message->range, i);
      if (digests[i] == message->digests[i])
        continue;
      if (counts[i] <= LISTED_MOST)
        S_send_list (spread, message->sender, part);
      else
        S_send_ranges (spread, message->sender, part);
    }
}

/* Asks for the bodies of those of @message's objects that are newer than ours. */
static void
S_get_newer (MrReplication *spread, MrTime now, const MrWireMessage *message)
{
  g_autoptr (GArray) wanted = g_array_new (FALSE, FALSE, sizeof (MrNews));
  /* A list that a comparison brings may be of one that lacks more than we do. */
  gboolean whole = message->type == MR_WIRE_LIST && message->range.bits == 0 &&
                   g_hash_table_contains (spread->lenders, message->sender);
  if (whole)
    spread->fetch_at = now;
  if (g_hash_table_size (spread->asked) > MR_TARGETS_MAX)
    g_hash_table_remove_all (spread->asked);
  for (guint i = 0; i < message->news_count; i++)
    {
      const MrNews *news = &message->news[i];
      if (news->version <= mr_registry_version (spread->registry, news->kind, news->name))
        continue;
      /* No round trip for a body, while which calls would go where they must not. */
      if (mr_object_is_bodiless (news->kind))
        {
          mr_replication_offer (spread, news->kind, mr_text (news->name), news->version,
                                (MrText){ 0 }, message->sender);
          continue;
        }
      if (whole && !spread->synced)
        g_hash_table_add (spread->missing, S_key (news->kind, mr_text (news->name)));
      g_autofree char *key =
          g_strdup_printf ("%d/%s/%" G_GUINT64_FORMAT, (int) news->kind, news->name, news->version);
      if (S_once_in (spread->asked, key, now, GET_GAP))
        g_array_append_val (wanted, *news);
    }
  if (wanted->len > 0)
    spread->host->send (
        spread->host, message->sender,
        mr_wire_get (spread->self, (const MrNews *) (void *) wanted->data, wanted->len));
}

typedef struct
{
  const MrWireMessage *list;
  GHashTable *versions; /* "<kind>/<name>" -> MrNews of the list */
  GArray *news;         /* MrNews: what the list's sender lacks */
} Lacking;

static void
S_add_lacking (const MrObject *object, void *user)
{
  Lacking *lacking = user;
  if (!mr_hash_range_contains (lacking->list->range, object->key_hash))
    return;
  g_autofree char *key = S_key (object->kind, mr_text (object->name));
  const MrNews *theirs = g_hash_table_lookup (lacking->versions, key);
  MrNews news = S_news (object);
  if (!theirs || theirs->version < object->version)
    g_array_append_val (lacking->news, news);
}

/* Tells the sender of a list what it holds in an older version or not at all. */
static void
S_tell_lacking (MrReplication *spread, const MrWireMessage *message)
{
  Lacking lacking = {
    .list = message,
    .versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .news = g_array_new (FALSE, FALSE, sizeof (MrNews)),
  };
  for (guint i = 0; i < message->news_count; i++)
    g_hash_table_replace (lacking.versions,
                          S_key (message->news[i].kind, mr_text (message->news[i].name)),
                          &message->news[i]);
  mr_registry_foreach (spread->registry, S_add_lacking, &lacking);
  if (lacking.news->len > 0)
    spread->host->send (spread->host, message->sender,
                        mr_wire_news (spread->self, (const MrNews *) (void *) lacking.news->data,
                                      lacking.news->len));
  g_hash_table_unref (lacking.versions);
  g_array_unref (lacking.news);
}

static gboolean
S_may_list_all (MrReplication *spread, MrTime now)
{
  if (now - spread->listed_at >= ASK_GAP)
    {
      spread->listed_at = now;
      spread->listed = 0;
    }
  return ++spread->listed <= LISTS_AT_ONCE;
}

static void
S_on_list (MrReplication *spread, MrTime now, const MrWireMessage *message)
{
  /* Its sender holds nothing: it has just started, and asks for all. */
  if (message->range.bits == 0 && message->news_count == 0)
    {
      if ((spread->complete || spread->synced) && mr_registry_count (spread->registry) > 0 &&
          S_may_list_all (spread, now))
        S_send_list (spread, message->sender, EVERYTHING);
      return;
    }
  S_get_newer (spread, now, message);
  S_tell_lacking (spread, message);
}

static void
S_on_get (MrReplication *spread, const MrWireMessage *message)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  gsize bytes = 0;
  for (guint i = 0; i < message->news_count; i++)
    {
      const MrNews *news = &message->news[i];
      const MrObject *object = mr_registry_get (spread->registry, news->kind, news->name);
      if (object)
        g_ptr_array_add (found, (gpointer) object);
      bytes += object ? object->body->len : 0;
      if (found->len == 0 || (bytes < OBJECTS_BYTES && i + 1 < message->news_count))
        continue;
      spread->host->send (
          spread->host, message->sender,
          mr_wire_objects (spread->self, (const MrObject *const *) found->pdata, found->len));
      g_ptr_array_set_size (found, 0);
      bytes = 0;
    }
}

static void
S_on_objects (MrReplication *spread, MrTime now, const MrWireMessage *message)
{
  spread->fetch_at = now;
  for (guint i = 0; i < message->object_count; i++)
    {
      const MrNews *news = &message->objects[i].news;
      mr_replication_offer (spread, news->kind, mr_text (news->name), news->version,
                            message->objects[i].body, message->sender);
    }
}

void
mr_replication_receive (MrReplication *spread, MrTime now, const MrWireMessage *message)
{
  if (message->type == MR_WIRE_NEWS)
    S_get_newer (spread, now, message);
  else if (message->type == MR_WIRE_LIST)
    S_on_list (spread, now, message);
  else if (message->type == MR_WIRE_RANGES)
    S_on_ranges (spread, message);
  else if (message->type == MR_WIRE_GET)
    S_on_get (spread, message);
  else if (message->type == MR_WIRE_OBJECTS)
    S_on_objects (spread, now, message);
}

/* TRUE if what @differs from here may be on its way. */
static gboolean
S_is_moving (MrReplication *spread, MrTime now, Differs *differs, guint64 digest)
{
  gboolean other_moves = differs->digest != digest;
  differs->digest = digest;
  return other_moves || (spread->taken_at != 0 && now - spread->taken_at < SETTLED);
}

/* TRUE if a comparison with @from, whose digest is another, is due. */
static gboolean
S_compare_due (MrReplication *spread, MrTime now, const char *from, guint64 digest)
{
  Differs *differs = g_hash_table_lookup (spread->differs, from);
  if (!differs)
    {
      differs = g_new (Differs, 1);
      *differs = (Differs){ .since = now, .digest = digest };
      g_hash_table_insert (spread->differs, g_strdup (from), differs);
    }
  /* A process that has just started waits for what the comparison brings. */
  MrTime patience = spread->synced ? COMPARE_GAP : 0;
  if (S_is_moving (spread, now, differs, digest))
    patience = COMPARE_GAP_MOVING;
  if (now - differs->since < patience || !S_once_in (spread->compared, from, now, COMPARE_GAP))
    return FALSE;
  if (patience == COMPARE_GAP_MOVING)
    differs->since = now;
  return TRUE;
}

void
mr_replication_receive_digest (
    MrReplication *spread, MrTime now, const char *from, guint64 digest, gboolean starts)
{
  if (spread->taken)
    spread->taken_at = now;
  spread->taken = FALSE;
  if (digest == mr_registry_digest (spread->registry))
    {
      g_hash_table_remove (spread->differs, from);
      spread->synced = spread->synced || (!starts && mr_registry_count (spread->registry) > 0);
      return;
    }
  if (mr_registry_count (spread->registry) == 0)
    mr_replication_request_list (spread, now, from);
  else if (S_compare_due (spread, now, from, digest))
    S_send_ranges (spread, from, EVERYTHING);
}

void
mr_replication_request_list (MrReplication *spread, MrTime now, const char *name)
{
  if (spread->synced || mr_replication_is_fetching (spread, now) ||
      !S_once_in (spread->compared, name, now, ASK_GAP))
    return;
  g_hash_table_add (spread->lenders, g_strdup (name));
  spread->host->send (spread->host, name, mr_wire_list (spread->self, EVERYTHING, NULL, 0));
}

void
mr_replication_set_complete (MrReplication *spread)
{
  spread->complete = TRUE;
}

gboolean
mr_replication_is_fetching (const MrReplication *spread, MrTime now)
{
  return g_hash_table_size (spread->missing) > 0 && now - spread->fetch_at < GET_GAP;
}

gboolean
mr_replication_is_synced (const MrReplication *spread)
{
  return spread->synced;
}
