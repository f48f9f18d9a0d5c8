#include "soak.h"

#include <stdio.h>

enum
{
  RATE = 5, /* of the limited organisation, requests per second */
  BURST = 5,
  WINDOW_MS = 5000,
  SLACK = 20,
  /* One seed in so many runs without organisations. */
  SEEDS_PER_PLAIN_ONE = 4,
};

/* (RATE * window + BURST) * (1 + overage) + SLACK, as in the relays' settings. */
static const double OVERAGE = 0.1;
/* A new version is in force on all relays within this time. */
static const MrTime KEY_DELAY_MAX = 5 * MR_SECOND;
/* A version that one undisturbed relay has is on all within this time. */
static const MrTime PEER_DELAY_MAX = 1500 * MR_MS;

static SoakKey *
S_add_key (Soak *s, guint organisation, gboolean permanent)
{
  SoakKey *key = g_new0 (SoakKey, 1);
  g_snprintf (key->text, sizeof key->text, "sEcReT-%u-%u", organisation, s->keys.keys->len);
  key->organisation = organisation;
  key->permanent = permanent;
  key->added_version = s->version + 1;
  g_ptr_array_add (s->keys.keys, key);
  return key;
}

static void
S_schedule_change (Soak *s)
{
  s->keys.next =
      mr_now () + (MrTime) (g_rand_double_range (s->keys.random, 0.5, 5) * (double) MR_SECOND);
}

void
soak_keys_init (Soak *s, guint32 seed)
{
  s->keys = (Keys){
    .random = g_rand_new_with_seed (seed + 5),
    .in_use = seed % SEEDS_PER_PLAIN_ONE != 0,
    .keys = g_ptr_array_new_with_free_func (g_free),
    .expected = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .limited = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  for (guint i = 0; i < ORGANISATIONS; i++)
    {
      S_add_key (s, i, TRUE);
      S_add_key (s, i, FALSE)->added_at = mr_now ();
    }
  S_schedule_change (s);
}

static const SoakKey *
S_key (const Soak *s, guint index)
{
  return g_ptr_array_index (s->keys.keys, index);
}

char *
soak_keys_configuration (const Soak *s)
{
  GString *out = g_string_new (NULL);
  if (!s->keys.in_use)
    return g_string_free (out, FALSE);
  for (guint i = 0; i < ORGANISATIONS; i++)
    {
      gboolean limited = i == LIMITED_ORGANISATION;
      gboolean first = TRUE;
      g_string_append_printf (out,
                              "%s{\"name\":\"org%u\",\"priority\":0,\"rate_per_s\":%d,"
                              "\"burst\":%d,\"api_keys\":[",
                              i == 0 ? "\"tenants\":[" : ",", i, limited ? RATE : 0,
                              limited ? BURST : 0);
      for (guint k = 0; k < s->keys.keys->len; k++)
        if (S_key (s, k)->organisation == i && S_key (s, k)->removed_version == 0)
          {
            g_string_append_printf (out, "%s\"%s\"", first ? "" : ",", S_key (s, k)->text);
            first = FALSE;
          }
      g_string_append (out, "]}");
    }
  return g_string_free (g_string_append (out, "],"), FALSE);
}

/* Returns a random key that may be removed, or NULL. */
static SoakKey *
S_removable_key (Soak *s)
{
  guint start = (guint) g_rand_int_range (s->keys.random, 0, (gint32) s->keys.keys->len);
  for (guint i = 0; i < s->keys.keys->len; i++)
    {
      SoakKey *key = g_ptr_array_index (s->keys.keys, (start + i) % s->keys.keys->len);
      if (!key->permanent && key->removed_version == 0)
        return key;
    }
  return NULL;
}

void
soak_change_keys (Soak *s)
{
  SoakKey *removed = NULL;
  SoakKey *added = NULL;
  if (!s->keys.in_use || s->now < s->keys.next)
    return;
  if (g_rand_boolean (s->keys.random))
    removed = S_removable_key (s);
  if (removed)
    removed->removed_version = s->version + 1;
  else
    added = S_add_key (s, (guint) g_rand_int_range (s->keys.random, 0, ORGANISATIONS), FALSE);
  s->version++;
  soak_rewrite_configuration (s);
  s->keys.published_at = mr_now ();
  if (removed)
    removed->removed_at = s->keys.published_at;
  else
    added->added_at = s->keys.published_at;
  soak_log (s, "version %u, a key is %s", s->version, removed ? "removed" : "added");
  S_schedule_change (s);
}

/* All undisturbed relays must have @version from now on, since they exchange objects with each
 * other and these paths have no faults. */
static void
S_set_known (Soak *s, guint version)
{
  for (guint i = 0; i < s->keys.keys->len; i++)
    {
      SoakKey *key = g_ptr_array_index (s->keys.keys, i);
      if (key->added_known_at == 0 && key->added_version <= version)
        key->added_known_at = s->now;
      if (key->removed_known_at == 0 && key->removed_version != 0 &&
          key->removed_version <= version)
        key->removed_known_at = s->now;
    }
}

/* A relay that has been in touch with the store for so long has noticed that its watches were lost
 * and has read everything again, whenever the version was published. */
void
soak_track_keys (Soak *s)
{
  if (s->now >= s->keys.published_at + MR_SECOND &&
      soak_change_was_received (s, s->now - MR_SECOND))
    S_set_known (s, s->version);
}

/* A version that two relays have is not lost with the process of one. */
void
soak_key_was_served (Soak *s, guint relay, const SoakKey *key)
{
  guint largest = 0;
  guint second = 0;
  s->keys.shown_versions[relay] = MAX (s->keys.shown_versions[relay], key->added_version);
  for (guint i = 0; i < RELAYS; i++)
    {
      guint version = s->keys.shown_versions[i];
      second = MAX (second, MIN (largest, version));
      largest = MAX (largest, version);
    }
  S_set_known (s, second);
}

void
soak_forget_shown_version (Soak *s, guint relay)
{
  s->keys.shown_versions[relay] = 0;
}

void
soak_forget_known_versions (Soak *s)
{
  memset (s->keys.shown_versions, 0, sizeof s->keys.shown_versions);
  for (guint i = 0; i < s->keys.keys->len; i++)
    {
      SoakKey *key = g_ptr_array_index (s->keys.keys, i);
      key->added_known_at = 0;
      key->removed_known_at = 0;
    }
}

const SoakKey *
soak_permanent_key (const Soak *s)
{
  /* Not of the limited organisation, whose requests may be refused. */
  return s->keys.in_use ? S_key (s, 2 * (ORGANISATIONS - 1)) : NULL;
}

/* Half of the requests have a permanent key, a tenth an unknown one or none, the others any that
 * was ever in use. */
const SoakKey *
soak_choose_key (Soak *s)
{
  static const SoakKey unknown_key = { .text = "sEcReT-unknown" };
  if (!s->keys.in_use)
    return NULL;
  gint32 choice = g_rand_int_range (s->keys.random, 0, 20);
  if (choice == 0)
    return NULL;
  if (choice == 1)
    return &unknown_key;
  if (choice < 12)
    return S_key (s, 2 * (guint) g_rand_int_range (s->keys.random, 0, ORGANISATIONS));
  return S_key (s, (guint) g_rand_int_range (s->keys.random, 0, (gint32) s->keys.keys->len));
}

static gboolean
S_is_known_for_long (MrTime known_at, MrTime changed_at, MrTime at)
{
  return known_at != 0 && at > known_at + PEER_DELAY_MAX && at > changed_at + KEY_DELAY_MAX;
}

gboolean
soak_key_must_be_refused (const Soak *s, const SoakKey *key)
{
  return !key || key->added_version == 0 ||
         S_is_known_for_long (key->removed_known_at, key->removed_at, s->now);
}

gboolean
soak_key_must_be_accepted (const SoakKey *key, MrTime sent)
{
  if (!key || key->added_version == 0 || key->removed_version != 0)
    return FALSE;
  return key->permanent || S_is_known_for_long (key->added_known_at, key->added_at, sent);
}

void
soak_check_fields (Soak *s, const char *line, gboolean refused)
{
  char id[ID_BYTES];
  char organisation[ID_BYTES];
  char expected_name[ID_BYTES];
  guint organisation_count = 0;
  guint key_count = 0;
  gint64 at = 0;
  gpointer expected = NULL;
  if (!s->keys.in_use)
    return;
  if (sscanf (line, "fields %23s tenant=%23s tenants=%u keys=%u at=%" G_GINT64_FORMAT, id,
              organisation, &organisation_count, &key_count, &at) != 5)
    {
      soak_violation (s, "hidden: a searcher saw '%s'", line);
      return;
    }
  if (!g_hash_table_lookup_extended (s->keys.expected, id, NULL, &expected))
    return; /* reported as "asked" */
  if (!expected)
    {
      soak_violation (s, "removed: request %s reached a searcher", id);
      return;
    }
  guint number = GPOINTER_TO_UINT (expected) - 1;
  g_snprintf (expected_name, sizeof expected_name, "org%u", number);
  if (key_count != 0 || organisation_count != 1 || !g_str_equal (organisation, expected_name))
    soak_violation (s, "hidden: request %s of %s: a searcher saw '%s'", id, expected_name, line);
  const gint64 *first = g_hash_table_lookup (s->keys.limited, id);
  if (number == LIMITED_ORGANISATION && !refused && (!first || *first > at))
    g_hash_table_replace (s->keys.limited, g_strdup (id), g_memdup2 (&at, sizeof at));
}

static int
S_compare_times (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *) a;
  gint64 y = *(const gint64 *) b;
  return x < y ? -1 : x > y;
}

/* Most requests of the limited organisation that searchers were sent within a window. */
static guint
S_largest_window (const Soak *s)
{
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTableIter iter;
  gpointer at = NULL;
  guint first = 0;
  guint largest = 0;
  g_hash_table_iter_init (&iter, s->keys.limited);
  while (g_hash_table_iter_next (&iter, NULL, &at))
    g_array_append_vals (times, at, 1);
  g_array_sort (times, S_compare_times);
  for (guint i = 0; i < times->len; i++)
    {
      while (g_array_index (times, gint64, i) - g_array_index (times, gint64, first) > WINDOW_MS)
        first++;
      largest = MAX (largest, i - first + 1);
    }
  return largest;
}

void
soak_check_limit (Soak *s)
{
  double bound = (RATE * WINDOW_MS / 1000.0 + BURST) * (1 + OVERAGE) + SLACK;
  guint largest = S_largest_window (s);
  if (!s->keys.in_use)
    return;
  soak_log (s, "%u requests with a removed key and %u with a valid one were checked",
            s->keys.checked_removed, s->keys.checked_valid);
  soak_log (s, "%u keys; the largest window of org%d has %u requests", s->keys.keys->len,
            LIMITED_ORGANISATION, largest);
  if (largest > bound)
    soak_violation (s, "limited: %u requests ran in %d ms, at most %.0f may", largest, WINDOW_MS,
                    bound);
}
