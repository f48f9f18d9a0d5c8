#include "http_message.h"

#include <http_parser.h>

enum
{
  /* A head without a limit of its own still ends somewhere. */
  HEAD_MAX = 80 * 1024,
};

/* Places in `head`. */
typedef struct
{
  gsize name;
  gsize name_len;
  gsize value;
  gsize value_len;
} Field;

struct _MrHttpParser
{
  http_parser parser;
  MrHttpKind kind;
  MrHttpState state;
  MrHttpLimits limits;
  gboolean bodiless;
  GString *head;  /* raw, up to the empty line */
  GArray *fields; /* Field */
  gsize target;
  gsize target_len;
  GString *body;
};

gboolean
mr_text_equal_nocase (MrText a, const char *b)
{
  return a.len == strlen (b) && g_ascii_strncasecmp (a.data, b, a.len) == 0;
}

/* Callbacks of http-parser.  The head is parsed out of `head` in one piece, so
 * each value comes whole and its place is its offset there. */

static int
S_on_url (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  p->target = (gsize) (at - p->head->str);
  p->target_len = len;
  return 0;
}

static int
S_on_field (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->state != MR_HTTP_HEAD)
    return 0; /* a trailer */
  Field field = { .name = (gsize) (at - p->head->str), .name_len = len };
  g_array_append_val (p->fields, field);
  return 0;
}

static int
S_on_value (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->state != MR_HTTP_HEAD || p->fields->len == 0)
    return 0;
  Field *field = &g_array_index (p->fields, Field, p->fields->len - 1);
  while (len > 0 && g_ascii_isspace (at[len - 1]))
    len--;
  field->value = (gsize) (at - p->head->str);
  field->value_len = len;
  return 0;
}

static int
S_on_head_done (http_parser *parser)
{
  const MrHttpParser *p = parser->data;
  const int no_body = 1;
  return p->bodiless ? no_body : 0;
}

static int
S_on_body (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->limits.max_body_bytes > 0 && p->body->len + len > p->limits.max_body_bytes)
    {
      p->state = MR_HTTP_BODY_TOO_LARGE;
      return 1;
    }
  g_string_append_len (p->body, at, (gssize) len);
  return 0;
}

static int
S_on_done (http_parser *parser)
{
  MrHttpParser *p = parser->data;
  p->state = MR_HTTP_DONE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = S_on_url,
  .on_header_field = S_on_field,
  .on_header_value = S_on_value,
  .on_headers_complete = S_on_head_done,
  .on_body = S_on_body,
  .on_message_complete = S_on_done,
};

MrHttpParser *
mr_http_parser_new (MrHttpKind kind)
{
  MrHttpParser *p = g_new0 (MrHttpParser, 1);
  p->kind = kind;
  p->head = g_string_new (NULL);
  p->body = g_string_new (NULL);
  p->fields = g_array_new (FALSE, FALSE, sizeof (Field));
  mr_http_parser_reset (p);
  return p;
}

void
mr_http_parser_free (MrHttpParser *p)
{
  if (!p)
    return;
  g_string_free (p->head, TRUE);
  g_string_free (p->body, TRUE);
  g_array_unref (p->fields);
  g_free (p);
}

void
mr_http_parser_set_limits (MrHttpParser *p, MrHttpLimits limits)
{
  p->limits = limits;
}

void
mr_http_parser_set_bodiless (MrHttpParser *p, gboolean bodiless)
{
  p->bodiless = bodiless;
}

void
mr_http_parser_reset (MrHttpParser *p)
{
  http_parser_init (&p->parser, p->kind == MR_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  p->parser.data = p;
  p->state = MR_HTTP_IDLE;
  p->bodiless = FALSE;
  p->target = 0;
  p->target_len = 0;
  g_string_truncate (p->head, 0);
  g_string_truncate (p->body, 0);
  g_array_set_size (p->fields, 0);
}

/* The head. */

/* Appends bytes up to the end of the head; FALSE on a byte that no head holds.
 * A line feed without its carriage return ends a line for some readers only:
 * what one takes for a header another takes for the start of a request. */
static gboolean
S_take_head (MrHttpParser *p, MrText bytes, gsize *taken, gboolean *whole)
{
  GString *head = p->head;
  for (*taken = 0; *taken < bytes.len && !*whole;)
    {
      char c = bytes.data[(*taken)++];
      gboolean after_return = head->len > 0 && head->str[head->len - 1] == '\r';
      if (c == '\0' || (c == '\n') != after_return)
        return FALSE;
      g_string_append_c (head, c);
      *whole =
          c == '\n' && (head->len == 2 || (head->len >= 4 && head->str[head->len - 3] == '\n'));
      if (head->len == 2 && *whole)
        {
          /* An empty line before a message is passed over. */
          g_string_truncate (head, 0);
          *whole = FALSE;
        }
    }
  return TRUE;
}

static gboolean
S_has_folded_line (const GString *head)
{
  return strstr (head->str, "\n ") != NULL || strstr (head->str, "\n\t") != NULL;
}

/* http-parser takes "Content-Length : 5" for a field of another name, which
 * others may read as the length. */
static gboolean
S_names_are_plain (const MrHttpParser *p)
{
  for (guint i = 0; i < p->fields->len; i++)
    {
      MrText name = mr_http_parser_field (p, i).name;
      if (memchr (name.data, ' ', name.len) || memchr (name.data, '\t', name.len))
        return FALSE;
    }
  return TRUE;
}

static gboolean
S_all_digits (MrText text)
{
  for (gsize i = 0; i < text.len; i++)
    if (!g_ascii_isdigit (text.data[i]))
      return FALSE;
  return text.len > 0;
}

/* Exactly one reading of where the body ends. */
static gboolean
S_framing_is_plain (const MrHttpParser *p)
{
  guint lengths = 0;
  guint codings = 0;
  MrText length = mr_http_parser_find_field (p, "Content-Length", &lengths);
  MrText coding = mr_http_parser_find_field (p, "Transfer-Encoding", &codings);
  if (!S_names_are_plain (p) || lengths > 1 || codings > 1 || (lengths > 0 && codings > 0))
    return FALSE;
  if (lengths == 1 && !S_all_digits (length))
    return FALSE;
  return codings == 0 || mr_text_equal_nocase (coding, "chunked");
}

static gboolean
S_request_is_plain (const MrHttpParser *p)
{
  guint hosts = 0;
  mr_http_parser_find_field (p, "Host", &hosts);
  MrText target = mr_http_parser_target (p);
  return hosts == 1 && target.len > 0 && target.data[0] == '/' && p->parser.method != HTTP_CONNECT;
}

/* Parses the whole head that stands in `head`. */
static void
S_parse_head (MrHttpParser *p)
{
  p->state = MR_HTTP_HEAD;
  if (S_has_folded_line (p->head))
    {
      p->state = MR_HTTP_MALFORMED;
      return;
    }
  gsize used = http_parser_execute (&p->parser, &callbacks, p->head->str, p->head->len);
  enum http_errno error = HTTP_PARSER_ERRNO (&p->parser);
  if ((error != HPE_OK && error != HPE_PAUSED) || used < p->head->len - 1 ||
      !S_framing_is_plain (p) || (p->kind == MR_HTTP_REQUEST && !S_request_is_plain (p)))
    {
      p->state = MR_HTTP_MALFORMED;
      return;
    }
  if (p->limits.max_body_bytes > 0 && p->parser.content_length != G_MAXUINT64 &&
      p->parser.content_length > p->limits.max_body_bytes)
    p->state = MR_HTTP_BODY_TOO_LARGE;
  else if (p->state == MR_HTTP_HEAD)
    p->state = MR_HTTP_BODY;
}

/* An interim response (1xx) comes before the one that counts. */
static gboolean
S_is_interim (const MrHttpParser *p)
{
  return p->kind == MR_HTTP_RESPONSE && p->state == MR_HTTP_DONE && p->parser.status_code < 200;
}

static gsize
S_feed_head (MrHttpParser *p, MrText bytes)
{
  gsize taken = 0;
  gboolean whole = FALSE;
  gsize most = p->limits.max_head_bytes > 0 ? p->limits.max_head_bytes : HEAD_MAX;
  p->state = MR_HTTP_HEAD;
  if (!S_take_head (p, bytes, &taken, &whole))
    p->state = MR_HTTP_MALFORMED;
  else if (p->head->len > most)
    p->state = MR_HTTP_HEAD_TOO_LARGE;
  else if (whole)
    S_parse_head (p);
  else if (p->head->len == 0)
    p->state = MR_HTTP_IDLE;
  if (S_is_interim (p))
    {
      gboolean bodiless = p->bodiless;
      mr_http_parser_reset (p);
      p->bodiless = bodiless;
    }
  return taken;
}

static gsize
S_feed_body (MrHttpParser *p, MrText bytes)
{
  gsize used = http_parser_execute (&p->parser, &callbacks, bytes.data, bytes.len);
  enum http_errno error = HTTP_PARSER_ERRNO (&p->parser);
  if (p->state == MR_HTTP_BODY && error != HPE_OK)
    p->state = MR_HTTP_MALFORMED;
  return used;
}

gsize
mr_http_parser_feed (MrHttpParser *p, MrText bytes)
{
  gsize used = 0;
  while (used < bytes.len && p->state < MR_HTTP_DONE)
    {
      MrText rest = { .data = bytes.data + used, .len = bytes.len - used };
      used += p->state == MR_HTTP_BODY ? S_feed_body (p, rest) : S_feed_head (p, rest);
    }
  return used;
}

void
mr_http_parser_finish (MrHttpParser *p)
{
  /* No bytes at all tell http-parser that the connection has ended. */
  if (p->state == MR_HTTP_BODY)
    http_parser_execute (&p->parser, &callbacks, NULL, 0);
}

MrHttpState
mr_http_parser_state (const MrHttpParser *p)
{
  return p->state;
}

MrText
mr_http_parser_method (const MrHttpParser *p)
{
  return mr_text (http_method_str ((enum http_method) p->parser.method));
}

MrText
mr_http_parser_target (const MrHttpParser *p)
{
  return (MrText){ .data = p->head->str + p->target, .len = p->target_len };
}

int
mr_http_parser_status (const MrHttpParser *p)
{
  return p->parser.status_code;
}

MrText
mr_http_parser_body (const MrHttpParser *p)
{
  return mr_text_of (p->body);
}

guint
mr_http_parser_field_count (const MrHttpParser *p)
{
  return p->fields->len;
}

MrHttpField
mr_http_parser_field (const MrHttpParser *p, guint index)
{
  const Field *field = &g_array_index (p->fields, Field, index);
  return (MrHttpField){
    .name = { .data = p->head->str + field->name, .len = field->name_len },
    .value = { .data = p->head->str + field->value, .len = field->value_len },
  };
}

MrText
mr_http_parser_find_field (const MrHttpParser *p, const char *name, guint *count)
{
  MrText first = { 0 };
  guint found = 0;
  for (guint i = 0; i < p->fields->len; i++)
    {
      MrHttpField field = mr_http_parser_field (p, i);
      if (!mr_text_equal_nocase (field.name, name))
        continue;
      if (found++ == 0)
        first = field.value;
    }
  if (count)
    *count = found;
  return first;
}

gboolean
mr_http_parser_keep_alive (const MrHttpParser *p)
{
  return http_should_keep_alive (&p->parser) != 0;
}

gboolean
mr_http_parser_expects_continue (const MrHttpParser *p)
{
  return mr_text_equal_nocase (mr_http_parser_find_field (p, "Expect", NULL), "100-continue");
}

static gboolean
S_list_has (MrText list, MrText name)
{
  g_autofree char *copy = mr_text_dup (list);
  g_auto (GStrv) words = g_strsplit (copy, ",", -1);
  for (char **word = words; *word; word++)
    {
      MrText stripped = mr_text (g_strstrip (*word));
      if (stripped.len == name.len && g_ascii_strncasecmp (stripped.data, name.data, name.len) == 0)
        return TRUE;
    }
  return FALSE;
}

gboolean
mr_http_parser_is_hop_by_hop (const MrHttpParser *p, MrText name)
{
  static const char *const names[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "Content-Length",
    "TE",
    "Trailer",
    "Upgrade",
    "Expect",
    "Proxy-Authenticate",
    "Proxy-Authorization",
  };
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    if (mr_text_equal_nocase (name, names[i]))
      return TRUE;
  MrText connection = mr_http_parser_find_field (p, "Connection", NULL);
  if (connection.len == 0 || mr_text_equal_nocase (connection, "keep-alive") ||
      mr_text_equal_nocase (connection, "close"))
    return FALSE;
  return S_list_has (connection, name);
}
