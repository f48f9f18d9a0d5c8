/* Status of a call that can fail: a number and the last message.
 *
 * Functions return MrStatus.  The message of the last failure of the calling
 * thread is read with mr_status_message (); it is overwritten by the next
 * failure of that thread. */
#pragma once

#include <glib.h>

typedef enum
{
  MR_OK = 0,
  MR_ERROR_INVALID,         /* input breaks a stated rule */
  MR_ERROR_CONFLICT,        /* a conditional write lost its race */
  MR_ERROR_NOT_FOUND,       /* no such object */
  MR_ERROR_UNAVAILABLE,     /* the other side is not reachable now */
  MR_ERROR_OUTCOME_UNKNOWN, /* sent, but the outcome is not known */
  MR_ERROR_LIMIT,           /* a stated bound would be passed */
  MR_ERROR_SYSTEM,          /* the operating system refused */
} MrStatus;

/* Sets the thread's message and returns @status, to be used as
 * `return mr_fail (MR_ERROR_INVALID, "...")`. */
MrStatus mr_fail (MrStatus status, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Last message of this thread; never NULL. */
const char *mr_status_message (void);

/* Stable lower-case name of @status. */
const char *mr_status_name (MrStatus status);
