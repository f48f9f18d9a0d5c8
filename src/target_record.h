/* What the platform's list says of one target: an immutable record, shared by
 * reference count, in JSON between daemons. */
#pragma once

#include "clock.h"
#include "shardmap.h"
#include "status.h"
#include "text.h"

typedef struct
{
  int refs; /* atomic */
  char *service;
  MrTarget target; /* a process of it: the id, with the start where that is told */
  gboolean leaving;
  MrTime cold_remaining; /* slow for this long yet, when the record was written */
} MrTargetRecord;

/* Reads the JSON form; NULL with a message. */
MrTargetRecord *mr_target_record_parse (MrText id, MrText json);
/* When the process that @json names started, Unix ms; 0: not told, or no record. */
guint64 mr_target_record_start_time (MrText json);
/* Writes it; freed with g_free (). */
char *mr_target_record_to_json (const MrTargetRecord *record);
MrTargetRecord *mr_target_record_ref (MrTargetRecord *record);
void mr_target_record_unref (MrTargetRecord *record);
