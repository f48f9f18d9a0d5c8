/* Controller that puts operators' documents in force.
 *
 * A valid document of a higher version than the accepted one is written as the
 * accepted object, conditionally on the version that was read.  Any number of
 * controllers may run at once: a lost race is read back and judged again, and
 * so is a write whose reply was lost, so no election is needed. */
#pragma once

#include "clock.h"
#include "status.h"
#include "text.h"

typedef struct _MrController MrController;
typedef struct _MrControllerHost MrControllerHost;

/* Expected version of a write that must not name one; tests only. */
#define MR_VERSION_ANY G_MAXUINT64

/* Vtable; results come back through mr_controller_written () and
 * mr_controller_read (). */
struct _MrControllerHost
{
  /* Writes "@kind/@name" if its version is still @expected (0: if absent). */
  void (*write) (
      MrControllerHost *host, const char *kind, const char *name, guint64 expected, MrText body);
  void (*read) (MrControllerHost *host, const char *kind, const char *name);
};

MrController *mr_controller_new (MrControllerHost *host);
void mr_controller_free (MrController *controller);

/* News of a document; @body empty: deleted.  Not acted on before @not_before,
 * by which controllers of lower rank stay out of the way. */
void mr_controller_document_changed (
    MrController *controller, MrText name, guint64 version, MrText body, MrTime not_before);

/* News of an object of kind "accepted" or "status", from any source;
 * version 0: it does not exist. */
void mr_controller_object_read (MrController *controller,
                                MrTime now,
                                const char *kind,
                                MrText name,
                                guint64 version,
                                MrText body);

/* A write has ended: MR_OK with the new version, MR_ERROR_CONFLICT,
 * MR_ERROR_UNSURE or MR_ERROR_UNAVAIL. */
void mr_controller_object_written (MrController *controller,
                                   MrTime now,
                                   const char *kind,
                                   MrText name,
                                   MrStatus status,
                                   guint64 version);

/* Acts on what is due; returns when to come back. */
MrTime mr_controller_tick (MrController *controller, MrTime now);
