/* Tests of the HTTP parser: where a message ends, and which heads are rejected because two
 * implementations could frame them differently (request smuggling). */

#include "http_message.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct
{
  const char *name;
  MrHttpKind kind;
  const char *bytes;
  MrHttpState state;
  const char *body;
  const char *unconsumed; /* input that must not be consumed; NULL: not checked */
} Case;

#define GET "GET /a HTTP/1.1\r\nHost: h\r\n"
#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define INTERIM_25 "HTTP/1.1 100 Continue\r\n\r\n"
#define EMPTY_LINES_22 "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"
#define EMPTY_LINES_66 EMPTY_LINES_22 EMPTY_LINES_22 EMPTY_LINES_22
#define TEXT_64 "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const Case cases[] = {
  { "plain", MR_HTTP_REQUEST, GET "\r\n", MR_HTTP_DONE, "", "" },
  { "body with a length", MR_HTTP_REQUEST, POST "Content-Length: 3\r\n\r\nabc", MR_HTTP_DONE, "abc",
    "" },
  { "chunks", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", MR_HTTP_DONE, "abc",
    "" },
  { "a second request after the first", MR_HTTP_REQUEST, GET "\r\n" GET "\r\n", MR_HTTP_DONE, "",
    GET "\r\n" },
  { "bytes after the chunks", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", MR_HTTP_DONE, "", "GET" },
  { "an empty line before the request", MR_HTTP_REQUEST, "\r\n" GET "\r\n", MR_HTTP_DONE, "", "" },
  { "incomplete head", MR_HTTP_REQUEST, GET, MR_HTTP_HEAD, "", "" },
  { "incomplete body", MR_HTTP_REQUEST, POST "Content-Length: 3\r\n\r\nab", MR_HTTP_BODY, "ab",
    "" },
  { "length and chunked coding", MR_HTTP_REQUEST,
    POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", MR_HTTP_MALFORMED, "",
    NULL },
  { "two lengths", MR_HTTP_REQUEST, POST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    MR_HTTP_MALFORMED, "", NULL },
  { "the same length twice", MR_HTTP_REQUEST,
    POST "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", MR_HTTP_MALFORMED, "", NULL },
  { "signed length", MR_HTTP_REQUEST, POST "Content-Length: +3\r\n\r\nabc", MR_HTTP_MALFORMED, "",
    NULL },
  { "list of lengths", MR_HTTP_REQUEST, POST "Content-Length: 3, 3\r\n\r\nabc", MR_HTTP_MALFORMED,
    "", NULL },
  { "space before the colon", MR_HTTP_REQUEST, POST "Content-Length : 3\r\n\r\nabc",
    MR_HTTP_MALFORMED, "", NULL },
  { "unknown coding", MR_HTTP_REQUEST, POST "Transfer-Encoding: gzip\r\n\r\nabc", MR_HTTP_MALFORMED,
    "", NULL },
  { "chunked is not the last coding", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "chunk size with a prefix", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "chunk longer than its size", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "bare line feed ends a line", MR_HTTP_REQUEST, "GET /a HTTP/1.1\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "bare line feed hides a field", MR_HTTP_REQUEST, GET "A: b\nContent-Length: 3\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "bare carriage return", MR_HTTP_REQUEST, GET "A: b\rC: d\r\n\r\n", MR_HTTP_MALFORMED, "",
    NULL },
  { "folded line", MR_HTTP_REQUEST, GET "A: b\r\n c\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "no host", MR_HTTP_REQUEST, "GET /a HTTP/1.1\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "two hosts", MR_HTTP_REQUEST, GET "Host: i\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "no path", MR_HTTP_REQUEST, "GET a HTTP/1.1\r\nHost: h\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "CONNECT method", MR_HTTP_REQUEST, "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "not HTTP", MR_HTTP_REQUEST, "\x16\x03\x01\x02\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "head over the limit", MR_HTTP_REQUEST,
    GET "A: 0123456789012345678901234567890123456789012345678901234567890123456789\r\n\r\n",
    MR_HTTP_HEAD_TOO_LARGE, "", NULL },
  { "body over the limit", MR_HTTP_REQUEST, POST "Content-Length: 17\r\n\r\n",
    MR_HTTP_BODY_TOO_LARGE, "", NULL },
  { "chunks over the limit", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n1\r\nx\r\n",
    MR_HTTP_BODY_TOO_LARGE, NULL, NULL },

  { "response", MR_HTTP_RESPONSE, OK "Content-Length: 2\r\n\r\nab", MR_HTTP_DONE, "ab", "" },
  { "bytes after a response", MR_HTTP_RESPONSE, OK "Content-Length: 2\r\n\r\nabX", MR_HTTP_DONE,
    "ab", "X" },
  { "truncated response", MR_HTTP_RESPONSE, OK "Content-Length: 3\r\n\r\nab", MR_HTTP_BODY, "ab",
    "" },
  { "response without a length", MR_HTTP_RESPONSE, OK "\r\nab", MR_HTTP_BODY, "ab", "" },
  { "response without content", MR_HTTP_RESPONSE, "HTTP/1.1 204 No Content\r\n\r\n", MR_HTTP_DONE,
    "", "" },
  { "interim response first", MR_HTTP_RESPONSE,
    "HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 1\r\n\r\na", MR_HTTP_DONE, "a", "" },
  { "overhead within the limit", MR_HTTP_RESPONSE,
    "\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" OK "Transfer-Encoding: chunked\r\n\r\n"
    "1;a=b\r\na\r\n0\r\nX-A: b\r\n\r\n",
    MR_HTTP_DONE, "a", "" },
  { "empty lines over the limit", MR_HTTP_RESPONSE, EMPTY_LINES_66 OK "Content-Length: 0\r\n\r\n",
    MR_HTTP_OVERHEAD_TOO_LARGE, "", NULL },
  { "interim responses over the limit", MR_HTTP_RESPONSE,
    INTERIM_25 INTERIM_25 INTERIM_25 OK "Content-Length: 0\r\n\r\n", MR_HTTP_OVERHEAD_TOO_LARGE, "",
    NULL },
  { "chunk extension over the limit", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n1;" TEXT_64 "\r\na\r\n0\r\n\r\n",
    MR_HTTP_OVERHEAD_TOO_LARGE, NULL, NULL },
  { "trailer over the limit", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: " TEXT_64 "\r\n\r\n",
    MR_HTTP_OVERHEAD_TOO_LARGE, NULL, NULL },
  { "response that is not HTTP", MR_HTTP_RESPONSE, "garbage\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },

  /* Guard against messages that another implementation reads differently. */
  { "status 000", MR_HTTP_RESPONSE,
    "HTTP/1.1 000 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status 099", MR_HTTP_RESPONSE,
    "HTTP/1.1 099 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status 600", MR_HTTP_RESPONSE,
    "HTTP/1.1 600 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status 999", MR_HTTP_RESPONSE,
    "HTTP/1.1 999 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status of one digit", MR_HTTP_RESPONSE,
    "HTTP/1.1 2 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status of two digits", MR_HTTP_RESPONSE,
    "HTTP/1.1 20 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status of four digits", MR_HTTP_RESPONSE,
    "HTTP/1.1 2000 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "status with a sign", MR_HTTP_RESPONSE,
    "HTTP/1.1 +20 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "no status", MR_HTTP_RESPONSE,
    "HTTP/1.1  OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "switching protocols", MR_HTTP_RESPONSE,
    "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" OK "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "interim response with a length", MR_HTTP_RESPONSE,
    "HTTP/1.1 100 X\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "interim response in chunks", MR_HTTP_RESPONSE,
    "HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "no content, with a length", MR_HTTP_RESPONSE,
    "HTTP/1.1 204 X\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "", "ab" },
  { "not modified, with a length over the limit", MR_HTTP_RESPONSE,
    "HTTP/1.1 304 X\r\nContent-Length: 900\r\n\r\n", MR_HTTP_DONE, "", "" },
  { "largest status", MR_HTTP_RESPONSE,
    "HTTP/1.1 599 X\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "no reason", MR_HTTP_RESPONSE,
    "HTTP/1.1 200 \r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "no reason and no space", MR_HTTP_RESPONSE,
    "HTTP/1.1 200\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "reason in UTF-8", MR_HTTP_RESPONSE,
    "HTTP/1.1 200 \xc3\xa4\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "version 0.9", MR_HTTP_RESPONSE,
    "HTTP/0.9 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "version 2.0", MR_HTTP_RESPONSE,
    "HTTP/2.0 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "version 3.7", MR_HTTP_RESPONSE,
    "HTTP/3.7 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "version of one number", MR_HTTP_RESPONSE,
    "HTTP/1 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "version in lower case", MR_HTTP_RESPONSE,
    "http/1.1 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "other protocol", MR_HTTP_RESPONSE,
    "ICY 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "later version", MR_HTTP_RESPONSE,
    "HTTP/1.2 200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "two spaces before the status", MR_HTTP_RESPONSE,
    "HTTP/1.1  200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "tab before the status", MR_HTTP_RESPONSE,
    "HTTP/1.1\t200 OK\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "control character in the reason", MR_HTTP_RESPONSE,
    "HTTP/1.1 200 O\x01K\r\n"
    "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "blank in a field name", MR_HTTP_RESPONSE,
    OK "X A: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "blank before the colon", MR_HTTP_RESPONSE,
    OK "X-A : 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "blank before the colon of the length", MR_HTTP_RESPONSE,
    OK "Content-Length : 2\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "tab in a field name", MR_HTTP_RESPONSE,
    OK "X\tA: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "control character in a field name", MR_HTTP_RESPONSE,
    OK "X\001A: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "vertical tab after the name of the length", MR_HTTP_RESPONSE,
    OK "Content-Length\013: 2\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "delete in a field name", MR_HTTP_RESPONSE,
    OK "X\177A: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "byte over 127 in a field name", MR_HTTP_RESPONSE,
    OK "X\xe4: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "delimiter in a field name", MR_HTTP_RESPONSE,
    OK "X(A): 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "empty field name", MR_HTTP_RESPONSE,
    OK ": 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "no colon", MR_HTTP_RESPONSE,
    OK "X-A\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "folded field", MR_HTTP_RESPONSE,
    OK " X-A: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "control character in a value", MR_HTTP_RESPONSE,
    OK "X-A: b\001c\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "delete in a value", MR_HTTP_RESPONSE,
    OK "X-A: b\177c\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_MALFORMED, "", NULL },
  { "tab and bytes over 127 in a value", MR_HTTP_RESPONSE,
    OK "X-A: b\t\xe4\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "all characters of a token", MR_HTTP_RESPONSE,
    OK "!#$%&'*+-.^_`|~9z: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "empty value", MR_HTTP_RESPONSE,
    OK "X-A:\r\n"
       "Content-Length: 2\r\n\r\nab",
    MR_HTTP_DONE, "ab", "" },
  { "coding in HTTP/1.0", MR_HTTP_RESPONSE,
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "chunk that ends with other bytes", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nabXX0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "chunk that ends with a line feed", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "chunk size that ends with a line feed", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "blank after a chunk size", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2 \r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "text after a chunk size", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2 x\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "no chunk size", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "chunk size with a sign", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "+2\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "chunk size over 64 bits", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "10000000000000002\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "only an extension", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       ";a\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "control character in an extension", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2;a\x01\r\nab\r\n0\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "bytes after the last chunk", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\nX\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "line feed after the last chunk", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\n\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "blank in the name of a trailer", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\nX A: 1\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "control character in a trailer", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\nX-A: b\x01\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "trailer without a name", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\n: 1\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "folded trailer", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\nX-A: 1\r\n b\r\n\r\n",
    MR_HTTP_MALFORMED, NULL, NULL },
  { "extension, leading zeros and trailers", MR_HTTP_RESPONSE,
    OK "Transfer-Encoding: chunked\r\n\r\n"
       "002;a=\"b\"\r\nab\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\nX",
    MR_HTTP_DONE, "ab", "X" },
  { "version of a request", MR_HTTP_REQUEST, "GET /a HTTP/3.7\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "tab in a request line", MR_HTTP_REQUEST, "GET\t/a HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "two blanks in a request line", MR_HTTP_REQUEST, "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "blank in a target", MR_HTTP_REQUEST, "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", MR_HTTP_MALFORMED,
    "", NULL },
  { "control character in a target", MR_HTTP_REQUEST, "GET /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "delete in a target", MR_HTTP_REQUEST, "GET /a\x7f HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "method that is no token", MR_HTTP_REQUEST, "GE(T /a HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "no version", MR_HTTP_REQUEST, "GET /a\r\nHost: h\r\n\r\n", MR_HTTP_MALFORMED, "", NULL },
  { "bytes over 127 in a target", MR_HTTP_REQUEST, "GET /\xc3\xa4 HTTP/1.1\r\nHost: h\r\n\r\n",
    MR_HTTP_DONE, "", "" },
  { "control character in a value of a request", MR_HTTP_REQUEST, GET "X-A: b\x01\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "control character in a field name of a request", MR_HTTP_REQUEST, GET "X\x01: b\r\n\r\n",
    MR_HTTP_MALFORMED, "", NULL },
  { "chunk of a request that ends with other bytes", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n", MR_HTTP_MALFORMED, NULL, NULL },
  { "blank in the trailer of a request", MR_HTTP_REQUEST,
    POST "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX A: 1\r\n\r\n", MR_HTTP_MALFORMED, NULL,
    NULL },
};

static const MrHttpLimits limits = {
  .max_head_bytes = 100,
  .max_body_bytes = 16,
  .max_overhead_bytes = 60,
};

static void
S_check_case (const Case *c, const MrHttpParser *p, gsize consumed, const char *mode)
{
  if (mr_http_parser_state (p) != c->state)
    fail_msg ("%s, %s: state %d, expected %d", c->name, mode, mr_http_parser_state (p), c->state);
  if (c->unconsumed && !g_str_equal (c->bytes + consumed, c->unconsumed))
    fail_msg ("%s, %s: '%s' was not consumed, expected '%s'", c->name, mode, c->bytes + consumed,
              c->unconsumed);
  if (c->body && c->state <= MR_HTTP_DONE &&
      !mr_text_equal (mr_http_parser_body (p), mr_text (c->body)))
    fail_msg ("%s, %s: wrong body", c->name, mode);
}

/* Feeds each case in one call and byte by byte: the result must not depend on how the input is
 * split. */
static void
test_messages (void **state)
{
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      MrHttpParser *p = mr_http_parser_new (c->kind);
      mr_http_parser_set_limits (p, limits);
      S_check_case (c, p, mr_http_parser_feed (p, mr_text (c->bytes)), "in one piece");
      mr_http_parser_reset (p);
      gsize consumed = 0;
      while (c->bytes[consumed] && mr_http_parser_state (p) < MR_HTTP_DONE)
        consumed += mr_http_parser_feed (p, (MrText){ .data = c->bytes + consumed, .len = 1 });
      S_check_case (c, p, consumed, "byte by byte");
      mr_http_parser_free (p);
    }
}

/* Skipped messages count as overhead of the next one; a reset ends that. */
static void
test_skip (void **state)
{
  static const struct
  {
    const char *name;
    guint skipped;
    gboolean reset; /* after them */
    MrHttpState state;
  } skip_cases[] = {
    { "one", 1, FALSE, MR_HTTP_DONE },
    { "too many", 2, FALSE, MR_HTTP_OVERHEAD_TOO_LARGE },
    { "reset", 1, TRUE, MR_HTTP_DONE },
    { "too many, reset", 2, TRUE, MR_HTTP_DONE },
  };
  const MrText message = MR_TEXT (OK "Content-Length: 2\r\n\r\nab");
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (skip_cases); i++)
    {
      MrHttpParser *p = mr_http_parser_new (MR_HTTP_RESPONSE);
      mr_http_parser_set_limits (p, limits);
      for (guint n = 0; n < skip_cases[i].skipped; n++)
        {
          assert_int_equal (mr_http_parser_feed (p, message), message.len);
          mr_http_parser_skip (p);
        }
      if (skip_cases[i].reset)
        mr_http_parser_reset (p);
      mr_http_parser_feed (p, message);
      if (mr_http_parser_state (p) != skip_cases[i].state)
        fail_msg ("%s: state %d", skip_cases[i].name, mr_http_parser_state (p));
      mr_http_parser_free (p);
    }
}

/* A body without a length ends when the connection is closed without an error; any other message is
 * then incomplete. */
static void
test_connection_end (void **state)
{
  static const struct
  {
    const char *bytes;
    MrHttpState state;
  } end_cases[] = {
    { OK "\r\nab", MR_HTTP_DONE },
    { OK "Content-Length: 3\r\n\r\nab", MR_HTTP_MALFORMED },
    { OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", MR_HTTP_MALFORMED },
    { OK, MR_HTTP_HEAD },
  };
  (void) state;
  for (gsize i = 0; i < G_N_ELEMENTS (end_cases); i++)
    {
      MrHttpParser *p = mr_http_parser_new (MR_HTTP_RESPONSE);
      mr_http_parser_feed (p, mr_text (end_cases[i].bytes));
      mr_http_parser_finish (p);
      gboolean done = mr_http_parser_state (p) == MR_HTTP_DONE;
      assert_int_equal (done, end_cases[i].state == MR_HTTP_DONE);
      mr_http_parser_free (p);
    }
}

static void
test_fields (void **state)
{
  (void) state;
  MrHttpParser *p = mr_http_parser_new (MR_HTTP_REQUEST);
  guint count = 0;
  mr_http_parser_feed (p, MR_TEXT (GET "X-A:  one \r\nx-a: two\r\nConnection: close, X-Hop\r\n"
                                       "X-Hop: 1\r\nTE: trailers\r\n\r\n"));
  assert_true (mr_text_equal (mr_http_parser_find_field (p, "X-A", &count), MR_TEXT ("one")));
  assert_int_equal (count, 2);
  assert_false (mr_http_parser_keep_alive (p));
  assert_true (mr_http_parser_is_hop_by_hop (p, MR_TEXT ("x-hop")));
  assert_true (mr_http_parser_is_hop_by_hop (p, MR_TEXT ("te")));
  assert_false (mr_http_parser_is_hop_by_hop (p, MR_TEXT ("X-A")));
  mr_http_parser_free (p);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_messages),
    cmocka_unit_test (test_skip),
    cmocka_unit_test (test_connection_end),
    cmocka_unit_test (test_fields),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
