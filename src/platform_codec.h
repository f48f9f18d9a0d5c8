/* How calls to the platform's object store read on the wire.
 *
 * The one store client (platform_task.c) sends and times the calls; a codec
 * writes them and reads the answers, so that another store of the same meaning
 * is one file. */
#pragma once

#include "message.h"
#include "status.h"

typedef struct
{
  const char *method;
  char *path;
  GString *body; /* NULL: none */
} MrPlatformCall;

typedef struct
{
  /* Fills @call, whose path and body are new. */
  void (*encode) (const MrPlatformRequest *request, MrPlatformCall *call);
  /* Reads a whole answer into @result, whose status it sets. */
  void (*decode) (MrPlatformResult *result, int http_status, MrText body);
} MrPlatformCodec;

/* The product's own form, docs/PLATFORM-API.md. */
extern const MrPlatformCodec mr_platform_codec;
