/* Controller that puts operators' documents in force.
 *
 * A valid document with a higher version than the accepted one is written as the accepted
 * object, on the condition that the accepted object still has the version that was read. Any
 * number of controllers may run at once without an election: after a lost race, or a write
 * whose reply was lost, the controller reads the object again and decides anew. */
#pragma once

#include "clock.h"
#include "status.h"
#include "text.h"

typedef struct _MrController MrController;
typedef struct _MrControllerHost MrControllerHost;

/* Expected version of an unconditional write; used by tests only. */
#define MR_VERSION_ANY G_MAXUINT64

/* Vtable. Results are reported through mr_controller_object_written () and
 * mr_controller_object_read (). */
struct _MrControllerHost
{
  /* Writes "@kind/@name" if its version is still @expected, or if it does not exist and
   * @expected is 0. */
  void (*write) (
      MrControllerHost *host, const char *kind, const char *name, guint64 expected, MrText body);
  void (*read) (MrControllerHost *host, const char *kind, const char *name);
};

MrController *mr_controller_new (MrControllerHost *host);
void mr_controller_free (MrController *controller);

/* Reports a new version of a document; an empty @body means that it was deleted. The
 * controller does not act before @not_before, so that a controller of lower rank leaves the
 * work to those of higher rank. */
void mr_controller_document_changed (
    MrController *controller, MrText name, guint64 version, MrText body, MrTime not_before);

/* Reports the state of an object of kind "accepted" or "status", from any source. Version 0
 * means that it does not exist. */
void mr_controller_object_read (MrController *controller,
                                MrTime now,
                                const char *kind,
                                MrText name,
                                guint64 version,
                                MrText body);

/* Reports the end of a write: MR_OK with the new version, MR_ERROR_CONFLICT,
 * MR_ERROR_OUTCOME_UNKNOWN or MR_ERROR_UNAVAILABLE. */
void mr_controller_object_written (MrController *controller,
                                   MrTime now,
                                   const char *kind,
                                   MrText name,
                                   MrStatus status,
                                   guint64 version);

/* Performs the work that is due; returns the time of the next call. */
MrTime mr_controller_tick (MrController *controller, MrTime now);
