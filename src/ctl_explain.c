#include "ctl.h"

#include <stdio.h>

/* A line of a request, or of one of the targets it met. */
typedef struct
{
  json_int_t time; /* ms */
  json_t *line;
} Entry;

/* What a cause means, and what to do about it. */
static const struct
{
  const char *cause;
  const char *meaning;
} meanings[] = {
  { "none", "nothing was wrong" },
  { "no-target", "every target of a service was down, leaving or unknown" },
  { "overload", "targets were so loaded that the answer would have come too late" },
  { "attempts", "every target that may be tried was tried; see how each call ended" },
  { "budget", "another send would have gone over the bound on extra load" },
  { "broken", "a target broke off and the request may not be repeated; it may have run" },
  { "few-shards", "too few shards could still answer" },
  { "time", "the caller's deadline or the route's time limit passed" },
  { "soft-end", "answered without the missing shards, to be in time" },
  { "not-ready", "the relay had no configuration or no targets yet" },
  { "no-route", "no route of the version in force there matches" },
};

static void
S_add (json_t *line, void *user)
{
  Entry entry = { .time = ctl_line_number (line, "time"), .line = json_incref (line) };
  g_array_append_val ((GArray *) user, entry);
}

static int
S_by_time (gconstpointer a, gconstpointer b)
{
  json_int_t x = ((const Entry *) a)->time;
  json_int_t y = ((const Entry *) b)->time;
  return x < y ? -1 : x > y;
}

static void
S_print_calls (const json_t *line, GHashTable *targets)
{
  size_t i = 0;
  json_t *call = NULL;
  json_array_foreach (json_object_get (line, "calls"), i, call)
  {
    const char *target = ctl_line_text (call, "target");
    g_hash_table_add (targets, g_strdup (target));
    printf ("    part %d at %s, %s after %.1f ms: %s after %.1f ms",
            (int) ctl_line_number (call, "part"), target, ctl_line_text (call, "why"),
            (double) ctl_line_number (call, "at_us") / 1000, ctl_line_text (call, "end"),
            (double) ctl_line_number (call, "took_us") / 1000);
    if (ctl_line_number (call, "heard_us") >= 0)
      printf ("; it had answered %.1f ms before",
              (double) ctl_line_number (call, "heard_us") / 1000);
    putchar ('\n');
  }
}

static const char *
S_meaning (const char *cause)
{
  for (gsize i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (g_str_equal (meanings[i].cause, cause))
      return meanings[i].meaning;
  return "";
}

static void
S_print_request (const json_t *line, GHashTable *targets)
{
  printf ("%" JSON_INTEGER_FORMAT " %s route %s%s, configuration %" JSON_INTEGER_FORMAT
          ": status %" JSON_INTEGER_FORMAT " after %.1f ms",
          ctl_line_number (line, "time"), ctl_line_text (line, "event"),
          ctl_line_text (line, "route"), ctl_line_text (line, "target"),
          ctl_line_number (line, "version"), ctl_line_number (line, "status"),
          (double) ctl_line_number (line, "took_us") / 1000);
  if (ctl_line_number (line, "missing") > 0)
    printf (", %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT " parts missing",
            ctl_line_number (line, "missing"), ctl_line_number (line, "parts"));
  printf ("\n    cause %s: %s\n", ctl_line_text (line, "cause"),
          S_meaning (ctl_line_text (line, "cause")));
  S_print_calls (line, targets);
}

/* What was believed of the targets that the request met. */
static void
S_print_beliefs (const GArray *entries, GHashTable *targets)
{
  GHashTableIter iter;
  gpointer target = NULL;
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, &target, NULL))
    {
      g_autofree char *needle = g_strdup_printf ("target %s ", (const char *) target);
      for (guint i = 0; i < entries->len; i++)
        {
          const Entry *entry = &g_array_index (entries, Entry, i);
          const char *message = ctl_line_text (entry->line, "message");
          if (strstr (message, needle))
            printf ("%" JSON_INTEGER_FORMAT " %s %s\n", entry->time,
                    ctl_line_text (entry->line, "event"), message);
        }
    }
}

CtlExit
ctl_explain (const CtlOptions *options)
{
  if (options->argc < 1)
    return ctl_fail (CTL_USAGE, "explain: expected REQUEST-ID [FILE...]");
  g_autoptr (GArray) entries = g_array_new (FALSE, FALSE, sizeof (Entry));
  g_autoptr (GHashTable) targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CtlExit result = ctl_read_files (options->argc - 1, options->argv + 1, S_add, entries);
  gboolean found = FALSE;
  g_array_sort (entries, S_by_time);
  for (guint i = 0; result == CTL_OK && i < entries->len; i++)
    {
      const json_t *line = g_array_index (entries, Entry, i).line;
      if (!g_str_equal (ctl_line_text (line, "request"), options->argv[0]))
        continue;
      found = TRUE;
      S_print_request (line, targets);
    }
  if (found)
    S_print_beliefs (entries, targets);
  else if (result == CTL_OK)
    result = ctl_fail (CTL_FAILED,
                       "no line of request '%s': it was served plainly (one such line in 50 is "
                       "written), never reached these relays, or its line was left out",
                       options->argv[0]);
  for (guint i = 0; i < entries->len; i++)
    json_decref (g_array_index (entries, Entry, i).line);
  return result;
}
