/* Status codes of functions that can fail, with a message.
 *
 * mr_status_message () returns the message of the last failure in the calling thread; the next
 * failure in that thread overwrites it. */
#pragma once

#include <glib.h>

typedef enum
{
  MR_OK = 0,
  MR_ERROR_INVALID,         /* the input is not valid */
  MR_ERROR_CONFLICT,        /* a conditional write found another version */
  MR_ERROR_NOT_FOUND,       /* the object does not exist */
  MR_ERROR_UNAVAILABLE,     /* the other side cannot be reached at present */
  MR_ERROR_OUTCOME_UNKNOWN, /* the request was sent, but there is no answer */
  MR_ERROR_LIMIT,           /* a limit would be exceeded */
  MR_ERROR_SYSTEM,          /* a system call failed */
} MrStatus;

/* Sets the message of the calling thread and returns @status, for use as
 * `return mr_fail (MR_ERROR_INVALID, "...")`. */
MrStatus mr_fail (MrStatus status, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Last message of the calling thread; never NULL. */
const char *mr_status_message (void);

/* Name of @status for output; does not change between versions. */
const char *mr_status_name (MrStatus status);
