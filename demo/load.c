/* Load generator.  It acts as callers that request a list of addresses, use it for its
 * time to live and connect to these addresses directly.
 *
 * Requests are sent at a fixed rate (open loop), so that a slow system does not reduce
 * the load.  It exits after --rate times --seconds requests. */

#include "batch.h"
#include "histogram.h"
#include "http_client.h"
#include "settings.h"
#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>

enum
{
  SLOTS = 512,
  DESCRIPTORS = 4096,
  RATE_MAX = 20000,
  SECONDS_MAX = 600,
  ADDRESSES_MAX = 16,
};

/* Gives up if no address is received within this time. */
static const MrTime ADDRESS_TIMEOUT = 5 * MR_SECOND;
/* A request without a response is aborted this long after its deadline. */
static const MrTime RESPONSE_GRACE = 3 * MR_SECOND;

typedef struct
{
  char *ip;
  int port;
} Address;

typedef struct _Load Load;

typedef struct
{
  Load *load;
  MrHttpCall *call;
  MrTime due; /* scheduled time; latency is measured from here */
  MrTime abort_at;
  guint slot;
  gboolean order;
} Request;

struct _Load
{
  MrLoopHandler handler;
  MrLoop *loop;
  MrHttpClient *client;
  Request *slots[SLOTS];
  Address addresses[ADDRESSES_MAX];
  guint address_count;
  guint next_address;
  MrTime refresh_at;
  gboolean refreshing;
  MrTime started_at;
  MrTime load_started_at; /* 0 until an address is known */
  guint64 sent;
  guint64 ended;
  guint64 complete;
  guint64 partial;
  guint64 refused;
  guint64 failed;  /* no response, or one of another kind */
  guint64 skipped; /* not sent, as no slot was free */
  double coverage;
  MrHistogram latency;
};

static struct
{
  const char *entry;
  const char *service;
  const char *query;
  const char *traffic_class;
  int rate;
  int seconds;
  int deadline_ms;
  gboolean json;
} opt = {
  .entry = "127.0.0.1:8001",
  .service = "shop-search",
  .query = "ripe",
  .traffic_class = "interactive",
  .rate = 50,
  .seconds = 5,
  .deadline_ms = 150,
};

static void
S_count_response (Load *load, const MrHttpResponse *response)
{
  json_t *root = response->outcome == MR_HTTP_OK
                     ? json_loadb (response->body.data, response->body.len, 0, NULL)
                     : NULL;
  json_int_t result = json_integer_value (json_object_get (root, "result"));
  const json_t *coverage = json_object_get (root, "coverage");
  load->coverage += json_number_value (json_object_get (coverage, "ratio"));
  if (result == 100)
    load->complete++;
  else if (result == 101)
    load->partial++;
  else if (result >= 200 && result < 300)
    load->refused++;
  else
    load->failed++;
  json_decref (root);
}

static void
S_finish_request (Request *request, const MrHttpResponse *response)
{
  Load *load = request->load;
  MrTime latency = mr_now () - request->due;
  load->slots[request->slot] = NULL;
  load->ended++;
  if (response)
    S_count_response (load, response);
  else
    load->failed++;
  mr_histogram_add (&load->latency, latency);
  g_free (request);
}

static gboolean
S_on_response (void *user, const MrHttpResponse *response)
{
  S_finish_request (user, response);
  return TRUE;
}

static void
S_send (Load *load, MrTime due, guint slot)
{
  const Address *address = &load->addresses[load->next_address++ % load->address_count];
  g_autofree char *query = g_uri_escape_string (opt.query, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/services/%s/search?q=%s&class=%s&deadline_ms=%d",
                                           opt.service, query, opt.traffic_class, opt.deadline_ms);
  Request *request = g_new0 (Request, 1);
  *request = (Request){
    .load = load,
    .due = due,
    .slot = slot,
    .abort_at = due + opt.deadline_ms * MR_MS + RESPONSE_GRACE,
  };
  MrHttpCallInfo info = {
    .method = "GET",
    .ip = address->ip,
    .port = address->port,
    .connection_slot = slot,
    .path = path,
    .on_response = S_on_response,
    .user = request,
  };
  load->sent++;
  load->slots[slot] = request;
  request->call = mr_http_client_call (load->client, &info);
  if (!request->call)
    S_finish_request (request, NULL);
}

/* Addresses. */

static void
S_update_addresses (Load *load, const MrHttpResponse *response)
{
  load->refreshing = FALSE;
  json_t *root = response->outcome == MR_HTTP_OK
                     ? json_loadb (response->body.data, response->body.len, 0, NULL)
                     : NULL;
  const json_t *address_list = json_object_get (root, "addresses");
  MrTime now = mr_now ();
  load->refresh_at = now + 100 * MR_MS;
  if (json_array_size (address_list) > 0)
    {
      for (guint i = 0; i < load->address_count; i++)
        g_free (load->addresses[i].ip);
      load->address_count = 0;
      size_t i = 0;
      json_t *item = NULL;
      json_array_foreach (address_list, i, item)
      {
        if (load->address_count == ADDRESSES_MAX)
          break;
        load->addresses[load->address_count++] = (Address){
          .ip = g_strdup (json_string_value (json_object_get (item, "ip"))),
          .port = (int) json_integer_value (json_object_get (item, "port")),
        };
      }
      load->refresh_at = now + json_integer_value (json_object_get (root, "keep_ms")) * MR_MS;
    }
  json_decref (root);
}

static gboolean
S_on_addresses (void *user, const MrHttpResponse *response)
{
  S_update_addresses (user, response);
  return TRUE;
}

/* Requests addresses from one of those in use; the first time from --entry. */
static void
S_request_addresses (Load *load)
{
  g_autofree char *ip = NULL;
  int port = 0;
  if (load->address_count > 0)
    {
      const Address *address = &load->addresses[load->next_address++ % load->address_count];
      ip = g_strdup (address->ip);
      port = address->port;
    }
  else if (mr_settings_split_address (opt.entry, &ip, &port) != MR_OK)
    return;
  MrHttpCallInfo info = {
    .method = "GET",
    .ip = ip,
    .port = port,
    .connection_slot = SLOTS,
    .path = "/v1/addresses?count=16",
    .on_response = S_on_addresses,
    .user = load,
  };
  load->refreshing = mr_http_client_call (load->client, &info) != NULL;
  load->refresh_at = mr_now () + 100 * MR_MS;
}

/* The loop. */

static void
S_abort_overdue (Load *load, MrTime now)
{
  for (guint slot = 0; slot < SLOTS; slot++)
    {
      Request *request = load->slots[slot];
      if (!request || !request->call || now < request->abort_at)
        continue;
      mr_http_client_abort (request->call);
      S_finish_request (request, NULL);
    }
}

static guint
S_find_free_slot (const Load *load)
{
  for (guint slot = 0; slot < SLOTS; slot++)
    if (!load->slots[slot])
      return slot;
  return SLOTS;
}

static MrTime
S_on_tick (MrLoopHandler *handler, MrTime now)
{
  Load *load = (Load *) handler;
  guint64 total = (guint64) opt.rate * (guint64) opt.seconds;
  MrTime gap = MR_SECOND / opt.rate;
  if (!load->refreshing && now >= load->refresh_at)
    S_request_addresses (load);
  if (load->address_count == 0)
    {
      if (now > load->started_at + ADDRESS_TIMEOUT)
        {
          load->failed = total;
          mr_loop_stop (load->loop);
        }
      return now + 10 * MR_MS;
    }
  if (load->load_started_at == 0)
    load->load_started_at = now;
  while (load->sent + load->skipped < total)
    {
      MrTime due = load->load_started_at + (MrTime) (load->sent + load->skipped) * gap;
      guint slot = S_find_free_slot (load);
      if (due > now)
        break;
      if (slot == SLOTS)
        load->skipped++;
      else
        S_send (load, due, slot);
    }
  S_abort_overdue (load, now);
  if (load->ended + load->skipped == total)
    {
      mr_loop_stop (load->loop);
      return MR_NEVER;
    }
  MrTime next = load->load_started_at + (MrTime) (load->sent + load->skipped) * gap;
  return MIN (MAX (next, now + 1), now + 20 * MR_MS);
}

static void
S_report (const Load *load)
{
  double answers = (double) MAX (load->complete + load->partial, 1);
  const MrHistogram *h = &load->latency;
  printf ("{\"sent\":%" G_GUINT64_FORMAT ",\"complete\":%" G_GUINT64_FORMAT
          ",\"partial\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
          ",\"failed\":%" G_GUINT64_FORMAT ",\"skipped\":%" G_GUINT64_FORMAT
          ",\"coverage\":%.5f,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"p999_ms\":%.2f}\n",
          load->sent, load->complete, load->partial, load->refused, load->failed, load->skipped,
          load->coverage / answers, (double) mr_histogram_quantile (h, 0.5) / 1000,
          (double) mr_histogram_quantile (h, 0.99) / 1000,
          (double) mr_histogram_quantile (h, 0.999) / 1000);
}

static const struct argp_option options[] = {
  { .name = "entry",
    .key = 'e',
    .arg = "IP:PORT",
    .doc = "Daemon that provides the first addresses" },
  { .name = "service", .key = 's', .arg = "NAME", .doc = "Service to search" },
  { .name = "query", .key = 'q', .arg = "WORDS", .doc = "Words to search for" },
  { .name = "class", .key = 'c', .arg = "CLASS", .doc = "urgent, interactive or browsing" },
  { .name = "rate", .key = 'r', .arg = "N", .doc = "Requests a second" },
  { .name = "seconds", .key = 't', .arg = "N", .doc = "Duration of the load" },
  { .name = "deadline-ms", .key = 'd', .arg = "MS", .doc = "Deadline of each request" },
  { 0 },
};

static error_t
S_parse (int key, char *arg, struct argp_state *state)
{
  (void) state;
  switch (key)
    {
    case 'e':
      opt.entry = arg;
      return 0;
    case 's':
      opt.service = arg;
      return 0;
    case 'q':
      opt.query = arg;
      return 0;
    case 'c':
      opt.traffic_class = arg;
      return 0;
    case 'r':
      opt.rate = atoi (arg);
      return 0;
    case 't':
      opt.seconds = atoi (arg);
      return 0;
    case 'd':
      opt.deadline_ms = atoi (arg);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  struct argp argp = { .options = options,
                       .parser = S_parse,
                       .doc = "Load generator for a system on loopback." };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (opt.rate < 1 || opt.rate > RATE_MAX || opt.seconds < 1 || opt.seconds > SECONDS_MAX ||
      mr_traffic_class_from_name (mr_text (opt.traffic_class)) == MR_TRAFFIC_CLASS_COUNT ||
      !g_str_has_prefix (opt.entry, "127."))
    {
      fprintf (stderr,
               "load: expected --rate from 1 to %d, --seconds from 1 to %d, a known --class and an "
               "--entry on loopback\n",
               RATE_MAX, SECONDS_MAX);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  Load load = { .handler = { .on_tick = S_on_tick } };
  load.loop = mr_loop_new (&load.handler, DESCRIPTORS);
  if (!load.loop)
    return EXIT_FAILURE;
  load.started_at = mr_now ();
  load.client = mr_http_client_new (load.loop, SLOTS + 1);
  mr_loop_run (load.loop);
  S_report (&load);
  mr_loop_free (load.loop);
  mr_http_client_free (load.client);
  for (guint i = 0; i < load.address_count; i++)
    g_free (load.addresses[i].ip);
  return load.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
