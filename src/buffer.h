/* Bytes that are received.
 *
 * Unlike the allocation of a GString, which doubles, that of a buffer grows by a quarter and at
 * most to its limit, so that many large messages that are not complete do not take twice their
 * size. */
#pragma once

#include "text.h"

/* All zero: empty. */
typedef struct
{
  char *data;
  gsize len;
  gsize allocated;
} MrBuffer;

/* Size of the allocation once the buffer has @len bytes.  @limit: most bytes that the user of the
 * buffer stores in it; 0: any number. */
gsize mr_buffer_allocation (const MrBuffer *buffer, gsize len, gsize limit);
void mr_buffer_append (MrBuffer *buffer, MrText bytes, gsize limit);
/* Frees the bytes and leaves an empty buffer. */
void mr_buffer_clear (MrBuffer *buffer);
/* The bytes, borrowed until the buffer is changed. */
MrText mr_buffer_text (const MrBuffer *buffer);
