#include "document.h"

#include <jansson.h>
#include <stddef.h>
#include <stdio.h>

typedef enum
{
  FIELD_INTEGER,
  FIELD_NUMBER,
  FIELD_BOOLEAN,
} FieldType;

/* One row of the schema.  The @key "a.b" is key "b" of the object "a". */
typedef struct
{
  const char *key;
  FieldType type;
  double min;
  double max;
  double default_value;
  size_t offset;
} Field;

#define FIELD(k, t, lo, hi, def, member)                                                           \
  {                                                                                                \
    .key = (k), .type = (t), .min = (lo), .max = (hi), .default_value = (def),                     \
    .offset = offsetof (MrDocument, member)                                                        \
  }

static const Field schema[] = {
  FIELD ("deadline_ms", FIELD_INTEGER, 1, 60000, 150, deadline_ms),
  FIELD ("max_deadline_ms", FIELD_INTEGER, 1, 60000, 2000, max_deadline_ms),
  FIELD ("top_k", FIELD_INTEGER, 1, 1000, 10, top_k),
  FIELD ("max_top_k", FIELD_INTEGER, 1, 1000, 100, max_top_k),
  FIELD ("extra_calls", FIELD_NUMBER, 0, 0.5, 0.05, extra_calls),
  FIELD ("hedge_quantile", FIELD_NUMBER, 0.5, 0.999, 0.95, hedge_quantile),
  FIELD ("target_limit", FIELD_INTEGER, 0, 10000, 0, target_limit),
  FIELD ("cell_shards", FIELD_INTEGER, 1, 4096, 200, cell_shards),
  FIELD ("owners_per_cell", FIELD_INTEGER, 1, 64, 1, owners_per_cell),
  FIELD ("direct", FIELD_BOOLEAN, 0, 1, 0, direct),
  FIELD ("orders", FIELD_BOOLEAN, 0, 1, 0, orders),
  FIELD ("order_timeout_ms", FIELD_INTEGER, 1, 60000, 2000, order_timeout_ms),
  FIELD ("objectives.latency_ms", FIELD_INTEGER, 1, 60000, 150, objective_latency_ms),
  FIELD ("objectives.latency", FIELD_NUMBER, 0.5, 0.99999, 0.99, objective_latency),
  FIELD ("objectives.coverage", FIELD_NUMBER, 0.5, 0.99999, 0.999, objective_coverage),
  FIELD ("objectives.refused", FIELD_NUMBER, 0.00001, 0.5, 0.01, objective_refused),
};

static const char *const sections[] = { "objectives" };

#define S_FAIL(error, ...) S_fail ((error), __VA_ARGS__)

static MrStatus S_fail (MrDocumentError error, const char *format, ...) G_GNUC_PRINTF (2, 3);

static MrStatus
S_fail (MrDocumentError error, const char *format, ...)
{
  char text[384];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return mr_fail (MR_ERROR_INVALID, "D%d %s", (int) error, text);
}

gboolean
mr_name_valid (MrText name)
{
  if (name.len == 0 || name.len > MR_NAME_MAX)
    return FALSE;
  for (size_t i = 0; i < name.len; i++)
    {
      char c = name.data[i];
      if (!g_ascii_islower (c) && !g_ascii_isdigit (c) && c != '-')
        return FALSE;
    }
  return TRUE;
}

static const Field *
S_find_field (const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (schema); i++)
    if (g_str_equal (schema[i].key, key))
      return &schema[i];
  return NULL;
}

static void
S_store (MrDocument *document, const Field *field, double value)
{
  char *address = (char *) document + field->offset;
  if (field->type == FIELD_INTEGER)
    *(gint64 *) (void *) address = (gint64) value;
  else if (field->type == FIELD_NUMBER)
    *(double *) (void *) address = value;
  else
    *(gboolean *) (void *) address = value != 0;
}

static MrStatus
S_parse_value (MrDocument *document, const Field *field, const json_t *value)
{
  static const char *const type_names[] = {
    [FIELD_INTEGER] = "a whole number",
    [FIELD_NUMBER] = "a number",
    [FIELD_BOOLEAN] = "true or false",
  };
  bool matches = field->type == FIELD_INTEGER  ? json_is_integer (value)
                 : field->type == FIELD_NUMBER ? json_is_number (value)
                                               : json_is_boolean (value);
  if (!matches)
    return S_FAIL (MR_DOCUMENT_WRONG_TYPE, "key '%s': expected %s", field->key,
                   type_names[field->type]);
  double number = json_is_boolean (value) ? json_is_true (value) : json_number_value (value);
  if (number < field->min || number > field->max)
    return S_FAIL (MR_DOCUMENT_OUT_OF_RANGE,
                   "key '%s': value %g is out of range, expected %g to %g", field->key, number,
                   field->min, field->max);
  S_store (document, field, number);
  return MR_OK;
}

static gboolean
S_is_section (const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sections); i++)
    if (g_str_equal (sections[i], key))
      return TRUE;
  return FALSE;
}

static MrStatus
S_parse_object (MrDocument *document, json_t *object, const char *prefix)
{
  const char *key = NULL;
  json_t *value = NULL;
  json_object_foreach (object, key, value)
  {
    g_autofree char *path = g_strconcat (prefix, key, NULL);
    if (g_str_equal (path, "service"))
      continue;
    if (prefix[0] == '\0' && S_is_section (key))
      {
        if (!json_is_object (value))
          return S_FAIL (MR_DOCUMENT_WRONG_TYPE, "key '%s': expected an object", key);
        g_autofree char *inner_prefix = g_strconcat (key, ".", NULL);
        MrStatus status = S_parse_object (document, value, inner_prefix);
        if (status != MR_OK)
          return status;
        continue;
      }
    const Field *field = S_find_field (path);
    if (!field)
      return S_FAIL (MR_DOCUMENT_UNKNOWN_KEY, "key '%s': unknown key", path);
    MrStatus status = S_parse_value (document, field, value);
    if (status != MR_OK)
      return status;
  }
  return MR_OK;
}

static MrStatus
S_check_name (MrText name, const json_t *root, MrDocument *document)
{
  const json_t *value = json_object_get (root, "service");
  if (!value)
    return S_FAIL (MR_DOCUMENT_MISSING_KEY, "key 'service': missing, expected '%.*s'",
                   (int) name.len, name.data);
  if (!json_is_string (value))
    return S_FAIL (MR_DOCUMENT_WRONG_TYPE, "key 'service': expected a string");
  if (!mr_text_equal (mr_text (json_string_value (value)), name) || !mr_name_valid (name))
    return S_FAIL (MR_DOCUMENT_WRONG_NAME,
                   "key 'service': value '%.80s', expected the document's own name "
                   "'%.*s' of a-z, 0-9 and '-'",
                   json_string_value (value), (int) MIN (name.len, 80), name.data);
  g_strlcpy (document->service, json_string_value (value), sizeof document->service);
  return MR_OK;
}

static MrStatus
S_check_conflicts (const MrDocument *d)
{
  if (d->deadline_ms > d->max_deadline_ms)
    return S_FAIL (MR_DOCUMENT_CONFLICT,
                   "key 'deadline_ms': value %" G_GINT64_FORMAT
                   " exceeds max_deadline_ms, %" G_GINT64_FORMAT,
                   d->deadline_ms, d->max_deadline_ms);
  if (d->top_k > d->max_top_k)
    return S_FAIL (MR_DOCUMENT_CONFLICT,
                   "key 'top_k': value %" G_GINT64_FORMAT " exceeds max_top_k, %" G_GINT64_FORMAT,
                   d->top_k, d->max_top_k);
  return MR_OK;
}

static MrStatus
S_load_json (MrText body, json_t **root)
{
  if (body.len > MR_DOCUMENT_MAX)
    return S_FAIL (MR_DOCUMENT_TOO_LARGE, "%zu bytes, expected at most %d", body.len,
                   MR_DOCUMENT_MAX);
  if (!g_utf8_validate_len (body.data ? body.data : "", body.len, NULL))
    return S_FAIL (MR_DOCUMENT_NOT_UTF8, "the document is not UTF-8");
  json_error_t error;
  *root = json_loadb (body.data ? body.data : "", body.len, JSON_REJECT_DUPLICATES, &error);
  if (!*root)
    {
      bool duplicate = json_error_code (&error) == json_error_duplicate_key;
      return S_FAIL (duplicate ? MR_DOCUMENT_DUPLICATE_KEY : MR_DOCUMENT_NOT_JSON,
                     "line %d column %d: %s", error.line, error.column, error.text);
    }
  if (json_is_object (*root))
    return MR_OK;
  json_decref (*root);
  return S_FAIL (MR_DOCUMENT_WRONG_TYPE, "expected a JSON object");
}

MrStatus
mr_document_parse (MrText name, MrText body, MrDocument *document)
{
  MrDocument parsed = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (schema); i++)
    S_store (&parsed, &schema[i], schema[i].default_value);
  json_t *root = NULL;
  MrStatus status = S_load_json (body, &root);
  if (status != MR_OK)
    return status;
  status = S_check_name (name, root, &parsed);
  if (status == MR_OK)
    status = S_parse_object (&parsed, root, "");
  if (status == MR_OK)
    status = S_check_conflicts (&parsed);
  if (status == MR_OK)
    *document = parsed;
  json_decref (root);
  return status;
}
