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
  MESSAGE_MAX_BYTES = 1024,
  LOG_BURST = 20,
  EVENT_FIRST = 1000,
  EVENT_SPAN = 1000,
  /* A pipe that polls as writable takes this much without waiting (PIPE_BUF). */
  LINE_MAX_BYTES = 4096,
};

/* Lines of one event number in the current second. */
typedef struct
{
  gint64 second;
  guint count;
} Window;

struct _MrLogLine
{
  GString *text;
};

static atomic_int max_level = MR_LOG_INFO;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Window windows[EVENT_SPAN];
static guint64 dropped; /* lines, since the last that was written */

void
mr_log_set_level (MrLogLevel level)
{
  atomic_store (&max_level, (int) level);
}

/* Counts one line of @event; false if the second's burst is used up.
 * @left_out gets the number suppressed in the last full second. */
static bool
S_allow (MrEvent event, guint *left_out)
{
  Window *window = &windows[((guint) event - EVENT_FIRST) % EVENT_SPAN];
  gint64 second = mr_now () / MR_SECOND;
  *left_out = 0;
  if (window->second != second)
    {
      *left_out = window->count > LOG_BURST ? window->count - LOG_BURST : 0;
      *window = (Window){ .second = second };
    }
  return ++window->count <= LOG_BURST;
}

MrLogLine *
mr_log_begin (MrLogLevel level, MrEvent event)
{
  guint left_out = 0;
  if ((int) level > atomic_load (&max_level))
    return NULL;
  pthread_mutex_lock (&lock);
  bool allowed = S_allow (event, &left_out);
  pthread_mutex_unlock (&lock);
  if (!allowed)
    return NULL;
  MrLogLine *line = g_new (MrLogLine, 1);
  line->text = g_string_sized_new (256);
  g_string_append_printf (line->text,
                          "{\"time\":%" G_GINT64_FORMAT ",\"level\":%d,\"event\":\"E%d\"",
                          g_get_real_time () / MR_MS, (int) level, (int) event);
  if (left_out > 0)
    mr_log_number (line, "left_out", left_out);
  return line;
}

static void
S_key (MrLogLine *line, const char *key)
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
  S_key (line, key);
  g_string_append_c (line->text, '"');
  S_append_escaped (line->text, value);
  g_string_append_c (line->text, '"');
}

void
mr_log_number (MrLogLine *line, const char *key, gint64 value)
{
  if (!line)
    return;
  S_key (line, key);
  g_string_append_printf (line->text, "%" G_GINT64_FORMAT, value);
}

void
mr_log_json (MrLogLine *line, const char *key, MrText json)
{
  if (!line)
    return;
  S_key (line, key);
  g_string_append_len (line->text, json.data, (gssize) json.len);
}

/* A reader that has stopped must not stop the daemon: a full pipe costs lines,
 * and the next one that goes out says how many. */
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
  if (text->len > LINE_MAX_BYTES || write (STDOUT_FILENO, text->str, text->len) < 0)
    dropped++;
  else
    dropped = 0;
}

void
mr_log_end (MrLogLine *line)
{
  if (!line)
    return;
  pthread_mutex_lock (&lock);
  S_write (line->text);
  pthread_mutex_unlock (&lock);
  g_string_free (line->text, TRUE);
  g_free (line);
}

void
mr_log (MrLogLevel level, MrEvent event, const char *format, ...)
{
  char text[MESSAGE_MAX_BYTES];
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
