/* Merge of shards' answers that are sets of fixed-size records: the greatest
 * records of all, greatest first, compared byte by byte. */
#pragma once

#include "text.h"

enum
{
  MR_RECORD_BYTES = 16
};

/* The greatest @most records of @parts; a remainder shorter than a record is no
 * record, and equal records all count. */
GString *mr_merge_records (const MrText *parts, guint count, guint most);
