/* Removals of targets around outages of the store. */

#include "removal_filter.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef enum
{
  STEP_END,
  STEP_STORE_DOWN,
  STEP_STORE_UP,
  STEP_STORE_RESTORED,
  STEP_PRESENT,
  STEP_REMOVED,
  STEP_DUE,     /* a removal is due */
  STEP_NOT_DUE, /* no removal is due */
} Action;

typedef struct
{
  Action action;
  MrTime at; /* ms */
  const char *name;
  guint64 version;
} Step;

typedef struct
{
  const char *name;
  unsigned object_count;
  Step steps[14];
} Case;

static const Case cases[] = {
  { "a single removal without an outage is due at once",
    0,
    { { STEP_REMOVED, 1000, "a", 11 }, { STEP_DUE, 1000, "a", 0 } } },
  { "entries that expire in an outage and reappear are kept",
    0,
    { { STEP_STORE_DOWN, 1000, NULL, 0 },
      { STEP_REMOVED, 2000, "a", 11 },
      { STEP_NOT_DUE, 9000, NULL, 0 },
      { STEP_STORE_UP, 9000, NULL, 0 },
      { STEP_NOT_DUE, 11000, NULL, 0 },
      { STEP_PRESENT, 11000, "a", 20 },
      { STEP_NOT_DUE, 20000, NULL, 0 } } },
  { "an entry that is missing after the grace period is removed",
    0,
    { { STEP_STORE_DOWN, 1000, NULL, 0 },
      { STEP_STORE_UP, 5000, NULL, 0 },
      { STEP_REMOVED, 5100, "a", 11 },
      { STEP_NOT_DUE, 7200, NULL, 0 },
      { STEP_DUE, 7400, "a", 0 } } },
  { "an entry that a restored store lacks is kept if it is written again",
    0,
    { { STEP_STORE_RESTORED, 1000, NULL, 0 },
      { STEP_REMOVED, 1100, "a", 11 },
      { STEP_REMOVED, 1100, "b", 11 },
      { STEP_NOT_DUE, 3200, NULL, 0 },
      { STEP_PRESENT, 3200, "a", 20 },
      { STEP_DUE, 3400, "b", 0 },
      { STEP_NOT_DUE, 9000, NULL, 0 } } },
  { "a burst of removals counts as an undetected outage",
    0,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_NOT_DUE, 3050, NULL, 0 },
      { STEP_PRESENT, 3050, "a", 30 },
      { STEP_DUE, 3150, NULL, 0 } } },
  { "consecutive bursts delay each removal once",
    0,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_REMOVED, 3000, "e", 19 },
      { STEP_REMOVED, 3001, "f", 21 },
      { STEP_REMOVED, 3002, "g", 23 },
      { STEP_REMOVED, 3003, "h", 25 },
      { STEP_DUE, 3350, NULL, 0 },
      { STEP_DUE, 3350, NULL, 0 } } },
  { "a few removals of many objects are due at once",
    200,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_DUE, 1003, NULL, 0 },
      { STEP_DUE, 1003, NULL, 0 },
      { STEP_DUE, 1003, NULL, 0 },
      { STEP_DUE, 1003, NULL, 0 } } },
  { "a removal with an older version than the entry is ignored",
    0,
    { { STEP_STORE_DOWN, 1000, NULL, 0 },
      { STEP_REMOVED, 1100, "a", 11 },
      { STEP_PRESENT, 1200, "a", 20 },
      { STEP_STORE_UP, 2000, NULL, 0 },
      { STEP_NOT_DUE, 9000, NULL, 0 } } },
};

static void
S_run_step (MrRemovalFilter *filter, const Step *step, const char *name)
{
  MrTime now = step->at * MR_MS;
  char *removed = NULL;
  guint64 version = 0;
  switch (step->action)
    {
    case STEP_STORE_DOWN:
    case STEP_STORE_UP:
      mr_removal_filter_set_store_up (filter, now, step->action == STEP_STORE_UP);
      break;
    case STEP_STORE_RESTORED:
      mr_removal_filter_set_restored (filter, now);
      break;
    case STEP_PRESENT:
      mr_removal_filter_add_present (filter, step->name, step->version);
      break;
    case STEP_REMOVED:
      mr_removal_filter_add_removed (filter, now, step->name, step->version);
      break;
    case STEP_DUE:
      if (!mr_removal_filter_take_due (filter, now, &removed, &version) ||
          (step->name && !g_str_equal (removed, step->name)))
        fail_msg ("%s: no removal is due at %d ms", name, (int) step->at);
      break;
    case STEP_NOT_DUE:
      if (mr_removal_filter_take_due (filter, now, &removed, &version))
        fail_msg ("%s: the removal of %s is due at %d ms", name, removed, (int) step->at);
      break;
    case STEP_END:
      break;
    }
  g_free (removed);
}

/* Guards against shards that are without a target for seconds after a store outage although
 * all targets are alive. The targets' entries expire during the outage, the removals are read
 * at its end, and the entries reappear two seconds later. */
static void
test_removals (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrRemovalFilter *filter = mr_removal_filter_new ();
      mr_removal_filter_set_object_count (filter, cases[i].object_count);
      for (const Step *step = cases[i].steps; step->action != STEP_END; step++)
        S_run_step (filter, step, cases[i].name);
      mr_removal_filter_free (filter);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_removals) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
