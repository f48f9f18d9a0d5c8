/* A TCP proxy on loopback whose connections can be delayed, reset, or silenced
 * in one direction or both, as something between two ends would do it. */
#pragma once

#include "loop.h"
#include "timers.h"

typedef struct _SoakProxy SoakProxy;

typedef enum
{
  PROXY_OK,
  PROXY_DELAY,       /* bytes wait for 150 ms */
  PROXY_SILENT_UP,   /* nothing reaches the server */
  PROXY_SILENT_DOWN, /* nothing comes back */
  PROXY_SILENT,
  PROXY_MODES,
} SoakProxyMode;

SoakProxy *soak_proxy_new (MrLoop *loop, MrTimers *timers, int port, int server_port);

/* Of all connections, those opened from now on included. */
void soak_proxy_set_mode (SoakProxy *proxy, SoakProxyMode mode);

/* While its server does not run, nobody listens at the proxy's port either. */
void soak_proxy_set_open (SoakProxy *proxy, gboolean open);

/* Its server runs: listens again if that was missed. */
void soak_proxy_reopen (SoakProxy *proxy);

/* Connections that stand now go silent for good; new ones work. */
void soak_proxy_lose (SoakProxy *proxy);
void soak_proxy_reset (SoakProxy *proxy);

/* @timer has come due; passes the bytes on that waited. */
void soak_proxy_on_timer (MrTimer *timer);
