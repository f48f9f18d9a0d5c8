#include "ctl_loss.h"

enum
{
  SECONDS_SHOWN = 12,
  CAUSE_BYTES = 80,
  STATUS_NOT_FOUND = 404,
};

/* Value of an answer after the latency goal: a rule of thumb, as callers value it at a tenth to a
 * third of one within the goal. */
static const double LATE_VALUE = 0.1;

/* Loss of one route by one cause. */
typedef struct
{
  char *route;
  char *cause;
  guint requests;
  double lost;
} CauseLoss;

typedef struct
{
  gint64 second; /* Unix time */
  guint requests;
  double lost[CTL_LOSS_KINDS];
} SecondLoss;

struct _CtlLoss
{
  GHashTable *by_cause;       /* "route cause" -> CauseLoss */
  GHashTable *by_second;      /* second -> SecondLoss */
  GHashTable *route_requests; /* route -> count of its requests */
  gint64 first_second;
  guint requests;
};

const char *const ctl_loss_names[CTL_LOSS_KINDS] = {
  [CTL_LOSS_PARTIAL] = "parts missing",
  [CTL_LOSS_LATE] = "late",
  [CTL_LOSS_REFUSED] = "refused",
  [CTL_LOSS_FAILED] = "failed",
};

static double
S_answer_value (const json_t *line, gboolean late)
{
  double parts = (double) MAX (ctl_json_integer (line, "parts"), 1);
  double present_share = 1 - (double) ctl_json_integer (line, "missing") / parts;
  return present_share * present_share * (late ? LATE_VALUE : 1);
}

gboolean
ctl_line_loss (const json_t *line, CtlLineLoss *loss)
{
  json_int_t status = ctl_json_integer (line, "status");
  if (status == 0 || status == STATUS_NOT_FOUND)
    return FALSE;
  json_int_t latency_goal = ctl_json_integer (line, "aim_us");
  gboolean served = status < 300;
  gboolean late = served && latency_goal > 0 && ctl_json_integer (line, "took_us") > latency_goal;
  const char *verdict = ctl_json_string (line, "verdict");
  *loss = (CtlLineLoss){
    .requests = ctl_line_weight (line) * (1 + (guint) ctl_json_integer (line, "left_out")),
    .lost_share = served ? 1 - S_answer_value (line, late) : 1,
  };
  /* A line without a verdict is of a request that was refused before it was admitted. */
  if (served)
    loss->kind = late ? CTL_LOSS_LATE : CTL_LOSS_PARTIAL;
  else
    loss->kind =
        g_str_equal (verdict, "refused") || *verdict == '\0' ? CTL_LOSS_REFUSED : CTL_LOSS_FAILED;
  return TRUE;
}

static void
S_cause_loss_free (gpointer data)
{
  CauseLoss *item = data;
  g_free (item->route);
  g_free (item->cause);
  g_free (item);
}

CtlLoss *
ctl_loss_new (void)
{
  CtlLoss *loss = g_new0 (CtlLoss, 1);
  loss->by_cause = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_cause_loss_free);
  loss->by_second = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  loss->route_requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  loss->first_second = G_MAXINT64;
  return loss;
}

void
ctl_loss_free (CtlLoss *loss)
{
  if (!loss)
    return;
  g_hash_table_unref (loss->by_cause);
  g_hash_table_unref (loss->by_second);
  g_hash_table_unref (loss->route_requests);
  g_free (loss);
}

static CauseLoss *
S_get_cause_loss (CtlLoss *loss, const char *route, const char *cause)
{
  g_autofree char *key = g_strdup_printf ("%s %s", route, cause);
  CauseLoss *item = g_hash_table_lookup (loss->by_cause, key);
  if (item)
    return item;
  item = g_new0 (CauseLoss, 1);
  item->route = g_strdup (route);
  item->cause = g_strdup (cause);
  g_hash_table_insert (loss->by_cause, g_steal_pointer (&key), item);
  return item;
}

static SecondLoss *
S_get_second (CtlLoss *loss, gint64 time)
{
  SecondLoss *second = g_hash_table_lookup (loss->by_second, &time);
  if (second)
    return second;
  second = g_new0 (SecondLoss, 1);
  second->second = time;
  g_hash_table_insert (loss->by_second, &second->second, second);
  return second;
}

void
ctl_loss_add (CtlLoss *loss, const json_t *line)
{
  CtlLineLoss line_loss;
  char cause[CAUSE_BYTES];
  if (!ctl_line_loss (line, &line_loss))
    return;
  const char *route = ctl_json_string (line, "route");
  route = *route ? route : "(none)";
  gint64 time = ctl_json_integer (line, "time") / 1000;
  SecondLoss *second = S_get_second (loss, time);
  second->requests += line_loss.requests;
  second->lost[line_loss.kind] += line_loss.lost_share * line_loss.requests;
  loss->requests += line_loss.requests;
  loss->first_second = MIN (loss->first_second, time);
  ctl_add_count (loss->route_requests, route, line_loss.requests);
  if (line_loss.lost_share <= 0)
    return;
  g_snprintf (cause, sizeof cause, "%s, %s", ctl_loss_names[line_loss.kind],
              ctl_json_string (line, "cause"));
  CauseLoss *item = S_get_cause_loss (loss, route, cause);
  item->requests += line_loss.requests;
  item->lost += line_loss.lost_share * line_loss.requests;
}

static gint
S_compare_cause_losses (gconstpointer a, gconstpointer b)
{
  double x = ((const CauseLoss *) a)->lost;
  double y = ((const CauseLoss *) b)->lost;
  return x > y ? -1 : x < y;
}

static double
S_total_lost (const SecondLoss *second)
{
  double sum = 0;
  for (guint i = 0; i < CTL_LOSS_KINDS; i++)
    sum += second->lost[i];
  return sum;
}

static gint
S_compare_second_losses (gconstpointer a, gconstpointer b)
{
  double x = S_total_lost (a);
  double y = S_total_lost (b);
  return x > y ? -1 : x < y;
}

static void
S_print_causes (const CtlLoss *loss)
{
  g_autoptr (GList) items =
      g_list_sort (g_hash_table_get_values (loss->by_cause), S_compare_cause_losses);
  printf ("\nvalue lost, of %u requests (estimate), by route and cause\n", loss->requests);
  printf ("  %-16s %-28s %9s %9s %9s\n", "route", "cause", "requests", "lost", "of route");
  for (const GList *link = items; link; link = link->next)
    {
      const CauseLoss *item = link->data;
      guint route_total =
          GPOINTER_TO_UINT (g_hash_table_lookup (loss->route_requests, item->route));
      printf ("  %-16s %-28s %9u %9.1f %8.2f%%\n", item->route, item->cause, item->requests,
              item->lost, 100 * item->lost / MAX (route_total, 1));
    }
}

static void
S_print_seconds (const CtlLoss *loss)
{
  g_autoptr (GList) seconds =
      g_list_sort (g_hash_table_get_values (loss->by_second), S_compare_second_losses);
  guint shown = 0;
  printf (
      "\nseconds with the greatest loss, counted from the first log line: fraction of the value of "
      "the second's requests\n");
  printf ("  %-8s %9s", "second", "requests");
  for (guint i = 0; i < CTL_LOSS_KINDS; i++)
    printf (" %14s", ctl_loss_names[i]);
  printf ("\n");
  for (const GList *link = seconds; link && shown < SECONDS_SHOWN; link = link->next, shown++)
    {
      const SecondLoss *second = link->data;
      if (S_total_lost (second) <= 0)
        break;
      printf ("  %-8" G_GINT64_FORMAT " %9u", second->second - loss->first_second,
              second->requests);
      for (guint i = 0; i < CTL_LOSS_KINDS; i++)
        printf (" %14.3f", second->lost[i] / MAX (second->requests, 1));
      printf ("\n");
    }
}

void
ctl_loss_print (const CtlLoss *loss)
{
  S_print_causes (loss);
  S_print_seconds (loss);
}
