/* The relay daemon: its tasks, their threads, and signals. */
#pragma once

#include "dialect.h"
#include "platform_codec.h"
#include "relay_settings.h"

/* Runs until a planned stop is complete.  @reload is called on SIGHUP and may be NULL. */
MrStatus mr_relay_daemon_run (const MrRelaySettings *settings,
                              const MrDialect *dialect,
                              const MrPlatformCodec *codec,
                              void (*reload) (void));
