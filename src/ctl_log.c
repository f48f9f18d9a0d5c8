/* Log lines of relays, as explain and report read them. */

#include "ctl.h"

#include "relay_task.h"

void
ctl_read_lines (FILE *file, void (*add) (json_t *line, void *user), void *user)
{
  char *text = NULL;
  size_t size = 0;
  while (getline (&text, &size, file) > 0)
    {
      const char *start = strchr (text, '{');
      json_t *line = start ? json_loads (start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
      if (line && json_object_get (line, "event"))
        add (line, user);
      json_decref (line);
    }
  free (text);
}

CtlExit
ctl_read_files (int count, char **files, void (*add) (json_t *line, void *user), void *user)
{
  if (count == 0)
    ctl_read_lines (stdin, add, user);
  for (int i = 0; i < count; i++)
    {
      FILE *file = fopen (files[i], "r");
      if (!file)
        return ctl_fail (CTL_FAILED, "%s: can't be read", files[i]);
      ctl_read_lines (file, add, user);
      fclose (file);
    }
  return CTL_OK;
}

void
ctl_count (GHashTable *table, const char *key, guint count)
{
  guint sum = GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) + count;
  g_hash_table_replace (table, g_strdup (key), GUINT_TO_POINTER (sum));
}

const char *
ctl_line_text (const json_t *line, const char *key)
{
  const char *text = json_string_value (json_object_get (line, key));
  return text ? text : "";
}

json_int_t
ctl_line_number (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

guint
ctl_line_weight (const json_t *line)
{
  gboolean served = ctl_line_number (line, "status") < 300;
  gboolean whole = ctl_line_number (line, "missing") == 0 &&
                   ctl_line_number (line, "sends") == ctl_line_number (line, "parts");
  return served && whole ? MR_SUCCESS_LOG_INTERVAL : 1;
}
