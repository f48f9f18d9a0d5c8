#include "json_page.h"

enum
{
  /* Closing brackets that are tried as the end of the list, from the last one backwards.  Only two
   * scalars follow the list on a page, so the last bracket is usually the right one. */
  END_CANDIDATES_MAX = 64,
  /* Limit of the work to find the elements that follow one that is not JSON, as a multiple of the
   * length of the page. */
  SEARCH_FACTOR_MAX = 64,
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

/* Syntax of JSON values (RFC 8259), without limits on their depth and on the range of numbers, and
 * without a check of the bytes in strings.  It finds the end of a value that cannot be represented,
 * in time proportional to its length. */

/* Returns the position after the string that begins at @at; text.len + 1 if it does not end. */
static gsize
S_skip_string (MrText text, gsize at)
{
  for (at++; at < text.len; at++)
    {
      const char *quote = memchr (text.data + at, '"', text.len - at);
      if (!quote)
        break;
      gsize end = (gsize) (quote - text.data);
      gsize backslashes = 0;
      while (end - backslashes > at && text.data[end - backslashes - 1] == '\\')
        backslashes++;
      at = end;
      if (backslashes % 2 == 0)
        return end + 1;
    }
  return text.len + 1;
}

/* Advances @at past a number, true, false or null. */
static gboolean
S_scan_literal (MrText text, gsize *at)
{
  gsize begin = *at;
  while (*at < text.len && (g_ascii_isalnum (text.data[*at]) || strchr ("+-.", text.data[*at])) &&
         text.data[*at] != '\0')
    (*at)++;
  return *at > begin;
}

/* Advances @at past the name of a member and its colon. */
static gboolean
S_scan_name (MrText text, gsize *at)
{
  *at = S_skip_spaces (text, *at);
  if (*at >= text.len || text.data[*at] != '"')
    return FALSE;
  *at = S_skip_spaces (text, MIN (S_skip_string (text, *at), text.len));
  if (*at >= text.len || text.data[*at] != ':')
    return FALSE;
  (*at)++;
  return TRUE;
}

/* Advances @at past a string or literal, or past the opening bracket of an array or object, which
 * is added to @open. */
static gboolean
S_scan_begin (MrText text, gsize *at, GString *open)
{
  *at = S_skip_spaces (text, *at);
  if (*at >= text.len)
    return FALSE;
  char c = text.data[*at];
  if (c == '"')
    {
      *at = S_skip_string (text, *at);
      return *at <= text.len;
    }
  if (c != '{' && c != '[')
    return S_scan_literal (text, at);
  g_string_append_c (open, c == '{' ? '}' : ']');
  (*at)++;
  return TRUE;
}

/* Advances @at past the closing brackets that follow a value, and past a comma and the name of the
 * next member. */
static gboolean
S_scan_end (MrText text, gsize *at, GString *open)
{
  while (open->len > 0)
    {
      char closing = open->str[open->len - 1];
      *at = S_skip_spaces (text, *at);
      if (*at >= text.len)
        return FALSE;
      char c = text.data[(*at)++];
      if (c == ',')
        return closing == ']' || S_scan_name (text, at);
      if (c != closing)
        return FALSE;
      g_string_truncate (open, open->len - 1);
    }
  return TRUE;
}

/* Advances @at past the value that begins there; FALSE if it does not end or is no JSON, with @at
 * where that was found. */
static gboolean
S_scan_value (MrText text, gsize *at)
{
  g_autoptr (GString) open = g_string_new (NULL);
  do
    {
      gsize depth = open->len;
      if (!S_scan_begin (text, at, open))
        return FALSE;
      gboolean opened = open->len > depth;
      gsize next = S_skip_spaces (text, *at);
      gboolean empty = opened && next < text.len && text.data[next] == open->str[depth];
      if (opened && !empty)
        {
          if (open->str[depth] == '}' && !S_scan_name (text, at))
            return FALSE;
          continue;
        }
      if (!S_scan_end (text, at, open))
        return FALSE;
    }
  while (open->len > 0);
  return TRUE;
}

/* One member of an object. */
typedef struct
{
  MrText name; /* without the quotes, not decoded */
  MrText value;
} Member;

/* Reads the member at @at, after the opening brace or a comma, and advances @at past it. */
static gboolean
S_scan_member (MrText text, gsize *at, Member *member)
{
  gsize begin = S_skip_spaces (text, *at);
  *at = begin;
  if (!S_scan_name (text, at))
    return FALSE;
  gsize name_end = S_skip_string (text, begin);
  member->name = (MrText){ .data = text.data + begin + 1, .len = name_end - begin - 2 };
  *at = S_skip_spaces (text, *at);
  gsize value = *at;
  if (!S_scan_value (text, at))
    return FALSE;
  member->value = (MrText){ .data = text.data + value, .len = *at - value };
  return TRUE;
}

gboolean
mr_json_find_member_text (MrText text, const char *name, MrText *value)
{
  gsize at = S_skip_spaces (text, 0);
  gboolean found = FALSE;
  Member member;
  if (at >= text.len || text.data[at] != '{')
    return FALSE;
  gsize next = S_skip_spaces (text, at + 1);
  gboolean more = next >= text.len || text.data[next] != '}';
  for (at = more ? at + 1 : next; more;)
    {
      if (!S_scan_member (text, &at, &member))
        return FALSE;
      if (mr_text_equal (member.name, mr_text (name)))
        {
          *value = member.value;
          found = TRUE;
        }
      at = S_skip_spaces (text, at);
      more = at < text.len && text.data[at] == ',';
      if (more)
        at++;
    }
  return found && at < text.len && text.data[at] == '}' && S_skip_spaces (text, at + 1) == text.len;
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
 * none.  Reduces @budget by the bytes that were read; returns text.len when it is used up. */
static gsize
S_find_next_element (
    const MrJsonPageFormat *format, const char *list, MrText text, gsize at, gsize *budget)
{
  for (at++; at<text.len && * budget> 0; at++)
    {
      if (text.data[at - 1] != ',')
        continue;
      gsize begin = S_skip_spaces (text, at);
      gsize next = begin;
      gsize end = begin;
      if (begin >= text.len || text.data[begin] != '{')
        continue;
      gboolean valid = S_scan_value (text, &end);
      *budget -= MIN (*budget, end - begin);
      json_t *value = valid ? S_read_element (format, list, text, &next) : NULL;
      json_decref (value);
      if (value)
        return begin;
    }
  return text.len;
}

/* Returns the end of the malformed element at @at. */
static gsize
S_find_element_end (const MrJsonPageFormat *format,
                    const char *list,
                    MrText text,
                    gsize at,
                    gsize *budget,
                    gboolean *is_json)
{
  gsize end = at;
  *is_json = S_scan_value (text, &end);
  gsize separator = S_skip_spaces (text, end);
  *is_json = *is_json && (separator >= text.len || text.data[separator] == ',');
  return *is_json ? end : S_find_next_element (format, list, text, at, budget);
}

static json_t *
S_read_elements (const MrJsonPageFormat *format,
                 const char *list,
                 MrText text,
                 MrJsonPageDamage *damage)
{
  json_t *elements = json_array ();
  gsize budget = text.len * SEARCH_FACTOR_MAX;
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
          gboolean is_json = FALSE;
          gsize end = S_find_element_end (format, list, text, at, &budget, &is_json);
          MrText malformed = { .data = text.data + at, .len = end - at };
          value = format->salvage (list, malformed, is_json);
          at = end;
          damage->omitted += value ? 0 : 1;
          damage->cut = budget == 0;
        }
      if (value)
        json_array_append_new (elements, value);
    }
  return elements;
}

static json_t *
S_load_list (const MrJsonPageFormat *format,
             const char *list,
             MrText text,
             MrJsonPageDamage *damage)
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
  json_object_set_new (root, list, S_read_elements (format, list, elements, damage));
  return root;
}

json_t *
mr_json_page_load (const MrJsonPageFormat *format, MrText text, MrJsonPageDamage *damage)
{
  *damage = (MrJsonPageDamage){ 0 };
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  for (const char *const *list = format->array_names; !root && *list; list++)
    root = S_load_list (format, *list, text, damage);
  if (json_is_object (root))
    return root;
  json_decref (root);
  return NULL;
}

json_t *
mr_json_read_member (MrText text, const char *name)
{
  MrText value;
  gsize at = 0;
  return mr_json_find_member_text (text, name, &value) ? S_read_value (value, &at) : NULL;
}
