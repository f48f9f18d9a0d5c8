/* HTTP/1.1 messages from bytes, by http-parser, with the framing checks that
 * keep one message from hiding in another.
 *
 * A parser reads one message at a time and stops exactly at its end, so that
 * bytes behind it are seen as what they are.  Heads are refused that two
 * readers could frame differently: bare line feeds, folded lines, two lengths,
 * a length beside chunks. */
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
  MR_HTTP_IDLE,           /* no byte of a message yet */
  MR_HTTP_HEAD,           /* in the head */
  MR_HTTP_BODY,           /* head known, body not whole */
  MR_HTTP_DONE,           /* a whole message */
  MR_HTTP_MALFORMED,      /* not HTTP, or ambiguous */
  MR_HTTP_HEAD_TOO_LARGE, /* over the limit for heads */
  MR_HTTP_BODY_TOO_LARGE,
} MrHttpState;

/* Bytes; 0 means no limit. */
typedef struct
{
  gsize max_head_bytes;
  gsize max_body_bytes;
} MrHttpLimits;

typedef struct
{
  MrText name;
  MrText value;
} MrHttpField;

MrHttpParser *mr_http_parser_new (MrHttpKind kind);
void mr_http_parser_free (MrHttpParser *parser);
void mr_http_parser_set_limits (MrHttpParser *parser, MrHttpLimits limits);

/* Forgets the message; the next byte starts another. */
void mr_http_parser_reset (MrHttpParser *parser);

/* The next response answers HEAD: it has no body whatever its head says. */
void mr_http_parser_set_bodiless (MrHttpParser *parser, gboolean bodiless);

/* Returns how many bytes belong to the message; fewer than all only at its end
 * or at an error. */
gsize mr_http_parser_feed (MrHttpParser *parser, MrText bytes);

/* The peer ended the connection in order: completes a body that runs to the
 * end of its connection, and nothing else. */
void mr_http_parser_finish (MrHttpParser *parser);

MrHttpState mr_http_parser_state (const MrHttpParser *parser);

/* Of a message whose head is known; texts are borrowed until the reset. */
MrText mr_http_parser_method (const MrHttpParser *parser);
MrText mr_http_parser_target (const MrHttpParser *parser);
int mr_http_parser_status (const MrHttpParser *parser);
MrText mr_http_parser_body (const MrHttpParser *parser);
guint mr_http_parser_field_count (const MrHttpParser *parser);
MrHttpField mr_http_parser_field (const MrHttpParser *parser, guint index);

/* First field of that name; @count, which may be NULL, gets how many there are. */
MrText mr_http_parser_find_field (const MrHttpParser *parser, const char *name, guint *count);

/* FALSE if the connection ends with this message. */
gboolean mr_http_parser_keep_alive (const MrHttpParser *parser);
gboolean mr_http_parser_expects_continue (const MrHttpParser *parser);

/* TRUE for fields that concern one connection or the framing only, and are not
 * passed on; those that the message's own Connection field names are among
 * them. */
gboolean mr_http_parser_is_hop_by_hop (const MrHttpParser *parser, MrText name);

gboolean mr_text_equal_nocase (MrText a, const char *b);
