#include "ctl.h"

#include <stdio.h>

static const char quarantine_path[] = "/v1/quarantine";

static void
S_print_item (const json_t *item)
{
  const json_t *evidence = json_object_get (item, "evidence");
  gint64 at = ctl_json_integer (evidence, "at");
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (at);
  g_autofree char *text = time ? g_date_time_format_iso8601 (time) : g_strdup ("?");
  printf ("%s %-11s %d targets crashed on %d occasions, last %s\n",
          ctl_json_string (item, "content"), ctl_json_string (evidence, "standing"),
          (int) ctl_json_integer (evidence, "ended"),
          (int) ctl_json_integer (evidence, "occasions"), text);
}

CtlExit
ctl_quarantine (const CtlOptions *options)
{
  size_t i = 0;
  json_t *item = NULL;
  json_t *root = ctl_get_json (options, options->entry, quarantine_path);
  if (!root)
    return CTL_FAILED;
  if (options->json)
    ctl_print_json (root);
  else
    json_array_foreach (json_object_get (root, "contents"), i, item)
    {
      S_print_item (item);
    }
  json_decref (root);
  return CTL_OK;
}

CtlExit
ctl_quarantine_lift (const CtlOptions *options)
{
  enum
  {
    OK = 200,
    STATUS_NOT_FOUND = 404,
  };
  int status = 0;
  if (options->argc != 1)
    return ctl_fail (CTL_USAGE,
                     "expected: merlinringctl quarantine lift CONTENT (32 hexadecimal digits)");
  g_autoptr (GString) answer = g_string_new (NULL);
  g_autofree char *item_path = g_strdup_printf ("%s/%s", quarantine_path, options->argv[0]);
  if (ctl_send_request (options, options->entry, "DELETE", item_path, (MrText){ 0 }, &status,
                        answer) != MR_OK)
    return ctl_fail (CTL_FAILED, "%s: %s", options->entry, mr_status_message ());
  if (status == STATUS_NOT_FOUND)
    return ctl_fail (CTL_FAILED, "%s: not quarantined, and no crashes are known", options->argv[0]);
  if (status != OK)
    return ctl_fail (CTL_USAGE, "'%s' is not a fingerprint", options->argv[0]);
  printf ("lifted\n");
  return CTL_OK;
}
