/* Fingerprints: which differences between requests count, and the text format. */

#include "fingerprint.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct
{
  const char *name;
  MrText texts[3];
  guint64 key;
  gboolean same; /* as that of the first case */
} Case;

static const Case cases[] = {
  { "reference", { MR_TEXT ("GET"), MR_TEXT ("/a"), MR_TEXT ("body") }, 1, TRUE },
  { "identical", { MR_TEXT ("GET"), MR_TEXT ("/a"), MR_TEXT ("body") }, 1, TRUE },
  { "different path", { MR_TEXT ("GET"), MR_TEXT ("/b"), MR_TEXT ("body") }, 1, FALSE },
  { "different body", { MR_TEXT ("GET"), MR_TEXT ("/a"), MR_TEXT ("bodx") }, 1, FALSE },
  { "same bytes, different boundaries",
    { MR_TEXT ("GET/"), MR_TEXT ("a"), MR_TEXT ("body") },
    1,
    FALSE },
  { "no body", { MR_TEXT ("GET"), MR_TEXT ("/a"), { 0 } }, 1, FALSE },
  { "different key", { MR_TEXT ("GET"), MR_TEXT ("/a"), MR_TEXT ("body") }, 2, FALSE },
};

static void
test_significant_differences (void **state)
{
  (void) state;
  MrFingerprint first = mr_fingerprint_compute (cases[0].texts, 3, cases[0].key);
  assert_true (mr_fingerprint_is_set (first));
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      MrFingerprint f = mr_fingerprint_compute (cases[i].texts, 3, cases[i].key);
      if (mr_fingerprint_equal (f, first) != cases[i].same)
        fail_msg ("%s", cases[i].name);
    }
}

static void
test_text_format (void **state)
{
  static const char *const invalid[] = { "", "0123", "0123456789abcdef0123456789abcdeg",
                                         "0123456789ABCDEF0123456789abcdef",
                                         "0123456789abcdef0123456789abcdef0" };
  (void) state;
  char text[MR_FINGERPRINT_DIGITS + 1];
  MrFingerprint f = mr_fingerprint_compute (cases[0].texts, 3, 1);
  MrFingerprint read = { 0 };
  mr_fingerprint_write (f, text);
  assert_true (mr_fingerprint_read (mr_text (text), &read));
  assert_true (mr_fingerprint_equal (f, read));
  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    assert_false (mr_fingerprint_read (mr_text (invalid[i]), &read));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_significant_differences),
    cmocka_unit_test (test_text_format),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
