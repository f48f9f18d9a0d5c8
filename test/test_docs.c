/* Checks that docs/ and the sources agree: RESULT-CODES.md lists exactly the result codes of the
 * code, EVENTS.md every event number of log.h, and no source file outside platform/ contains a name
 * of the users' platform.  The files are read from MR_SOURCE_DIR. */

#include "log.h"
#include "result.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

static char *
S_read_file (const char *name)
{
  char *text = NULL;
  g_autofree char *path = g_build_filename (MR_SOURCE_DIR, name, NULL);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    fail_msg ("%s can't be read", path);
  return text;
}

static void
test_result_codes (void **state)
{
  (void) state;
  g_autofree char *page = S_read_file ("docs/RESULT-CODES.md");
  for (int code = 100; code < 500; code++)
    {
      const char *name = mr_result_name ((MrResult) code);
      g_autofree char *row = g_strdup_printf ("| %d | %s | %d | %s |", code, name,
                                              mr_result_http_status ((MrResult) code),
                                              mr_ran_name (mr_result_ran ((MrResult) code)));
      g_autofree char *start = g_strdup_printf ("\n| %d |", code);
      gboolean listed = !g_str_equal (name, "unlisted");
      if (listed != (strstr (page, listed ? row : start) != NULL))
        fail_msg ("result %d (%s): code and docs differ", code, name);
    }
}

/* Each event number defined in log.h is in docs/EVENTS.md. */
static void
test_events (void **state)
{
  (void) state;
  g_autofree char *page = S_read_file ("docs/EVENTS.md");
  g_autofree char *header = S_read_file ("src/log.h");
  guint count = 0;
  for (const char *at = strstr (header, "MR_EVENT_"); at; at = strstr (at + 1, "MR_EVENT_"))
    {
      const char *equals = strstr (at, "= ");
      int number = equals ? atoi (equals + 2) : 0;
      g_autofree char *name = g_strdup_printf ("E%d", number);
      if (number < 1000 || !strstr (page, name))
        fail_msg ("event %d is not in docs/EVENTS.md", number);
      count++;
    }
  assert_true (count > 20);
}

/* Only platform/ may contain names of the users' platform, so that a change of that platform
 * affects no other code. */
static void
test_platform_names (void **state)
{
  static const char *const names[] = {
    "X-Request-Id",     "X-Deadline-Ms",     "X-Expect-Instance", "X-Server-Stamp",
    "X-Not-Executed",   "X-Part-Stamps",     "X-Missing-Parts",   "X-Instance-Id",
    "path_prefix",      "latency_target_ms", "max_attempts",      "min_shard_share",
    "store_revision",   "warmup_left_ms",    "max_conns",         "internal_port_range",
    "retry_budget",     "node_name",         "serializable",      "/resolve",
    "stability_window", "has_more",          "machine_class",     "cpu_share",
  };
  (void) state;
  g_autofree char *folder = g_build_filename (MR_SOURCE_DIR, "src", NULL);
  GDir *dir = g_dir_open (folder, 0, NULL);
  assert_non_null (dir);
  guint files = 0;
  for (const char *file = g_dir_read_name (dir); file; file = g_dir_read_name (dir))
    {
      g_autofree char *path = g_build_filename ("src", file, NULL);
      g_autofree char *text = S_read_file (path);
      files++;
      for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
        if (strstr (text, names[i]))
          fail_msg ("%s holds the platform's name '%s'", path, names[i]);
    }
  g_dir_close (dir);
  assert_true (files > 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_result_codes),
    cmocka_unit_test (test_events),
    cmocka_unit_test (test_platform_names),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
