#include "result.h"

#include <glib.h>

static const struct
{
  MrResult result;
  const char *name;
  int http_status;
} results[] = {
  { MR_RESULT_COMPLETE, "complete", 200 },
  { MR_RESULT_PARTIAL, "partial", 200 },
  { MR_RESULT_DONE, "done", 200 },
  { MR_RESULT_OVERLOADED, "overloaded", 429 },
  { MR_RESULT_DEADLINE, "deadline", 503 },
  { MR_RESULT_NOT_READY, "not-ready", 503 },
  { MR_RESULT_LEAVING, "leaving", 503 },
  { MR_RESULT_NO_TARGET, "no-target", 503 },
  { MR_RESULT_TARGET_REFUSED, "target-refused", 503 },
  { MR_RESULT_TICKET_EXPIRED, "ticket-expired", 409 },
  { MR_RESULT_ORDERS_FULL, "orders-full", 429 },
  { MR_RESULT_UNKNOWN, "unknown", 504 },
  { MR_RESULT_HOME_GONE, "home-gone", 504 },
  { MR_RESULT_IN_FLIGHT, "in-flight", 504 },
  { MR_RESULT_RECORD_GONE, "record-gone", 504 },
  { MR_RESULT_BAD_REQUEST, "bad-request", 400 },
  { MR_RESULT_NO_SERVICE, "no-service", 404 },
  { MR_RESULT_NO_TICKET, "no-ticket", 400 },
  { MR_RESULT_BAD_TICKET, "bad-ticket", 400 },
  { MR_RESULT_TICKET_REUSED, "ticket-reused", 409 },
  { MR_RESULT_NO_PATH, "no-path", 404 },
  { MR_RESULT_BAD_METHOD, "bad-method", 405 },
  { MR_RESULT_TOO_LARGE, "too-large", 413 },
  { MR_RESULT_QUARANTINED, "quarantined", 422 },
};

const char *
mr_result_name (MrResult result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    if (results[i].result == result)
      return results[i].name;
  return "unlisted";
}

int
mr_result_http_status (MrResult result)
{
  for (size_t i = 0; i < G_N_ELEMENTS (results); i++)
    if (results[i].result == result)
      return results[i].http_status;
  return 500;
}

MrRan
mr_result_ran (MrResult result)
{
  if (result < MR_RESULT_OVERLOADED)
    return MR_RAN_YES;
  if (result >= MR_RESULT_UNKNOWN && result < MR_RESULT_BAD_REQUEST)
    return MR_RAN_UNKNOWN;
  return MR_RAN_NO;
}

const char *
mr_ran_name (MrRan ran)
{
  static const char *const names[] = {
    [MR_RAN_YES] = "yes",
    [MR_RAN_NO] = "not run",
    [MR_RAN_UNKNOWN] = "unknown",
  };
  return names[ran];
}
