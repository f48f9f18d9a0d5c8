/* Pages of a full listing. */

#include "watch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Guards against a listing that requests the same page for ever, or stops at a page, without a
 * notice, because no name on it can be read. */
static void
test_pages (void **state)
{
  static const struct
  {
    const char *name;
    const char *after; /* NULL: first page */
    const char *last;  /* NULL: no name can be read */
    bool advances;
  } cases[] = {
    { "first page", NULL, "a", true },
    { "next page", "a", "b", true },
    { "a page of names that sort otherwise", "b", "B", true },
    { "no name on the first page", NULL, NULL, false },
    { "no name on a later page", "a", NULL, false },
    { "the same page again", "a", "a", false },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrWatch watch = { .page_after = cases[i].after ? g_string_new (cases[i].after) : NULL };
      GString *last = cases[i].last ? g_string_new (cases[i].last) : NULL;
      if (mr_watch_next_page (&watch, last) != cases[i].advances)
        fail_msg ("%s: %s", cases[i].name, cases[i].advances ? "stalls" : "advances");
      assert_int_equal (watch.stalled, !cases[i].advances);
      assert_int_equal (watch.page_after != NULL, cases[i].advances);
      if (watch.page_after)
        assert_true (g_string_equal (watch.page_after, last));
      mr_watch_listing_ended (&watch);
      assert_false (watch.stalled);
      assert_null (watch.page_after);
      if (last)
        g_string_free (last, TRUE);
      mr_watch_clear (&watch);
    }
}

/* Guards against a flood of calls: the first pages of a listing that stalls again and again must
 * not reset the delay of the retries. */
static void
test_stalled_listing_backs_off (void **state)
{
  MrWatch watch = { 0 };
  MrTime now = 0;
  MrTime pause = 0;
  g_autoptr (GString) last = g_string_new ("a");
  (void) state;
  for (guint attempt = 0; attempt < 10; attempt++)
    {
      assert_true (mr_watch_next_page (&watch, last));
      mr_watch_ended (&watch, now, TRUE, TRUE, 0.5);
      assert_false (mr_watch_next_page (&watch, last));
      mr_watch_ended (&watch, now, FALSE, TRUE, 0.5);
      assert_true (watch.due - now >= pause);
      pause = watch.due - now;
      now = watch.due;
    }
  assert_true (pause >= 1 * MR_SECOND);
  mr_watch_listing_ended (&watch);
  mr_watch_ended (&watch, now, TRUE, TRUE, 0.5);
  assert_int_equal (watch.retry_delay, 0);
  mr_watch_clear (&watch);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pages),
    cmocka_unit_test (test_stalled_listing_backs_off),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
