#include "ctl_loss.h"

enum
{
  SECONDS_SHOWN = 12,
  CAUSE_BYTES = 80,
  NOT_FOUND = 404,
};

/* What an answer after its aim is still worth, as a rule of thumb: callers here
 * value it at a tenth to a third. */
static const double LATE_WORTH = 0.1;

/* Requests of one route and cause. */
typedef struct
{
  char *route;
  char *cause;
  guint requests;
  double lost;
} Item;

typedef struct
{
  gint64 second; /* since 1970 */
  guint requests;
  double lost[CTL_LOSSES];
} Second;

struct _CtlLoss
{
  GHashTable *items;   /* "route cause" -> Item */
  GHashTable *seconds; /* second -> Second */
  GHashTable *routes;  /* route -> count of its requests */
  gint64 first;
  guint requests;
};

const char *const ctl_loss_names[CTL_LOSSES] = {
  [CTL_LOSS_PARTIAL] = "parts missing",
  [CTL_LOSS_LATE] = "late",
  [CTL_LOSS_REFUSED] = "refused",
  [CTL_LOSS_FAILED] = "failed",
};

static double
S_earned (const json_t *line, gboolean late)
{
  double parts = (double) MAX (ctl_line_number (line, "parts"), 1);
  double in = 1 - (double) ctl_line_number (line, "missing") / parts;
  return in * in * (late ? LATE_WORTH : 1);
}

gboolean
ctl_line_loss (const json_t *line, CtlLineLoss *loss)
{
  json_int_t status = ctl_line_number (line, "status");
  if (status == 0 || status == NOT_FOUND)
    return FALSE;
  json_int_t aim = ctl_line_number (line, "aim_us");
  gboolean served = status < 300;
  gboolean late = served && aim > 0 && ctl_line_number (line, "took_us") > aim;
  const char *verdict = ctl_line_text (line, "verdict");
  *loss = (CtlLineLoss){
    .requests = ctl_line_weight (line) * (1 + (guint) ctl_line_number (line, "left_out")),
    .lost = served ? 1 - S_earned (line, late) : 1,
  };
  if (served)
    loss->kind = late ? CTL_LOSS_LATE : CTL_LOSS_PARTIAL;
  else
    loss->kind =
        g_str_equal (verdict, "refused") || *verdict == '\0' ? CTL_LOSS_REFUSED : CTL_LOSS_FAILED;
  return TRUE;
}

static void
S_item_free (gpointer data)
{
  Item *item = data;
  g_free (item->route);
  g_free (item->cause);
  g_free (item);
}

CtlLoss *
ctl_loss_new (void)
{
  CtlLoss *loss = g_new0 (CtlLoss, 1);
  loss->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, S_item_free);
  loss->seconds = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  loss->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  loss->first = G_MAXINT64;
  return loss;
}

void
ctl_loss_free (CtlLoss *loss)
{
  if (!loss)
    return;
  g_hash_table_unref (loss->items);
  g_hash_table_unref (loss->seconds);
  g_hash_table_unref (loss->routes);
  g_free (loss);
}

static Item *
S_item (CtlLoss *loss, const char *route, const char *cause)
{
  g_autofree char *key = g_strdup_printf ("%s %s", route, cause);
  Item *item = g_hash_table_lookup (loss->items, key);
  if (item)
    return item;
  item = g_new0 (Item, 1);
  item->route = g_strdup (route);
  item->cause = g_strdup (cause);
  g_hash_table_insert (loss->items, g_steal_pointer (&key), item);
  return item;
}

static Second *
S_second (CtlLoss *loss, gint64 at)
{
  Second *second = g_hash_table_lookup (loss->seconds, &at);
  if (second)
    return second;
  second = g_new0 (Second, 1);
  second->second = at;
  g_hash_table_insert (loss->seconds, &second->second, second);
  return second;
}

void
ctl_loss_add (CtlLoss *loss, const json_t *line)
{
  CtlLineLoss part;
  char cause[CAUSE_BYTES];
  if (!ctl_line_loss (line, &part))
    return;
  const char *route = ctl_line_text (line, "route");
  route = *route ? route : "(none)";
  gint64 at = ctl_line_number (line, "time") / 1000;
  Second *second = S_second (loss, at);
  second->requests += part.requests;
  second->lost[part.kind] += part.lost * part.requests;
  loss->requests += part.requests;
  loss->first = MIN (loss->first, at);
  ctl_count (loss->routes, route, part.requests);
  if (part.lost <= 0)
    return;
  g_snprintf (cause, sizeof cause, "%s, %s", ctl_loss_names[part.kind],
              ctl_line_text (line, "cause"));
  Item *item = S_item (loss, route, cause);
  item->requests += part.requests;
  item->lost += part.lost * part.requests;
}

static gint
S_by_item_lost (gconstpointer a, gconstpointer b)
{
  double x = ((const Item *) a)->lost;
  double y = ((const Item *) b)->lost;
  return x > y ? -1 : x < y;
}

static double
S_lost (const Second *second)
{
  double sum = 0;
  for (guint i = 0; i < CTL_LOSSES; i++)
    sum += second->lost[i];
  return sum;
}

static gint
S_by_second_lost (gconstpointer a, gconstpointer b)
{
  double x = S_lost (a);
  double y = S_lost (b);
  return x > y ? -1 : x < y;
}

static void
S_print_items (const CtlLoss *loss)
{
  g_autoptr (GList) items = g_list_sort (g_hash_table_get_values (loss->items), S_by_item_lost);
  printf ("\nlost, of %u requests about: by route and cause\n", loss->requests);
  printf ("  %-16s %-28s %9s %9s %9s\n", "route", "cause", "requests", "lost", "of route");
  for (const GList *link = items; link; link = link->next)
    {
      const Item *item = link->data;
      guint asked = GPOINTER_TO_UINT (g_hash_table_lookup (loss->routes, item->route));
      printf ("  %-16s %-28s %9u %9.1f %8.2f%%\n", item->route, item->cause, item->requests,
              item->lost, 100 * item->lost / MAX (asked, 1));
    }
}

static void
S_print_seconds (const CtlLoss *loss)
{
  g_autoptr (GList) seconds =
      g_list_sort (g_hash_table_get_values (loss->seconds), S_by_second_lost);
  guint shown = 0;
  printf ("\nseconds that lost most, counted from the first line's: share of the requests of "
          "the second\n");
  printf ("  %-8s %9s", "second", "requests");
  for (guint i = 0; i < CTL_LOSSES; i++)
    printf (" %14s", ctl_loss_names[i]);
  printf ("\n");
  for (const GList *link = seconds; link && shown < SECONDS_SHOWN; link = link->next, shown++)
    {
      const Second *second = link->data;
      if (S_lost (second) <= 0)
        break;
      printf ("  %-8" G_GINT64_FORMAT " %9u", second->second - loss->first, second->requests);
      for (guint i = 0; i < CTL_LOSSES; i++)
        printf (" %14.3f", second->lost[i] / MAX (second->requests, 1));
      printf ("\n");
    }
}

void
ctl_loss_print (const CtlLoss *loss)
{
  S_print_items (loss);
  S_print_seconds (loss);
}
