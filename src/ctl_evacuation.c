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

/* One call on the object of @domain at the platform, with @query behind its path. */
static CtlExit
S_call (const CtlOptions *options,
        const char *method,
        const char *domain,
        const char *query,
        MrText body,
        int *status,
        GString *answer)
{
  g_autofree char *path = g_strdup_printf ("/v1/objects/evacuations/%s%s", domain, query);
  g_string_truncate (answer, 0);
  MrStatus result = ctl_http (options, options->platform, method, path, body, status, answer);
  if (result == MR_ERROR_OUTCOME_UNKNOWN)
    return ctl_fail (CTL_UNKNOWN, "platform %s: no answer; see 'merlinringctl evacuations'",
                     options->platform);
  if (result != MR_OK)
    return ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  if (*status == STATUS_OK || *status == STATUS_NOT_FOUND || *status == STATUS_CONFLICT)
    return CTL_OK;
  return ctl_fail (CTL_FAILED, "platform %s: status %d", options->platform, *status);
}

static CtlExit
S_begin (const CtlOptions *options, const char *domain)
{
  int status = 0;
  g_autoptr (GString) answer = g_string_new (NULL);
  g_autofree char *body = g_strdup_printf ("{\"since\":%u}", mr_unix_time ());
  CtlExit result = S_call (options, "PUT", domain, "?version=0", mr_text (body), &status, answer);
  if (result != CTL_OK)
    return result;
  printf (status == STATUS_CONFLICT ? "%s is evacuated already\n" : "%s is evacuated\n", domain);
  return CTL_OK;
}

static CtlExit
S_undo (const CtlOptions *options, const char *domain)
{
  int status = 0;
  g_autoptr (GString) answer = g_string_new (NULL);
  CtlExit result = S_call (options, "GET", domain, "", (MrText){ 0 }, &status, answer);
  if (result != CTL_OK)
    return result;
  if (status == STATUS_NOT_FOUND)
    return ctl_fail (CTL_FAILED, "%s is not evacuated", domain);
  json_t *object = json_loadb (answer->str, answer->len, 0, NULL);
  g_autofree char *query =
      g_strdup_printf ("?version=%" JSON_INTEGER_FORMAT, ctl_line_number (object, "version"));
  json_decref (object);
  result = S_call (options, "DELETE", domain, query, (MrText){ 0 }, &status, answer);
  if (result != CTL_OK)
    return result;
  if (status == STATUS_CONFLICT)
    return ctl_fail (CTL_CONFLICT, "%s: somebody else's word came first", domain);
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
  return options->undo ? S_undo (options, domain) : S_begin (options, domain);
}

/* Listing. */

/* What each daemon that answers holds: domain -> array of daemons' names. */
static json_t *
S_held (const CtlOptions *options, guint *daemons)
{
  GPtrArray *members = ctl_members (options);
  if (!members)
    return NULL;
  json_t *held = json_object ();
  for (guint i = 0; i < members->len; i++)
    {
      size_t at = 0;
      json_t *domain = NULL;
      json_t *page = ctl_get_json (options, g_ptr_array_index (members, i), "/v1/status");
      if (!page)
        continue;
      (*daemons)++;
      json_array_foreach (json_object_get (page, "evacuated"), at, domain)
      {
        const char *name = json_string_value (domain);
        if (!name)
          continue;
        if (!json_object_get (held, name))
          json_object_set_new (held, name, json_array ());
        json_array_append_new (json_object_get (held, name),
                               json_string (ctl_line_text (page, "daemon")));
      }
      json_decref (page);
    }
  g_ptr_array_unref (members);
  return held;
}

/* Objects that stand at the platform: domain -> Unix seconds since when; 0: not said. */
static json_t *
S_stored (const CtlOptions *options)
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
    json_t *body = json_loads (ctl_line_text (object, "body"), 0, NULL);
    json_object_set_new (stored, ctl_line_text (object, "name"),
                         json_integer (ctl_line_number (body, "since")));
    json_decref (body);
  }
  json_decref (page);
  return stored;
}

static void
S_print (const char *domain, const json_t *since, size_t held, guint daemons)
{
  gint64 at = json_integer_value (since);
  g_autoptr (GDateTime) time = at > 0 ? g_date_time_new_from_unix_utc (at) : NULL;
  g_autofree char *text = time ? g_date_time_format_iso8601 (time) : g_strdup ("?");
  printf ("%-16s %s %s, held by %zu of %u daemons\n", domain, since ? "since" : "taken back,",
          since ? text : "not known everywhere yet", held, daemons);
}

static void
S_show (json_t *stored, const json_t *held, guint daemons)
{
  const char *domain = NULL;
  json_t *value = NULL;
  json_object_foreach (stored, domain, value)
  {
    S_print (domain, value, json_array_size (json_object_get (held, domain)), daemons);
  }
  json_object_foreach ((json_t *) held, domain, value)
  {
    if (!json_object_get (stored, domain))
      S_print (domain, NULL, json_array_size (value), daemons);
  }
}

CtlExit
ctl_evacuations (const CtlOptions *options)
{
  guint daemons = 0;
  json_t *stored = S_stored (options);
  json_t *held = stored ? S_held (options, &daemons) : NULL;
  CtlExit result = held ? CTL_OK : CTL_FAILED;
  if (held && options->json)
    {
      json_t *root =
          json_pack ("{s:O, s:O, s:i}", "since", stored, "held", held, "daemons", (int) daemons);
      ctl_print_json (root);
      json_decref (root);
    }
  else if (held)
    S_show (stored, held, daemons);
  json_decref (held);
  json_decref (stored);
  return result;
}
