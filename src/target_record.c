#include "target_record.h"

#include "settings.h"
#include <jansson.h>

enum
{
  /* Limits on values, as a record may have been written by another program. */
  SLOTS_MAX = 10000,
  COLD_MS_MAX = 600000,
};

/* Largest integer that every JSON implementation represents exactly. */
static const json_int_t EXACT_MAX = ((json_int_t) 1 << 53) - 1;

MrTargetRecord *
mr_target_record_ref (MrTargetRecord *record)
{
  g_atomic_int_inc (&record->refs);
  return record;
}

void
mr_target_record_unref (MrTargetRecord *record)
{
  if (!record || !g_atomic_int_dec_and_test (&record->refs))
    return;
  g_free (record->service);
  g_free (record);
}

static guint64
S_start_time (const json_t *root)
{
  json_int_t started = json_integer_value (json_object_get (root, "started"));
  return started > 0 ? (guint64) started : 0;
}

gboolean
mr_target_id_is_valid (MrText id)
{
  static const char other_characters[] = "-._~:@";
  if (id.len == 0 || id.len > MR_NAME_MAX)
    return FALSE;
  for (size_t i = 0; i < id.len; i++)
    if (!g_ascii_isalnum (id.data[i]) &&
        (id.data[i] == '\0' || !strchr (other_characters, id.data[i])))
      return FALSE;
  return TRUE;
}

static gboolean
S_domain_is_valid (const char *domain)
{
  for (const char *at = domain; *at; at++)
    if (g_ascii_iscntrl (*at) || *at == '"' || *at == '\\')
      return FALSE;
  return strlen (domain) <= MR_NAME_MAX;
}

static gboolean
S_is_exact_integer (const json_t *value)
{
  json_int_t number = json_integer_value (value);
  return json_is_integer (value) && number >= -EXACT_MAX && number <= EXACT_MAX;
}

static MrStatus
S_parse_fields (const json_t *root, MrTargetRecord *record)
{
  const char *service = json_string_value (json_object_get (root, "service"));
  const char *address = json_string_value (json_object_get (root, "address"));
  const char *domain = json_string_value (json_object_get (root, "domain"));
  if (!service || !address || !domain)
    return mr_fail (MR_ERROR_INVALID, "target record: service, address or domain is missing");
  g_autofree char *ip = NULL;
  if (mr_settings_split_address (address, &ip, &record->target.port) != MR_OK)
    return MR_ERROR_INVALID;
  if (!g_hostname_is_ip_address (ip))
    return mr_fail (MR_ERROR_INVALID, "target record: host of address '%.60s' is not an IP address",
                    address);
  if (!S_domain_is_valid (domain))
    return mr_fail (MR_ERROR_INVALID, "target record: invalid domain '%.60s'", domain);
  record->service = g_strdup (service);
  g_strlcpy (record->target.ip, ip, sizeof record->target.ip);
  g_strlcpy (record->target.domain, domain, sizeof record->target.domain);
  const json_t *slots = json_object_get (root, "slots");
  const json_t *leaving = json_object_get (root, "leaving");
  const json_t *cold_ms = json_object_get (root, "cold_ms");
  const json_t *started = json_object_get (root, "started");
  if (!S_is_exact_integer (slots) || !json_is_boolean (leaving) || !S_is_exact_integer (cold_ms) ||
      (started && !S_is_exact_integer (started)))
    return mr_fail (
        MR_ERROR_INVALID,
        "target record: expected exact integers slots, cold_ms and started and Boolean leaving");
  record->target.slots = (guint) CLAMP (json_integer_value (slots), 1, SLOTS_MAX);
  record->target.connections = record->target.slots;
  record->target.started = S_start_time (root);
  record->leaving = json_is_true (leaving);
  record->cold_remaining = CLAMP (json_integer_value (cold_ms), 0, COLD_MS_MAX) * MR_MS;
  return MR_OK;
}

guint64
mr_target_record_start_time (MrText json)
{
  json_t *root = json.len > 0 ? json_loadb (json.data, json.len, 0, NULL) : NULL;
  guint64 started = S_start_time (root);
  json_decref (root);
  return started;
}

MrTargetRecord *
mr_target_record_parse (MrText id, MrText json)
{
  json_error_t error;
  json_t *root = json_loadb (json.data, json.len, 0, &error);
  if (!root || !mr_target_id_is_valid (id))
    {
      mr_fail (
          MR_ERROR_INVALID,
          "target record: invalid JSON, or an id not of 1 to %d letters, digits and \"-._~:@\"",
          MR_NAME_MAX);
      json_decref (root);
      return NULL;
    }
  MrTargetRecord *record = g_new0 (MrTargetRecord, 1);
  record->refs = 1;
  memcpy (record->target.id, id.data, id.len);
  MrStatus status = S_parse_fields (root, record);
  json_decref (root);
  if (status == MR_OK)
    return record;
  mr_target_record_unref (record);
  return NULL;
}

char *
mr_target_record_to_json (const MrTargetRecord *record)
{
  g_autofree char *address = g_strdup_printf ("%s:%d", record->target.ip, record->target.port);
  json_t *root = json_pack ("{s:s, s:s, s:s, s:I, s:b, s:I, s:I}", "service", record->service,
                            "address", address, "domain", record->target.domain, "slots",
                            (json_int_t) record->target.slots, "leaving", (int) record->leaving,
                            "cold_ms", (json_int_t) (record->cold_remaining / MR_MS), "started",
                            (json_int_t) record->target.started);
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = g_strdup (text);
  free (text);
  json_decref (root);
  return copy;
}
