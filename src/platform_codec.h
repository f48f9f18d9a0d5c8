/* Encoding of calls to the platform's object store.
 *
 * The store client (platform_task.c) sends the calls and enforces their timeouts. A codec
 * builds the requests and parses the responses, so that support for another store with the
 * same semantics takes one file. */
#pragma once

#include "status.h"
#include "task_message.h"

typedef struct
{
  const char *method;
  char *path;
  GString *body; /* NULL: none */
} MrPlatformCall;

typedef struct
{
  /* Header field of all responses with the era of the store (MrPlatformResult); NULL if the store
   * has no eras. */
  const char *era_header;
  /* Fills @call. The caller frees its path and body. */
  void (*encode) (const MrPlatformRequest *request, MrPlatformCall *call);
  /* Parses a complete response into @result and sets the status of @result. */
  void (*decode) (MrPlatformResult *result, int http_status, MrText body);
} MrPlatformCodec;

/* Codec for this product's own object API, docs/PLATFORM-API.md. */
extern const MrPlatformCodec mr_platform_codec;
