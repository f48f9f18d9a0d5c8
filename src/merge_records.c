#include "merge_records.h"

#include <stdlib.h>

static int
S_greatest_first (const void *a, const void *b)
{
  return memcmp (*(const char *const *) b, *(const char *const *) a, MR_RECORD_BYTES);
}

GString *
mr_merge_records (const MrText *parts, guint count, guint most)
{
  gsize total = 0;
  for (guint i = 0; i < count; i++)
    total += parts[i].len / MR_RECORD_BYTES;
  g_autofree const char **records = g_new (const char *, total + 1);
  gsize n = 0;
  for (guint i = 0; i < count; i++)
    for (gsize at = 0; at + MR_RECORD_BYTES <= parts[i].len; at += MR_RECORD_BYTES)
      records[n++] = parts[i].data + at;
  qsort (records, n, sizeof *records, S_greatest_first);
  GString *out = g_string_sized_new (MIN (n, most) * MR_RECORD_BYTES + 1);
  for (gsize i = 0; i < n && i < most; i++)
    g_string_append_len (out, records[i], MR_RECORD_BYTES);
  return out;
}
