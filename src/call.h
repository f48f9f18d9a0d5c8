/* How a call to a target can end; shared by all that send calls. */
#pragma once

typedef enum
{
  MR_CALL_ANSWER,
  MR_CALL_SHED,          /* refused for load; did not run */
  MR_CALL_DRAINING,      /* refused, the target is leaving; did not run */
  MR_CALL_MISDIRECTED,   /* another process has the address; did not run */
  MR_CALL_NO_SNAPSHOT,   /* the target does not hold the snapshot or shard */
  MR_CALL_NOT_CONNECTED, /* nothing was sent */
  MR_CALL_BROKEN,        /* sent, but no whole answer */
  MR_CALL_ERROR,         /* the target answered with a failure */
  MR_CALL_CANCELLED,     /* ended on our wish, as the target confirmed */
  MR_CALL_SILENT,        /* given up: neither answer nor confirmation */
  MR_CALL_WITHDRAWN,     /* taken back by its sender before anything was sent */
} MrCallOutcome;

const char *mr_call_outcome_name (MrCallOutcome outcome);
