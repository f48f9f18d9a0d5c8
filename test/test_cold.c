/* Cold targets: the rate limit of calls to them, and the effect on requests (simulated). */

#include "cold_share.h"
#include "log.h"
#include "relay_expect.h"
#include "relay_site.h"

/* Guards against more calls in any MR_COLD_WINDOW than a daemon's permits. */
static void
test_cold_window (void **state)
{
  static const struct
  {
    guint permits;
    MrTime interval; /* between attempts */
  } cases[] = {
    { 0, 10 * MR_MS }, { 1, 10 * MR_MS },  { 3, 100 * MR_MS },
    { 7, MR_MS },      { 7, 400 * MR_MS }, { MR_COLD_PERMITS_MAX, 20 * MR_MS },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrColdWindow window = { 0 };
      g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (MrTime));
      for (MrTime now = MR_SECOND; now < 8 * MR_SECOND; now += cases[i].interval)
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

/* Guards against calls over the rate limit of cold targets, and against requests that wait for
 * a cold target although another could serve them or although no call will be permitted. */
static void
test_utility (void **state)
{
  static const struct
  {
    const char *name;
    SimPlan plan;
    double min_utility[2]; /* mean per request, by route */
  } cases[] = {
    { "a third of the targets turns cold during operation",
      { SITE, .cold_rate = 10, .faults = { { SIM_FAULT_COLD, 0, 29, 3, 4000, 9000, 0 } } },
      { 0.93, 0.93 } },
    { "two thirds of the targets in sequence",
      { SITE, .cold_rate = 10,
        .faults = { { SIM_FAULT_COLD, 0, 29, 3, 4000, 8000, 0 },
                    { SIM_FAULT_COLD, 1, 29, 3, 6000, 10000, 0 } } },
      { 0.75, 0.75 } },
    { "no rate limit",
      { SITE, .faults = { { SIM_FAULT_COLD, 0, 29, 1, 4000, 9000, 0 } } },
      { 0.95, 0.95 } },
    { "a domain is cold after its evacuation",
      { SITE, .cold_rate = 10,
        .faults = { { SIM_FAULT_EVACUATED, 0, 0, 1, 4000, 8000, 0 },
                    { SIM_FAULT_COLD, 0, 29, 3, 7900, 11000, 0 } } },
      { 0.9, 0.9 } },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    expect_utility (cases[i].name, &cases[i].plan, cases[i].min_utility);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cold_window),
    cmocka_unit_test (test_utility),
  };
  mr_log_set_level (MR_LOG_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
