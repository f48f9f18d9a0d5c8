/* TCP proxy on loopback that injects network faults: connections can be delayed, reset,
 * or silenced in one direction or both. */
#pragma once

#include "loop.h"
#include "timers.h"

typedef struct _SoakProxy SoakProxy;

typedef enum
{
  PROXY_OK,
  PROXY_DELAY,       /* bytes are delayed by 150 ms */
  PROXY_SILENT_UP,   /* drops bytes to the server */
  PROXY_SILENT_DOWN, /* drops bytes from the server */
  PROXY_SILENT,
  PROXY_MODE_COUNT,
} SoakProxyMode;

SoakProxy *soak_proxy_new (MrLoop *loop, MrTimers *timers, int port, int server_port);

/* Applies to all connections, also to those opened later. */
void soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode);

/* Opens or closes the listener; it is closed while the server does not run. */
void soak_proxy_set_open (SoakProxy *proxy, gboolean open);

/* Called while the server runs: opens the listener again if it was closed. */
void soak_proxy_reopen (SoakProxy *proxy);

/* Silences all existing connections permanently; new ones work. */
void soak_proxy_silence_connections (SoakProxy *proxy);
void soak_proxy_reset_connections (SoakProxy *proxy);

/* Called when @timer is due; forwards the delayed bytes. */
void soak_proxy_on_timer (MrTimer *timer);
