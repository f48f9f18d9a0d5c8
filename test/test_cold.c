/* Cold targets: what they get, and what callers get meanwhile, on the virtual clock. */

#include "cold_share.h"
#include "log.h"
#include "relay_expect.h"
#include "relay_site.h"

/* Guards against more calls in any span than a daemon's permits. */
static void
test_window (void **state)
{
  static const struct
  {
    guint permits;
    MrTime gap; /* between two that ask */
  } cases[] = {
    { 0, 10 * MR_MS }, { 1, 10 * MR_MS },  { 3, 100 * MR_MS },
    { 7, MR_MS },      { 7, 400 * MR_MS }, { MR_COLD_PERMITS_MAX, 20 * MR_MS },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrColdWindow window = { 0 };
      g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (MrTime));
      for (MrTime now = MR_SECOND; now < 8 * MR_SECOND; now += cases[i].gap)
        if (mr_cold_window_allows (&window, now, cases[i].permits))
          {
            mr_cold_window_add (&window, now);
            g_array_append_val (sent, now);
          }
      for (guint last = cases[i].permits; last < sent->len; last++)
        assert_true (g_array_index (sent, MrTime, last) -
                         g_array_index (sent, MrTime, last - cases[i].permits) >=
                     MR_COLD_WINDOW);
      assert_true (cases[i].permits > 0 ? sent->len > 0 : sent->len == 0);
    }
}

/* Guards against calls over what cold targets bear, and against callers who wait for what
 * other targets could serve, or for nothing. */
static void
test_callers (void **state)
{
  static const struct
  {
    const char *name;
    SimPlan plan;
    double least[2]; /* credit of each kind, as a share of what was asked */
  } cases[] = {
    { "a third turns cold while it serves",
      { SITE, .cold_rate = 10, .faults = { { SIM_FAULT_COLD, 0, 29, 3, 4000, 9000, 0 } } },
      { 0.93, 0.93 } },
    { "two thirds, one after the other",
      { SITE, .cold_rate = 10,
        .faults = { { SIM_FAULT_COLD, 0, 29, 3, 4000, 8000, 0 },
                    { SIM_FAULT_COLD, 1, 29, 3, 6000, 10000, 0 } } },
      { 0.75, 0.75 } },
    { "no bound",
      { SITE, .faults = { { SIM_FAULT_COLD, 0, 29, 1, 4000, 9000, 0 } } },
      { 0.95, 0.95 } },
    { "a domain comes back from its evacuation cold",
      { SITE, .cold_rate = 10,
        .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 8000, 0 },
                    { SIM_FAULT_COLD, 0, 29, 3, 7900, 11000, 0 } } },
      { 0.9, 0.9 } },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    expect_utility (cases[i].name, &cases[i].plan, cases[i].least);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_window),
    cmocka_unit_test (test_callers),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
