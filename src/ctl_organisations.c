#include "ctl.h"

#include <stdio.h>

static void
S_print_counts (const json_t *item)
{
  static const char *const keys[] = { "requests", "admitted", "exceeded", "uncounted" };
  for (gsize i = 0; i < G_N_ELEMENTS (keys); i++)
    printf (" %10" JSON_INTEGER_FORMAT, ctl_json_integer (item, keys[i]));
}

static void
S_print_item (const json_t *item)
{
  const char *counter = ctl_json_string (item, "counter");
  printf ("%-24s %8.5g %8.5g", ctl_json_string (item, "name"),
          json_number_value (json_object_get (item, "rate")),
          json_number_value (json_object_get (item, "burst")));
  S_print_counts (item);
  printf (" %7" JSON_INTEGER_FORMAT "  %s\n", ctl_json_integer (item, "balance"),
          *counter ? counter : "-");
}

static void
S_print_page (const json_t *root)
{
  size_t i = 0;
  const json_t *item = NULL;
  const json_t *others = json_object_get (root, "others");
  printf ("%-24s %8s %8s %10s %10s %10s %10s %7s  %s\n", "organisation", "rate/s", "burst",
          "requests", "admitted", "exceeded", "uncounted", "balance", "counter");
  json_array_foreach (json_object_get (root, "organisations"), i, item)
  {
    S_print_item (item);
  }
  if (ctl_json_integer (others, "organisations") == 0)
    return;
  g_autofree char *label =
      g_strdup_printf ("%d others", (int) ctl_json_integer (others, "organisations"));
  printf ("%-24s %8s %8s", label, "", "");
  S_print_counts (others);
  putchar ('\n');
}

CtlExit
ctl_organisations (const CtlOptions *options)
{
  json_t *root = ctl_get_json (options, options->entry, "/v1/organisations");
  if (!root)
    return CTL_FAILED;
  if (options->json)
    ctl_print_json (root);
  else
    S_print_page (root);
  json_decref (root);
  return CTL_OK;
}
