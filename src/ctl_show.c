#include "ctl.h"

#include <stdio.h>

static gboolean
S_true (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

/* Gets @path of every member; an unreachable one is left out after a message.
 */
static json_t *
S_from_all (const CtlOptions *options, const char *path)
{
  GPtrArray *members = ctl_members (options);
  if (!members)
    return NULL;
  json_t *list = json_array ();
  for (guint i = 0; i < members->len; i++)
    {
      json_t *root = ctl_get_json (options, g_ptr_array_index (members, i), path);
      if (root)
        {
          json_object_set_new (root, "address", json_string (g_ptr_array_index (members, i)));
          json_array_append_new (list, root);
        }
    }
  g_ptr_array_unref (members);
  return list;
}

/* Prints each object of @list, or the whole as JSON; takes @list. */
static CtlExit
S_show (const CtlOptions *options, json_t *list, void (*print) (const json_t *object))
{
  size_t i = 0;
  json_t *object = NULL;
  if (!list)
    return CTL_FAILED;
  if (options->json)
    ctl_print_json (list);
  else
    json_array_foreach (list, i, object)
    {
      print (object);
    }
  json_decref (list);
  return CTL_OK;
}

static void
S_print_service (const json_t *service)
{
  printf ("    %-20s document %d, snapshot %s (generation %d), %d shards on %d targets\n",
          ctl_line_text (service, "service"), (int) ctl_line_number (service, "document_version"),
          ctl_line_text (service, "snapshot"), (int) ctl_line_number (service, "generation"),
          (int) ctl_line_number (service, "shards"), (int) ctl_line_number (service, "targets"));
}

static void
S_print_daemon (const json_t *daemon)
{
  size_t i = 0;
  json_t *service = NULL;
  printf ("%-12s %-21s %-10s %s%s platform %s, %d members\n", ctl_line_text (daemon, "daemon"),
          ctl_line_text (daemon, "address"), ctl_line_text (daemon, "domain"),
          S_true (daemon, "ready") ? "ready" : "NOT READY",
          S_true (daemon, "leaving") ? ", leaving," : ",",
          S_true (daemon, "platform_up") ? "up" : "DOWN",
          (int) ctl_line_number (daemon, "members"));
  json_array_foreach (json_object_get (daemon, "services"), i, service)
  {
    S_print_service (service);
  }
}

CtlExit
ctl_status (const CtlOptions *options)
{
  return S_show (options, S_from_all (options, "/v1/status"), S_print_daemon);
}

static void
S_print_member (const json_t *member)
{
  printf ("%-12s %s:%d %-10s %-10s %s%s\n", ctl_line_text (member, "name"),
          ctl_line_text (member, "ip"), (int) ctl_line_number (member, "http_port"),
          ctl_line_text (member, "domain"), ctl_line_text (member, "region"),
          ctl_line_text (member, "state"), S_true (member, "busy") ? ", busy" : "");
}

CtlExit
ctl_members_show (const CtlOptions *options)
{
  json_t *root = ctl_get_json (options, options->entry, "/v1/members");
  if (!root || options->json)
    return S_show (options, root, NULL);
  json_t *members = json_incref (json_object_get (root, "members"));
  json_decref (root);
  return S_show (options, members, S_print_member);
}

static void
S_print_target (const json_t *target)
{
  printf ("    %-16s %-21s %-10s %-8s %2d in flight of %2d, %6.1f ms, %d calls, %d shed\n",
          ctl_line_text (target, "id"), ctl_line_text (target, "address"),
          ctl_line_text (target, "domain"), ctl_line_text (target, "state"),
          (int) ctl_line_number (target, "in_flight"), (int) ctl_line_number (target, "limit"),
          json_number_value (json_object_get (target, "latency_us")) / 1000,
          (int) ctl_line_number (target, "calls"), (int) ctl_line_number (target, "shed"));
}

static void
S_print_targets (const json_t *daemon)
{
  size_t i = 0;
  json_t *target = NULL;
  printf ("seen by %s\n", ctl_line_text (daemon, "address"));
  json_array_foreach (json_object_get (daemon, "targets"), i, target)
  {
    S_print_target (target);
  }
}

CtlExit
ctl_targets (const CtlOptions *options)
{
  return S_show (options, S_from_all (options, "/v1/targets"), S_print_targets);
}

CtlExit
ctl_addresses (const CtlOptions *options)
{
  g_autofree char *path = options->domain
                              ? g_strdup_printf ("/v1/addresses?domain=%s", options->domain)
                              : g_strdup ("/v1/addresses");
  json_t *root = ctl_get_json (options, options->entry, path);
  if (!root)
    return CTL_FAILED;
  size_t i = 0;
  json_t *address = NULL;
  if (options->json)
    ctl_print_json (root);
  else
    {
      printf ("keep for %d ms\n", (int) ctl_line_number (root, "keep_ms"));
      json_array_foreach (json_object_get (root, "addresses"), i, address)
      {
        printf ("%s:%d  %s\n", ctl_line_text (address, "ip"),
                (int) ctl_line_number (address, "port"), ctl_line_text (address, "domain"));
      }
    }
  gboolean any = json_array_size (json_object_get (root, "addresses")) > 0;
  json_decref (root);
  return any ? CTL_OK : CTL_FAILED;
}

CtlExit
ctl_metrics (const CtlOptions *options)
{
  GString *answer = g_string_new (NULL);
  int status = 0;
  CtlExit result = CTL_OK;
  if (ctl_http (options, options->entry, "GET", "/metrics", (MrText){ 0 }, &status, answer) !=
      MR_OK)
    result = ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  else
    fputs (answer->str, stdout);
  g_string_free (answer, TRUE);
  return result;
}
