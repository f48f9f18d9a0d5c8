#include "http_grammar.h"

enum
{
  STATUS_MIN = 100,
  STATUS_MAX = 599,
  SWITCHING_PROTOCOLS = 101,
  STATUS_DIGITS = 3,
  SIZE_DIGITS_MAX = 16, /* of a chunk: 64 bits */
};

static const char version_prefix[] = "HTTP/1.";

/* Characters. */

static gboolean
S_is_token_char (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

static gboolean
S_is_visible (char c)
{
  return g_ascii_isgraph (c) || (guchar) c >= 0x80;
}

static gboolean
S_is_value_char (char c)
{
  return S_is_visible (c) || c == ' ' || c == '\t';
}

gboolean
mr_http_is_token (MrText text)
{
  for (gsize i = 0; i < text.len; i++)
    if (!S_is_token_char (text.data[i]))
      return FALSE;
  return text.len > 0;
}

gboolean
mr_http_is_field_value (MrText text)
{
  for (gsize i = 0; i < text.len; i++)
    if (!S_is_value_char (text.data[i]))
      return FALSE;
  return TRUE;
}

/* Lines of a head. */

/* Removes the text up to @separator, and the separator, from @rest and returns it; FALSE if there
 * is no separator. */
static gboolean
S_take_until (MrText *rest, char separator, MrText *part)
{
  const char *at = memchr (rest->data, separator, rest->len);
  if (!at)
    return FALSE;
  *part = (MrText){ .data = rest->data, .len = (gsize) (at - rest->data) };
  rest->len -= part->len + 1;
  rest->data = at + 1;
  return TRUE;
}

/* Removes the first line, without its end, from @head. */
static MrText
S_take_line (MrText *head)
{
  MrText line = *head;
  if (!S_take_until (head, '\n', &line))
    head->len = 0;
  if (line.len > 0 && line.data[line.len - 1] == '\r')
    line.len--;
  return line;
}

static gboolean
S_is_version (MrText text)
{
  const gsize prefix = sizeof version_prefix - 1;
  return text.len == prefix + 1 && memcmp (text.data, version_prefix, prefix) == 0 &&
         g_ascii_isdigit (text.data[prefix]);
}

static gboolean
S_is_target (MrText text)
{
  for (gsize i = 0; i < text.len; i++)
    if (!S_is_visible (text.data[i]))
      return FALSE;
  return text.len > 0;
}

static gboolean
S_is_status (MrText text)
{
  guint64 status = 0;
  return text.len == STATUS_DIGITS && mr_text_parse_u64 (text, &status) && status >= STATUS_MIN &&
         status <= STATUS_MAX && status != SWITCHING_PROTOCOLS;
}

static const char *
S_find_request_line_error (MrText line)
{
  MrText method;
  MrText target;
  if (!S_take_until (&line, ' ', &method) || !mr_http_is_token (method))
    return "invalid method";
  if (!S_take_until (&line, ' ', &target) || !S_is_target (target))
    return "invalid request target";
  return S_is_version (line) ? NULL : "unknown version";
}

static const char *
S_find_status_line_error (MrText line)
{
  MrText version;
  MrText status = { 0 };
  MrText reason = { 0 };
  if (!S_take_until (&line, ' ', &version) || !S_is_version (version))
    return "unknown version";
  if (S_take_until (&line, ' ', &status))
    reason = line;
  else
    status = line;
  if (!S_is_status (status))
    return "invalid status";
  return mr_http_is_field_value (reason) ? NULL : "invalid reason";
}

static const char *
S_find_field_error (MrText line)
{
  MrText name;
  if (!S_take_until (&line, ':', &name) || !mr_http_is_token (name))
    return "invalid field name";
  return mr_http_is_field_value (line) ? NULL : "invalid field value";
}

static const char *
S_find_fields_error (MrText head)
{
  for (MrText line = S_take_line (&head); line.len > 0; line = S_take_line (&head))
    {
      const char *error = S_find_field_error (line);
      if (error)
        return error;
    }
  return NULL;
}

const char *
mr_http_find_request_error (MrText head)
{
  const char *error = S_find_request_line_error (S_take_line (&head));
  return error ? error : S_find_fields_error (head);
}

const char *
mr_http_find_response_error (MrText head)
{
  const char *error = S_find_status_line_error (S_take_line (&head));
  return error ? error : S_find_fields_error (head);
}

/* Chunks. */

typedef enum
{
  CHUNK_SIZE,
  CHUNK_EXTENSION,
  CHUNK_SIZE_END, /* after CR */
  CHUNK_DATA,
  CHUNK_DATA_CR,
  CHUNK_DATA_LF,
  TRAILER_BEGIN, /* of a line */
  TRAILER_NAME,
  TRAILER_VALUE,
  TRAILER_END, /* after CR */
  BODY_END,    /* after the CR of the empty line */
  BODY_COMPLETE,
} ChunkState;

/* Returns the state after @c in the line with the size of a chunk; -1 if @c is wrong there. */
static int
S_next_in_size (MrHttpChunks *chunks, char c)
{
  int digit = g_ascii_xdigit_value (c);
  if (chunks->state == CHUNK_SIZE_END)
    {
      if (c != '\n')
        return -1;
      return chunks->remaining > 0 ? CHUNK_DATA : TRAILER_BEGIN;
    }
  if (c == '\r' && chunks->digits > 0)
    return CHUNK_SIZE_END;
  if (chunks->state == CHUNK_EXTENSION)
    return S_is_value_char (c) ? CHUNK_EXTENSION : -1;
  if (c == ';' && chunks->digits > 0)
    return CHUNK_EXTENSION;
  if (digit < 0 || chunks->digits >= SIZE_DIGITS_MAX)
    return -1;
  chunks->digits++;
  chunks->remaining = chunks->remaining << 4 | (guint) digit;
  return CHUNK_SIZE;
}

static int
S_next_after_data (MrHttpChunks *chunks, char c)
{
  if (chunks->state == CHUNK_DATA_CR)
    return c == '\r' ? CHUNK_DATA_LF : -1;
  chunks->digits = 0;
  return c == '\n' ? CHUNK_SIZE : -1;
}

static int
S_next_in_trailer (const MrHttpChunks *chunks, char c)
{
  switch (chunks->state)
    {
    case TRAILER_BEGIN:
      if (c == '\r')
        return BODY_END;
      return S_is_token_char (c) ? TRAILER_NAME : -1;
    case TRAILER_NAME:
      if (c == ':')
        return TRAILER_VALUE;
      return S_is_token_char (c) ? TRAILER_NAME : -1;
    case TRAILER_VALUE:
      if (c == '\r')
        return TRAILER_END;
      return S_is_value_char (c) ? TRAILER_VALUE : -1;
    case TRAILER_END:
      return c == '\n' ? TRAILER_BEGIN : -1;
    default:
      return c == '\n' ? BODY_COMPLETE : -1;
    }
}

gsize
mr_http_chunks_check (MrHttpChunks *chunks, MrText bytes, const char **error)
{
  gsize at = 0;
  *error = NULL;
  while (at < bytes.len && chunks->state != BODY_COMPLETE)
    {
      if (chunks->state == CHUNK_DATA)
        {
          gsize len = (gsize) MIN (bytes.len - at, chunks->remaining);
          at += len;
          chunks->remaining -= len;
          if (chunks->remaining == 0)
            chunks->state = CHUNK_DATA_CR;
          continue;
        }
      int next = -1;
      if (chunks->state < CHUNK_DATA)
        next = S_next_in_size (chunks, bytes.data[at]);
      else if (chunks->state < TRAILER_BEGIN)
        next = S_next_after_data (chunks, bytes.data[at]);
      else
        next = S_next_in_trailer (chunks, bytes.data[at]);
      if (next < 0)
        {
          *error = chunks->state < CHUNK_DATA      ? "invalid size of a chunk"
                   : chunks->state < TRAILER_BEGIN ? "invalid end of a chunk"
                                                   : "invalid trailer";
          return at;
        }
      chunks->state = (guint) next;
      at++;
    }
  return at;
}
