#include "merge_records.h"

#include <stdlib.h>

static int
S_compare_descending (const void *a, const void *b)
{
  return memcmp (*(const char *const *) b, *(const char *const *) a, MR_RECORD_BYTES);
}

GString *
mr_merge_records (const MrText *answers, guint count, guint max_records)
{
  gsize total = 0;
  for (guint i = 0; i < count; i++)
    total += answers[i].len / MR_RECORD_BYTES;
  g_autofree const char **records = g_new (const char *, total + 1);
  gsize record_count = 0;
  for (guint i = 0; i < count; i++)
    for (gsize offset = 0; offset + MR_RECORD_BYTES <= answers[i].len; offset += MR_RECORD_BYTES)
      records[record_count++] = answers[i].data + offset;
  qsort (records, record_count, sizeof *records, S_compare_descending);
  GString *merged = g_string_sized_new (MIN (record_count, max_records) * MR_RECORD_BYTES + 1);
  for (gsize i = 0; i < record_count && i < max_records; i++)
    g_string_append_len (merged, records[i], MR_RECORD_BYTES);
  return merged;
}
