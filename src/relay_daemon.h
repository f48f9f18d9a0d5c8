/* A relay as a whole: its tasks, their threads, signals. */
#pragma once

#include "dialect.h"
#include "platform_codec.h"
#include "relay_settings.h"

/* Runs until a planned stop is complete.  @reload, which may be NULL, is called
 * on SIGHUP. */
MrStatus mr_relay_daemon_run (const MrRelaySettings *settings,
                              const MrDialect *dialect,
                              const MrPlatformCodec *codec,
                              void (*reload) (void));
