/* Grammar of HTTP/1.1 messages: RFC 9112, with the names and values of RFC 9110.
 *
 * http-parser accepts more than that: any three digits or fewer as a status, any version, control
 * characters in a reason or value, and any two bytes as the end of a chunk.  Two implementations
 * may read such a message differently, so it is refused here before it is used.  Accepted are
 *
 *   request line   token, visible characters or bytes above 127, "HTTP/1." and a digit, each after
 *                  one space (RFC 9112, 3)
 *   status line    "HTTP/1." and a digit, a space, a status from 100 to 599 other than 101; a space
 *                  and a reason may follow (RFC 9112, 4; RFC 9110, 15)
 *   field line     token, colon, value (RFC 9112, 5; RFC 9110, 5.1 and 5.5)
 *   chunk          hexadecimal size, extensions after a semicolon, CR LF, data, CR LF
 *                  (RFC 9112, 7.1)
 *   trailers       field lines up to an empty line (RFC 9112, 7.1.2)
 *
 * where a reason, a value and an extension consist of visible characters, spaces, tabs and bytes
 * above 127.  A protocol is never switched (101), because no request asks for it.  The order,
 * number and meaning of fields are checked elsewhere (http_message.h). */
#pragma once

#include "text.h"

gboolean mr_http_is_token (MrText text);
/* TRUE for a field value, also an empty one. */
gboolean mr_http_is_field_value (MrText text);

/* Returns what is wrong with a complete head, whose lines end with CR LF, including the empty one;
 * NULL if nothing is. */
const char *mr_http_find_request_error (MrText head);
const char *mr_http_find_response_error (MrText head);

/* Progress within a body in chunks; all zero: before the first chunk. */
typedef struct
{
  guint state;
  guint digits;      /* of the current size */
  guint64 remaining; /* bytes of the current chunk that are to come */
} MrHttpChunks;

/* Checks the next bytes of a body in chunks, up to its end.  Returns how many belong to it; @error
 * is set if the byte after them is wrong, and NULL otherwise. */
gsize mr_http_chunks_check (MrHttpChunks *chunks, MrText bytes, const char **error);
