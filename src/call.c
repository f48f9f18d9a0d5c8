#include "call.h"

const char *
mr_call_outcome_name (MrCallOutcome outcome)
{
  static const char *const names[] = {
    [MR_CALL_ANSWER] = "answer",           [MR_CALL_SHED] = "shed",
    [MR_CALL_DRAINING] = "draining",       [MR_CALL_MISDIRECTED] = "misdirected",
    [MR_CALL_NO_SNAPSHOT] = "no-snapshot", [MR_CALL_NOT_CONNECTED] = "not-connected",
    [MR_CALL_BROKEN] = "broken",           [MR_CALL_ERROR] = "error",
    [MR_CALL_CANCELLED] = "cancelled",     [MR_CALL_SILENT] = "silent",
    [MR_CALL_WITHDRAWN] = "withdrawn",
  };
  return names[outcome];
}
