#include "ctl.h"

#include "burn.h"
#include <stdio.h>

enum
{
  OBJECTIVES = 3,
  BAR_WIDTH = 30,
};

static const char *const objective_names[OBJECTIVES] = { "latency", "coverage", "refused" };

/* Counts of one service, summed over all daemons. */
typedef struct
{
  char *name;
  double allowed[OBJECTIVES]; /* fraction of requests that may be bad */
  MrBurnCounts counts[MR_BURN_WINDOW_COUNT];
  gint64 covered_seconds[MR_BURN_WINDOW_COUNT]; /* of the daemon that covers most */
  GHashTable *targets;                          /* blamed target -> count of requests */
  GHashTable *domains;                          /* the same by failure domain */
} ServiceBurn;

static void
S_service_free (gpointer data)
{
  ServiceBurn *service = data;
  g_free (service->name);
  g_hash_table_unref (service->targets);
  g_hash_table_unref (service->domains);
  g_free (service);
}

static guint64
S_get_integer (const json_t *object, const char *key)
{
  return (guint64) json_integer_value (json_object_get (object, key));
}

static void
S_add_count (GHashTable *table, const char *key, guint64 count)
{
  guint64 sum = count + GPOINTER_TO_SIZE (g_hash_table_lookup (table, key));
  g_hash_table_replace (table, g_strdup (key), GSIZE_TO_POINTER (sum));
}

static void
S_add_service (GHashTable *services, const json_t *service_json)
{
  const char *name = json_string_value (json_object_get (service_json, "service"));
  ServiceBurn *service = g_hash_table_lookup (services, name);
  if (!service)
    {
      service = g_new0 (ServiceBurn, 1);
      service->name = g_strdup (name);
      service->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      service->domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      g_hash_table_insert (services, service->name, service);
    }
  const json_t *objectives = json_object_get (service_json, "objectives");
  service->allowed[0] = 1 - json_number_value (json_object_get (objectives, "latency"));
  service->allowed[1] = 1 - json_number_value (json_object_get (objectives, "coverage"));
  service->allowed[2] = json_number_value (json_object_get (objectives, "refused"));
  for (guint w = 0; w < MR_BURN_WINDOW_COUNT; w++)
    {
      const json_t *window = json_array_get (json_object_get (service_json, "windows"), w);
      service->counts[w].total += S_get_integer (window, "total");
      service->counts[w].slow += S_get_integer (window, "slow");
      service->counts[w].uncovered += S_get_integer (window, "uncovered");
      service->counts[w].refused += S_get_integer (window, "refused");
      service->covered_seconds[w] =
          MAX (service->covered_seconds[w], (gint64) S_get_integer (window, "covered_seconds"));
    }
  size_t i = 0;
  json_t *blamed = NULL;
  json_array_foreach (json_object_get (service_json, "blamed"), i, blamed)
  {
    S_add_count (service->targets, json_string_value (json_object_get (blamed, "target")),
                 S_get_integer (blamed, "count"));
    S_add_count (service->domains, json_string_value (json_object_get (blamed, "domain")),
                 S_get_integer (blamed, "count"));
  }
}

/* Returns the key with the highest count in @table, or NULL. */
static const char *
S_most_blamed (GHashTable *table)
{
  GHashTableIter iter;
  gpointer key = NULL;
  gpointer count = NULL;
  const char *worst = NULL;
  gsize max_count = 0;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &count))
    if (GPOINTER_TO_SIZE (count) > max_count)
      {
        max_count = GPOINTER_TO_SIZE (count);
        worst = key;
      }
  return worst;
}

static MrBurnRate
S_rate (const ServiceBurn *service, guint objective, guint window)
{
  const MrBurnCounts *counts = &service->counts[window];
  const guint64 bad[OBJECTIVES] = { counts->slow, counts->uncovered, counts->refused };
  guint64 served = counts->total - counts->refused;
  guint64 total = objective == 2 ? counts->total : served;
  return mr_burn_rate (bad[objective], total, service->allowed[objective],
                       mr_burn_window_seconds[window]);
}

static void
S_print_service (const ServiceBurn *service)
{
  static const char *const labels[MR_BURN_WINDOW_COUNT] = { "5 min", "1 h", "6 h", "3 days" };
  printf ("%s\n", service->name);
  for (guint o = 0; o < OBJECTIVES; o++)
    for (guint w = 0; w < MR_BURN_WINDOW_COUNT; w++)
      {
        MrBurnRate rate = S_rate (service, o, w);
        char bar[BAR_WIDTH + 1] = { 0 };
        int filled = (int) CLAMP (rate.burn_rate * BAR_WIDTH / 10, 0, BAR_WIDTH);
        memset (bar, ' ', BAR_WIDTH);
        memset (bar, '#', (size_t) filled);
        printf ("  %-9s %-7s burn %8.2f |%s| budget left %6.1f%%", objective_names[o], labels[w],
                rate.burn_rate, bar, rate.budget_left * 100);
        if (rate.hours_to_empty >= 0)
          printf (", empty in %.1f h", rate.hours_to_empty);
        if (service->covered_seconds[w] < mr_burn_window_seconds[w])
          printf (" (counts cover only %" G_GINT64_FORMAT " s: a restart loses earlier ones)",
                  service->covered_seconds[w]);
        putchar ('\n');
      }
  const char *target = S_most_blamed (service->targets);
  const char *domain = S_most_blamed (service->domains);
  printf ("  worst target %s, worst failure domain %s (last 5 min)\n", target ? target : "none",
          domain ? domain : "none");
}

static json_t *
S_service_json (const ServiceBurn *service)
{
  json_t *objectives = json_object ();
  for (guint o = 0; o < OBJECTIVES; o++)
    {
      json_t *windows = json_array ();
      for (guint w = 0; w < MR_BURN_WINDOW_COUNT; w++)
        {
          MrBurnRate rate = S_rate (service, o, w);
          json_array_append_new (
              windows, json_pack ("{s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "seconds",
                                  (json_int_t) mr_burn_window_seconds[w], "covered_seconds",
                                  (json_int_t) service->covered_seconds[w], "total",
                                  (json_int_t) service->counts[w].total, "bad_share",
                                  rate.bad_share, "burn", rate.burn_rate, "budget_left",
                                  rate.budget_left, "hours_to_empty", rate.hours_to_empty));
        }
      json_object_set_new (objectives, objective_names[o], windows);
    }
  return json_pack ("{s:s, s:o, s:s?, s:s?}", "service", service->name, "objectives", objectives,
                    "worst_target", S_most_blamed (service->targets), "worst_domain",
                    S_most_blamed (service->domains));
}

CtlExit
ctl_burn (const CtlOptions *options)
{
  if (options->argc > 1)
    return ctl_fail (CTL_USAGE, "expected: merlinringctl burn [SERVICE]");
  GPtrArray *addresses = ctl_get_member_addresses (options);
  if (!addresses)
    return CTL_FAILED;
  g_autoptr (GHashTable) services =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, S_service_free);
  for (guint m = 0; m < addresses->len; m++)
    {
      json_t *root = ctl_get_json (options, g_ptr_array_index (addresses, m), "/v1/burn");
      size_t i = 0;
      json_t *service_json = NULL;
      json_array_foreach (json_object_get (root, "services"), i, service_json)
      {
        const char *name = json_string_value (json_object_get (service_json, "service"));
        if (name && (options->argc == 0 || g_str_equal (name, options->argv[0])))
          S_add_service (services, service_json);
      }
      json_decref (root);
    }
  g_ptr_array_unref (addresses);
  if (options->argc == 1 && g_hash_table_size (services) == 0)
    return ctl_fail (CTL_FAILED, "service '%s': not served by any daemon", options->argv[0]);
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer service = NULL;
  g_hash_table_iter_init (&iter, services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    if (options->json)
      json_array_append_new (list, S_service_json (service));
    else
      S_print_service (service);
  if (options->json)
    ctl_print_json (list);
  json_decref (list);
  return CTL_OK;
}
