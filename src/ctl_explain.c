#include "ctl.h"

#include <stdio.h>

/* One log line: of a request or of any other event. */
typedef struct
{
  json_int_t time; /* ms */
  json_t *line;
} LogLine;

/* Explanation of each cause of an outcome. */
static const struct
{
  const char *cause;
  const char *meaning;
} meanings[] = {
  { "none", "no fault" },
  { "no-target", "every target of a service was down, leaving or unknown" },
  { "overload",
    "the queueing delay at the targets would have exceeded the time that the request had" },
  { "attempts", "every target that may be tried was tried; see how each call ended" },
  { "budget", "a hedge or retry would have exceeded the resend budget" },
  { "broken",
    "the connection to a target broke and the request is not idempotent; it may have run" },
  { "few-shards", "too few shards could still answer" },
  { "time", "the caller's deadline or the time limit of the route passed" },
  { "soft-end", "the soft deadline passed; answered without the missing shards" },
  { "no-key", "the request has no key, or an empty one, and its route is not public" },
  { "several-keys", "the request has more than one key field" },
  { "unknown-key",
    "no organisation of the configuration in force on the relay holds the key; compare its version "
    "with the one that added or removed the key" },
  { "limit", "the organisation has used up its rate limit" },
  { "limit-unknown",
    "the daemon that counts the organisation's requests did not reply in time, and this relay held "
    "no token; another relay may admit the request" },
  { "not-ready", "the relay had no configuration or no targets yet" },
  { "no-route", "no route of the configuration in force on the relay matches" },
};

static void
S_add_line (json_t *line, void *user)
{
  LogLine log_line = { .time = ctl_json_integer (line, "time"), .line = json_incref (line) };
  g_array_append_val ((GArray *) user, log_line);
}

static int
S_compare_times (gconstpointer a, gconstpointer b)
{
  json_int_t x = ((const LogLine *) a)->time;
  json_int_t y = ((const LogLine *) b)->time;
  return x < y ? -1 : x > y;
}

static void
S_print_calls (const json_t *line, GHashTable *targets)
{
  size_t i = 0;
  json_t *call = NULL;
  json_array_foreach (json_object_get (line, "calls"), i, call)
  {
    const char *target = ctl_json_string (call, "target");
    g_hash_table_add (targets, g_strdup (target));
    printf ("    part %d at %s, %s after %.1f ms: %s after %.1f ms",
            (int) ctl_json_integer (call, "part"), target, ctl_json_string (call, "why"),
            (double) ctl_json_integer (call, "at_us") / 1000, ctl_json_string (call, "end"),
            (double) ctl_json_integer (call, "took_us") / 1000);
    if (ctl_json_integer (call, "heard_us") >= 0)
      printf ("; its last response had come %.1f ms before",
              (double) ctl_json_integer (call, "heard_us") / 1000);
    putchar ('\n');
  }
}

static const char *
S_cause_description (const char *cause)
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
          ctl_json_integer (line, "time"), ctl_json_string (line, "event"),
          ctl_json_string (line, "route"), ctl_json_string (line, "target"),
          ctl_json_integer (line, "version"), ctl_json_integer (line, "status"),
          (double) ctl_json_integer (line, "took_us") / 1000);
  if (ctl_json_integer (line, "missing") > 0)
    printf (", %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT " parts missing",
            ctl_json_integer (line, "missing"), ctl_json_integer (line, "parts"));
  printf ("\n    cause %s: %s\n", ctl_json_string (line, "cause"),
          S_cause_description (ctl_json_string (line, "cause")));
  S_print_calls (line, targets);
}

/* Prints a line that stands for all requests of an organisation that a relay refused in a second.
 */
static void
S_print_limit (const json_t *line)
{
  const char *cause = ctl_json_string (line, "cause");
  printf ("%" JSON_INTEGER_FORMAT " %s organisation %s: status %d, one of %" JSON_INTEGER_FORMAT
          " requests refused in a second; Retry-After of the last one %.3f s\n"
          "    cause %s: %s\n",
          ctl_json_integer (line, "time"), ctl_json_string (line, "event"),
          ctl_json_string (line, "organisation"), g_str_equal (cause, "limit") ? 429 : 503,
          ctl_json_integer (line, "count"),
          (double) ctl_json_integer (line, "retry_after_us") / 1e6, cause,
          S_cause_description (cause));
}

/* TRUE if the line lists the request @id. */
static gboolean
S_lists_request (const json_t *line, const char *id)
{
  size_t i = 0;
  const json_t *item = NULL;
  json_array_foreach (json_object_get (line, "requests"), i, item)
  {
    if (g_strcmp0 (json_string_value (item), id) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Prints the other events of the targets that the request was sent to, such as state changes. */
static void
S_print_target_events (const GArray *log_lines, GHashTable *targets)
{
  GHashTableIter iter;
  gpointer target = NULL;
  g_hash_table_iter_init (&iter, targets);
  while (g_hash_table_iter_next (&iter, &target, NULL))
    {
      g_autofree char *pattern = g_strdup_printf ("target %s ", (const char *) target);
      for (guint i = 0; i < log_lines->len; i++)
        {
          const LogLine *log_line = &g_array_index (log_lines, LogLine, i);
          const char *message = ctl_json_string (log_line->line, "message");
          if (strstr (message, pattern))
            printf ("%" JSON_INTEGER_FORMAT " %s %s\n", log_line->time,
                    ctl_json_string (log_line->line, "event"), message);
        }
    }
}

CtlExit
ctl_explain (const CtlOptions *options)
{
  if (options->argc < 1)
    return ctl_fail (CTL_USAGE, "expected: merlinringctl explain REQUEST-ID [FILE...]");
  g_autoptr (GArray) log_lines = g_array_new (FALSE, FALSE, sizeof (LogLine));
  g_autoptr (GHashTable) targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CtlExit result = ctl_read_log_files (options->argc - 1, options->argv + 1, S_add_line, log_lines);
  gboolean found = FALSE;
  g_array_sort (log_lines, S_compare_times);
  for (guint i = 0; result == CTL_OK && i < log_lines->len; i++)
    {
      const json_t *line = g_array_index (log_lines, LogLine, i).line;
      if (S_lists_request (line, options->argv[0]))
        S_print_limit (line);
      else if (g_str_equal (ctl_json_string (line, "request"), options->argv[0]))
        S_print_request (line, targets);
      else
        continue;
      found = TRUE;
    }
  if (found)
    S_print_target_events (log_lines, targets);
  else if (result == CTL_OK)
    result = ctl_fail (
        CTL_FAILED,
        "request '%s' not found: it was answered completely without hedges or retries (only one "
        "in 50 of these is logged), did not reach these relays, or its log line was "
        "suppressed (a line about a rate limit, E1800, names 24 of its requests)",
        options->argv[0]);
  for (guint i = 0; i < log_lines->len; i++)
    json_decref (g_array_index (log_lines, LogLine, i).line);
  return result;
}
