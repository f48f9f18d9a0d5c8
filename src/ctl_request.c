#include "ctl.h"

#include "result.h"
#include <stdio.h>

/* Returns the exit code for the response of a daemon. */
static CtlExit
S_exit_code (const json_t *root)
{
  MrResult result = (MrResult) json_integer_value (json_object_get (root, "result"));
  if (result == MR_RESULT_PARTIAL)
    return CTL_PARTIAL;
  if (result >= MR_RESULT_BAD_REQUEST)
    return CTL_USAGE;
  switch (mr_result_ran (result))
    {
    case MR_RAN_YES:
      return CTL_OK;
    case MR_RAN_NO:
      return CTL_NOT_RUN;
    case MR_RAN_UNKNOWN:
      return CTL_UNKNOWN;
    }
  return CTL_FAILED;
}

static void
S_print_refusal (const json_t *root)
{
  const char *name = json_string_value (json_object_get (root, "name"));
  const char *ran = json_string_value (json_object_get (root, "ran"));
  const char *message = json_string_value (json_object_get (root, "message"));
  ctl_fail (CTL_FAILED, "%d %s (%s): %s",
            (int) json_integer_value (json_object_get (root, "result")), name ? name : "?",
            ran ? ran : "?", message ? message : "");
}

static void
S_print_hits (const json_t *root)
{
  const json_t *coverage = json_object_get (root, "coverage");
  size_t i = 0;
  json_t *item = NULL;
  json_array_foreach (json_object_get (root, "hits"), i, item)
  {
    char *data = json_dumps (json_object_get (item, "data"), JSON_COMPACT | JSON_ENCODE_ANY);
    printf ("%8.4f  %-8s %s\n", json_number_value (json_object_get (item, "score")),
            json_string_value (json_object_get (item, "key")), data);
    free (data);
  }
  printf ("snapshot %s, coverage %.2f%% (%s), %d calls, %.1f ms\n",
          json_string_value (json_object_get (root, "snapshot")),
          json_number_value (json_object_get (coverage, "ratio")) * 100,
          json_is_true (json_object_get (coverage, "complete")) ? "complete" : "PARTIAL",
          (int) json_integer_value (json_object_get (root, "calls")),
          json_number_value (json_object_get (root, "elapsed_ms")));
  json_array_foreach (json_object_get (coverage, "missing"), i, item)
  {
    printf ("missing: %s\n", json_string_value (item));
  }
}

static void
S_append_argument (GString *path, const char *name, const char *value)
{
  if (!value)
    return;
  g_autofree char *escaped = g_uri_escape_string (value, NULL, FALSE);
  g_string_append_printf (path, "%c%s=%s", strchr (path->str, '?') ? '&' : '?', name, escaped);
}

static GString *
S_service_path (const char *service, const char *action, const CtlOptions *options)
{
  GString *path = g_string_new (NULL);
  g_autofree char *escaped = g_uri_escape_string (service, NULL, FALSE);
  g_string_append_printf (path, "/v1/services/%s/%s", escaped, action);
  S_append_argument (path, "deadline_ms", options->deadline_ms);
  return path;
}

/* Sends a request to the entry daemon and returns its JSON response.  Returns NULL, with the error
 * printed and @exit_code set, if there is none.  Frees @path. */
static json_t *
S_send (
    const CtlOptions *options, const char *method, GString *path, MrText body, CtlExit *exit_code)
{
  GString *answer = g_string_new (NULL);
  int status = 0;
  MrStatus sent =
      ctl_send_request (options, options->entry, method, path->str, body, &status, answer);
  json_t *root = NULL;
  if (sent != MR_OK)
    *exit_code = ctl_fail (sent == MR_ERROR_OUTCOME_UNKNOWN ? CTL_UNKNOWN : CTL_FAILED, "%s",
                           mr_status_message ());
  else
    {
      root = json_loadb (answer->str, answer->len, 0, NULL);
      if (!root)
        *exit_code = ctl_fail (CTL_FAILED, "%s: status %d, response is not valid JSON",
                               options->entry, status);
    }
  g_string_free (answer, TRUE);
  g_string_free (path, TRUE);
  return root;
}

CtlExit
ctl_search (const CtlOptions *options)
{
  if (options->argc < 2)
    return ctl_fail (CTL_USAGE, "expected: merlinringctl search SERVICE WORDS...");
  g_autofree char *words = g_strjoinv (" ", options->argv + 1);
  GString *path = S_service_path (options->argv[0], "search", options);
  S_append_argument (path, "q", words);
  S_append_argument (path, "class", options->traffic_class);
  S_append_argument (path, "k", options->hit_count);
  CtlExit result = CTL_OK;
  json_t *root = S_send (options, "GET", path, (MrText){ 0 }, &result);
  if (!root)
    return result;
  result = S_exit_code (root);
  if (options->json)
    ctl_print_json (root);
  else if (result == CTL_OK || result == CTL_PARTIAL)
    S_print_hits (root);
  else
    S_print_refusal (root);
  json_decref (root);
  return result;
}

/* Returns a new ticket, to be freed by the caller, or NULL with @exit_code set. */
static char *
S_get_ticket (const CtlOptions *options, const char *service, CtlExit *exit_code)
{
  CtlOptions ticket_options = *options;
  ticket_options.deadline_ms = NULL;
  json_t *root =
      S_send (&ticket_options, "POST", S_service_path (service, "tickets", &ticket_options),
              MR_TEXT ("{}"), exit_code);
  if (!root)
    return NULL;
  char *ticket = g_strdup (json_string_value (json_object_get (root, "ticket")));
  if (!ticket)
    {
      S_print_refusal (root);
      *exit_code = S_exit_code (root);
    }
  json_decref (root);
  return ticket;
}

CtlExit
ctl_ticket (const CtlOptions *options)
{
  if (options->argc != 1)
    return ctl_fail (CTL_USAGE, "expected: merlinringctl ticket SERVICE");
  CtlExit result = CTL_OK;
  g_autofree char *ticket = S_get_ticket (options, options->argv[0], &result);
  if (ticket)
    puts (ticket);
  return result;
}

CtlExit
ctl_order (const CtlOptions *options)
{
  if (options->argc != 2)
    return ctl_fail (CTL_USAGE, "expected: merlinringctl order SERVICE JSON");
  CtlExit result = CTL_OK;
  g_autofree char *ticket = options->ticket ? g_strdup (options->ticket)
                                            : S_get_ticket (options, options->argv[0], &result);
  if (!ticket)
    return result;
  GString *path = S_service_path (options->argv[0], "orders", options);
  S_append_argument (path, "ticket", ticket);
  json_t *root = S_send (options, "POST", path, mr_text (options->argv[1]), &result);
  if (!root)
    {
      fprintf (stderr, "merlinringctl: repeat the order with --ticket %s, it runs at most once\n",
               ticket);
      return result;
    }
  result = S_exit_code (root);
  if (options->json)
    ctl_print_json (root);
  else if (result == CTL_OK)
    {
      char *reply = json_dumps (json_object_get (root, "reply"), JSON_COMPACT | JSON_ENCODE_ANY);
      printf ("done: %s\nticket %s\n", reply, ticket);
      free (reply);
    }
  else
    S_print_refusal (root);
  json_decref (root);
  return result;
}
