#include "platform_codec.h"

#include "controller.h"
#include "json_page.h"
#include "log.h"
#include "metrics.h"

#include <arpa/inet.h>
#include <jansson.h>

static char *
S_path (const MrPlatformRequest *request)
{
  g_autofree char *name = g_uri_escape_string (request->name, NULL, FALSE);
  switch (request->action)
    {
    case MR_PLATFORM_LIST:
      return g_strdup_printf ("/v1/objects/%s?since=%" G_GUINT64_FORMAT "&wait_ms=%u",
                              request->kind, request->since_revision, request->wait_ms);
    case MR_PLATFORM_READ:
      return g_strdup_printf ("/v1/objects/%s/%s", request->kind, name);
    case MR_PLATFORM_WRITE:
      if (request->expected_version == MR_VERSION_ANY)
        return g_strdup_printf ("/v1/objects/%s/%s?version=any", request->kind, name);
      return g_strdup_printf ("/v1/objects/%s/%s?version=%" G_GUINT64_FORMAT, request->kind, name,
                              request->expected_version);
    case MR_PLATFORM_LIST_VMS:
      return g_strdup ("/v1/vms");
    }
  return NULL;
}

static void
S_report_unusable (const MrPlatformRequest *request, const char *name, const char *reason)
{
  mr_metrics_add (MR_METRIC_ENTRIES_UNUSABLE, 1);
  mr_log (MR_LOG_WARNING, MR_EVENT_ENTRY_UNUSABLE, "%s/%s: invalid entry, %s",
          request->action == MR_PLATFORM_LIST_VMS ? "vms" : request->kind, name ? name : "?",
          reason);
}

/* Adds an object with a name of 1 to MR_NAME_MAX bytes and a version that is not below zero. */
static void
S_read_object (MrPlatformResult *result, const json_t *object)
{
  const json_t *body = json_object_get (object, "body");
  const char *name = json_string_value (json_object_get (object, "name"));
  const json_t *version = json_object_get (object, "version");
  if (!name || *name == '\0' || strlen (name) > MR_NAME_MAX || !json_is_integer (version) ||
      json_integer_value (version) < 0)
    {
      S_report_unusable (result->request, name, "name or version is missing or invalid");
      return;
    }
  MrText text = { .data = json_string_value (body), .len = json_string_length (body) };
  mr_platform_result_add (result, mr_text (name), (guint64) json_integer_value (version),
                          json_is_true (json_object_get (object, "deleted")), text);
}

/* Adds a VM with an IPv4 address and a port from 1 to 65535. */
static void
S_read_vm (MrPlatformResult *result, const json_t *object)
{
  const char *ip = json_string_value (json_object_get (object, "ip"));
  const char *role = json_string_value (json_object_get (object, "role"));
  const char *state = json_string_value (json_object_get (object, "state"));
  json_int_t port = json_integer_value (json_object_get (object, "port"));
  unsigned char binary_address[sizeof (struct in_addr)];
  if (!ip || inet_pton (AF_INET, ip, binary_address) != 1 || !role || !state || port < 1 ||
      port > 65535)
    {
      S_report_unusable (result->request, ip, "ip, port, role or state is missing or invalid");
      return;
    }
  MrPlatformVm vm = {
    .port = (int) port,
    .entry = g_str_equal (role, "entry"),
    .leaving = g_str_equal (state, "leaving"),
  };
  g_strlcpy (vm.ip, ip, sizeof vm.ip);
  g_array_append_val (result->vms, vm);
}

/* Pages with malformed elements. */

static const char objects_list[] = "objects";
static const char vms_list[] = "vms";
static const char *const page_lists[] = { objects_list, vms_list, NULL };

static gboolean
S_is_element (const char *list, const json_t *value)
{
  return json_is_string (json_object_get (value, list == vms_list ? "ip" : "name"));
}

/* What is known under the name of a malformed element stays: without a body it would be deleted. */
static json_t *
S_omit_element (const char *list, MrText malformed, gboolean is_json)
{
  (void) list;
  (void) malformed;
  (void) is_json;
  return NULL;
}

static const MrJsonPageFormat page_format = {
  .array_names = page_lists,
  .is_element = S_is_element,
  .salvage = S_omit_element,
};

static json_t *
S_load_page (const MrPlatformRequest *request, MrText body)
{
  MrJsonPageDamage damage = { 0 };
  json_t *root = mr_json_page_load (&page_format, body, &damage);
  for (guint i = 0; root && i < damage.omitted; i++)
    S_report_unusable (request, NULL, "not readable");
  if (!damage.cut)
    return root;
  json_decref (root);
  return NULL;
}

static void
S_decode_response (MrPlatformResult *result, MrText body)
{
  json_t *root = S_load_page (result->request, body);
  size_t i = 0;
  json_t *item = NULL;
  result->revision = (guint64) json_integer_value (json_object_get (root, "revision"));
  result->version = (guint64) json_integer_value (json_object_get (root, "version"));
  json_array_foreach (json_object_get (root, "objects"), i, item)
  {
    S_read_object (result, item);
  }
  json_array_foreach (json_object_get (root, "vms"), i, item)
  {
    S_read_vm (result, item);
  }
  if (result->request->action == MR_PLATFORM_READ && result->status == MR_OK)
    S_read_object (result, root);
  if (!root && result->status == MR_OK)
    result->status = MR_ERROR_UNAVAILABLE;
  json_decref (root);
}

static MrStatus
S_status (const MrPlatformRequest *request, int http_status)
{
  switch (http_status)
    {
    case 200:
      return MR_OK;
    case 404:
      return MR_ERROR_NOT_FOUND;
    case 409:
      return MR_ERROR_CONFLICT;
    case 503:
      return MR_ERROR_UNAVAILABLE;
    default:
      return request->action == MR_PLATFORM_WRITE ? MR_ERROR_OUTCOME_UNKNOWN : MR_ERROR_UNAVAILABLE;
    }
}

static void
S_decode (MrPlatformResult *result, int http_status, MrText body)
{
  result->status = (int) S_status (result->request, http_status);
  S_decode_response (result, body);
}

static void
S_encode (const MrPlatformRequest *request, MrPlatformCall *call)
{
  *call = (MrPlatformCall){
    .method = request->action == MR_PLATFORM_WRITE ? "PUT" : "GET",
    .path = S_path (request),
    .body =
        request->body ? g_string_new_len (request->body->str, (gssize) request->body->len) : NULL,
  };
}

const MrPlatformCodec mr_platform_codec = { .encode = S_encode, .decode = S_decode };
