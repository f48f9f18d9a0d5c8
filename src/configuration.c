#include "configuration.h"

#include "json_page.h"
#include <jansson.h>
#include <stdatomic.h>

struct _MrConfiguration
{
  atomic_int refs;
  guint64 version;
  MrCallerLimits limits;
  GPtrArray *routes;              /* MrRoute */
  GHashTable *hosts;              /* host -> GPtrArray of MrRoute, longest prefix first */
  GHashTable *services;           /* name -> MrServiceInfo */
  MrOrganisations *organisations; /* NULL: none */
};

/* A larger number counts as this one. */
static const double NUMBER_MAX = G_MAXINT32;
/* Largest integer that every JSON implementation represents exactly.  A version is never taken for
 * another one: no later one could follow. */
static const double VERSION_MAX = 9007199254740991.0;

static void
S_route_free (gpointer data)
{
  MrRoute *route = data;
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  for (guint i = 0; i < route->service_count; i++)
    g_free (route->services[i].service);
  g_free (route->services);
  g_strfreev (route->home_regions);
  g_free (route);
}

static void
S_service_free (gpointer data)
{
  MrServiceInfo *service = data;
  g_free (service->name);
  g_free (service);
}

MrConfiguration *
mr_configuration_ref (MrConfiguration *c)
{
  atomic_fetch_add (&c->refs, 1);
  return c;
}

void
mr_configuration_unref (MrConfiguration *c)
{
  if (!c || atomic_fetch_sub (&c->refs, 1) > 1)
    return;
  g_hash_table_unref (c->hosts);
  g_hash_table_unref (c->services);
  g_ptr_array_unref (c->routes);
  mr_organisations_free (c->organisations);
  g_free (c);
}

/* Parsing. Each function reports the field that is missing or invalid. */

static MrStatus
S_fail_field (const char *where, const char *field)
{
  return mr_fail (MR_ERROR_INVALID, "configuration: %s: field '%s' is missing or invalid", where,
                  field);
}

static MrStatus
S_read_string (const json_t *object, const char *where, const char *field, char **out)
{
  const char *text = json_string_value (json_object_get (object, field));
  if (!text || *text == '\0')
    return S_fail_field (where, field);
  *out = g_strdup (text);
  return MR_OK;
}

static MrStatus
S_read_number (
    const json_t *object, const char *where, const char *field, double minimum, double *out)
{
  const json_t *value = json_object_get (object, field);
  if (!json_is_number (value) || !(json_number_value (value) >= minimum))
    return S_fail_field (where, field);
  *out = MIN (json_number_value (value), NUMBER_MAX);
  return MR_OK;
}

/* Returns the number of a version; 0 if @value is none. */
static guint64
S_version_number (const json_t *value)
{
  double number = json_number_value (value);
  return number > 0 && number <= VERSION_MAX ? (guint64) number : 0;
}

static MrStatus
S_read_version (const json_t *root, guint64 *out)
{
  const json_t *value = json_object_get (root, "version");
  *out = S_version_number (value);
  if (!json_is_number (value) || (*out == 0 && json_number_value (value) != 0))
    return S_fail_field ("top", "version");
  return MR_OK;
}

static MrStatus
S_read_route_service (const json_t *item, MrRoute *route, MrRouteService *service)
{
  service->weight = 1;
  if (route->kind != MR_ROUTE_SPLIT)
    {
      service->service = g_strdup (json_string_value (item));
      return service->service ? MR_OK : S_fail_field (route->name, "shards");
    }
  MrStatus status = S_read_string (item, route->name, "service", &service->service);
  return status == MR_OK ? S_read_number (item, route->name, "weight", 0, &service->weight)
                         : status;
}

static MrStatus
S_read_route_services (const json_t *object, MrRoute *route)
{
  json_t *single = json_object_get (object, "service");
  const json_t *split = json_object_get (object, "split");
  const json_t *shards = json_object_get (object, "shards");
  const json_t *list = shards ? shards : split;
  route->kind = shards ? MR_ROUTE_SHARDS : split ? MR_ROUTE_SPLIT : MR_ROUTE_SERVICE;
  route->service_count = list ? (guint) json_array_size (list) : 1;
  if (route->service_count == 0)
    return S_fail_field (route->name, shards ? "shards" : "split");
  route->services = g_new0 (MrRouteService, route->service_count);
  if (!list)
    return S_read_route_service (single, route, &route->services[0]);
  for (guint i = 0; i < route->service_count; i++)
    {
      MrStatus status = S_read_route_service (json_array_get (list, i), route, &route->services[i]);
      if (status != MR_OK)
        return status;
    }
  return MR_OK;
}

static MrStatus
S_read_route_numbers (const json_t *object, MrRoute *route)
{
  double time_limit = 0;
  double latency_goal = 0;
  double attempt_limit = 0;
  double priority = 0;
  double top_records = 0;
  MrStatus status = S_read_number (object, route->name, "time_limit", 1, &time_limit);
  if (status == MR_OK)
    status = S_read_number (object, route->name, "aim", 1, &latency_goal);
  if (status == MR_OK)
    status = S_read_number (object, route->name, "attempts", 1, &attempt_limit);
  if (status == MR_OK)
    status = S_read_number (object, route->name, "rank", 0, &priority);
  if (status == MR_OK && route->kind == MR_ROUTE_SHARDS)
    {
      status = S_read_number (object, route->name, "top_records", 0, &top_records);
      if (status == MR_OK)
        status = S_read_number (object, route->name, "least_share", 0, &route->min_coverage);
    }
  route->time_limit = (MrTime) (time_limit * MR_MS);
  route->latency_goal = (MrTime) (latency_goal * MR_MS);
  route->attempt_limit = (guint) attempt_limit;
  route->priority = (guint) priority;
  route->top_records = (guint) top_records;
  route->idempotent = json_is_true (json_object_get (object, "repeatable"));
  route->is_public = json_is_true (json_object_get (object, "public"));
  return status;
}

static MrStatus
S_read_home_regions (const json_t *object, MrRoute *route)
{
  size_t i = 0;
  const json_t *item = NULL;
  const json_t *homes = json_object_get (object, "homes");
  if (!homes)
    return MR_OK;
  if (!json_is_array (homes))
    return S_fail_field (route->name, "homes");
  if (json_array_size (homes) == 0)
    return MR_OK;
  route->home_regions = g_new0 (char *, json_array_size (homes) + 1);
  json_array_foreach (homes, i, item)
  {
    if (!json_is_string (item))
      return S_fail_field (route->name, "homes");
    route->home_regions[i] = g_strdup (json_string_value (item));
  }
  return MR_OK;
}

static MrStatus
S_read_route (MrConfiguration *c, const json_t *object)
{
  MrRoute *route = g_new0 (MrRoute, 1);
  g_ptr_array_add (c->routes, route);
  MrStatus status = S_read_string (object, "route", "name", &route->name);
  if (status == MR_OK)
    status = S_read_string (object, route->name, "host", &route->host);
  if (status == MR_OK)
    status = S_read_string (object, route->name, "prefix", &route->prefix);
  if (status == MR_OK)
    status = S_read_route_services (object, route);
  if (status == MR_OK)
    status = S_read_route_numbers (object, route);
  if (status == MR_OK)
    status = S_read_home_regions (object, route);
  if (status != MR_OK)
    return status;
  for (char *at = route->host; *at; at++)
    *at = g_ascii_tolower (*at);
  GPtrArray *list = g_hash_table_lookup (c->hosts, route->host);
  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (c->hosts, route->host, list);
    }
  g_ptr_array_add (list, route);
  return MR_OK;
}

static MrStatus
S_read_service (MrConfiguration *c, const json_t *object)
{
  double connections = 0;
  double cold_rate = 0;
  double cold_time = 0;
  char *name = NULL;
  MrStatus status = S_read_string (object, "service", "name", &name);
  if (status == MR_OK)
    status = S_read_number (object, name, "connections", 1, &connections);
  if (status == MR_OK && json_object_get (object, "cold_rate"))
    status = S_read_number (object, name, "cold_rate", 0, &cold_rate);
  if (status == MR_OK && json_object_get (object, "cold_time"))
    status = S_read_number (object, name, "cold_time", 0, &cold_time);
  if (status != MR_OK)
    {
      g_free (name);
      return status;
    }
  MrServiceInfo *service = g_new (MrServiceInfo, 1);
  *service = (MrServiceInfo){
    .name = name,
    .max_connections_per_target = (guint) connections,
    .cold_rate = cold_rate,
    .cold_time = (MrTime) (cold_time * MR_MS),
  };
  g_hash_table_replace (c->services, service->name, service);
  return MR_OK;
}

static MrStatus
S_read_limits (MrConfiguration *c, const json_t *object)
{
  double head = 0;
  double body = 0;
  double head_time = 0;
  double idle_time = 0;
  MrStatus status = S_read_number (object, "limits", "head_bytes", 1, &head);
  if (status == MR_OK)
    status = S_read_number (object, "limits", "body_bytes", 1, &body);
  if (status == MR_OK)
    status = S_read_number (object, "limits", "head_time", 1, &head_time);
  if (status == MR_OK)
    status = S_read_number (object, "limits", "idle_time", 1, &idle_time);
  c->limits = (MrCallerLimits){
    .max_head_bytes = (gsize) head,
    .max_body_bytes = (gsize) body,
    .head_timeout = (MrTime) (head_time * MR_MS),
    .idle_timeout = (MrTime) (idle_time * MR_MS),
  };
  return status;
}

static int
S_longest_first (gconstpointer a, gconstpointer b)
{
  gsize first = strlen ((*(const MrRoute *const *) a)->prefix);
  gsize second = strlen ((*(const MrRoute *const *) b)->prefix);
  return first < second ? 1 : first > second ? -1 : 0;
}

static MrStatus
S_parse (MrConfiguration *c, const json_t *root)
{
  size_t i = 0;
  json_t *item = NULL;
  const json_t *services = json_object_get (root, "services");
  const json_t *routes = json_object_get (root, "routes");
  MrStatus status = S_read_version (root, &c->version);
  if (status == MR_OK)
    status = S_read_limits (c, json_object_get (root, "limits"));
  if (status == MR_OK && services && !json_is_array (services))
    status = S_fail_field ("top", "services");
  if (status == MR_OK && routes && !json_is_array (routes))
    status = S_fail_field ("top", "routes");
  json_array_foreach (services, i, item)
  {
    if (status == MR_OK)
      status = S_read_service (c, item);
  }
  json_array_foreach (routes, i, item)
  {
    if (status == MR_OK)
      status = S_read_route (c, item);
  }
  const json_t *organisations = json_object_get (root, "organisations");
  if (status == MR_OK && organisations)
    status = mr_organisations_parse (organisations, &c->organisations);
  GHashTableIter iter;
  gpointer list = NULL;
  g_hash_table_iter_init (&iter, c->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    g_ptr_array_sort (list, S_longest_first);
  return status;
}

MrConfiguration *
mr_configuration_parse (MrText json)
{
  json_error_t error;
  json_t *root = json_loadb (json.data, json.len, 0, &error);
  if (!root)
    {
      mr_fail (MR_ERROR_INVALID, "configuration: line %d: %s", error.line, error.text);
      return NULL;
    }
  MrConfiguration *c = g_new0 (MrConfiguration, 1);
  atomic_init (&c->refs, 1);
  c->routes = g_ptr_array_new_with_free_func (S_route_free);
  c->hosts =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) g_ptr_array_unref);
  c->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  MrStatus status = S_parse (c, root);
  json_decref (root);
  if (status == MR_OK)
    return c;
  mr_configuration_unref (c);
  return NULL;
}

guint64
mr_configuration_read_version (MrText json)
{
  json_t *value = mr_json_read_member (json, "version");
  guint64 version = S_version_number (value);
  json_decref (value);
  return version;
}

guint64
mr_configuration_version (const MrConfiguration *c)
{
  return c->version;
}

const MrCallerLimits *
mr_configuration_limits (const MrConfiguration *c)
{
  return &c->limits;
}

const MrOrganisations *
mr_configuration_organisations (const MrConfiguration *c)
{
  return c->organisations;
}

/* Returns the routes of @host, longest prefix first, or NULL if there are none. */
static const GPtrArray *
S_routes_of (const MrConfiguration *c, MrText host)
{
  const char *colon = memchr (host.data ? host.data : "", ':', host.len);
  gsize len = colon ? (gsize) (colon - host.data) : host.len;
  g_autofree char *key = g_ascii_strdown (host.data ? host.data : "", (gssize) len);
  return g_hash_table_lookup (c->hosts, key);
}

const MrRoute *
mr_configuration_find_route (const MrConfiguration *c, MrText host, MrText path)
{
  const GPtrArray *list = S_routes_of (c, host);
  for (guint i = 0; list && i < list->len; i++)
    {
      const MrRoute *route = g_ptr_array_index (list, i);
      gsize prefix = strlen (route->prefix);
      if (path.len >= prefix && memcmp (path.data, route->prefix, prefix) == 0)
        return route;
    }
  return NULL;
}

GHashTable *
mr_configuration_home_regions (const MrConfiguration *c, MrText host)
{
  const GPtrArray *list = S_routes_of (c, host);
  GHashTable *regions = NULL;
  for (guint i = 0; list && i < list->len; i++)
    {
      const MrRoute *route = g_ptr_array_index (list, i);
      for (char **region = route->home_regions; region && *region; region++)
        {
          if (!regions)
            regions = g_hash_table_new (g_str_hash, g_str_equal);
          g_hash_table_add (regions, *region);
        }
    }
  return regions;
}

const MrServiceInfo *
mr_configuration_find_service (const MrConfiguration *c, const char *name)
{
  return g_hash_table_lookup (c->services, name);
}
