#include "ctl.h"

#include "http_client.h"
#include "log.h"
#include "settings.h"
#include <stdio.h>
#include <stdlib.h>

enum
{
  DESCRIPTORS_MAX = 16,
  CONNECTION_SLOTS = 1,
};

typedef struct
{
  MrLoopHandler handler;
  gboolean done;
  MrHttpOutcome outcome;
  int status;
  GString *answer;
} Exchange;

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  (void) handler;
  return now + 10 * MR_MS;
}

static gboolean
S_on_response (void *user, const MrHttpResponse *response)
{
  Exchange *exchange = user;
  exchange->done = TRUE;
  exchange->outcome = response->outcome;
  exchange->status = response->status;
  g_string_append_len (exchange->answer, response->body.data, (gssize) response->body.len);
  return TRUE;
}

MrStatus
ctl_send_request (const CtlOptions *options,
                  const char *address,
                  const char *method,
                  const char *path,
                  MrText body,
                  int *status,
                  GString *answer)
{
  g_autofree char *ip = NULL;
  int port = 0;
  if (mr_settings_split_address (address, &ip, &port) != MR_OK)
    return MR_ERROR_INVALID;
  mr_log_set_level (MR_LOG_ERROR);
  g_string_truncate (answer, 0);
  Exchange exchange = {
    .handler = { .on_tick = S_on_tick },
    .answer = answer,
  };
  MrLoop *loop = mr_loop_new (&exchange.handler, DESCRIPTORS_MAX);
  if (!loop)
    return MR_ERROR_SYSTEM;
  MrHttpClient *client = mr_http_client_new (loop, CONNECTION_SLOTS);
  MrHttpCallInfo info = {
    .method = method,
    .ip = ip,
    .port = port,
    .path = path,
    .body = body,
    .on_response = S_on_response,
    .user = &exchange,
  };
  MrTime deadline = mr_now () + options->timeout_ms * MR_MS;
  MrHttpCall *call = mr_http_client_call (client, &info);
  while (call && !exchange.done && mr_now () < deadline)
    mr_loop_step (loop);
  gboolean started = call != NULL;
  if (call && !exchange.done)
    {
      mr_http_client_abort (call);
      exchange.outcome = MR_HTTP_CONNECTION_LOST;
    }
  mr_loop_free (loop);
  mr_http_client_free (client);
  *status = exchange.status;
  if (!started || exchange.outcome == MR_HTTP_CONNECT_FAILED)
    return mr_fail (MR_ERROR_UNAVAILABLE, "%s: connection failed", address);
  if (exchange.outcome == MR_HTTP_CONNECTION_LOST)
    return mr_fail (MR_ERROR_OUTCOME_UNKNOWN, "%s: no complete response", address);
  return MR_OK;
}

json_t *
ctl_get_json (const CtlOptions *options, const char *address, const char *path)
{
  int status = 0;
  GString *answer = g_string_new (NULL);
  json_t *root = NULL;
  if (ctl_send_request (options, address, "GET", path, (MrText){ 0 }, &status, answer) != MR_OK)
    ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  else
    {
      root = json_loadb (answer->str, answer->len, 0, NULL);
      if (!root)
        ctl_fail (CTL_FAILED, "%s: status %d, response is not valid JSON", address, status);
    }
  g_string_free (answer, TRUE);
  return root;
}

void
ctl_print_json (const json_t *root)
{
  char *text = json_dumps (root, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
  puts (text);
  free (text);
}

GPtrArray *
ctl_get_member_addresses (const CtlOptions *options)
{
  json_t *root = ctl_get_json (options, options->entry, "/v1/members");
  if (!root)
    return NULL;
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  size_t i = 0;
  json_t *member = NULL;
  json_array_foreach (json_object_get (root, "members"), i, member)
  {
    const char *state = json_string_value (json_object_get (member, "state"));
    if (!state || g_str_equal (state, "dead") || g_str_equal (state, "left"))
      continue;
    g_ptr_array_add (
        addresses,
        g_strdup_printf ("%s:%d", json_string_value (json_object_get (member, "ip")),
                         (int) json_integer_value (json_object_get (member, "http_port"))));
  }
  json_decref (root);
  return addresses;
}
