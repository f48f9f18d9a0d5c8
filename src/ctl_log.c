/* Reading of log lines for the subcommands explain and report. */

#include "ctl.h"

#include "relay_task.h"

void
ctl_read_log_stream (FILE *file, void (*add) (json_t *line, void *user), void *user)
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
ctl_read_log_files (int count, char **files, void (*add) (json_t *line, void *user), void *user)
{
  if (count == 0)
    ctl_read_log_stream (stdin, add, user);
  for (int i = 0; i < count; i++)
    {
      FILE *file = fopen (files[i], "r");
      if (!file)
        return ctl_fail (CTL_FAILED, "%s: can't open the file", files[i]);
      ctl_read_log_stream (file, add, user);
      fclose (file);
    }
  return CTL_OK;
}

void
ctl_add_count (GHashTable *table, const char *key, guint count)
{
  guint sum = GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) + count;
  g_hash_table_replace (table, g_strdup (key), GUINT_TO_POINTER (sum));
}

const char *
ctl_json_string (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text ? text : "";
}

json_int_t
ctl_json_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

guint
ctl_line_weight (const json_t *line)
{
  gboolean served = ctl_json_integer (line, "status") < 300;
  gboolean complete = ctl_json_integer (line, "missing") == 0 &&
                      ctl_json_integer (line, "sends") == ctl_json_integer (line, "parts");
  return served && complete ? MR_SUCCESS_LOG_INTERVAL : 1;
}
