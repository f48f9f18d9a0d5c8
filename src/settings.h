/* Settings of the daemon.
 *
 * A value comes from its command-line flag, else from its environment variable, else from its
 * default.  All values are checked before any task starts. */
#pragma once

#include "status.h"

typedef struct
{
  char *name;   /* the same after a restart; a-z, 0-9 and '-' */
  char *ip;     /* at which callers and other daemons reach this process */
  char *domain; /* failure domain */
  char *region;
  int http_port; /* for callers and operators */
  int peer_port; /* for other daemons */
  char *platform_ip;
  int platform_port;
  char **seeds; /* "ip:port" of peers to join when the list of VMs can't be read; NULL-terminated */
  int keep_ms;  /* how long callers may cache a list of daemon addresses */
  int grace_ms; /* from SIGTERM until the process may be killed */
  int ticket_life_ms;  /* from the issue of a ticket to its first use at the latest */
  int record_life_ms;  /* how long the result of an order is kept after ticket_life_ms */
  int max_records;     /* order records; an order that would need one more is refused */
  int max_connections; /* to all targets together */
  int max_requests;    /* served concurrently */
  int capacity;        /* CPU available to this daemon, in thousandths of a core; 0: unknown */
  char *content_key;   /* key for fingerprints of requests, as text; the same on all daemons */
  int log_level;       /* syslog severity: 3 error to 7 debug */
  gboolean check_only; /* only check the settings, then exit */
  /* The whole fleet starts for the first time, so no callers are waiting; FALSE if that is
   * unknown. */
  gboolean first_start;
} MrSettings;

/* Reads the settings from @argv, the environment and the defaults.  Prints the help text and
 * exits the process on --help or an unknown flag.  @settings is to be cleared also after a failure.
 */
MrStatus mr_settings_parse (int argc, char **argv, MrSettings *settings);
void mr_settings_clear (MrSettings *settings);

/* Hash of content_key, which keys fingerprints.  Daemons compare fingerprints with each other, so
 * it must not depend on any setting that differs between daemons. */
guint64 mr_settings_content_key_hash (const MrSettings *settings);

/* Splits "ip:port" with a numeric IPv4 address.  The caller frees @ip. */
MrStatus mr_settings_split_address (const char *text, char **ip, int *port);
