#include "ctl.h"

#include "clock.h"
#include "document.h"
#include <stdio.h>

enum
{
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409,
};

/* Sends a request for the evacuation object of @domain to the platform.  @query is appended to its
 * path.  Returns CTL_OK also for the statuses 404 and 409, which @status tells. */
static CtlExit
S_call_platform (const CtlOptions *options,
                 const char *method,
                 const char *domain,
                 const char *query,
                 MrText body,
                 int *status,
                 GString *answer)
{
  g_autofree char *escaped = g_uri_escape_string (domain, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/objects/evacuations/%s%s", escaped, query);
  g_string_truncate (answer, 0);
  MrStatus result =
      ctl_send_request (options, options->platform, method, path, body, status, answer);
  if (result == MR_ERROR_OUTCOME_UNKNOWN)
    return ctl_fail (
        CTL_UNKNOWN,
        "platform %s: no response; the outcome is shown by 'merlinringctl evacuations'",
        options->platform);
  if (result != MR_OK)
    return ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  if (*status == STATUS_OK || *status == STATUS_NOT_FOUND || *status == STATUS_CONFLICT)
    return CTL_OK;
  return ctl_fail (CTL_FAILED, "platform %s: status %d", options->platform, *status);
}

static CtlExit
S_evacuate (const CtlOptions *options, const char *domain)
{
  int status = 0;
  g_autoptr (GString) answer = g_string_new (NULL);
  g_autofree char *body = g_strdup_printf ("{\"since\":%u}", mr_unix_time ());
  CtlExit result =
      S_call_platform (options, "PUT", domain, "?version=0", mr_text (body), &status, answer);
  if (result != CTL_OK)
    return result;
  printf (status == STATUS_CONFLICT ? "%s is already evacuated\n" : "%s is evacuated\n", domain);
  return CTL_OK;
}

static CtlExit
S_end_evacuation (const CtlOptions *options, const char *domain)
{
  int status = 0;
  g_autoptr (GString) answer = g_string_new (NULL);
  CtlExit result = S_call_platform (options, "GET", domain, "", (MrText){ 0 }, &status, answer);
  if (result != CTL_OK)
    return result;
  if (status == STATUS_NOT_FOUND)
    return ctl_fail (CTL_FAILED, "%s is not evacuated", domain);
  json_t *object = json_loadb (answer->str, answer->len, 0, NULL);
  g_autofree char *query =
      g_strdup_printf ("?version=%" JSON_INTEGER_FORMAT, ctl_json_integer (object, "version"));
  json_decref (object);
  result = S_call_platform (options, "DELETE", domain, query, (MrText){ 0 }, &status, answer);
  if (result != CTL_OK)
    return result;
  if (status == STATUS_CONFLICT)
    return ctl_fail (CTL_CONFLICT, "%s: changed concurrently; the evacuation was not ended",
                     domain);
  printf ("%s may be used again\n", domain);
  return CTL_OK;
}

CtlExit
ctl_evacuate (const CtlOptions *options)
{
  if (options->argc != 1)
    return ctl_fail (CTL_USAGE, "expected one failure DOMAIN");
  const char *domain = options->argv[0];
  if (!mr_name_valid (mr_text (domain)))
    return ctl_fail (CTL_USAGE, "domain '%s': expected 1 to %d of a-z, 0-9 and '-'", domain,
                     MR_NAME_MAX);
  return options->undo ? S_end_evacuation (options, domain) : S_evacuate (options, domain);
}

/* Listing of evacuations. */

/* Asks all daemons which evacuations they know: domain -> array of names of daemons.  Sets @daemons
 * to the number of those that responded. */
static json_t *
S_get_holders (const CtlOptions *options, guint *daemons)
{
  GPtrArray *addresses = ctl_get_member_addresses (options);
  if (!addresses)
    return NULL;
  json_t *holders = json_object ();
  for (guint i = 0; i < addresses->len; i++)
    {
      size_t at = 0;
      json_t *domain = NULL;
      json_t *page = ctl_get_json (options, g_ptr_array_index (addresses, i), "/v1/status");
      if (!page)
        continue;
      (*daemons)++;
      json_array_foreach (json_object_get (page, "evacuated"), at, domain)
      {
        const char *name = json_string_value (domain);
        if (!name)
          continue;
        if (!json_object_get (holders, name))
          json_object_set_new (holders, name, json_array ());
        json_array_append_new (json_object_get (holders, name),
                               json_string (ctl_json_string (page, "daemon")));
      }
      json_decref (page);
    }
  g_ptr_array_unref (addresses);
  return holders;
}

/* Reads the evacuations stored at the platform: domain -> start in Unix seconds, 0 if the object
 * has none. */
static json_t *
S_get_stored (const CtlOptions *options)
{
  size_t i = 0;
  json_t *object = NULL;
  json_t *page =
      ctl_get_json (options, options->platform, "/v1/objects/evacuations?since=0&wait_ms=0");
  if (!page)
    return NULL;
  json_t *stored = json_object ();
  json_array_foreach (json_object_get (page, "objects"), i, object)
  {
    if (json_is_true (json_object_get (object, "deleted")))
      continue;
    json_t *body = json_loads (ctl_json_string (object, "body"), 0, NULL);
    json_object_set_new (stored, ctl_json_string (object, "name"),
                         json_integer (ctl_json_integer (body, "since")));
    json_decref (body);
  }
  json_decref (page);
  return stored;
}

/* @since: NULL if the evacuation was ended but daemons still hold it. */
static void
S_print_domain (const char *domain, const json_t *since, size_t holder_count, guint daemons)
{
  gint64 at = json_integer_value (since);
  g_autoptr (GDateTime) time = at > 0 ? g_date_time_new_from_unix_utc (at) : NULL;
  g_autofree char *text = time ? g_date_time_format_iso8601 (time) : g_strdup ("?");
  printf ("%-16s %s %s, held by %zu of %u daemons\n", domain, since ? "since" : "ended,",
          since ? text : "but not yet known to all daemons", holder_count, daemons);
}

static void
S_print_all (json_t *stored, const json_t *holders, guint daemons)
{
  const char *domain = NULL;
  json_t *value = NULL;
  json_object_foreach (stored, domain, value)
  {
    S_print_domain (domain, value, json_array_size (json_object_get (holders, domain)), daemons);
  }
  json_object_foreach ((json_t *) holders, domain, value)
  {
    if (!json_object_get (stored, domain))
      S_print_domain (domain, NULL, json_array_size (value), daemons);
  }
}

CtlExit
ctl_evacuations (const CtlOptions *options)
{
  guint daemons = 0;
  json_t *stored = S_get_stored (options);
  json_t *holders = stored ? S_get_holders (options, &daemons) : NULL;
  CtlExit result = holders ? CTL_OK : CTL_FAILED;
  if (holders && options->json)
    {
      json_t *root =
          json_pack ("{s:O, s:O, s:i}", "since", stored, "held", holders, "daemons", (int) daemons);
      ctl_print_json (root);
      json_decref (root);
    }
  else if (holders)
    S_print_all (stored, holders, daemons);
  json_decref (holders);
  json_decref (stored);
  return result;
}
