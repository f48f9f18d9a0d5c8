#include "spread.h"

#include "log.h"
#include "membership.h"

/* An object asked for is not asked for again before this. */
static const MrTime GET_GAP = 500 * MR_MS;
/* Two daemons compare lists at most this often. */
static const MrTime COMPARE_GAP = 1 * MR_SECOND;

struct _MrSpread
{
  MrSpreadHost *host;
  MrRegistry *registry;
  char *self;
  GHashTable *asked;    /* "<kind>/<name>" -> MrTime* of the last GET */
  GHashTable *missing;  /* "<kind>/<name>" of a peer's list, not here yet */
  GHashTable *compared; /* member -> MrTime* */
  gboolean synced;
};

MrSpread *
mr_spread_new (MrSpreadHost *host, MrRegistry *registry, const char *self)
{
  MrSpread *spread = g_new0 (MrSpread, 1);
  spread->host = host;
  spread->registry = registry;
  spread->self = g_strdup (self);
  spread->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  spread->missing = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  spread->compared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return spread;
}

void
mr_spread_free (MrSpread *spread)
{
  if (!spread)
    return;
  g_hash_table_unref (spread->asked);
  g_hash_table_unref (spread->missing);
  g_hash_table_unref (spread->compared);
  g_free (spread->self);
  g_free (spread);
}

/* TRUE, and noted, if @key was not used in the last @gap. */
static gboolean
S_once_in (GHashTable *times, const char *key, MrTime now, MrTime gap)
{
  MrTime *last = g_hash_table_lookup (times, key);
  if (last && now - *last < gap)
    return FALSE;
  MrTime *noted = g_new (MrTime, 1);
  *noted = now;
  g_hash_table_replace (times, g_strdup (key), noted);
  return TRUE;
}

static void
S_tell (MrSpread *spread, const MrObject *object, const char *except)
{
  MrNews news = { .kind = object->kind, .version = object->version };
  g_strlcpy (news.name, object->name, sizeof news.name);
  const char *names[MR_RINGS];
  guint count = spread->host->successors (spread->host, names);
  for (guint i = 0; i < count; i++)
    if (!except || !g_str_equal (names[i], except))
      spread->host->send (spread->host, names[i], mr_wire_news (spread->self, &news, 1));
}

/* A list of more than one object is all that its sender holds: with the last of
 * it this daemon knows what a peer knows. */
static void
S_note_arrival (MrSpread *spread, MrObjectKind kind, MrText name)
{
  g_autofree char *key = g_strdup_printf ("%d/%.*s", (int) kind, (int) name.len, name.data);
  if (g_hash_table_remove (spread->missing, key) && g_hash_table_size (spread->missing) == 0)
    spread->synced = TRUE;
}

MrOffer
mr_spread_offer (MrSpread *spread,
                 MrObjectKind kind,
                 MrText name,
                 guint64 version,
                 MrText body,
                 const char *from)
{
  MrOffer offer = mr_registry_offer (spread->registry, kind, name, version, body);
  if (offer == MR_OFFER_OLD)
    mr_log (MR_LOG_NOTICE, MR_EVENT_OBJECT_OLD,
            "%s/%.*s: version %" G_GUINT64_FORMAT " from %s is older than ours; passed over",
            mr_object_kind_name (kind), (int) name.len, name.data, version,
            from ? from : "the platform");
  if (offer == MR_OFFER_KEPT)
    mr_log (MR_LOG_NOTICE, MR_EVENT_ENTRY_UNUSABLE,
            "%s/%.*s: version %" G_GUINT64_FORMAT
            " from %s was written by an earlier process or tells no start; passed over",
            mr_object_kind_name (kind), (int) name.len, name.data, version,
            from ? from : "the platform");
  if (from)
    S_note_arrival (spread, kind, name);
  if (offer != MR_OFFER_NEW && offer != MR_OFFER_KEPT)
    return offer;
  g_autofree char *key = mr_text_dup (name);
  const MrObject *object = mr_registry_get (spread->registry, kind, key);
  S_tell (spread, object, from);
  spread->host->taken (spread->host, object);
  return offer;
}

typedef struct
{
  MrNews *news;
  guint count;
} NewsList;

static void
S_add_news (const MrObject *object, void *user)
{
  NewsList *list = user;
  MrNews *news = &list->news[list->count++];
  *news = (MrNews){ .kind = object->kind, .version = object->version };
  g_strlcpy (news->name, object->name, sizeof news->name);
}

/* All that is held here, by name and version; a list of nothing asks for theirs. */
static void
S_send_list (MrSpread *spread, const char *to)
{
  g_autofree MrNews *news = g_new (MrNews, mr_registry_count (spread->registry) + 1);
  NewsList list = { .news = news };
  mr_registry_foreach (spread->registry, S_add_news, &list);
  spread->host->send (spread->host, to, mr_wire_news (spread->self, news, list.count));
}

static void
S_on_news (MrSpread *spread, MrTime now, const MrWireMessage *message)
{
  /* Its sender holds nothing: it has just started, and asks for all. */
  if (message->news_count == 0 && mr_registry_count (spread->registry) > 0)
    S_send_list (spread, message->sender);
  for (guint i = 0; i < message->news_count; i++)
    {
      const MrNews *news = &message->news[i];
      if (news->version <= mr_registry_version (spread->registry, news->kind, news->name))
        continue;
      if (message->news_count > 1 && !spread->synced)
        g_hash_table_add (spread->missing, g_strdup_printf ("%d/%s", (int) news->kind, news->name));
      g_autofree char *key =
          g_strdup_printf ("%d/%s/%" G_GUINT64_FORMAT, (int) news->kind, news->name, news->version);
      if (g_hash_table_size (spread->asked) > MR_TARGETS_MAX)
        g_hash_table_remove_all (spread->asked);
      if (S_once_in (spread->asked, key, now, GET_GAP))
        spread->host->send (spread->host, message->sender,
                            mr_wire_get (spread->self, news->kind, news->name));
    }
}

void
mr_spread_receive (MrSpread *spread, MrTime now, const MrWireMessage *message)
{
  if (message->type == MR_WIRE_NEWS)
    S_on_news (spread, now, message);
  else if (message->type == MR_WIRE_GET)
    {
      const MrObject *object =
          mr_registry_get (spread->registry, message->object.kind, message->object.name);
      if (object)
        spread->host->send (spread->host, message->sender, mr_wire_object (spread->self, object));
    }
  else if (message->type == MR_WIRE_OBJECT)
    mr_spread_offer (spread, message->object.kind, mr_text (message->object.name),
                     message->object.version, message->body, message->sender);
}

void
mr_spread_digest (MrSpread *spread, MrTime now, const char *from, guint64 digest)
{
  guint count = mr_registry_count (spread->registry);
  if (digest == mr_registry_digest (spread->registry))
    {
      spread->synced = spread->synced || count > 0;
      return;
    }
  /* A list of nothing costs as little as the heartbeat that it answers, and a
   * process that has just started waits for what it brings. */
  if (count == 0 || S_once_in (spread->compared, from, now, COMPARE_GAP))
    S_send_list (spread, from);
}

void
mr_spread_ask (MrSpread *spread, const char *name)
{
  if (!spread->synced && g_hash_table_size (spread->missing) == 0)
    spread->host->send (spread->host, name, mr_wire_news (spread->self, NULL, 0));
}

gboolean
mr_spread_synced (const MrSpread *spread)
{
  return spread->synced;
}
