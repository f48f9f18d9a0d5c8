/* Evacuations: failure domains whose targets get no new work.
 *
 * Operators write one object for each domain and remove it when the domain may be used again.
 * Daemons exchange only its version: the version of the object while it exists, and the one
 * directly above (MR_VERSION_REMOVED) once it is deleted.  The higher version wins, so the
 * latest change prevails regardless of the order in which messages arrive. */
#pragma once

#include "registry.h"

/* Returns the version to announce for an object at @version that exists or is @deleted. */
static inline guint64
mr_evacuation_version (guint64 version, gboolean deleted)
{
  return deleted ? version | MR_VERSION_REMOVED : version;
}

/* Returns TRUE if the domain's targets get no new work. */
static inline gboolean
mr_evacuation_is_active (guint64 version)
{
  return version % MR_VERSION_STRIDE != MR_VERSION_REMOVED;
}
