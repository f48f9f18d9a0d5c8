#include "log.h"

#include "clock.h"
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <unistd.h>

enum
{
  MAX_MESSAGE_BYTES = 1024,
  LOG_BURST = 20,
  EVENT_FIRST = 1000,
  MAX_EVENTS = 1000,
  /* A pipe that poll () reports as writable accepts this much without blocking (PIPE_BUF). */
  MAX_LINE_BYTES = 4096,
};

/* Number of lines with one event number in the current second. */
typedef struct
{
  gint64 second;
  guint count;
} RateWindow;

struct _MrLogLine
{
  GString *text;
};

static atomic_int max_level = MR_LOG_INFO;
static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;
static RateWindow rate_windows[MAX_EVENTS];
static guint64 dropped; /* lines since the last one that was written */

void
mr_log_set_level (MrLogLevel level)
{
  atomic_store (&max_level, (int) level);
}

/* Counts a line with @event; false if the limit for the current second is reached.  @suppressed
 * receives the number of lines over the limit in the last second that had lines with @event. */
static bool
S_is_within_limit (MrEvent event, guint *suppressed)
{
  RateWindow *window = &rate_windows[((guint) event - EVENT_FIRST) % MAX_EVENTS];
  gint64 second = mr_now () / MR_SECOND;
  *suppressed = 0;
  if (window->second != second)
    {
      *suppressed = window->count > LOG_BURST ? window->count - LOG_BURST : 0;
      *window = (RateWindow){ .second = second };
    }
  return ++window->count <= LOG_BURST;
}

MrLogLine *
mr_log_begin (MrLogLevel level, MrEvent event)
{
  guint suppressed = 0;
  if ((int) level > atomic_load (&max_level))
    return NULL;
  pthread_mutex_lock (&log_mutex);
  bool allowed = S_is_within_limit (event, &suppressed);
  pthread_mutex_unlock (&log_mutex);
  if (!allowed)
    return NULL;
  MrLogLine *line = g_new (MrLogLine, 1);
  line->text = g_string_sized_new (256);
  g_string_append_printf (line->text,
                          "{\"time\":%" G_GINT64_FORMAT ",\"level\":%d,\"event\":\"E%d\"",
                          g_get_real_time () / MR_MS, (int) level, (int) event);
  if (suppressed > 0)
    mr_log_number (line, "left_out", suppressed);
  return line;
}

static void
S_append_key (MrLogLine *line, const char *key)
{
  g_string_append_printf (line->text, ",\"%s\":", key);
}

static void
S_append_escaped (GString *out, MrText value)
{
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char) value.data[i];
      if (c == '"' || c == '\\')
        g_string_append_printf (out, "\\%c", c);
      else if (c < 0x20 || c >= 0x7f)
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char) c);
    }
}

void
mr_log_text (MrLogLine *line, const char *key, MrText value)
{
  if (!line)
    return;
  S_append_key (line, key);
  g_string_append_c (line->text, '"');
  S_append_escaped (line->text, value);
  g_string_append_c (line->text, '"');
}

void
mr_log_number (MrLogLine *line, const char *key, gint64 value)
{
  if (!line)
    return;
  S_append_key (line, key);
  g_string_append_printf (line->text, "%" G_GINT64_FORMAT, value);
}

void
mr_log_json (MrLogLine *line, const char *key, MrText json)
{
  if (!line)
    return;
  S_append_key (line, key);
  g_string_append_len (line->text, json.data, (gssize) json.len);
}

/* The daemon must not block if nothing reads its output: when the pipe is full, the line is
 * dropped, and the next line that is written gives the number of dropped lines. */
static void
S_write (GString *text)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  if (poll (&out, 1, 0) != 1 || !(out.revents & POLLOUT))
    {
      dropped++;
      return;
    }
  if (dropped > 0)
    g_string_append_printf (text, ",\"dropped\":%" G_GUINT64_FORMAT, dropped);
  g_string_append (text, "}\n");
  if (text->len > MAX_LINE_BYTES || write (STDOUT_FILENO, text->str, text->len) < 0)
    dropped++;
  else
    dropped = 0;
}

void
mr_log_end (MrLogLine *line)
{
  if (!line)
    return;
  pthread_mutex_lock (&log_mutex);
  S_write (line->text);
  pthread_mutex_unlock (&log_mutex);
  g_string_free (line->text, TRUE);
  g_free (line);
}

void
mr_log (MrLogLevel level, MrEvent event, const char *format, ...)
{
  char text[MAX_MESSAGE_BYTES];
  if ((int) level > atomic_load (&max_level))
    return;
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  MrLogLine *line = mr_log_begin (level, event);
  mr_log_text (line, "message", mr_text (text));
  mr_log_end (line);
}
