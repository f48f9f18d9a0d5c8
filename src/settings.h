/* Settings of the daemon: flags, then environment variables, then defaults;
 * all checked before anything starts. */
#pragma once

#include "status.h"

typedef struct
{
  char *name;   /* stable over restarts; a-z, 0-9 and '-' */
  char *ip;     /* that others reach this process by */
  char *domain; /* failure domain */
  char *region;
  int http_port; /* callers and operators */
  int peer_port; /* other daemons */
  char *platform_ip;
  int platform_port;
  char **seeds; /* "ip:port" of peers, NULL-terminated; a last resort */
  int keep_ms;  /* how long callers may keep an address answer */
  int ticket_life_ms;
  int record_life_ms;
  int max_records;
  int max_connections; /* to targets, all together */
  int max_requests;    /* being served at once */
  int capacity;        /* thousandths of a core; 0: not known */
  char *content_key;   /* text that keys fingerprints; the same on all daemons */
  int log_level;       /* syslog: 3 error to 7 debug */
  gboolean check;      /* check the settings and exit */
  /* The whole system starts for the first time; FALSE if that is not known.  Nobody
   * waits for it yet. */
  gboolean first_start;
} MrSettings;

/* Parses @argv over the environment; prints help and exits on --help. */
MrStatus mr_settings_parse (int argc, char **argv, MrSettings *settings);
void mr_settings_clear (MrSettings *settings);

/* Of fingerprints, which daemons compare: nothing that differs between daemons goes in. */
guint64 mr_settings_content_key (const MrSettings *settings);

/* Splits "ip:port"; the ip is a new string. */
MrStatus mr_settings_split_address (const char *text, char **ip, int *port);
