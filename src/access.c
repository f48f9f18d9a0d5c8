#include "access.h"

MrAccess
mr_access_check (const MrConfiguration *configuration,
                 const MrRoute *route,
                 MrText key,
                 guint key_count)
{
  const MrOrganisations *organisations = mr_configuration_organisations (configuration);
  if (!organisations || route->is_public)
    return (MrAccess){ .kind = MR_ACCESS_PUBLIC };
  if (key_count > 1)
    return (MrAccess){ .kind = MR_ACCESS_SEVERAL_KEYS };
  if (key.len == 0)
    return (MrAccess){ .kind = MR_ACCESS_NO_KEY };
  const MrOrganisation *organisation = mr_organisations_find_key (organisations, key);
  return (MrAccess){
    .kind = organisation ? MR_ACCESS_ORGANISATION : MR_ACCESS_UNKNOWN_KEY,
    .organisation = organisation,
  };
}

const char *
mr_access_name (MrAccessKind kind)
{
  static const char *const names[] = {
    [MR_ACCESS_PUBLIC] = "public",           [MR_ACCESS_ORGANISATION] = "organisation",
    [MR_ACCESS_NO_KEY] = "no-key",           [MR_ACCESS_SEVERAL_KEYS] = "several-keys",
    [MR_ACCESS_UNKNOWN_KEY] = "unknown-key",
  };
  return names[kind];
}
