/* Record of one target in the platform's list: immutable, shared by reference count, passed
 * between daemons as JSON. */
#pragma once

#include "clock.h"
#include "shardmap.h"
#include "status.h"
#include "text.h"

typedef struct
{
  int refs; /* atomic */
  char *service;
  MrTarget target; /* identifies a process: by the id, and by the start time if that is known */
  gboolean leaving;
  /* How long the target remains cold (slow after a start), from when the record was written. */
  MrTime cold_remaining;
} MrTargetRecord;

/* TRUE for 1 to MR_NAME_MAX letters, digits and characters of "-._~:@".  The id of a target is sent
 * to it in a header field and is shown on pages. */
gboolean mr_target_id_is_valid (MrText id);

/* Parses the JSON form; returns NULL and sets the status message on error.  A record has
 *   an id as above,
 *   an address IP:PORT with a port from 1 to 65535,
 *   a domain of at most MR_NAME_MAX bytes without control characters, quotes and backslashes,
 *   integers within +-(2^53 - 1), the range in which JSON numbers are exact; larger slots and
 *   times within it count as the largest that are used. */
MrTargetRecord *mr_target_record_parse (MrText id, MrText json);
/* Start time (Unix ms) of the process that @json describes; 0 if it is not stated or @json is
 * not valid. */
guint64 mr_target_record_start_time (MrText json);
/* Serializes @record; the result is freed with g_free (). */
char *mr_target_record_to_json (const MrTargetRecord *record);
MrTargetRecord *mr_target_record_ref (MrTargetRecord *record);
void mr_target_record_unref (MrTargetRecord *record);
