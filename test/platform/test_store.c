/* The codec of the platform's store: request paths, and decoding of responses. */

#include "adapter.h"

#include "configuration.h"
#include "controller.h"
#include "evacuation.h"
#include "metrics.h"
#include "registry.h"
#include "target_record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static MrPlatformResult *
S_decode (const char *kind, guint64 since, int status, const char *body)
{
  MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_LIST, kind, "");
  request->since_revision = since;
  MrPlatformResult *result = mr_platform_result_new (request, 0);
  mr_adapter_store.decode (result, status, mr_text (body));
  return result;
}

static void
S_offer_all (MrRegistry *registry, const MrPlatformResult *result)
{
  for (guint i = 0; i < result->objects->len; i++)
    {
      const MrPlatformObject *object = g_ptr_array_index (result->objects, i);
      mr_registry_offer (registry, MR_OBJECT_TARGET, mr_text (object->name), object->version,
                         mr_text_of (object->body));
    }
}

#define TARGET_ENTRY(name, revision)                                                               \
  "{\"meta\":{\"name\":\"" name "\",\"revision\":" revision "},\"spec\":{\"service\":\"s\","       \
  "\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":5,"                     \
  "\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}}"

/* Guards against a shard without a target for ten seconds.  A daemon that was partitioned
 * reads old changes from the store after newer ones from its peers, among them the removal
 * of an expired entry that has been listed again since.  If the removal were ordered after
 * the new entry, it would win and be replicated to the whole fleet. */
static void
test_stale_removal (void **state)
{
  (void) state;
  MrRegistry *registry = mr_registry_new ();
  MrPlatformResult *now = S_decode ("targets", 300, 200,
                                    "{\"store_revision\":336,\"events\":[{\"deleted\":false,"
                                    "\"object\":" TARGET_ENTRY ("i-1", "336") "}]}");
  MrPlatformResult *late = S_decode ("targets", 200, 200,
                                     "{\"store_revision\":386,\"events\":[{\"deleted\":true,"
                                     "\"object\":" TARGET_ENTRY ("i-1", "250") "}]}");
  S_offer_all (registry, now);
  S_offer_all (registry, late);
  assert_true (mr_registry_get (registry, MR_OBJECT_TARGET, "i-1")->body->len > 0);
  mr_message_free (&now->base);
  mr_message_free (&late->base);
  mr_registry_free (registry);
}

/* Guards against an evacuation that is ignored because of the contents of its entry, or that
 * is ended by an old removal. */
static void
test_evacuations (void **state)
{
  (void) state;
  static const struct
  {
    const char *body;
    guint64 version;
    gboolean deleted;
  } cases[] = {
    { "{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"z\",\"revision\":5},\"spec\":{}}}", 5,
      FALSE },
    { "{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"z\",\"revision\":6},\"spec\":null}}", 6,
      FALSE },
    { "{\"deleted\":false,\"object\":{\"meta\":{\"name\":\"z\",\"revision\":7}}}", 7, FALSE },
    { "{\"deleted\":true,\"object\":{\"meta\":{\"name\":\"z\",\"revision\":7}}}", 7, TRUE },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body =
          g_strdup_printf ("{\"store_revision\":9,\"events\":[%s]}", cases[i].body);
      MrPlatformResult *result = S_decode ("evacuations", 4, 200, body);
      assert_int_equal (result->objects->len, 1);
      const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
      guint64 version = mr_evacuation_version (object->version, object->deleted);
      assert_int_equal (version / MR_VERSION_STRIDE, cases[i].version);
      assert_int_equal (mr_evacuation_is_active (version), !cases[i].deleted);
      mr_message_free (&result->base);
    }
}

static void
test_removal_follows_change (void **state)
{
  (void) state;
  MrPlatformResult *result =
      S_decode ("targets", 200, 200,
                "{\"store_revision\":251,\"events\":["
                "{\"deleted\":false,\"object\":" TARGET_ENTRY (
                    "i-1", "250") "},"
                                  "{\"deleted\":true,\"object\":" TARGET_ENTRY (
                                      "i-1", "250") "},"
                                                    "{\"deleted\":false,\"object\":" TARGET_ENTRY (
                                                        "i-1", "251") "}]}");
  assert_int_equal (result->objects->len, 3);
  guint64 before = 0;
  for (guint i = 0; i < result->objects->len; i++)
    {
      const MrPlatformObject *object = g_ptr_array_index (result->objects, i);
      assert_true (object->version > before);
      before = object->version;
    }
  assert_true (result->removed_version >= before);
  mr_message_free (&result->base);
}

/* Other programs write entries as well: an entry describes a target only if it has all
 * required fields with the right types. */
static void
test_entry_validation (void **state)
{
  static const struct
  {
    const char *name;
    const char *spec;
    gboolean usable;
  } cases[] = {
#define OTHER_FIELDS "\"zone\":\"z\",\"version\":\"v1\",\"warmup_left_ms\":0,\"seq\":1"
#define SERVICE_AND_ADDRESS "\"service\":\"s\",\"address\":\"10.0.0.1:80\","
    { "complete", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\"}", TRUE },
    { "with a start",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\",\"born\":1784833516001}",
      TRUE },
    { "leaving", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"draining\"}",
      TRUE },
    { "unknown field",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\",\"x\":[1]}", TRUE },
    { "unknown state", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"unknown\"}",
      FALSE },
    { "state of another type", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":1}",
      FALSE },
    { "no state", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5}", FALSE },
    { "no slots", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"state\":\"ready\"}", FALSE },
    { "slots as text", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":\"5\",\"state\":\"ready\"}",
      FALSE },
    { "slots as a fraction",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5.5,\"state\":\"ready\"}", FALSE },
    { "slots null", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":null,\"state\":\"ready\"}",
      FALSE },
    { "no slot", "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":0,\"state\":\"ready\"}", FALSE },
    { "no service",
      "{\"address\":\"10.0.0.1:80\"," OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\"}", FALSE },
    { "no address", "{\"service\":\"s\"," OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\"}", FALSE },
    { "address a list",
      "{\"service\":\"s\",\"address\":[\"10.0.0.1:80\"]," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "address a name",
      "{\"service\":\"s\",\"address\":\"host.example:80\"," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "no port",
      "{\"service\":\"s\",\"address\":\"10.0.0.1\"," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "no zone",
      "{" SERVICE_AND_ADDRESS "\"version\":\"v1\",\"warmup_left_ms\":0,\"seq\":1,\"slots\":5,"
      "\"state\":\"ready\"}",
      FALSE },
    { "count as text",
      "{" SERVICE_AND_ADDRESS "\"zone\":\"z\",\"version\":\"v1\",\"warmup_left_ms\":0,"
      "\"seq\":\"1\",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "start as text",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\",\"born\":\"1\"}",
      FALSE },
    { "start as a fraction",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\",\"born\":1.5}",
      FALSE },
    { "start null",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\",\"born\":null}",
      FALSE },
    { "start below zero",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":5,\"state\":\"ready\",\"born\":-4}", FALSE },
    { "port too large",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:65536\"," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "port 0",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:0\"," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "port below zero",
      "{\"service\":\"s\",\"address\":\"10.0.0.1:-1\"," OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "more slots than an exact number",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS ",\"slots\":9007199254740992,\"state\":\"ready\"}",
      FALSE },
    { "start beyond exact numbers",
      "{" SERVICE_AND_ADDRESS OTHER_FIELDS
      ",\"slots\":5,\"state\":\"ready\",\"born\":9223372036854775807}",
      FALSE },
    { "line break in the zone",
      "{" SERVICE_AND_ADDRESS "\"zone\":\"z\\r\\nX: y\",\"version\":\"v1\",\"warmup_left_ms\":0,"
      "\"seq\":1,\"slots\":5,\"state\":\"ready\"}",
      FALSE },
    { "empty", "{}", FALSE },
    { "not an object", "[]", FALSE },
    { "text", "\"ready\"", FALSE },
    { "null", "null", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"store_revision\":3,\"has_more\":false,\"items\":[{\"meta\":{\"name\":\"i-1\","
          "\"revision\":2},\"spec\":%s}]}",
          cases[i].spec);
      MrPlatformResult *result = S_decode ("targets", 0, 200, body);
      assert_int_equal (result->status, MR_OK);
      assert_int_equal (result->objects->len, 1);
      const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
      MrTargetRecord *record =
          mr_target_record_parse (mr_text (object->name), mr_text_of (object->body));
      if ((record != NULL) != cases[i].usable)
        fail_msg ("%s: %s", cases[i].name, record ? "describes a target" : mr_status_message ());
      mr_target_record_unref (record);
      mr_message_free (&result->base);
    }
}

/* Guards against the loss of all targets while one entry of a page is unreadable.  The other
 * entries must still be decoded; if the name of the unreadable one can be read, the target
 * known under that name must be removed. */
static void
test_unreadable_entries (void **state)
{
  static const struct
  {
    const char *name;
    const char *entry;
    gboolean named;
  } cases[] = {
    { "raw bytes as content", "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":\xff\xfe\x80}",
      TRUE },
    { "not UTF-8", "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":{\"service\":\"\xc3(\"}}",
      TRUE },
    { "a bracket too many", "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":]}}", TRUE },
    { "an open quote", "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":\"}", TRUE },
    { "an open brace", "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":{", TRUE },
    { "a number too large",
      "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":{\"slots\":1" /* over 64 bits */
      "00000000000000000000000}}",
      TRUE },
    { "broken name", "{\"meta\":{\"name\":\"\xff\",\"revision\":7},\"spec\":{}}", FALSE },
    { "bytes only", "\x01\x02{{[[\"", FALSE },
    { "a number", "17", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases) * 2; i++)
    {
      gboolean watch = i % 2 == 1;
      const char *before = watch ? "{\"deleted\":false,\"object\":" : "";
      const char *after = watch ? "}" : "";
      g_autofree char *body = g_strdup_printf (
          "{\"%s\":[%s%s%s,%s%s%s,%s%s%s],\"has_more\":false,\"store_revision\":9}",
          watch ? "events" : "items", before, TARGET_ENTRY ("i-1", "5"), after, before,
          cases[i / 2].entry, after, before, TARGET_ENTRY ("i-2", "6"), after);
      MrPlatformResult *result = S_decode ("targets", watch ? 4 : 0, 200, body);
      if (result->status != MR_OK)
        fail_msg ("%s: the page was not decoded", cases[i / 2].name);
      guint usable = 0;
      guint named = 0;
      for (guint n = 0; n < result->objects->len; n++)
        {
          const MrPlatformObject *object = g_ptr_array_index (result->objects, n);
          usable += object->body->len > 0 ? 1 : 0;
          named += g_str_equal (object->name, "x") && object->body->len == 0 ? 1 : 0;
        }
      if (usable != 2 || named != (cases[i / 2].named ? 1U : 0U))
        fail_msg ("%s, %s: %u targets, %u removed", cases[i / 2].name, watch ? "watch" : "list",
                  usable, named);
      mr_message_free (&result->base);
    }
}

/* Guards against an entry that stands for others: one that cannot be read, with text in its
 * contents that looks like the metadata of another entry or like the entry that follows. */
static void
test_forged_entries (void **state)
{
#define META(name) "\"meta\":{\"name\":\"" name "\",\"revision\":7}"
#define TOO_LARGE "\"n\":1e999"
  static const struct
  {
    const char *entry;
    const char *names; /* of all objects that are read */
  } cases[] = {
    { "{" META ("x") ",\"spec\":{" TOO_LARGE ",\"a\":[1," TARGET_ENTRY ("i-3", "8") "]}}",
      "i-1 x i-2" },
    { "{\"spec\":{" META ("i-1") "," TOO_LARGE "}," META ("x") "}", "i-1 x i-2" },
    { "{\"spec\":{" META ("i-1") "," TOO_LARGE "}}", "i-1 i-2" },
    { "{\"spec\":{" META ("i-1") ",\"a\":\xff}," META ("x") "}", "i-1 i-2" },
    { "{" META ("x") ",\"spec\":\"]},{" META ("i-1") "\\ud800\"}", "i-1 x i-2" },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body =
          g_strdup_printf ("{\"items\":[%s,%s,%s],\"has_more\":false,\"store_revision\":9}",
                           TARGET_ENTRY ("i-1", "5"), cases[i].entry, TARGET_ENTRY ("i-2", "6"));
      MrPlatformResult *result = S_decode ("targets", 0, 200, body);
      g_autoptr (GString) names = g_string_new (NULL);
      for (guint n = 0; n < result->objects->len; n++)
        {
          const MrPlatformObject *object = g_ptr_array_index (result->objects, n);
          g_string_append_printf (names, "%s%s", n > 0 ? " " : "", object->name);
        }
      assert_int_equal (result->status, MR_OK);
      assert_string_equal (names->str, cases[i].names);
      mr_message_free (&result->base);
    }
}

/* Guards against a daemon that no longer follows changes because it spends all its time on one
 * entry of a page. */
static void
test_time_for_odd_entries (void **state)
{
  /* A change has to be in force within 3 s, by a daemon that has a quarter of a core. */
  const gint64 limit_us = 3 * G_USEC_PER_SEC / 4;
  static const struct
  {
    const char *name;
    const char *begin; /* repeated until the entry has the largest size */
    const char *end;   /* repeated as often */
  } cases[] = {
    { "nested objects", "{\"x\":", "}" },
    { "nested arrays", "[", "]" },
    { "objects in arrays", "[0,{\"x\":", "}]" },
    { "objects in arrays without an end", "[0,{\"x\":", "" },
    { "entries without an end", ",{" META ("x") ",\"spec\":{\"y\":[1", "" },
    { "strings without an end", ",{\"", "" },
    { "closing brackets", "]", "" },
    { "commas", ",", "" },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const guint count = 1000000 / (guint) (strlen (cases[i].begin) + strlen (cases[i].end));
      g_autoptr (GString) body =
          g_string_new ("{\"items\":[" TARGET_ENTRY ("i-1", "5") ",{" META ("x") ",\"spec\":");
      for (guint n = 0; n < count; n++)
        g_string_append (body, cases[i].begin);
      g_string_append (body, "1");
      for (guint n = 0; n < count; n++)
        g_string_append (body, cases[i].end);
      g_string_append (body,
                       "}," TARGET_ENTRY ("i-2", "6") "],\"has_more\":false,\"store_revision\":9}");
      gint64 began = g_get_monotonic_time ();
      MrPlatformResult *result = S_decode ("targets", 0, 200, body->str);
      gint64 took = g_get_monotonic_time () - began;
      print_message ("%s: %d ms, %u objects%s\n", cases[i].name, (int) (took / 1000),
                     result->objects->len, result->truncated ? ", cut" : "");
      assert_int_equal (result->status, MR_OK);
      assert_true (result->objects->len >= 1);
      /* i-2 is read, or the page counts as incomplete. */
      const MrPlatformObject *last = g_ptr_array_index (result->objects, result->objects->len - 1);
      assert_true (result->truncated || g_str_equal (last->name, "i-2"));
      if (took > limit_us)
        fail_msg ("%s: took %d ms", cases[i].name, (int) (took / 1000));
      mr_message_free (&result->base);
    }
}

/* Guards against the use of an entry whose name or revision is none that a searcher, an operator or
 * merlinring itself writes, and against a list that does not continue after its name. */
static void
test_refused_entries (void **state)
{
#define NAME_63 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"
  static const struct
  {
    const char *kind;
    const char *name;     /* in JSON */
    const char *revision; /* in JSON */
    const char *after;    /* of the request for the next page; NULL: none */
    gboolean taken;
  } cases[] = {
    { "targets", "\"i-7f3a91c2\"", "5", "i-7f3a91c2", TRUE },
    { "targets", "\"A.b_c~d:e@f\"", "5", "A.b_c~d%3Ae%40f", TRUE },
    { "targets", "\"" NAME_63 "\"", "5", NAME_63, TRUE },
    { "targets", "\"" NAME_63 "f\"", "5", NAME_63 "f", FALSE },
    { "targets", "\"b&watch=1\"", "5", "b%26watch%3D1", FALSE },
    { "targets", "\"b+c\"", "5", "b%2Bc", FALSE },
    { "targets", "\"b#c\"", "5", "b%23c", FALSE },
    { "targets", "\"b%41\"", "5", "b%2541", FALSE },
    { "targets", "\"b c\"", "5", "b%20c", FALSE },
    { "targets", "\"b/c\"", "5", "b%2Fc", FALSE },
    { "targets", "\"b?c\"", "5", "b%3Fc", FALSE },
    { "targets", "\"b\\r\\nX-Deadline-Ms: 9\"", "5", "b%0D%0AX-Deadline-Ms%3A%209", FALSE },
    { "targets", "\"b\\u0001\"", "5", "b%01", FALSE },
    { "targets", "\"b\\u0000c\"", "5", "b%00c", FALSE },
    { "targets", "\"b\\u00e4\"", "5", "b%C3%A4", FALSE },
    { "targets", "\"\"", "5", NULL, FALSE },
    { "targets", "7", "5", NULL, FALSE },
    { "targets", "null", "5", NULL, FALSE },
    { "targets", "\"i-1\"", "0", "i-1", FALSE },
    { "targets", "\"i-1\"", "-5", "i-1", FALSE },
    { "targets", "\"i-1\"", "5.0", "i-1", FALSE },
    { "targets", "\"i-1\"", "\"5\"", "i-1", FALSE },
    { "targets", "\"i-1\"", "4398046511103", "i-1", TRUE },
    { "targets", "\"i-1\"", "4398046511104", "i-1", FALSE },
    { "targets", "\"i-1\"", "9223372036854775807", "i-1", FALSE },
    { "targets", "\"i-1\"", "null", "i-1", FALSE },
    { "configurations", "\"main\"", "5", "main", TRUE },
    { "configurations", "\"other\"", "5", "other", FALSE },
    { "quarantine", "\"0123456789abcdef0123456789abcdef\"", "5", "0123456789abcdef0123456789abcdef",
      TRUE },
    { "quarantine", "\"odd\"", "5", "odd", FALSE },
    { "evacuations", "\"khomas-a\"", "5", "khomas-a", TRUE },
    { "evacuations", "\"khomas a\"", "5", "khomas%20a", TRUE },
    { "evacuations", "\"a\\\"b\"", "5", "a%22b", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body = g_strdup_printf (
          "{\"store_revision\":9,\"has_more\":true,\"items\":[{\"meta\":{\"name\":%s,"
          "\"revision\":%s},\"spec\":{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
          "\"zone\":\"z\",\"version\":\"v1\",\"slots\":5,\"state\":\"ready\","
          "\"warmup_left_ms\":0,\"seq\":1}}]}",
          cases[i].name, cases[i].revision);
      guint64 refused = mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE);
      MrPlatformResult *result = S_decode (cases[i].kind, 0, 200, body);
      assert_int_equal (result->status, MR_OK);
      if ((result->objects->len == 1) != cases[i].taken)
        fail_msg ("%s/%s, revision %s: %s", cases[i].kind, cases[i].name, cases[i].revision,
                  cases[i].taken ? "refused" : "taken");
      if ((mr_metrics_get (MR_METRIC_ENTRIES_UNUSABLE) > refused) == cases[i].taken)
        fail_msg ("%s/%s: wrong count of refused entries", cases[i].kind, cases[i].name);
      MrPlatformRequest *next = mr_platform_request_new (MR_PLATFORM_LIST, "targets", "");
      MrPlatformCall call = { 0 };
      next->after_name = g_steal_pointer (&result->last_name);
      mr_adapter_store.encode (next, &call);
      g_autofree char *path = cases[i].after
                                  ? g_strdup_printf ("/objects/servers?after=%s", cases[i].after)
                                  : g_strdup ("/objects/servers");
      assert_string_equal (call.path, path);
      g_free (call.path);
      mr_message_free (&next->base);
      mr_message_free (&result->base);
    }
}

typedef struct
{
  const char *name;
  int http_status;
  const char *body;
  MrStatus status;
  gboolean history_expired;
} Case;

/* An error or an incomplete response must not be taken for an empty list, which would remove
 * every target. */
static void
test_response_statuses (void **state)
{
  static const Case cases[] = {
    { "list", 200, "{\"items\":[],\"has_more\":false,\"store_revision\":3}", MR_OK, FALSE },
    { "history gone", 410, "", MR_OK, TRUE },
    { "rate limited", 429, "{}", MR_ERROR_UNAVAILABLE, FALSE },
    { "unavailable", 503, "", MR_ERROR_UNAVAILABLE, FALSE },
    { "truncated", 200, "{\"items\":[", MR_ERROR_UNAVAILABLE, FALSE },
    { "no revision", 200, "{}", MR_ERROR_UNAVAILABLE, FALSE },
    { "revision below zero", 200, "{\"items\":[],\"store_revision\":-1}", MR_ERROR_UNAVAILABLE,
      FALSE },
    { "revision too large", 200, "{\"items\":[],\"store_revision\":4398046511104}",
      MR_ERROR_UNAVAILABLE, FALSE },
    { "not an object", 200, "[]", MR_ERROR_UNAVAILABLE, FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrPlatformResult *result = S_decode ("targets", 1, cases[i].http_status, cases[i].body);
      if (result->status != (int) cases[i].status ||
          result->history_expired != cases[i].history_expired)
        fail_msg ("%s: status %d, expired %d", cases[i].name, result->status,
                  result->history_expired);
      mr_message_free (&result->base);
    }
}

static void
test_configuration (void **state)
{
  (void) state;
  MrPlatformResult *result = S_decode (
      "configurations", 0, 200,
      "{\"store_revision\":9,\"has_more\":false,\"items\":[{\"meta\":{\"name\":\"main\","
      "\"revision\":"
      "8},\"spec\":{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"H.example\","
      "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":800,\"latency_target_ms\":80,"
      "\"priority\":2,\"gather\":[\"x\",\"y\"],\"max_attempts\":2,\"top_k\":5,"
      "\"min_shard_share\":0.75},{\"name\":\"o\",\"host\":\"H.example\",\"path_prefix\":\"/a/b/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":800,\"latency_target_ms\":80,\"priority\":0,"
      "\"service\":\"x\",\"max_attempts\":1,\"home_regions\":[\"north\"]}],\"services\":[{\"name\":"
      "\"x\",\"max_conns\":40},"
      "{\"name\":\"y\",\"max_conns\":40,\"warmup_per_s\":12.5,\"warmup_s\":3.0}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000}}}]}");
  assert_int_equal (result->objects->len, 1);
  const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
  MrConfiguration *c = mr_configuration_parse (mr_text_of (object->body));
  assert_non_null (c);
  assert_int_equal (mr_configuration_version (c), 7);
  const MrRoute *shards =
      mr_configuration_find_route (c, MR_TEXT ("h.EXAMPLE:80"), MR_TEXT ("/a/q"));
  assert_int_equal (shards->kind, MR_ROUTE_SHARDS);
  assert_true (shards->idempotent);
  assert_int_equal (shards->top_records, 5);
  const MrRoute *single =
      mr_configuration_find_route (c, MR_TEXT ("h.example"), MR_TEXT ("/a/b/c"));
  assert_int_equal (single->kind, MR_ROUTE_SERVICE);
  assert_false (single->idempotent);
  assert_string_equal (single->home_regions[0], "north");
  assert_null (shards->home_regions);
  assert_null (mr_configuration_find_route (c, MR_TEXT ("h.example"), MR_TEXT ("/b/")));
  assert_int_equal (mr_configuration_find_service (c, "x")->max_connections_per_target, 40);
  assert_true (mr_configuration_find_service (c, "x")->cold_rate == 0);
  assert_true (mr_configuration_find_service (c, "y")->cold_rate == 12.5);
  assert_int_equal (mr_configuration_find_service (c, "y")->cold_time, 3 * MR_SECOND);
  mr_configuration_unref (c);
  mr_message_free (&result->base);
}

/* Guards against a configuration that admits everyone, or removes the keys of an organisation,
 * because a field has another type, and against keys in objects that daemons exchange. */
static void
test_wrong_organisations (void **state)
{
  static const struct
  {
    const char *organisations;
    gboolean valid;
  } cases[] = {
    { "[{\"name\":\"a\",\"api_keys\":[\"5551234\"]}]", TRUE },
    { "[{\"name\":\"a\"}]", TRUE },
    { "null", TRUE },
    { "{\"name\":\"a\",\"api_keys\":[\"5551234\"]}", FALSE },
    { "\"5551234\"", FALSE },
    { "false", FALSE },
    { "[{\"name\":\"a\",\"api_keys\":\"5551234\"}]", FALSE },
    { "[{\"name\":\"a\",\"api_keys\":{\"5551234\":1}}]", FALSE },
    { "[{\"name\":\"a\",\"api_keys\":[5551234]}]", FALSE },
    { "[5551234]", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *page = g_strdup_printf (
          "{\"store_revision\":9,\"has_more\":false,\"items\":[{\"meta\":{\"name\":\"main\","
          "\"revision\":8},\"spec\":{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":%s,"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}]}",
          cases[i].organisations);
      MrPlatformResult *result = S_decode ("configurations", 0, 200, page);
      assert_int_equal (result->objects->len, 1);
      const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
      MrConfiguration *c = mr_configuration_parse (mr_text_of (object->body));
      if ((c != NULL) != cases[i].valid)
        fail_msg ("%s: %s", cases[i].organisations, c ? "accepted" : "refused");
      if (strstr (object->body->str, "5551234"))
        fail_msg ("%s: the object holds the key", cases[i].organisations);
      mr_configuration_unref (c);
      mr_message_free (&result->base);
    }
}

/* Guards against a configuration without routes because a list is missing or has another type. */
static void
test_lists_of_configurations (void **state)
{
  static const struct
  {
    const char *lists;
    gboolean valid;
  } cases[] = {
    { "\"routes\":[],\"services\":[]", TRUE },
    { "\"services\":[]", FALSE },
    { "\"routes\":[]", FALSE },
    { "\"routes\":{},\"services\":[]", FALSE },
    { "\"routes\":null,\"services\":[]", FALSE },
    { "\"routes\":[],\"services\":\"a\"", FALSE },
    { "\"routes\":[[]],\"services\":[]", FALSE },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *page = g_strdup_printf (
          "{\"store_revision\":9,\"has_more\":false,\"items\":[{\"meta\":{\"name\":\"main\","
          "\"revision\":8},\"spec\":{\"version\":7,%s,\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}]}",
          cases[i].lists);
      MrPlatformResult *result = S_decode ("configurations", 0, 200, page);
      assert_int_equal (result->objects->len, 1);
      const MrPlatformObject *object = g_ptr_array_index (result->objects, 0);
      MrConfiguration *c = mr_configuration_parse (mr_text_of (object->body));
      if ((c != NULL) != cases[i].valid)
        fail_msg ("%s: %s", cases[i].lists, c ? "accepted" : "refused");
      mr_configuration_unref (c);
      mr_message_free (&result->base);
    }
}

/* Guards against a list that is never read to its end because the last name on a page, written by
 * another program, changes the request for the next page. */
static void
test_request_paths (void **state)
{
  static const struct
  {
    guint64 since;
    const char *after;
    const char *path;
  } cases[] = {
    { 0, "", "/objects/servers" },
    { 0, "i-9", "/objects/servers?after=i-9" },
    { 0, "a.b_c~d", "/objects/servers?after=a.b_c~d" },
    { 0, "b&watch=1", "/objects/servers?after=b%26watch%3D1" },
    { 0, "b+c", "/objects/servers?after=b%2Bc" },
    { 0, "b#c", "/objects/servers?after=b%23c" },
    { 0, "b%41", "/objects/servers?after=b%2541" },
    { 0, "b c", "/objects/servers?after=b%20c" },
    { 0, "b\r\nX: y", "/objects/servers?after=b%0D%0AX%3A%20y" },
    { 0, "b/\xc3\xa4", "/objects/servers?after=b%2F%C3%A4" },
    { 530, "", "/objects/servers?watch=530&wait_ms=28000" },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrPlatformCall call = { 0 };
      MrPlatformRequest *request = mr_platform_request_new (MR_PLATFORM_LIST, "targets", "");
      request->since_revision = cases[i].since;
      request->wait_ms = cases[i].since ? 28000 : 0;
      request->after_name = *cases[i].after ? g_string_new (cases[i].after) : NULL;
      mr_adapter_store.encode (request, &call);
      assert_string_equal (call.path, cases[i].path);
      g_free (call.path);
      mr_message_free (&request->base);
    }
}

/* Guards against a call for another object than the one named. */
static void
test_names_in_paths (void **state)
{
  static const struct
  {
    const MrPlatformCodec *codec;
    MrPlatformAction action;
    guint64 expected_version;
    const char *name;
    const char *path;
  } cases[] = {
    { &mr_adapter_store, MR_PLATFORM_WRITE, 8, "z1", "/objects/evacuations/z1" },
    { &mr_adapter_store, MR_PLATFORM_WRITE, 8, "a/b?c", "/objects/evacuations/a%2Fb%3Fc" },
    { &mr_adapter_store, MR_PLATFORM_WRITE, 0, "a/b?c", "/objects/evacuations" },
    { &mr_platform_codec, MR_PLATFORM_READ, 0, "z1", "/v1/objects/evacuations/z1" },
    { &mr_platform_codec, MR_PLATFORM_READ, 0, "a b/..", "/v1/objects/evacuations/a%20b%2F.." },
    { &mr_platform_codec, MR_PLATFORM_WRITE, 5, "a#b", "/v1/objects/evacuations/a%23b?version=5" },
    { &mr_platform_codec, MR_PLATFORM_WRITE, MR_VERSION_ANY, "a?b&c",
      "/v1/objects/evacuations/a%3Fb%26c?version=any" },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrPlatformCall call = { 0 };
      MrPlatformRequest *request =
          mr_platform_request_new (cases[i].action, "evacuations", cases[i].name);
      request->expected_version = cases[i].expected_version;
      request->body = g_string_new ("{}");
      cases[i].codec->encode (request, &call);
      assert_string_equal (call.path, cases[i].path);
      g_free (call.path);
      if (call.body)
        g_string_free (call.body, TRUE);
      mr_message_free (&request->base);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stale_removal),           cmocka_unit_test (test_removal_follows_change),
    cmocka_unit_test (test_response_statuses),       cmocka_unit_test (test_evacuations),
    cmocka_unit_test (test_configuration),           cmocka_unit_test (test_wrong_organisations),
    cmocka_unit_test (test_request_paths),           cmocka_unit_test (test_entry_validation),
    cmocka_unit_test (test_unreadable_entries),      cmocka_unit_test (test_names_in_paths),
    cmocka_unit_test (test_lists_of_configurations), cmocka_unit_test (test_forged_entries),
    cmocka_unit_test (test_time_for_odd_entries),    cmocka_unit_test (test_refused_entries),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
