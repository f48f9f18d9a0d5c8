#include "json_page.h"

enum
{
  /* Brackets tried as the end of a list: what follows the list on a page are two
   * scalars, so the last one is mostly right. */
  ENDS_TRIED = 64,
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

/* Where the value of the first member @name begins; text.len if there is none. */
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

/* Reads one value at @at and moves @at behind it. */
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

/* The page without its elements, which end at @end. */
static json_t *
S_load_without (MrText text, gsize begin, gsize end)
{
  g_autoptr (GString) rest = g_string_new_len (text.data, (gssize) begin);
  g_string_append_len (rest, text.data + end, (gssize) (text.len - end));
  json_t *root = json_loadb (rest->str, rest->len, 0, NULL);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}

/* The last bracket that leaves a page when the elements before it are cut out. */
static json_t *
S_find_end (MrText text, gsize begin, gsize *end)
{
  guint tried = 0;
  for (gsize at = text.len; at > begin && tried < ENDS_TRIED; at--)
    {
      if (text.data[at - 1] != ']')
        continue;
      tried++;
      json_t *root = S_load_without (text, begin, at - 1);
      if (!root)
        continue;
      *end = at - 1;
      return root;
    }
  return NULL;
}

static json_t *
S_read_element (const MrJsonPage *page, const char *list, MrText text, gsize *at)
{
  gsize after = *at;
  json_t *value = S_read_value (text, &after);
  if (value && page->is_element (list, value))
    {
      *at = after;
      return value;
    }
  json_decref (value);
  return NULL;
}

/* Where the element after the broken one at @at begins; text.len if it is the
 * last. */
static gsize
S_next_element (const MrJsonPage *page, const char *list, MrText text, gsize at)
{
  for (at++; at < text.len; at++)
    {
      if (text.data[at - 1] != ',')
        continue;
      gsize begin = S_skip_spaces (text, at);
      gsize after = begin;
      json_t *value = begin < text.len && text.data[begin] == '{'
                          ? S_read_element (page, list, text, &after)
                          : NULL;
      json_decref (value);
      if (value)
        return begin;
    }
  return text.len;
}

static json_t *
S_read_elements (const MrJsonPage *page, const char *list, MrText text, guint *broken)
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
      json_t *value = S_read_element (page, list, text, &at);
      if (!value)
        {
          gsize next = S_next_element (page, list, text, at);
          value = page->save (list, (MrText){ .data = text.data + at, .len = next - at });
          at = next;
          (*broken)++;
        }
      if (value)
        json_array_append_new (elements, value);
    }
  return elements;
}

static json_t *
S_load_list (const MrJsonPage *page, const char *list, MrText text, guint *broken)
{
  gsize begin = S_find_value (text, list);
  gsize end = 0;
  if (begin >= text.len || text.data[begin] != '[')
    return NULL;
  begin++;
  json_t *root = S_find_end (text, begin, &end);
  if (!root)
    return NULL;
  MrText elements = { .data = text.data + begin, .len = end - begin };
  json_object_set_new (root, list, S_read_elements (page, list, elements, broken));
  return root;
}

json_t *
mr_json_page_load (const MrJsonPage *page, MrText text, guint *broken)
{
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  for (const char *const *list = page->lists; !root && *list; list++)
    root = S_load_list (page, *list, text, broken);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}
