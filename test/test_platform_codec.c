/* The codec of the own object API: decoding of lists. */

#include "metrics.h"
#include "platform_codec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define GOOD_1 "{\"name\":\"a\",\"version\":5,\"body\":\"x\"}"
#define GOOD_2 "{\"name\":\"b\",\"version\":6,\"deleted\":true}"

static MrPlatformResult *
S_decode (MrPlatformAction action, const char *body)
{
  MrPlatformRequest *request = mr_platform_request_new (action, "documents", "");
  MrPlatformResult *result = mr_platform_result_new (request, 0);
  mr_platform_codec.decode (result, 200, mr_text (body));
  return result;
}

/* Guards against a list that is not followed, or an object that counts as deleted, because of one
 * odd object. */
static void
test_odd_objects (void **state)
{
  static const struct
  {
    const char *object; /* between two good ones */
    gboolean taken;
  } cases[] = {
    { "{\"name\":\"x\",\"version\":7,\"body\":\"y\"}", TRUE },
    { "{\"name\":\"\",\"version\":7,\"body\":\"y\"}", FALSE },
    { "{\"name\":7,\"version\":7,\"body\":\"y\"}", FALSE },
    { "{\"name\":\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\","
      "\"version\":7,\"body\":\"y\"}",
      FALSE },
    { "{\"name\":\"x\",\"version\":-7,\"body\":\"y\"}", FALSE },
    { "{\"name\":\"x\",\"version\":7.0,\"body\":\"y\"}", FALSE },
    { "{\"name\":\"x\",\"version\":1e999,\"body\":\"y\"}", FALSE },
    { "{\"name\":\"x\",\"version\":99999999999999999999,\"body\":\"y\"}", FALSE },
    { "{\"name\":\"x\",\"version\":7,\"body\":\"\\u0000\"}", FALSE },
    { "{\"name\":\"x\",\"version\":7,\"body\":\"\xff\"}", FALSE },
    { "{\"name\":\"x\",\"version\":7,\"body\":}", FALSE },
    { "[]", FALSE },
    { "17", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body = g_strdup_printf ("{\"revision\":9,\"objects\":[%s,%s,%s]}", GOOD_1,
                                               cases[i].object, GOOD_2);
      guint64 refused = mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE);
      MrPlatformResult *result = S_decode (MR_PLATFORM_LIST, body);
      if (result->status != MR_OK || result->revision != 9 ||
          result->objects->len != (cases[i].taken ? 3U : 2U))
        fail_msg ("%s: status %d, %u objects", cases[i].object, result->status,
                  result->objects->len);
      assert_int_equal (mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE) - refused, !cases[i].taken);
      mr_message_free (&result->base);
    }
}

/* Guards against seeds and lists of leaving targets made from an address that is none. */
static void
test_odd_vms (void **state)
{
#define ROLE "\"role\":\"entry\",\"state\":\"live\""
  static const struct
  {
    const char *vm;
    gboolean taken;
  } cases[] = {
    { "{\"ip\":\"10.0.0.1\",\"port\":80," ROLE "}", TRUE },
    { "{\"ip\":\"10.0.0.1\",\"port\":65535," ROLE "}", TRUE },
    { "{\"ip\":\"10.0.0.1\",\"port\":65536," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":4294967376," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":0," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":-1," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":\"80\"," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\"," ROLE "}", FALSE },
    { "{\"ip\":\"host.example\",\"port\":80," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\\\",\\\"10.0.0.2\",\"port\":80," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.256\",\"port\":80," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":1e999," ROLE "}", FALSE },
    { "{\"ip\":\"10.0.0.1\",\"port\":80}", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"revision\":9,\"vms\":[%s,{\"ip\":\"10.0.0.9\",\"port\":9," ROLE "}]}", cases[i].vm);
      guint64 refused = mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE);
      MrPlatformResult *result = S_decode (MR_PLATFORM_LIST_VMS, body);
      if (result->status != MR_OK || result->vms->len != (cases[i].taken ? 2U : 1U))
        fail_msg ("%s: status %d, %u VMs", cases[i].vm, result->status, result->vms->len);
      assert_int_equal (mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE) - refused, !cases[i].taken);
      mr_message_free (&result->base);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_odd_objects),
    cmocka_unit_test (test_odd_vms),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
