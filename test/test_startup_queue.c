/* Requests that arrive before a daemon has its configuration. */

#include "startup_queue.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  START_TIME = 100,
};

/* Guards against refusing requests just before the configuration arrives: after a power loss of
 * all VMs the first process to start gets 30 to 60 requests in the 50 ms until it has one.
 * They are queued, unless the wait is over or the queue is full. */
static void
test_push (void **state)
{
  static const struct
  {
    const char *name;
    MrTime time;  /* since the start of the process */
    guint queued; /* before */
    gboolean accepted;
  } cases[] = {
    { "at the start", 0, 0, TRUE },
    { "while the store is read", 80 * MR_MS, 40, TRUE },
    { "just before the wait ends", MR_STARTUP_MAX_WAIT - 1, 40, TRUE },
    { "with neither store nor peers", MR_STARTUP_MAX_WAIT, 0, FALSE },
    { "last free place", 10 * MR_MS, MR_STARTUP_QUEUE_MAX - 1, TRUE },
    { "queue full", 10 * MR_MS, MR_STARTUP_QUEUE_MAX, FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrStartupQueue *queue = mr_startup_queue_new (START_TIME);
      MrQueuedRequest request = { 0 };
      for (guint n = 0; n < cases[i].queued; n++)
        {
          request.caller = GUINT_TO_POINTER (n + 1);
          assert_true (mr_startup_queue_push (queue, START_TIME, &request));
        }
      request.caller = &request;
      if (mr_startup_queue_push (queue, START_TIME + cases[i].time, &request) != cases[i].accepted)
        fail_msg ("%s", cases[i].name);
      assert_int_equal (mr_startup_queue_length (queue),
                        cases[i].queued + (cases[i].accepted ? 1 : 0));
      mr_startup_queue_free (queue);
    }
}

static void
test_order_and_removal (void **state)
{
  (void) state;
  MrStartupQueue *queue = mr_startup_queue_new (START_TIME);
  MrQueuedRequest request = { 0 };
  char callers[3] = { 0 };
  assert_int_equal (mr_startup_queue_deadline (queue), MR_NEVER);
  for (gsize i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      request.caller = &callers[i];
      request.first_byte_at = START_TIME + (MrTime) i;
      mr_startup_queue_push (queue, START_TIME, &request);
    }
  assert_int_equal (mr_startup_queue_deadline (queue), START_TIME + MR_STARTUP_MAX_WAIT);
  assert_true (mr_startup_queue_remove (queue, &callers[1]));
  assert_false (mr_startup_queue_remove (queue, &callers[1]));
  assert_true (mr_startup_queue_pop (queue, &request));
  assert_ptr_equal (request.caller, &callers[0]);
  assert_true (mr_startup_queue_pop (queue, &request));
  assert_ptr_equal (request.caller, &callers[2]);
  assert_int_equal (request.first_byte_at, START_TIME + 2);
  assert_false (mr_startup_queue_pop (queue, &request));
  mr_startup_queue_free (queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_push),
    cmocka_unit_test (test_order_and_removal),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
