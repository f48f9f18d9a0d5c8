/* Strings with an explicit length.
 *
 * MrText points to bytes that it does not own and that need not be NUL-terminated.  GString is used
 * for bytes that are owned or grow. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <string.h>

typedef struct
{
  const char *data;
  size_t len;
} MrText;

#define MR_TEXT(literal) ((MrText){ .data = (literal), .len = sizeof (literal) - 1 })

/* Text of a NUL-terminated string; NULL gives the empty text. */
static inline MrText
mr_text (const char *string)
{
  return (MrText){ .data = string, .len = string ? strlen (string) : 0 };
}

static inline MrText
mr_text_of (const GString *string)
{
  return (MrText){ .data = string->str, .len = string->len };
}

static inline bool
mr_text_equal (MrText a, MrText b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Returns a NUL-terminated copy, to be freed with g_free (). */
static inline char *
mr_text_dup (MrText text)
{
  return g_strndup (text.data ? text.data : "", text.len);
}

/* Parses a text that consists of one decimal number.  Returns false on any other text and on
 * overflow; @value is then unchanged. */
bool mr_text_parse_u64 (MrText text, guint64 *value);
