/* Evacuations: failure domains whose targets are to get no new work.
 *
 * Operators write one object a domain and remove it when the domain may be used again.
 * Daemons tell each other its version alone: that of the object while it stands, and the
 * one right above (MR_VERSION_REMOVED) once it is gone.  A version that is higher holds,
 * so the last word wins whatever order the news comes in. */
#pragma once

#include "registry.h"

/* Version to tell of an object at @version that stands, or is @deleted. */
static inline guint64
mr_evacuation_version (guint64 version, gboolean deleted)
{
  return deleted ? version | MR_VERSION_REMOVED : version;
}

/* TRUE if the domain's targets get no new work. */
static inline gboolean
mr_evacuation_is_active (guint64 version)
{
  return version % MR_VERSION_STRIDE != MR_VERSION_REMOVED;
}
