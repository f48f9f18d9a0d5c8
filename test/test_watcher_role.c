/* Guards against searchers that get requests more than three seconds after they have left: a relay
 * that watches again took the store for one that has just come back, since its calls had failed
 * when it last watched, and delayed removals. */

#include "control_private.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  ABOVE = 3, /* members that watch while they reach the platform */
};

typedef struct
{
  MrControlTask *task;
  MrMailbox *calls;
  MrTime now;
  MrMember above[ABOVE];
} Fixture;

static void
S_ignore_wake (void *user)
{
  (void) user;
}

static void
S_tick (Fixture *f)
{
  MrTime next = MR_NEVER;
  f->now += 10 * MR_MS;
  mr_control_platform_tick (f->task, f->now, &next);
}

/* Ends all calls that are open with @status; returns their number. */
static guint
S_end_calls (Fixture *f, int status)
{
  guint count = 0;
  for (MrMessage *m = mr_mailbox_take (f->calls); m; m = mr_mailbox_take (f->calls))
    {
      MrPlatformResult *result = mr_platform_result_new ((MrPlatformRequest *) m, status);
      result->revision = 1;
      mr_control_platform_result (f->task, f->now, result);
      mr_message_free (&result->base);
      count++;
    }
  return count;
}

/* The members above reach the platform, or do not. */
static void
S_set_above (Fixture *f, gboolean reachable)
{
  for (guint i = 0; i < ABOVE; i++)
    {
      f->above[i].platform_unreachable = !reachable;
      mr_roster_put (f->task->roster, &f->above[i]);
    }
  S_tick (f);
}

/* Starts a relay that has read the store, with members that rank above it in its domain. */
static void
S_fixture_init (Fixture *f, const MrSettings *settings)
{
  const MrControlTaskInfo info = {
    .settings = settings, .incarnation = 1, .seed = 1, .relay = TRUE
  };
  *f = (Fixture){ .task = mr_control_task_new (&info),
                  .calls = mr_mailbox_new (S_ignore_wake, NULL),
                  .now = mr_now () };
  assert_non_null (f->task);
  mr_control_task_connect (f->task, NULL, NULL, f->calls);
  for (guint i = 0; i < 100 && !f->task->watches[WATCH_TARGETS].has_succeeded; i++)
    {
      f->now += 100 * MR_MS;
      S_tick (f);
      S_end_calls (f, MR_OK);
    }
  assert_true (f->task->watches[WATCH_TARGETS].has_succeeded);
  for (guint i = 0, n = 0; i < ABOVE; n++)
    {
      MrMember *m = &f->above[i];
      g_snprintf (m->name, sizeof m->name, "m%u", n);
      g_strlcpy (m->domain, settings->domain, sizeof m->domain);
      i += mr_roster_score (m->name) > mr_roster_score (settings->name);
    }
}

typedef struct
{
  const char *name;
  gboolean backup; /* it was not chosen, and read as a backup */
} Case;

static const Case cases[] = { { "watcher", FALSE }, { "backup watcher", TRUE } };

static void
S_run_case (const Case *c)
{
  static char *const seeds[] = { NULL };
  const MrSettings settings = {
    .name = (char *) "d",
    .ip = (char *) "127.0.0.1",
    .domain = (char *) "z",
    .region = (char *) "r",
    .seeds = (char **) seeds,
  };
  Fixture f;
  S_fixture_init (&f, &settings);
  S_set_above (&f, TRUE);
  assert_false (f.task->watches_platform);
  S_end_calls (&f, MR_OK);

  /* In a first cut its calls fail. */
  f.above[0].platform_unreachable = TRUE;
  mr_roster_put (f.task->roster, &f.above[0]);
  if (c->backup)
    S_set_above (&f, FALSE);
  f.now += 3 * MR_SECOND;
  S_tick (&f);
  S_tick (&f);
  assert_true (S_end_calls (&f, MR_ERROR_UNAVAILABLE) > 0);
  assert_int_equal (f.task->platform_up, c->backup);
  S_set_above (&f, TRUE);
  if (!f.task->platform_up)
    fail_msg ("%s: the platform still counts as down", c->name);

  /* In a second one it watches, and a target leaves. */
  f.now += 60 * MR_SECOND;
  f.above[0].platform_unreachable = TRUE;
  mr_roster_put (f.task->roster, &f.above[0]);
  S_tick (&f);
  assert_true (f.task->watches_platform);
  f.now += MR_SECOND;
  S_tick (&f);
  assert_true (S_end_calls (&f, MR_OK) > 0);
  mr_removal_filter_add_removed (f.task->removal_filter, f.now, "i-1", 9);
  if (mr_removal_filter_next_due (f.task->removal_filter) > f.now)
    fail_msg ("%s: a removal is delayed", c->name);
  mr_control_task_free (f.task);
  mr_mailbox_free (f.calls);
}

static void
test_second_time (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    S_run_case (&cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_second_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
