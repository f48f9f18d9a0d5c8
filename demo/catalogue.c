#include "catalogue.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  guint number;
  char *text; /* lower case, words separated by one space */
  char *data; /* JSON */
} Record;

struct _MrCatalogue
{
  guint shards;
  GPtrArray **records; /* by shard */
};

static const char *const farms[] = { "okombahe",    "tjirundu",    "erongo kraal", "kompaneno",
                                     "otjohorongo", "waldfrieden", "kalkfeld",     "ombujovakuru" };
static const char *const kinds[] = { "fresh round",  "ripe round", "ash log",    "brined block",
                                     "smoked wheel", "herb round", "aged wheel", "soft log" };
static const char *const herbs[] = { "thyme", "pepper", "rosemary", "plain", "honey", "chilli" };
static const char *const stocks[] = { "in stock", "in stock", "in stock", "reserved", "ripening" };

#define PICK(random, list) (list)[g_rand_int_range ((random), 0, (gint32) G_N_ELEMENTS (list))]

static void
S_record_free (gpointer data)
{
  Record *record = data;
  g_free (record->text);
  g_free (record->data);
  g_free (record);
}

static Record *
S_generate_record (guint number, GRand *random)
{
  const char *farm = PICK (random, farms);
  const char *kind = PICK (random, kinds);
  const char *herb = PICK (random, herbs);
  const char *stock = PICK (random, stocks);
  int days = g_rand_int_range (random, 2, 180);
  int grams = g_rand_int_range (random, 8, 240) * 10;
  Record *record = g_new0 (Record, 1);
  record->number = number;
  record->text = g_strdup_printf ("%s %s %s %s", kind, herb, farm, stock);
  record->data = g_strdup_printf ("{\"name\":\"%s, %s\",\"farm\":\"%s\",\"stock\":\"%s\","
                                  "\"ripened_days\":%d,\"grams\":%d}",
                                  kind, herb, farm, stock, days, grams);
  return record;
}

MrCatalogue *
mr_catalogue_new (guint records, guint shards, guint32 seed)
{
  MrCatalogue *catalogue = g_new0 (MrCatalogue, 1);
  GRand *random = g_rand_new_with_seed (seed);
  catalogue->shards = shards;
  catalogue->records = g_new0 (GPtrArray *, shards);
  for (guint i = 0; i < shards; i++)
    catalogue->records[i] = g_ptr_array_new_with_free_func (S_record_free);
  for (guint i = 0; i < records; i++)
    g_ptr_array_add (catalogue->records[i % shards], S_generate_record (i, random));
  g_rand_free (random);
  return catalogue;
}

gboolean
mr_catalogue_find_shard (const MrCatalogue *catalogue, const char *name, guint *index)
{
  if (!g_str_has_prefix (name, "shard-"))
    return FALSE;
  *index = (guint) strtoul (name + strlen ("shard-"), NULL, 10);
  return *index < catalogue->shards;
}

static guint
S_count_matches (const Record *record, char **words)
{
  guint count = 0;
  for (; *words; words++)
    count += **words != '\0' && strstr (record->text, *words) != NULL;
  return count;
}

/* Score: the number of matching words, plus a fraction derived from the record number
 * that makes ties rare. */
static double
S_score (guint matches, guint number)
{
  return matches + (double) (number * 2654435761U % 1000000U) / 1e7;
}

void
mr_catalogue_search (
    const MrCatalogue *catalogue, guint shard, const char *query, guint k, GString *out)
{
  g_autofree char *lower = g_ascii_strdown (query, -1);
  g_auto (GStrv) words = g_strsplit (lower, " ", 16);
  const GPtrArray *records = catalogue->records[shard];
  g_autofree const Record **best = g_new0 (const Record *, k + 1);
  g_autofree double *scores = g_new0 (double, k + 1);
  guint count = 0;
  for (guint i = 0; i < records->len; i++)
    {
      const Record *record = g_ptr_array_index (records, i);
      guint matches = S_count_matches (record, words);
      double score = S_score (matches, record->number);
      if (matches == 0)
        continue;
      guint position = count;
      for (; position > 0 && score > scores[position - 1]; position--)
        {
          scores[position] = scores[position - 1];
          best[position] = best[position - 1];
        }
      scores[position] = score;
      best[position] = record;
      count = MIN (count + 1, k);
    }
  g_string_append_c (out, '[');
  for (guint i = 0; i < count; i++)
    g_string_append_printf (out, "%s{\"key\":\"r%u\",\"score\":%.7f,\"data\":%s}", i ? "," : "",
                            best[i]->number, scores[i], best[i]->data);
  g_string_append_c (out, ']');
}

guint
mr_catalogue_record_count (const MrCatalogue *catalogue, guint shard)
{
  return catalogue->records[shard]->len;
}
