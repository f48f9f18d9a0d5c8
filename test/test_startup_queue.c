/* Requests that come before a daemon knows what is in force. */

#include "startup_queue.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  STARTED = 100,
};

/* What callers see: all VMs lose power; the process that starts first has 30 to 60
 * callers in 50 ms, and refuses them all for want of a configuration that it has
 * at their end.  Requests wait in the order they came; late in the start, or beyond
 * a bound, they are refused at once. */
static void
test_who_waits (void **state)
{
  static const struct
  {
    const char *name;
    MrTime at; /* after the start of the process */
    guint before;
    gboolean waits;
  } cases[] = {
    { "at once", 0, 0, TRUE },
    { "while the store is read", 80 * MR_MS, 40, TRUE },
    { "as the time ends", MR_STARTUP_MAX_WAIT - 1, 40, TRUE },
    { "with neither store nor peers", MR_STARTUP_MAX_WAIT, 0, FALSE },
    { "the last that fits", 10 * MR_MS, MR_STARTUP_QUEUE_MAX - 1, TRUE },
    { "one too many", 10 * MR_MS, MR_STARTUP_QUEUE_MAX, FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrStartupQueue *queue = mr_startup_queue_new (STARTED);
      MrQueuedRequest waiting = { 0 };
      for (guint n = 0; n < cases[i].before; n++)
        {
          waiting.caller = GUINT_TO_POINTER (n + 1);
          assert_true (mr_startup_queue_push (queue, STARTED, &waiting));
        }
      waiting.caller = &waiting;
      if (mr_startup_queue_push (queue, STARTED + cases[i].at, &waiting) != cases[i].waits)
        fail_msg ("%s", cases[i].name);
      assert_int_equal (mr_startup_queue_length (queue),
                        cases[i].before + (cases[i].waits ? 1 : 0));
      mr_startup_queue_free (queue);
    }
}

static void
test_order_and_callers_who_leave (void **state)
{
  (void) state;
  MrStartupQueue *queue = mr_startup_queue_new (STARTED);
  MrQueuedRequest waiting = { 0 };
  char callers[3] = { 0 };
  assert_int_equal (mr_startup_queue_deadline (queue), MR_NEVER);
  for (gsize i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      waiting.caller = &callers[i];
      waiting.first_byte_at = STARTED + (MrTime) i;
      mr_startup_queue_push (queue, STARTED, &waiting);
    }
  assert_int_equal (mr_startup_queue_deadline (queue), STARTED + MR_STARTUP_MAX_WAIT);
  assert_true (mr_startup_queue_remove (queue, &callers[1]));
  assert_false (mr_startup_queue_remove (queue, &callers[1]));
  assert_true (mr_startup_queue_pop (queue, &waiting));
  assert_ptr_equal (waiting.caller, &callers[0]);
  assert_true (mr_startup_queue_pop (queue, &waiting));
  assert_ptr_equal (waiting.caller, &callers[2]);
  assert_int_equal (waiting.first_byte_at, STARTED + 2);
  assert_false (mr_startup_queue_pop (queue, &waiting));
  mr_startup_queue_free (queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_who_waits),
    cmocka_unit_test (test_order_and_callers_who_leave),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
