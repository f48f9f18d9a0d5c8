/* Merges answers of shards that consist of fixed-size records. */
#pragma once

#include "text.h"

enum
{
  MR_RECORD_BYTES = 16
};

/* Returns the @max_records greatest records of @answers in descending bytewise order.  Equal
 * records are all kept; trailing bytes that do not fill a record are ignored. */
GString *mr_merge_records (const MrText *answers, guint count, guint max_records);
