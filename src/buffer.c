#include "buffer.h"

enum
{
  MIN_ALLOCATION = 256,
};

gsize
mr_buffer_allocation (const MrBuffer *buffer, gsize len, gsize limit)
{
  if (len <= buffer->allocated)
    return buffer->allocated;
  gsize allocation = MAX (len + len / 4, MIN_ALLOCATION);
  return limit > 0 && allocation > limit && len <= limit ? limit : allocation;
}

void
mr_buffer_append (MrBuffer *buffer, MrText bytes, gsize limit)
{
  if (bytes.len == 0)
    return;
  gsize allocation = mr_buffer_allocation (buffer, buffer->len + bytes.len, limit);
  if (allocation > buffer->allocated)
    {
      buffer->data = g_realloc (buffer->data, allocation);
      buffer->allocated = allocation;
    }
  memcpy (buffer->data + buffer->len, bytes.data, bytes.len);
  buffer->len += bytes.len;
}

void
mr_buffer_clear (MrBuffer *buffer)
{
  g_free (buffer->data);
  *buffer = (MrBuffer){ 0 };
}

MrText
mr_buffer_text (const MrBuffer *buffer)
{
  return (MrText){ .data = buffer->data ? buffer->data : "", .len = buffer->len };
}
