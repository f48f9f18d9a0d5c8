/* Which targets are believed gone, around outages of the store. */

#include "removal_filter.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef enum
{
  STEP_END,
  STEP_DOWN,
  STEP_UP,
  STEP_PRESENT,
  STEP_REMOVED,
  STEP_GONE, /* the object is believed gone by now */
  STEP_KEPT, /* nothing is */
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
  unsigned known;
  Step steps[14];
} Case;

static const Case cases[] = {
  { "a removal in calm times is believed at once",
    0,
    { { STEP_REMOVED, 1000, "a", 11 }, { STEP_GONE, 1000, "a", 0 } } },
  { "entries that lapse in an outage and come back are kept",
    0,
    { { STEP_DOWN, 1000, NULL, 0 },
      { STEP_REMOVED, 2000, "a", 11 },
      { STEP_KEPT, 9000, NULL, 0 },
      { STEP_UP, 9000, NULL, 0 },
      { STEP_KEPT, 11000, NULL, 0 },
      { STEP_PRESENT, 11000, "a", 20 },
      { STEP_KEPT, 20000, NULL, 0 } } },
  { "one that is not back after the grace time is gone",
    0,
    { { STEP_DOWN, 1000, NULL, 0 },
      { STEP_UP, 5000, NULL, 0 },
      { STEP_REMOVED, 5100, "a", 11 },
      { STEP_KEPT, 7200, NULL, 0 },
      { STEP_GONE, 7400, "a", 0 } } },
  { "many at once look like an outage that nobody saw",
    0,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_KEPT, 3050, NULL, 0 },
      { STEP_PRESENT, 3050, "a", 30 },
      { STEP_GONE, 3150, NULL, 0 } } },
  { "bursts that follow each other hold each removal once",
    0,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_REMOVED, 3000, "e", 19 },
      { STEP_REMOVED, 3001, "f", 21 },
      { STEP_REMOVED, 3002, "g", 23 },
      { STEP_REMOVED, 3003, "h", 25 },
      { STEP_GONE, 3350, NULL, 0 },
      { STEP_GONE, 3350, NULL, 0 } } },
  { "a few of very many have left",
    200,
    { { STEP_REMOVED, 1000, "a", 11 },
      { STEP_REMOVED, 1001, "b", 13 },
      { STEP_REMOVED, 1002, "c", 15 },
      { STEP_REMOVED, 1003, "d", 17 },
      { STEP_GONE, 1003, NULL, 0 },
      { STEP_GONE, 1003, NULL, 0 },
      { STEP_GONE, 1003, NULL, 0 },
      { STEP_GONE, 1003, NULL, 0 } } },
  { "a removal that is older than what is known changes nothing",
    0,
    { { STEP_DOWN, 1000, NULL, 0 },
      { STEP_REMOVED, 1100, "a", 11 },
      { STEP_PRESENT, 1200, "a", 20 },
      { STEP_UP, 2000, NULL, 0 },
      { STEP_KEPT, 9000, NULL, 0 } } },
};

static void
S_play (MrRemovalFilter *listing, const Step *step, const char *name)
{
  MrTime now = step->at * MR_MS;
  char *gone = NULL;
  guint64 version = 0;
  switch (step->action)
    {
    case STEP_DOWN:
    case STEP_UP:
      mr_removal_filter_set_store_up (listing, now, step->action == STEP_UP);
      break;
    case STEP_PRESENT:
      mr_removal_filter_add_present (listing, step->name, step->version);
      break;
    case STEP_REMOVED:
      mr_removal_filter_add_removed (listing, now, step->name, step->version);
      break;
    case STEP_GONE:
      if (!mr_removal_filter_take_due (listing, now, &gone, &version) ||
          (step->name && !g_str_equal (gone, step->name)))
        fail_msg ("%s: not believed gone at %d ms", name, (int) step->at);
      break;
    case STEP_KEPT:
      if (mr_removal_filter_take_due (listing, now, &gone, &version))
        fail_msg ("%s: %s is believed gone at %d ms", name, gone, (int) step->at);
      break;
    case STEP_END:
      break;
    }
  g_free (gone);
}

/* What callers see: shards without a target for seconds after the store was
 * away, though every target lives.  The targets' entries lapse in the outage,
 * the removals are read at its end, and the entries come back two seconds later. */
static void
test_removals (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrRemovalFilter *listing = mr_removal_filter_new ();
      mr_removal_filter_set_object_count (listing, cases[i].known);
      for (const Step *step = cases[i].steps; step->action != STEP_END; step++)
        S_play (listing, step, cases[i].name);
      mr_removal_filter_free (listing);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_removals) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
