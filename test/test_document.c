/* Service documents: every kind of invalid input is refused with its error number and a message
 * that names the place; valid documents are read completely. */

#include "document.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct
{
  const char *name;
  const char *body;
  const char *error;         /* start of the message; NULL if valid */
  const char *expected_text; /* what the message must name */
} Case;

static const Case cases[] = {
  { "smallest document", "{\"service\":\"shop\"}", NULL, NULL },
  { "all sections", "{\"service\":\"shop\",\"orders\":true,\"objectives\":{\"latency_ms\":90}}",
    NULL, NULL },
  { "not JSON", "{\"service\":", "D503", "line 1" },
  { "empty", "", "D503", "line" },
  { "an array", "[1]", "D506", "object" },
  { "duplicate key", "{\"service\":\"shop\",\"top_k\":1,\"top_k\":2}", "D504", "top_k" },
  { "unknown key", "{\"service\":\"shop\",\"topk\":1}", "D505", "topk" },
  { "unknown key of a section", "{\"service\":\"shop\",\"objectives\":{\"x\":1}}", "D505",
    "objectives.x" },
  { "key of a section at top level", "{\"service\":\"shop\",\"latency_ms\":1}", "D505",
    "latency_ms" },
  { "section is not an object", "{\"service\":\"shop\",\"objectives\":3}", "D506", "objectives" },
  { "wrong type", "{\"service\":\"shop\",\"top_k\":\"5\"}", "D506", "whole number" },
  { "a fraction", "{\"service\":\"shop\",\"top_k\":1.5}", "D506", "top_k" },
  { "not a boolean", "{\"service\":\"shop\",\"orders\":1}", "D506", "true or false" },
  { "too small", "{\"service\":\"shop\",\"top_k\":0}", "D507", "expected 1 to 1000" },
  { "too large", "{\"service\":\"shop\",\"extra_calls\":0.6}", "D507", "0.6" },
  { "missing name", "{\"top_k\":3}", "D508", "service" },
  { "wrong name", "{\"service\":\"other\"}", "D509", "other" },
  { "conflicting deadlines", "{\"service\":\"shop\",\"deadline_ms\":900,\"max_deadline_ms\":800}",
    "D510", "max_deadline_ms" },
  { "conflicting numbers of hits", "{\"service\":\"shop\",\"top_k\":200}", "D510", "max_top_k" },
  { "not UTF-8", "{\"service\":\"shop\xff\"}", "D502", "UTF-8" },
};

static void
test_cases (void **state)
{
  (void) state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      MrDocument document;
      MrStatus status = mr_document_parse (MR_TEXT ("shop"), mr_text (c->body), &document);
      if (!c->error)
        {
          assert_int_equal (status, MR_OK);
          continue;
        }
      if (status != MR_ERROR_INVALID || !g_str_has_prefix (mr_status_message (), c->error) ||
          !strstr (mr_status_message (), c->expected_text))
        fail_msg ("%s: expected %s naming '%s', got '%s'", c->name, c->error, c->expected_text,
                  mr_status_message ());
    }
}

static void
test_values (void **state)
{
  (void) state;
  MrDocument d;
  const char *body = "{\"service\":\"shop\",\"top_k\":7,\"extra_calls\":0.02,\"direct\":true,"
                     "\"objectives\":{\"coverage\":0.95}}";
  assert_int_equal (mr_document_parse (MR_TEXT ("shop"), mr_text (body), &d), MR_OK);
  assert_string_equal (d.service, "shop");
  assert_int_equal (d.top_k, 7);
  assert_true (d.extra_calls == 0.02);
  assert_true (d.direct);
  assert_false (d.orders);
  assert_true (d.objective_coverage == 0.95);
  assert_int_equal (d.deadline_ms, 150);
}

/* A refused document leaves the output unchanged. */
static void
test_failure_changes_nothing (void **state)
{
  (void) state;
  MrDocument d = { .top_k = 42 };
  assert_int_equal (mr_document_parse (MR_TEXT ("shop"), MR_TEXT ("{}"), &d), MR_ERROR_INVALID);
  assert_int_equal (d.top_k, 42);
}

static void
test_too_large (void **state)
{
  (void) state;
  GString *body = g_string_new ("{\"service\":\"shop\"}");
  while (body->len <= MR_DOCUMENT_MAX)
    g_string_append_c (body, ' ');
  MrDocument d;
  assert_int_equal (mr_document_parse (MR_TEXT ("shop"), mr_text_of (body), &d), MR_ERROR_INVALID);
  assert_true (g_str_has_prefix (mr_status_message (), "D501"));
  g_string_free (body, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases),
    cmocka_unit_test (test_values),
    cmocka_unit_test (test_failure_changes_nothing),
    cmocka_unit_test (test_too_large),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
