#include "json_page.h"

enum
{
  /* Closing brackets that are tried as the end of the list, from the last one backwards.  Only two
   * scalars follow the list on a page, so the last bracket is usually the right one. */
  END_CANDIDATES_MAX = 64,
};

static gboolean
S_is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static gsize
S_skip_spaces (MrText text, gsize at)
{
  while (at < text.len && S_is_space (text.data[at]))
    at++;
  return at;
}

/* Returns the start of the value of the first member called @name; text.len if there is none. */
static gsize
S_find_value (MrText text, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\"%s\"", name);
  gsize len = strlen (key);
  for (gsize at = 0; at + len < text.len; at++)
    {
      if (memcmp (text.data + at, key, len) != 0)
        continue;
      gsize colon = S_skip_spaces (text, at + len);
      if (colon < text.len && text.data[colon] == ':')
        return S_skip_spaces (text, colon + 1);
    }
  return text.len;
}

/* Parses one value at @at and advances @at past it; leaves @at unchanged on failure. */
static json_t *
S_read_value (MrText text, gsize *at)
{
  json_error_t error;
  json_t *value = json_loadb (text.data + *at, text.len - *at,
                              JSON_DISABLE_EOF_CHECK | JSON_DECODE_ANY, &error);
  if (value)
    *at += (gsize) error.position;
  return value;
}

json_t *
mr_json_find_member (MrText text, const char *name)
{
  gsize at = S_find_value (text, name);
  return at < text.len ? S_read_value (text, &at) : NULL;
}

/* Parses the page without the text from @begin to @end, which holds the elements of its list. */
static json_t *
S_load_without_elements (MrText text, gsize begin, gsize end)
{
  g_autoptr (GString) remainder = g_string_new_len (text.data, (gssize) begin);
  g_string_append_len (remainder, text.data + end, (gssize) (text.len - end));
  json_t *root = json_loadb (remainder->str, remainder->len, 0, NULL);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}

/* Finds the last closing bracket with which the page is valid JSON once the elements of its list
 * are cut out.  Returns that page with its list empty, and the bracket's position in @end. */
static json_t *
S_find_list_end (MrText text, gsize begin, gsize *end)
{
  guint candidates = 0;
  for (gsize at = text.len; at > begin && candidates < END_CANDIDATES_MAX; at--)
    {
      if (text.data[at - 1] != ']')
        continue;
      candidates++;
      json_t *root = S_load_without_elements (text, begin, at - 1);
      if (!root)
        continue;
      *end = at - 1;
      return root;
    }
  return NULL;
}

static json_t *
S_read_element (const MrJsonPageFormat *format, const char *list, MrText text, gsize *at)
{
  gsize next = *at;
  json_t *value = S_read_value (text, &next);
  if (value && format->is_element (list, value))
    {
      *at = next;
      return value;
    }
  json_decref (value);
  return NULL;
}

/* Returns the start of the first valid element after the malformed one at @at; text.len if there is
 * none. */
static gsize
S_find_next_element (const MrJsonPageFormat *format, const char *list, MrText text, gsize at)
{
  for (at++; at < text.len; at++)
    {
      if (text.data[at - 1] != ',')
        continue;
      gsize begin = S_skip_spaces (text, at);
      gsize next = begin;
      json_t *value = begin < text.len && text.data[begin] == '{'
                          ? S_read_element (format, list, text, &next)
                          : NULL;
      json_decref (value);
      if (value)
        return begin;
    }
  return text.len;
}

static json_t *
S_read_elements (const MrJsonPageFormat *format,
                 const char *list,
                 MrText text,
                 guint *malformed_count)
{
  json_t *elements = json_array ();
  gsize at = 0;
  while (at < text.len)
    {
      if (S_is_space (text.data[at]) || text.data[at] == ',')
        {
          at++;
          continue;
        }
      json_t *value = S_read_element (format, list, text, &at);
      if (!value)
        {
          gsize next = S_find_next_element (format, list, text, at);
          value = format->salvage (list, (MrText){ .data = text.data + at, .len = next - at });
          at = next;
          (*malformed_count)++;
        }
      if (value)
        json_array_append_new (elements, value);
    }
  return elements;
}

static json_t *
S_load_list (const MrJsonPageFormat *format, const char *list, MrText text, guint *malformed_count)
{
  gsize begin = S_find_value (text, list);
  gsize end = 0;
  if (begin >= text.len || text.data[begin] != '[')
    return NULL;
  begin++;
  json_t *root = S_find_list_end (text, begin, &end);
  if (!root)
    return NULL;
  MrText elements = { .data = text.data + begin, .len = end - begin };
  json_object_set_new (root, list, S_read_elements (format, list, elements, malformed_count));
  return root;
}

json_t *
mr_json_page_load (const MrJsonPageFormat *format, MrText text, guint *malformed_count)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  for (const char *const *list = format->array_names; !root && *list; list++)
    root = S_load_list (format, *list, text, malformed_count);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}
