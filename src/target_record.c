#include "target_record.h"

#include "settings.h"
#include <jansson.h>

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

static MrStatus
S_read (const json_t *root, MrTargetRecord *record)
{
  const char *service = json_string_value (json_object_get (root, "service"));
  const char *address = json_string_value (json_object_get (root, "address"));
  const char *domain = json_string_value (json_object_get (root, "domain"));
  if (!service || !address || !domain)
    return mr_fail (MR_ERROR_INVALID, "target: service, address or domain is missing");
  g_autofree char *ip = NULL;
  if (mr_settings_split_address (address, &ip, &record->target.port) != MR_OK)
    return MR_ERROR_INVALID;
  record->service = g_strdup (service);
  g_strlcpy (record->target.ip, ip, sizeof record->target.ip);
  g_strlcpy (record->target.domain, domain, sizeof record->target.domain);
  record->target.slots =
      (guint) CLAMP (json_integer_value (json_object_get (root, "slots")), 1, 10000);
  record->target.connections = record->target.slots;
  record->leaving = json_is_true (json_object_get (root, "leaving"));
  json_int_t cold_ms = json_integer_value (json_object_get (root, "cold_ms"));
  record->cold_for = CLAMP (cold_ms, 0, 600000) * MR_MS;
  return MR_OK;
}

MrTargetRecord *
mr_target_record_parse (MrText id, MrText json)
{
  json_error_t error;
  json_t *root = json_loadb (json.data, json.len, 0, &error);
  if (!root || id.len == 0 || id.len > MR_NAME_MAX)
    {
      mr_fail (MR_ERROR_INVALID, "target: no valid JSON, or no id of 1 to %d bytes", MR_NAME_MAX);
      json_decref (root);
      return NULL;
    }
  MrTargetRecord *record = g_new0 (MrTargetRecord, 1);
  record->refs = 1;
  memcpy (record->target.id, id.data, id.len);
  MrStatus status = S_read (root, record);
  json_decref (root);
  if (status == MR_OK)
    return record;
  mr_target_record_unref (record);
  return NULL;
}

char *
mr_target_record_write (const MrTargetRecord *record)
{
  g_autofree char *address = g_strdup_printf ("%s:%d", record->target.ip, record->target.port);
  json_t *root = json_pack ("{s:s, s:s, s:s, s:I, s:b, s:I}", "service", record->service, "address",
                            address, "domain", record->target.domain, "slots",
                            (json_int_t) record->target.slots, "leaving", (int) record->leaving,
                            "cold_ms", (json_int_t) (record->cold_for / MR_MS));
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = g_strdup (text);
  free (text);
  json_decref (root);
  return copy;
}
