#include "status.h"

#include <stdarg.h>
#include <stdio.h>

enum
{
  MESSAGE_MAX_BYTES = 512
};

static _Thread_local char last_message[MESSAGE_MAX_BYTES];

MrStatus
mr_fail (MrStatus status, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return status;
}

const char *
mr_status_message (void)
{
  return last_message;
}

const char *
mr_status_name (MrStatus status)
{
  static const char *const names[] = {
    [MR_OK] = "ok",
    [MR_ERROR_INVALID] = "invalid",
    [MR_ERROR_CONFLICT] = "conflict",
    [MR_ERROR_NOT_FOUND] = "not-found",
    [MR_ERROR_UNAVAILABLE] = "unavailable",
    [MR_ERROR_OUTCOME_UNKNOWN] = "unsure",
    [MR_ERROR_LIMIT] = "limit",
    [MR_ERROR_SYSTEM] = "system",
  };
  return (size_t) status < G_N_ELEMENTS (names) ? names[status] : "unknown";
}
