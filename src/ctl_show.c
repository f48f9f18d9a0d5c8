#include "ctl.h"

#include <stdio.h>

static gboolean
S_is_true (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

/* Fetches @path from every member and returns an array of the pages, each with the member's address
 * added.  Prints an error for each member that fails, and omits it. */
static json_t *
S_get_from_members (const CtlOptions *options, const char *path)
{
  GPtrArray *addresses = ctl_get_member_addresses (options);
  if (!addresses)
    return NULL;
  json_t *list = json_array ();
  for (guint i = 0; i < addresses->len; i++)
    {
      json_t *root = ctl_get_json (options, g_ptr_array_index (addresses, i), path);
      if (root)
        {
          json_object_set_new (root, "address", json_string (g_ptr_array_index (addresses, i)));
          json_array_append_new (list, root);
        }
    }
  g_ptr_array_unref (addresses);
  return list;
}

/* Prints each object of @list with @print, or with --json the whole list as JSON.  Releases @list.
 */
static CtlExit
S_print_list (const CtlOptions *options, json_t *list, void (*print) (const json_t *object))
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
          ctl_json_string (service, "service"),
          (int) ctl_json_integer (service, "document_version"),
          ctl_json_string (service, "snapshot"), (int) ctl_json_integer (service, "generation"),
          (int) ctl_json_integer (service, "shards"), (int) ctl_json_integer (service, "targets"));
}

static void
S_print_daemon (const json_t *daemon)
{
  size_t i = 0;
  json_t *service = NULL;
  printf ("%-12s %-21s %-10s %s%s platform %s, %d members\n", ctl_json_string (daemon, "daemon"),
          ctl_json_string (daemon, "address"), ctl_json_string (daemon, "domain"),
          S_is_true (daemon, "ready") ? "ready" : "NOT READY",
          S_is_true (daemon, "leaving") ? ", leaving," : ",",
          S_is_true (daemon, "platform_up") ? "up" : "DOWN",
          (int) ctl_json_integer (daemon, "members"));
  json_array_foreach (json_object_get (daemon, "services"), i, service)
  {
    S_print_service (service);
  }
}

CtlExit
ctl_status (const CtlOptions *options)
{
  return S_print_list (options, S_get_from_members (options, "/v1/status"), S_print_daemon);
}

static void
S_print_member (const json_t *member)
{
  printf ("%-12s %s:%d %-10s %-10s %s%s\n", ctl_json_string (member, "name"),
          ctl_json_string (member, "ip"), (int) ctl_json_integer (member, "http_port"),
          ctl_json_string (member, "domain"), ctl_json_string (member, "region"),
          ctl_json_string (member, "state"), S_is_true (member, "busy") ? ", busy" : "");
}

CtlExit
ctl_members_show (const CtlOptions *options)
{
  json_t *root = ctl_get_json (options, options->entry, "/v1/members");
  if (!root || options->json)
    return S_print_list (options, root, NULL);
  json_t *members = json_incref (json_object_get (root, "members"));
  json_decref (root);
  return S_print_list (options, members, S_print_member);
}

static void
S_print_target (const json_t *target)
{
  printf ("    %-16s %-21s %-10s %-8s %2d in flight of %2d, %6.1f ms, %d calls, %d shed\n",
          ctl_json_string (target, "id"), ctl_json_string (target, "address"),
          ctl_json_string (target, "domain"), ctl_json_string (target, "state"),
          (int) ctl_json_integer (target, "in_flight"), (int) ctl_json_integer (target, "limit"),
          json_number_value (json_object_get (target, "latency_us")) / 1000,
          (int) ctl_json_integer (target, "calls"), (int) ctl_json_integer (target, "shed"));
}

static void
S_print_targets (const json_t *daemon)
{
  size_t i = 0;
  json_t *target = NULL;
  printf ("seen by %s\n", ctl_json_string (daemon, "address"));
  json_array_foreach (json_object_get (daemon, "targets"), i, target)
  {
    S_print_target (target);
  }
}

CtlExit
ctl_targets (const CtlOptions *options)
{
  return S_print_list (options, S_get_from_members (options, "/v1/targets"), S_print_targets);
}

CtlExit
ctl_addresses (const CtlOptions *options)
{
  g_autofree char *domain =
      options->domain ? g_uri_escape_string (options->domain, NULL, FALSE) : NULL;
  g_autofree char *path =
      domain ? g_strdup_printf ("/v1/addresses?domain=%s", domain) : g_strdup ("/v1/addresses");
  json_t *root = ctl_get_json (options, options->entry, path);
  if (!root)
    return CTL_FAILED;
  size_t i = 0;
  json_t *address = NULL;
  if (options->json)
    ctl_print_json (root);
  else
    {
      printf ("may be cached for %d ms\n", (int) ctl_json_integer (root, "keep_ms"));
      json_array_foreach (json_object_get (root, "addresses"), i, address)
      {
        printf ("%s:%d  %s\n", ctl_json_string (address, "ip"),
                (int) ctl_json_integer (address, "port"), ctl_json_string (address, "domain"));
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
  if (ctl_send_request (options, options->entry, "GET", "/metrics", (MrText){ 0 }, &status,
                        answer) != MR_OK)
    result = ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  else
    fputs (answer->str, stdout);
  g_string_free (answer, TRUE);
  return result;
}
