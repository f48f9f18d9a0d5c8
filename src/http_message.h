/* Parser for HTTP/1.1 messages on top of http-parser, with the grammar of http_grammar.h and strict
 * framing checks against request smuggling.
 *
 * A parser reads one message at a time and stops exactly at its end, so that the bytes after it are
 * not mistaken for a part of it.  A head that two implementations could frame differently is
 * rejected: bare line feeds, folded lines, more than one length, a length together with a transfer
 * coding, either of them in an interim response, a transfer coding in HTTP/1.0.  A response with
 * status 204 or 304 ends with its head. */
#pragma once

#include "text.h"

typedef struct _MrHttpParser MrHttpParser;

typedef enum
{
  MR_HTTP_REQUEST,
  MR_HTTP_RESPONSE,
} MrHttpKind;

typedef enum
{
  MR_HTTP_IDLE,           /* no byte of a message received */
  MR_HTTP_HEAD,           /* head not complete */
  MR_HTTP_BODY,           /* head complete, body not */
  MR_HTTP_DONE,           /* message complete */
  MR_HTTP_MALFORMED,      /* not HTTP, or framing ambiguous */
  MR_HTTP_HEAD_TOO_LARGE, /* head over the limit */
  MR_HTTP_BODY_TOO_LARGE,
  MR_HTTP_OVERHEAD_TOO_LARGE,
} MrHttpState;

/* 0 means no limit for a body and for the overhead, and 80 KiB for a head.  The overhead is what
 * belongs neither to the head nor to the body: empty lines before the message, interim responses,
 * skipped messages, the framing and extensions of chunks, and trailer fields. */
typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
  gsize max_overhead_bytes;
} MrHttpLimits;

typedef struct
{
  MrText name;
  MrText value;
} MrHttpField;

MrHttpParser *mr_http_parser_new (MrHttpKind kind);
void mr_http_parser_free (MrHttpParser *parser);
void mr_http_parser_set_limits (MrHttpParser *parser, MrHttpLimits limits);

/* Discards the current message; the next byte starts a new one. */
void mr_http_parser_reset (MrHttpParser *parser);

/* Discards the complete message, whose bytes are overhead of the next one, as bodiless as this one
 * was. */
void mr_http_parser_skip (MrHttpParser *parser);

/* The next response answers a HEAD request: it has no body, even if its head announces one. */
void mr_http_parser_set_bodiless (MrHttpParser *parser, gboolean bodiless);

/* Returns how many of @bytes were consumed; fewer than all only at the end of the message or on an
 * error. */
gsize mr_http_parser_feed (MrHttpParser *parser, MrText bytes);

/* To be called when the peer has closed the connection in order.  Completes a body that is
 * delimited by the end of the connection; any other incomplete body is malformed. */
void mr_http_parser_finish (MrHttpParser *parser);

MrHttpState mr_http_parser_state (const MrHttpParser *parser);
/* What is wrong with a malformed message; static. */
const char *mr_http_parser_error (const MrHttpParser *parser);

/* Memory that the parser has allocated for the message, and the most that it will have after it was
 * fed @count more bytes.  A body grows by a quarter, at most to its limit. */
gsize mr_http_parser_memory (const MrHttpParser *parser);
gsize mr_http_parser_memory_after (const MrHttpParser *parser, gsize count);

/* Counts the memory of the parser in @account, allocated by g_rc_box_new (), until it is freed. */
void mr_http_parser_set_account (MrHttpParser *parser, gsize *account);

/* Valid once the head is complete; texts are borrowed until the next reset. */
MrText mr_http_parser_method (const MrHttpParser *parser);
MrText mr_http_parser_target (const MrHttpParser *parser);
int mr_http_parser_status (const MrHttpParser *parser);
MrText mr_http_parser_body (const MrHttpParser *parser);
guint mr_http_parser_field_count (const MrHttpParser *parser);
MrHttpField mr_http_parser_field (const MrHttpParser *parser, guint index);

/* Value of the first field @name; empty if there is none.  @count, which may be NULL, receives the
 * number of such fields. */
MrText mr_http_parser_find_field (const MrHttpParser *parser, const char *name, guint *count);

/* FALSE if the connection is closed after this message. */
gboolean mr_http_parser_keep_alive (const MrHttpParser *parser);
/* TRUE if the sender waits for "100 Continue" before it sends the body. */
gboolean mr_http_parser_expects_continue (const MrHttpParser *parser);

/* TRUE for hop-by-hop fields, which a proxy does not forward: fields that concern only one
 * connection or the framing, and those listed in the Connection field of the message. */
gboolean mr_http_parser_is_hop_by_hop (const MrHttpParser *parser, MrText name);

/* Compares without regard to ASCII case. */
gboolean mr_text_equal_nocase (MrText a, const char *b);
