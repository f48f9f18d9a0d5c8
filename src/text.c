#include "text.h"

enum
{
  U64_MAX_DIGITS = 20
};

bool
mr_text_parse_u64 (MrText text, guint64 *value)
{
  char digits[U64_MAX_DIGITS + 1];
  if (text.len == 0 || text.len > U64_MAX_DIGITS)
    return false;
  memcpy (digits, text.data, text.len);
  digits[text.len] = '\0';
  return g_ascii_string_to_unsigned (digits, 10, 0, G_MAXUINT64, value, NULL);
}
