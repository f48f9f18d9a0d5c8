/* Outcomes of a call to a target, shared by all modules that send calls. */
#pragma once

typedef enum
{
  MR_CALL_ANSWER,
  MR_CALL_SHED,          /* refused because of load; did not run */
  MR_CALL_DRAINING,      /* refused because the target is leaving; did not run */
  MR_CALL_MISDIRECTED,   /* refused because another process has the address now; did not run */
  MR_CALL_NO_SNAPSHOT,   /* the target does not hold the snapshot or shard */
  MR_CALL_NOT_CONNECTED, /* connecting failed; nothing was sent */
  MR_CALL_BROKEN,        /* sent, but the connection ended before a complete response */
  MR_CALL_ERROR,         /* the target responded with an error */
  MR_CALL_CANCELLED,     /* cancelled by this daemon, and the target confirmed it */
  MR_CALL_SILENT,        /* timed out without a response or confirmed cancellation */
  MR_CALL_WITHDRAWN,     /* withdrawn by its sender before anything was sent */
} MrCallOutcome;

const char *mr_call_outcome_name (MrCallOutcome outcome);
