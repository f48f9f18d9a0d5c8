#include "http_message.h"

#include "buffer.h"
#include "http_grammar.h"
#include <http_parser.h>

enum
{
  /* Applies if the caller sets no limit for heads. */
  DEFAULT_MAX_HEAD_BYTES = 80 * 1024,
  /* A larger allocation of a body is not kept for the next message. */
  KEPT_BODY_ALLOCATION = 64 * 1024,
  NO_CONTENT = 204,
  NOT_MODIFIED = 304,
  MIN_FIELD_BYTES = 4, /* of a field in a head: a name, a colon and the end of the line */
};

/* Offsets into `head`. */
typedef struct
{
  gsize name;
  gsize name_len;
  gsize value;
  gsize value_len;
} FieldRange;

struct _MrHttpParser
{
  http_parser parser;
  MrHttpKind kind;
  MrHttpState state;
  MrHttpLimits limits;
  gboolean bodiless;
  const char *error; /* what is wrong with the message; NULL: nothing was found */
  MrHttpChunks chunks;
  GString *head;  /* raw bytes up to and including the empty line */
  GArray *fields; /* FieldRange */
  gsize target;
  gsize target_len;
  MrBuffer body;
  gsize *account;   /* NULL: none */
  gsize counted;    /* memory of this parser that the account includes */
  guint64 received; /* bytes consumed since the last reset */
};

gboolean
mr_text_equal_nocase (MrText a, const char *b)
{
  return a.len == strlen (b) && g_ascii_strncasecmp (a.data, b, a.len) == 0;
}

/* Callbacks of http-parser.  The head is parsed from `head` in one call, so that each callback
 * receives a complete value, which is stored as its offset in `head`. */

static int
S_on_url (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  p->target = (gsize) (at - p->head->str);
  p->target_len = len;
  return 0;
}

static int
S_on_field_name (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->state != MR_HTTP_HEAD)
    return 0; /* a trailer field */
  FieldRange field = { .name = (gsize) (at - p->head->str), .name_len = len };
  g_array_append_val (p->fields, field);
  return 0;
}

static int
S_on_field_value (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->state != MR_HTTP_HEAD || p->fields->len == 0)
    return 0;
  FieldRange *field = &g_array_index (p->fields, FieldRange, p->fields->len - 1);
  while (len > 0 && g_ascii_isspace (at[len - 1]))
    len--;
  field->value = (gsize) (at - p->head->str);
  field->value_len = len;
  return 0;
}

/* TRUE for a response that ends with its head, whatever that announces (RFC 9112, 6.3). */
static gboolean
S_ends_with_head (const MrHttpParser *p)
{
  int status = p->parser.status_code;
  return p->bodiless || (p->kind == MR_HTTP_RESPONSE &&
                         (status < 200 || status == NO_CONTENT || status == NOT_MODIFIED));
}

static int
S_on_headers_complete (http_parser *parser)
{
  const int no_body = 1;
  return S_ends_with_head (parser->data) ? no_body : 0;
}

static int
S_on_body (http_parser *parser, const char *at, size_t len)
{
  MrHttpParser *p = parser->data;
  if (p->limits.max_body_bytes > 0 && p->body.len + len > p->limits.max_body_bytes)
    {
      p->state = MR_HTTP_BODY_TOO_LARGE;
      return 1;
    }
  mr_buffer_append (&p->body, (MrText){ .data = at, .len = len }, p->limits.max_body_bytes);
  return 0;
}

static int
S_on_message_complete (http_parser *parser)
{
  MrHttpParser *p = parser->data;
  p->state = MR_HTTP_DONE;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_url = S_on_url,
  .on_header_field = S_on_field_name,
  .on_header_value = S_on_field_value,
  .on_headers_complete = S_on_headers_complete,
  .on_body = S_on_body,
  .on_message_complete = S_on_message_complete,
};

MrHttpParser *
mr_http_parser_new (MrHttpKind kind)
{
  MrHttpParser *p = g_new0 (MrHttpParser, 1);
  p->kind = kind;
  p->head = g_string_new (NULL);
  p->fields = g_array_new (FALSE, FALSE, sizeof (FieldRange));
  mr_http_parser_reset (p);
  return p;
}

static void
S_count_memory (MrHttpParser *p, gsize memory)
{
  if (!p->account)
    return;
  *p->account += memory - p->counted;
  p->counted = memory;
}

void
mr_http_parser_set_account (MrHttpParser *p, gsize *account)
{
  p->account = g_rc_box_acquire (account);
  S_count_memory (p, mr_http_parser_memory (p));
}

void
mr_http_parser_free (MrHttpParser *p)
{
  if (!p)
    return;
  S_count_memory (p, 0);
  if (p->account)
    g_rc_box_release (p->account);
  g_string_free (p->head, TRUE);
  mr_buffer_clear (&p->body);
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

static void
S_discard_message (MrHttpParser *p)
{
  http_parser_init (&p->parser, p->kind == MR_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
  p->parser.data = p;
  p->state = MR_HTTP_IDLE;
  p->error = NULL;
  p->chunks = (MrHttpChunks){ 0 };
  p->target = 0;
  p->target_len = 0;
  g_string_truncate (p->head, 0);
  p->body.len = 0;
  if (p->body.allocated > KEPT_BODY_ALLOCATION)
    mr_buffer_clear (&p->body);
  g_array_set_size (p->fields, 0);
  S_count_memory (p, mr_http_parser_memory (p));
}

void
mr_http_parser_reset (MrHttpParser *p)
{
  S_discard_message (p);
  p->bodiless = FALSE;
  p->received = 0;
}

static void
S_check_overhead (MrHttpParser *p)
{
  guint64 overhead = p->received - p->head->len - p->body.len;
  if (p->limits.max_overhead_bytes > 0 && overhead > p->limits.max_overhead_bytes &&
      p->state <= MR_HTTP_DONE)
    p->state = MR_HTTP_OVERHEAD_TOO_LARGE;
}

void
mr_http_parser_skip (MrHttpParser *p)
{
  S_discard_message (p);
  S_check_overhead (p);
}

/* Appends bytes to the head up to its end; FALSE on a byte that is not allowed in a head.  Only
 * some implementations accept a line feed without a carriage return as the end of a line, so that
 * what one reads as a header field, another reads as the start of a request. */
static gboolean
S_append_head (MrHttpParser *p, MrText bytes, gsize *consumed, gboolean *complete)
{
  GString *head = p->head;
  for (*consumed = 0; *consumed < bytes.len && !*complete;)
    {
      char c = bytes.data[(*consumed)++];
      gboolean after_cr = head->len > 0 && head->str[head->len - 1] == '\r';
      if (c == '\0' || (c == '\n') != after_cr)
        return FALSE;
      g_string_append_c (head, c);
      *complete =
          c == '\n' && (head->len == 2 || (head->len >= 4 && head->str[head->len - 3] == '\n'));
      if (head->len == 2 && *complete)
        {
          /* Skips an empty line before the message. */
          g_string_truncate (head, 0);
          *complete = FALSE;
        }
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

/* TRUE if the head determines the end of the body in exactly one way. */
static gboolean
S_framing_is_unambiguous (const MrHttpParser *p)
{
  gboolean interim = p->kind == MR_HTTP_RESPONSE && p->parser.status_code < 200;
  guint length_count = 0;
  guint coding_count = 0;
  MrText length = mr_http_parser_find_field (p, "Content-Length", &length_count);
  MrText coding = mr_http_parser_find_field (p, "Transfer-Encoding", &coding_count);
  if (length_count > 1 || coding_count > 1 || (length_count > 0 && coding_count > 0))
    return FALSE;
  /* An interim response has no body, and HTTP/1.0 has no codings. */
  if ((interim && length_count + coding_count > 0) ||
      (coding_count > 0 && p->parser.http_minor == 0))
    return FALSE;
  if (length_count == 1 && !S_all_digits (length))
    return FALSE;
  return coding_count == 0 || mr_text_equal_nocase (coding, "chunked");
}

static gboolean
S_request_is_acceptable (const MrHttpParser *p)
{
  guint host_count = 0;
  mr_http_parser_find_field (p, "Host", &host_count);
  MrText target = mr_http_parser_target (p);
  return host_count == 1 && target.len > 0 && target.data[0] == '/' &&
         p->parser.method != HTTP_CONNECT;
}

/* Parses the complete head in `head`.  Returns what is wrong with it; NULL if nothing is. */
static const char *
S_parse_head_fields (MrHttpParser *p)
{
  MrText head = mr_text_of (p->head);
  const char *error = p->kind == MR_HTTP_REQUEST ? mr_http_find_request_error (head)
                                                 : mr_http_find_response_error (head);
  if (error)
    return error;
  gsize consumed = http_parser_execute (&p->parser, &callbacks, p->head->str, p->head->len);
  enum http_errno status = HTTP_PARSER_ERRNO (&p->parser);
  if ((status != HPE_OK && status != HPE_PAUSED) || consumed < p->head->len - 1)
    return http_errno_description (status);
  if (!S_framing_is_unambiguous (p))
    return "ambiguous length";
  if (p->kind == MR_HTTP_REQUEST && !S_request_is_acceptable (p))
    return "unacceptable method or target, or not one host";
  return NULL;
}

static void
S_set_malformed (MrHttpParser *p, const char *error)
{
  p->state = MR_HTTP_MALFORMED;
  p->error = error;
}

static void
S_parse_head (MrHttpParser *p)
{
  p->state = MR_HTTP_HEAD;
  const char *error = S_parse_head_fields (p);
  if (error)
    S_set_malformed (p, error);
  else if (p->limits.max_body_bytes > 0 && p->parser.content_length != G_MAXUINT64 &&
           p->parser.content_length > p->limits.max_body_bytes && !S_ends_with_head (p))
    p->state = MR_HTTP_BODY_TOO_LARGE;
  else if (p->state == MR_HTTP_HEAD)
    p->state = MR_HTTP_BODY;
}

/* Interim responses (1xx) precede the final one and are skipped. */
static gboolean
S_is_interim (const MrHttpParser *p)
{
  return p->kind == MR_HTTP_RESPONSE && p->state == MR_HTTP_DONE && p->parser.status_code < 200;
}

static gsize
S_feed_head (MrHttpParser *p, MrText bytes)
{
  gsize consumed = 0;
  gboolean complete = FALSE;
  gsize max_bytes =
      p->limits.max_head_bytes > 0 ? p->limits.max_head_bytes : DEFAULT_MAX_HEAD_BYTES;
  p->state = MR_HTTP_HEAD;
  if (!S_append_head (p, bytes, &consumed, &complete))
    S_set_malformed (p, "invalid end of a line, or NUL, in the head");
  else if (p->head->len > max_bytes)
    p->state = MR_HTTP_HEAD_TOO_LARGE;
  else if (complete)
    S_parse_head (p);
  else if (p->head->len == 0)
    p->state = MR_HTTP_IDLE;
  if (S_is_interim (p))
    S_discard_message (p);
  return consumed;
}

static gsize
S_feed_body (MrHttpParser *p, MrText bytes)
{
  const char *error = NULL;
  if (p->parser.flags & F_CHUNKED)
    bytes.len = mr_http_chunks_check (&p->chunks, bytes, &error);
  gsize consumed = http_parser_execute (&p->parser, &callbacks, bytes.data, bytes.len);
  enum http_errno status = HTTP_PARSER_ERRNO (&p->parser);
  if (p->state == MR_HTTP_BODY && (error || status != HPE_OK))
    S_set_malformed (p, error ? error : http_errno_description (status));
  return consumed;
}

gsize
mr_http_parser_feed (MrHttpParser *p, MrText bytes)
{
  gsize consumed = 0;
  while (consumed < bytes.len && p->state < MR_HTTP_DONE)
    {
      MrText rest = { .data = bytes.data + consumed, .len = bytes.len - consumed };
      gsize used = p->state == MR_HTTP_BODY ? S_feed_body (p, rest) : S_feed_head (p, rest);
      p->received += used;
      consumed += used;
      S_check_overhead (p);
    }
  S_count_memory (p, mr_http_parser_memory (p));
  return consumed;
}

void
mr_http_parser_finish (MrHttpParser *p)
{
  /* Zero bytes tell http-parser that the connection has ended. */
  if (p->state == MR_HTTP_BODY)
    http_parser_execute (&p->parser, &callbacks, NULL, 0);
}

static gsize
S_head_memory (const MrHttpParser *p)
{
  /* A GArray grows by doubling. */
  return p->head->allocated_len + 2 * sizeof (FieldRange) * p->fields->len;
}

gsize
mr_http_parser_memory (const MrHttpParser *p)
{
  return S_head_memory (p) + p->body.allocated;
}

gsize
mr_http_parser_memory_after (const MrHttpParser *p, gsize count)
{
  gsize head = p->state == MR_HTTP_BODY ? 0 : p->head->len + count;
  gsize fields = head / MIN_FIELD_BYTES * sizeof (FieldRange);
  gsize body = mr_buffer_allocation (&p->body, p->body.len + count, p->limits.max_body_bytes);
  return MAX (S_head_memory (p), 2 * (head + fields)) + body;
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

const char *
mr_http_parser_error (const MrHttpParser *p)
{
  return p->error ? p->error : "incomplete";
}

int
mr_http_parser_status (const MrHttpParser *p)
{
  return p->parser.status_code;
}

MrText
mr_http_parser_body (const MrHttpParser *p)
{
  return mr_buffer_text (&p->body);
}

guint
mr_http_parser_field_count (const MrHttpParser *p)
{
  return p->fields->len;
}

MrHttpField
mr_http_parser_field (const MrHttpParser *p, guint index)
{
  const FieldRange *field = &g_array_index (p->fields, FieldRange, index);
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
S_list_contains (MrText list, MrText name)
{
  g_autofree char *copy = mr_text_dup (list);
  g_auto (GStrv) tokens = g_strsplit (copy, ",", -1);
  for (char **token = tokens; *token; token++)
    {
      MrText stripped = mr_text (g_strstrip (*token));
      if (stripped.len == name.len && g_ascii_strncasecmp (stripped.data, name.data, name.len) == 0)
        return TRUE;
    }
  return FALSE;
}

gboolean
mr_http_parser_is_hop_by_hop (const MrHttpParser *p, MrText name)
{
  static const char *const hop_by_hop_fields[] = {
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
  for (gsize i = 0; i < G_N_ELEMENTS (hop_by_hop_fields); i++)
    if (mr_text_equal_nocase (name, hop_by_hop_fields[i]))
      return TRUE;
  MrText connection = mr_http_parser_find_field (p, "Connection", NULL);
  if (connection.len == 0 || mr_text_equal_nocase (connection, "keep-alive") ||
      mr_text_equal_nocase (connection, "close"))
    return FALSE;
  return S_list_contains (connection, name);
}
