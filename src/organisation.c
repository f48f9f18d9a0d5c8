#include "organisation.h"

#include "document.h"

struct _MrOrganisations
{
  GPtrArray *list;     /* MrOrganisation */
  GHashTable *by_name; /* name -> MrOrganisation */
  GHashTable *by_key;  /* digest of a key -> MrOrganisation */
};

static void
S_organisation_free (gpointer data)
{
  MrOrganisation *organisation = data;
  g_free (organisation->name);
  g_free (organisation);
}

void
mr_organisations_free (MrOrganisations *organisations)
{
  if (!organisations)
    return;
  g_hash_table_unref (organisations->by_key);
  g_hash_table_unref (organisations->by_name);
  g_ptr_array_unref (organisations->list);
  g_free (organisations);
}

void
mr_key_digest (MrText key, char out[MR_KEY_DIGEST_DIGITS + 1])
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *) (key.data ? key.data : ""), key.len);
  g_strlcpy (out, digest, MR_KEY_DIGEST_DIGITS + 1);
}

/* Parsing. */

static MrStatus
S_fail_field (const char *organisation, const char *field)
{
  return mr_fail (MR_ERROR_INVALID,
                  "configuration: organisation %s: field '%s' is missing or invalid", organisation,
                  field);
}

/* An absent field leaves @out as it is. */
static MrStatus
S_read_amount (const json_t *object, const char *organisation, const char *field, double *out)
{
  const json_t *value = json_object_get (object, field);
  if (!value)
    return MR_OK;
  if (!json_is_number (value) || !(json_number_value (value) >= 0))
    return S_fail_field (organisation, field);
  *out = json_number_value (value);
  return MR_OK;
}

static gboolean
S_is_digest (const char *text)
{
  return text && strlen (text) == MR_KEY_DIGEST_DIGITS &&
         strspn (text, "0123456789abcdef") == MR_KEY_DIGEST_DIGITS;
}

static MrStatus
S_read_keys (MrOrganisations *organisations, const json_t *object, MrOrganisation *organisation)
{
  size_t i = 0;
  const json_t *item = NULL;
  const json_t *keys = json_object_get (object, "keys");
  if (!json_is_array (keys))
    return S_fail_field (organisation->name, "keys");
  json_array_foreach (keys, i, item)
  {
    const char *digest = json_string_value (item);
    if (!S_is_digest (digest))
      return S_fail_field (organisation->name, "keys");
    const MrOrganisation *holder = g_hash_table_lookup (organisations->by_key, digest);
    if (holder && holder != organisation)
      return mr_fail (MR_ERROR_INVALID, "configuration: organisations %s and %s have the same key",
                      holder->name, organisation->name);
    g_hash_table_replace (organisations->by_key, g_strdup (digest), organisation);
  }
  return MR_OK;
}

static gboolean
S_is_field_value (const char *text)
{
  for (const char *at = text; *at; at++)
    if (!g_ascii_isgraph (*at))
      return FALSE;
  return *text != '\0';
}

static MrStatus
S_read_organisation (MrOrganisations *organisations, const json_t *object)
{
  const char *name = json_string_value (json_object_get (object, "name"));
  double priority = 0;
  /* The name is sent to targets in a header field. */
  if (!name || strlen (name) > MR_NAME_MAX || !S_is_field_value (name) ||
      g_hash_table_contains (organisations->by_name, name))
    return S_fail_field (name ? name : "?", "name");
  MrOrganisation *organisation = g_new0 (MrOrganisation, 1);
  organisation->name = g_strdup (name);
  g_ptr_array_add (organisations->list, organisation);
  g_hash_table_insert (organisations->by_name, organisation->name, organisation);
  MrStatus status = S_read_amount (object, name, "rank", &priority);
  if (status == MR_OK)
    status = S_read_amount (object, name, "rate", &organisation->limit.rate);
  if (status == MR_OK)
    status = S_read_amount (object, name, "burst", &organisation->limit.burst);
  if (status == MR_OK)
    status = S_read_keys (organisations, object, organisation);
  organisation->priority = (guint) MIN (priority, G_MAXUINT16);
  return status;
}

MrStatus
mr_organisations_parse (const json_t *array, MrOrganisations **out)
{
  size_t i = 0;
  const json_t *item = NULL;
  MrStatus status = MR_OK;
  *out = NULL;
  if (!json_is_array (array))
    return mr_fail (MR_ERROR_INVALID, "configuration: field 'organisations' is not an array");
  MrOrganisations *organisations = g_new (MrOrganisations, 1);
  *organisations = (MrOrganisations){
    .list = g_ptr_array_new_with_free_func (S_organisation_free),
    .by_name = g_hash_table_new (g_str_hash, g_str_equal),
    .by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
  };
  json_array_foreach (array, i, item)
  {
    if (status == MR_OK)
      status = S_read_organisation (organisations, item);
  }
  if (status == MR_OK)
    *out = organisations;
  else
    mr_organisations_free (organisations);
  return status;
}

/* Lookups. */

guint
mr_organisations_count (const MrOrganisations *organisations)
{
  return organisations->list->len;
}

const MrOrganisation *
mr_organisations_at (const MrOrganisations *organisations, guint index)
{
  return g_ptr_array_index (organisations->list, index);
}

const MrOrganisation *
mr_organisations_find (const MrOrganisations *organisations, const char *name)
{
  return g_hash_table_lookup (organisations->by_name, name);
}

/* Only digests are compared: a key that is nearly right has an unrelated digest. */
const MrOrganisation *
mr_organisations_find_key (const MrOrganisations *organisations, MrText key)
{
  char digest[MR_KEY_DIGEST_DIGITS + 1];
  if (key.len == 0 || key.len > MR_KEY_BYTES_MAX)
    return NULL;
  mr_key_digest (key, digest);
  return g_hash_table_lookup (organisations->by_key, digest);
}
