#include "ctl.h"

#include "clock.h"
#include "document.h"
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  POLL_US = 50 * 1000,
  DIFF_LINES_MAX = 4096,
};

/* Reads the object "@kind/@name" from the platform; sets version 0 and an empty body if there is
 * none. */
static MrStatus
S_read_object (
    const CtlOptions *options, const char *kind, const char *name, guint64 *version, GString *body)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/objects/%s/%s", kind, escaped);
  GString *answer = g_string_new (NULL);
  int status = 0;
  MrStatus result =
      ctl_send_request (options, options->platform, "GET", path, (MrText){ 0 }, &status, answer);
  g_string_truncate (body, 0);
  *version = 0;
  if (result == MR_OK && status == 200)
    {
      json_t *root = json_loadb (answer->str, answer->len, 0, NULL);
      const json_t *text = json_object_get (root, "body");
      *version = (guint64) json_integer_value (json_object_get (root, "version"));
      g_string_append_len (body, json_string_value (text), (gssize) json_string_length (text));
      json_decref (root);
    }
  else if (result == MR_OK && status != 404)
    result = mr_fail (MR_ERROR_UNAVAILABLE, "platform %s: status %d", options->platform, status);
  g_string_free (answer, TRUE);
  return result;
}

static CtlExit
S_usage (const char *form)
{
  return ctl_fail (CTL_USAGE, "expected: merlinringctl %s", form);
}

static CtlExit
S_check_name (const char *name)
{
  if (mr_name_valid (mr_text (name)))
    return CTL_OK;
  return ctl_fail (CTL_USAGE, "service '%s': expected 1 to %d of a-z, 0-9 and '-'", name,
                   MR_NAME_MAX);
}

static CtlExit
S_load_file (const char *path, GString *body)
{
  char *data = NULL;
  gsize len = 0;
  GError *error = NULL;
  if (!g_file_get_contents (path, &data, &len, &error))
    {
      ctl_fail (CTL_USAGE, "%s", error->message);
      g_error_free (error);
      return CTL_USAGE;
    }
  g_string_append_len (body, data, (gssize) len);
  g_free (data);
  return CTL_OK;
}

static CtlExit
S_check_document (const char *name, const GString *body)
{
  MrDocument parsed;
  if (mr_document_parse (mr_text (name), mr_text_of (body), &parsed) == MR_OK)
    return CTL_OK;
  return ctl_fail (CTL_USAGE, "document %s: %s", name, mr_status_message ());
}

CtlExit
ctl_document_get (const CtlOptions *options)
{
  if (options->argc != 1)
    return S_usage ("document get SERVICE");
  guint64 version = 0;
  guint64 status_version = 0;
  const char *name = options->argv[0];
  if (S_check_name (name) != CTL_OK)
    return CTL_USAGE;
  GString *body = g_string_new (NULL);
  GString *status = g_string_new (NULL);
  CtlExit result = CTL_OK;
  if (S_read_object (options, "documents", name, &version, body) != MR_OK ||
      S_read_object (options, "status", name, &status_version, status) != MR_OK)
    result = ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  else if (version == 0)
    result = ctl_fail (CTL_FAILED, "document %s: not found", name);
  else if (options->json)
    printf ("{\"version\":%" G_GUINT64_FORMAT ",\"status\":%s,\"document\":%s}\n", version,
            status->len ? status->str : "null", body->str);
  else
    {
      fprintf (stderr, "version %" G_GUINT64_FORMAT ", status %s\n", version,
               status->len ? status->str : "not checked yet");
      puts (body->str);
    }
  g_string_free (body, TRUE);
  g_string_free (status, TRUE);
  return result;
}

CtlExit
ctl_document_check (const CtlOptions *options)
{
  if (options->argc != 2)
    return S_usage ("document check SERVICE FILE");
  GString *body = g_string_new (NULL);
  CtlExit result = S_load_file (options->argv[1], body);
  if (result == CTL_OK)
    result = S_check_document (options->argv[0], body);
  if (result == CTL_OK)
    puts ("the document is valid");
  g_string_free (body, TRUE);
  return result;
}

/* Line-by-line comparison of documents. */

static char **
S_split_lines (const GString *body)
{
  json_t *root = json_loadb (body->str, body->len, 0, NULL);
  char *text = root ? json_dumps (root, JSON_INDENT (2) | JSON_SORT_KEYS) : NULL;
  char **lines = g_strsplit (text ? text : body->str, "\n", DIFF_LINES_MAX);
  free (text);
  json_decref (root);
  return lines;
}

/* Returns a table of (@a_count + 1) rows and (@b_count + 1) columns: element [i][j] is the length
 * of the longest common subsequence of a[i..] and b[j..]. */
static guint *
S_lcs_lengths (char **a, guint a_count, char **b, guint b_count)
{
  guint *table = g_new0 (guint, (gsize) (a_count + 1) * (b_count + 1));
  guint width = b_count + 1;
  for (guint i = a_count; i > 0; i--)
    for (guint j = b_count; j > 0; j--)
      {
        guint *cell = &table[(i - 1) * width + j - 1];
        if (g_str_equal (a[i - 1], b[j - 1]))
          *cell = table[i * width + j] + 1;
        else
          *cell = MAX (table[i * width + j - 1], table[(i - 1) * width + j]);
      }
  return table;
}

static void
S_print_diff (const GString *from, const GString *to, const char *from_name, const char *to_name)
{
  g_auto (GStrv) a = S_split_lines (from);
  g_auto (GStrv) b = S_split_lines (to);
  guint a_count = g_strv_length (a);
  guint b_count = g_strv_length (b);
  g_autofree guint *table = S_lcs_lengths (a, a_count, b, b_count);
  guint i = 0;
  guint j = 0;
  printf ("--- %s\n+++ %s\n", from_name, to_name);
  while (i < a_count || j < b_count)
    {
      guint width = b_count + 1;
      if (i < a_count && j < b_count && g_str_equal (a[i], b[j]))
        {
          printf (" %s\n", a[i++]);
          j++;
        }
      else if (i < a_count &&
               (j == b_count || table[(i + 1) * width + j] >= table[i * width + j + 1]))
        printf ("-%s\n", a[i++]);
      else
        printf ("+%s\n", b[j++]);
    }
}

CtlExit
ctl_document_diff (const CtlOptions *options)
{
  if (options->argc != 2)
    return S_usage ("document diff SERVICE FILE");
  guint64 version = 0;
  GString *current = g_string_new (NULL);
  GString *proposed = g_string_new (NULL);
  CtlExit result = S_check_name (options->argv[0]);
  if (result == CTL_OK)
    result = S_load_file (options->argv[1], proposed);
  if (result == CTL_OK &&
      S_read_object (options, "documents", options->argv[0], &version, current) != MR_OK)
    result = ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  if (result == CTL_OK)
    {
      g_autofree char *label = g_strdup_printf ("version %" G_GUINT64_FORMAT, version);
      S_print_diff (current, proposed, label, options->argv[1]);
    }
  g_string_free (current, TRUE);
  g_string_free (proposed, TRUE);
  return result;
}

/* Waiting until a document is in force. */

static gboolean
S_in_force_at (const CtlOptions *options, const char *address, const char *name, guint64 version)
{
  json_t *root = ctl_get_json (options, address, "/v1/status");
  size_t i = 0;
  json_t *service = NULL;
  gboolean in_force = FALSE;
  json_array_foreach (json_object_get (root, "services"), i, service)
  {
    const char *service_name = json_string_value (json_object_get (service, "service"));
    json_int_t document_version =
        json_integer_value (json_object_get (service, "document_version"));
    if (service_name && g_str_equal (service_name, name) && (guint64) document_version >= version)
      in_force = TRUE;
  }
  json_decref (root);
  return in_force;
}

static CtlExit
S_wait_until_in_force (const CtlOptions *options, const char *name, guint64 version)
{
  MrTime started = mr_now ();
  MrTime deadline = started + options->timeout_ms * MR_MS;
  GPtrArray *addresses = ctl_get_member_addresses (options);
  guint in_force = 0;
  if (!addresses)
    return CTL_FAILED;
  while (in_force < addresses->len && mr_now () < deadline)
    {
      if (S_in_force_at (options, g_ptr_array_index (addresses, in_force), name, version))
        in_force++;
      else
        usleep (POLL_US);
    }
  gboolean all = in_force == addresses->len;
  double seconds = (double) (mr_now () - started) / (double) MR_SECOND;
  if (all)
    printf ("in force on %u of %u members after %.2f s\n", in_force, addresses->len, seconds);
  g_ptr_array_unref (addresses);
  if (all)
    return CTL_OK;
  return ctl_fail (CTL_FAILED, "document %s: not in force on all members after %.1f s", name,
                   seconds);
}

/* Conditional writes. */

static CtlExit
S_report_conflict (const CtlOptions *options,
                   const char *name,
                   const GString *proposed,
                   guint64 base_version)
{
  guint64 version = 0;
  GString *current = g_string_new (NULL);
  if (S_read_object (options, "documents", name, &version, current) == MR_OK)
    {
      g_autofree char *label = g_strdup_printf ("current version %" G_GUINT64_FORMAT, version);
      S_print_diff (current, proposed, label, "your edit, not written");
    }
  g_string_free (current, TRUE);
  return ctl_fail (CTL_CONFLICT,
                   "document %s: edited concurrently since version %" G_GUINT64_FORMAT
                   "; your edit was not written",
                   name, base_version);
}

/* Handles a write without a response: reads the document back to find out whether the write took
 * effect. */
static CtlExit
S_resolve_unknown_write (const CtlOptions *options,
                         const char *name,
                         const GString *body,
                         guint64 base_version,
                         guint64 *version)
{
  GString *stored = g_string_new (NULL);
  MrStatus status = S_read_object (options, "documents", name, version, stored);
  gboolean same = g_string_equal (stored, body);
  g_string_free (stored, TRUE);
  if (status != MR_OK)
    return ctl_fail (CTL_UNKNOWN,
                     "document %s: the platform does not respond; the edit may have been written",
                     name);
  if (same && *version > base_version)
    return CTL_OK;
  if (*version == base_version)
    return ctl_fail (CTL_FAILED, "document %s: not written; try again", name);
  return S_report_conflict (options, name, body, base_version);
}

static CtlExit
S_write_document (const CtlOptions *options,
                  const char *name,
                  const GString *body,
                  guint64 base_version)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);
  g_autofree char *path = g_strdup_printf ("/v1/objects/documents/%s?version=%" G_GUINT64_FORMAT,
                                           escaped, base_version);
  GString *answer = g_string_new (NULL);
  int status = 0;
  guint64 version = 0;
  CtlExit result = CTL_OK;
  MrStatus sent = ctl_send_request (options, options->platform, "PUT", path, mr_text_of (body),
                                    &status, answer);
  if (sent == MR_ERROR_OUTCOME_UNKNOWN)
    result = S_resolve_unknown_write (options, name, body, base_version, &version);
  else if (sent != MR_OK)
    result = ctl_fail (CTL_FAILED, "%s; nothing was written", mr_status_message ());
  else if (status == 409)
    result = S_report_conflict (options, name, body, base_version);
  else if (status != 200)
    result = ctl_fail (CTL_FAILED, "platform: status %d: %s", status, answer->str);
  else
    {
      json_t *root = json_loadb (answer->str, answer->len, 0, NULL);
      version = (guint64) json_integer_value (json_object_get (root, "version"));
      json_decref (root);
    }
  g_string_free (answer, TRUE);
  if (result != CTL_OK)
    return result;
  printf ("document %s: version %" G_GUINT64_FORMAT " written\n", name, version);
  return options->wait ? S_wait_until_in_force (options, name, version) : CTL_OK;
}

/* Sets @base_version to --version, or to @current without it. */
static CtlExit
S_parse_base_version (const CtlOptions *options, guint64 current, guint64 *base_version)
{
  *base_version = current;
  if (options->version && !mr_text_parse_u64 (mr_text (options->version), base_version))
    return ctl_fail (CTL_USAGE, "--version: value '%s', expected a non-negative integer",
                     options->version);
  return CTL_OK;
}

CtlExit
ctl_document_apply (const CtlOptions *options)
{
  if (options->argc != 2)
    return S_usage ("document apply SERVICE FILE");
  const char *name = options->argv[0];
  guint64 current = 0;
  guint64 base_version = 0;
  GString *body = g_string_new (NULL);
  GString *old = g_string_new (NULL);
  CtlExit result = S_check_name (name);
  if (result == CTL_OK)
    result = S_load_file (options->argv[1], body);
  if (result == CTL_OK)
    result = S_check_document (name, body);
  if (result == CTL_OK && !options->version &&
      S_read_object (options, "documents", name, &current, old) != MR_OK)
    result = ctl_fail (CTL_FAILED, "%s", mr_status_message ());
  if (result == CTL_OK)
    result = S_parse_base_version (options, current, &base_version);
  if (result == CTL_OK)
    result = S_write_document (options, name, body, base_version);
  g_string_free (body, TRUE);
  g_string_free (old, TRUE);
  return result;
}

/* Applies the assignment "key=value" or "object.key=value" to @root. */
static CtlExit
S_set_key (json_t *root, const char *assignment)
{
  const char *equals = strchr (assignment, '=');
  if (!equals || equals == assignment)
    return ctl_fail (CTL_USAGE, "'%s': expected KEY=VALUE", assignment);
  g_autofree char *key = g_strndup (assignment, (gsize) (equals - assignment));
  json_t *value = json_loads (equals + 1, JSON_DECODE_ANY, NULL);
  if (!value)
    return ctl_fail (CTL_USAGE, "key '%s': value '%s' is not valid JSON", key, equals + 1);
  char *dot = strchr (key, '.');
  json_t *object = root;
  if (dot)
    {
      *dot = '\0';
      object = json_object_get (root, key);
      if (!json_is_object (object))
        {
          object = json_object ();
          json_object_set_new (root, key, object);
        }
    }
  json_object_set_new (object, dot ? dot + 1 : key, value);
  return CTL_OK;
}

CtlExit
ctl_document_edit (const CtlOptions *options)
{
  if (options->argc < 2)
    return S_usage ("document edit SERVICE KEY=VALUE...");
  const char *name = options->argv[0];
  guint64 current = 0;
  guint64 base_version = 0;
  GString *body = g_string_new (NULL);
  if (S_check_name (name) != CTL_OK ||
      S_read_object (options, "documents", name, &current, body) != MR_OK)
    {
      g_string_free (body, TRUE);
      return ctl_fail (CTL_FAILED, "%s", mr_status_message ());
    }
  json_t *root = current > 0 ? json_loadb (body->str, body->len, 0, NULL)
                             : json_pack ("{s:s}", "service", name);
  CtlExit result = root ? CTL_OK : ctl_fail (CTL_FAILED, "document %s: not valid JSON", name);
  for (int i = 1; result == CTL_OK && i < options->argc; i++)
    result = S_set_key (root, options->argv[i]);
  if (result == CTL_OK)
    {
      char *text = json_dumps (root, JSON_INDENT (2) | JSON_PRESERVE_ORDER);
      g_string_assign (body, text);
      free (text);
      result = S_check_document (name, body);
    }
  if (result == CTL_OK)
    result = S_parse_base_version (options, current, &base_version);
  if (result == CTL_OK)
    result = S_write_document (options, name, body, base_version);
  json_decref (root);
  g_string_free (body, TRUE);
  return result;
}
