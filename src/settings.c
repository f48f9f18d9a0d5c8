#include "settings.h"

#include "document.h"
#include <argp.h>
#include <arpa/inet.h>
#include <stddef.h>
#include <stdlib.h>
#include <xxhash.h>

typedef enum
{
  SETTING_NAME,
  SETTING_IP,
  SETTING_ADDRESS,
  SETTING_ADDRESSES,
  SETTING_NUMBER,
} SettingType;

typedef struct
{
  int key; /* argp key */
  const char *flag;
  const char *variable;
  const char *default_value; /* NULL: the setting is mandatory */
  SettingType type;
  gint64 min;
  gint64 max;
  size_t offset;
  const char *help;
} Setting;

enum
{
  KEY_CHECK = 'c',
  KEY_LONG_ONLY = 1000,
};

#define FIELD(member) .offset = offsetof (MrSettings, member)

static const Setting settings_table[] = {
  { 'n', "name", "MERLINRING_NAME", NULL, SETTING_NAME, 0, 0, FIELD (name),
    "Name of this daemon, the same after a restart" },
  { 'i', "ip", "MERLINRING_IP", NULL, SETTING_IP, 0, 0, FIELD (ip),
    "IP address at which callers and other daemons reach this one" },
  { 'd', "domain", "MERLINRING_DOMAIN", NULL, SETTING_NAME, 0, 0, FIELD (domain),
    "Failure domain of this VM" },
  { 'r', "region", "MERLINRING_REGION", "default", SETTING_NAME, 0, 0, FIELD (region),
    "Region of this VM" },
  { 'p', "http-port", "MERLINRING_HTTP_PORT", "8080", SETTING_NUMBER, 1, 65535, FIELD (http_port),
    "TCP port for callers and operators" },
  { 'q', "peer-port", "MERLINRING_PEER_PORT", "8081", SETTING_NUMBER, 1, 65535, FIELD (peer_port),
    "TCP port for other daemons" },
  { 'P', "platform", "MERLINRING_PLATFORM", NULL, SETTING_ADDRESS, 0, 0, FIELD (platform_ip),
    "Address of the platform's object API" },
  { 's', "seeds", "MERLINRING_SEEDS", "", SETTING_ADDRESSES, 0, 0, FIELD (seeds),
    "Addresses of peers to join when the list of VMs can't be read, separated by commas" },
  { KEY_LONG_ONLY + 1, "keep-ms", "MERLINRING_KEEP_MS", "5000", SETTING_NUMBER, 100, 600000,
    FIELD (keep_ms), "How long callers may cache the addresses of daemons" },
  { KEY_LONG_ONLY + 2, "ticket-life-ms", "MERLINRING_TICKET_LIFE_MS", "60000", SETTING_NUMBER, 1000,
    3600000, FIELD (ticket_life_ms),
    "How long after its issue a ticket can be used for the first time" },
  { KEY_LONG_ONLY + 3, "record-life-ms", "MERLINRING_RECORD_LIFE_MS", "600000", SETTING_NUMBER,
    1000, 86400000, FIELD (record_life_ms),
    "How long the result of an order is kept after --ticket-life-ms" },
  { KEY_LONG_ONLY + 4, "max-records", "MERLINRING_MAX_RECORDS", "100000", SETTING_NUMBER, 1,
    10000000, FIELD (max_records),
    "Maximum number of order records; further orders are refused without being run" },
  { KEY_LONG_ONLY + 5, "max-connections", "MERLINRING_MAX_CONNECTIONS", "1024", SETTING_NUMBER, 16,
    60000, FIELD (max_connections), "Maximum number of connections to targets" },
  { KEY_LONG_ONLY + 6, "max-requests", "MERLINRING_MAX_REQUESTS", "2000", SETTING_NUMBER, 16, 60000,
    FIELD (max_requests), "Maximum number of concurrent requests from callers" },
  { KEY_LONG_ONLY + 7, "content-key", "MERLINRING_CONTENT_KEY", "merlinring", SETTING_NAME, 0, 0,
    FIELD (content_key), "Key for the fingerprints of requests; must be the same on all daemons" },
  { KEY_LONG_ONLY + 8, "grace-ms", "MERLINRING_GRACE_MS", "30000", SETTING_NUMBER, 3000, 600000,
    FIELD (grace_ms),
    "Time after SIGTERM at which the supervisor kills the process; a planned stop ends before it" },
  { 'l', "log-level", "MERLINRING_LOG_LEVEL", "6", SETTING_NUMBER, 3, 7, FIELD (log_level),
    "Least severe level that is logged: 3 error, 4 warning, 5 notice, 6 info, 7 debug" },
};

typedef struct
{
  const char *values[G_N_ELEMENTS (settings_table)];
  gboolean check;
} CommandLine;

static error_t
S_parse_option (int key, char *arg, struct argp_state *state)
{
  CommandLine *command_line = state->input;
  if (key == KEY_CHECK)
    {
      command_line->check = TRUE;
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++)
    if (settings_table[i].key == key)
      {
        command_line->values[i] = arg;
        return 0;
      }
  return ARGP_ERR_UNKNOWN;
}

MrStatus
mr_settings_split_address (const char *text, char **ip, int *port)
{
  const char *colon = strrchr (text, ':');
  guint64 number = 0;
  unsigned char binary_address[sizeof (struct in6_addr)];
  if (colon && mr_text_parse_u64 (mr_text (colon + 1), &number) && number >= 1 && number <= 65535)
    {
      g_autofree char *host = g_strndup (text, (gsize) (colon - text));
      if (inet_pton (AF_INET, host, binary_address) == 1)
        {
          *ip = g_steal_pointer (&host);
          *port = (int) number;
          return MR_OK;
        }
    }
  return mr_fail (MR_ERROR_INVALID, "value '%s', expected IP:PORT", text);
}

static MrStatus
S_parse_addresses (const char *text, char ***out)
{
  g_auto (GStrv) items = g_strsplit (text, ",", -1);
  g_autoptr (GPtrArray) list = g_ptr_array_new ();
  for (char **item = items; *item; item++)
    {
      char *ip = NULL;
      int port = 0;
      if (**item == '\0')
        continue;
      if (mr_settings_split_address (*item, &ip, &port) != MR_OK)
        {
          g_ptr_array_foreach (list, (GFunc) (void (*) (void)) g_free, NULL);
          return MR_ERROR_INVALID;
        }
      g_free (ip);
      g_ptr_array_add (list, g_strdup (*item));
    }
  g_ptr_array_add (list, NULL);
  *out = (char **) g_ptr_array_free (g_steal_pointer (&list), FALSE);
  return MR_OK;
}

static MrStatus
S_parse_number (const Setting *setting, const char *text, int *out)
{
  guint64 number = 0;
  if (!mr_text_parse_u64 (mr_text (text), &number) || number < (guint64) setting->min ||
      number > (guint64) setting->max)
    return mr_fail (MR_ERROR_INVALID,
                    "value '%s', expected a whole number from %" G_GINT64_FORMAT
                    " to %" G_GINT64_FORMAT,
                    text, setting->min, setting->max);
  *out = (int) number;
  return MR_OK;
}

static MrStatus
S_parse_value (const Setting *setting, const char *text, MrSettings *settings)
{
  void *field = (char *) settings + setting->offset;
  unsigned char parsed[sizeof (struct in6_addr)];
  switch (setting->type)
    {
    case SETTING_NAME:
      if (!mr_name_valid (mr_text (text)))
        return mr_fail (MR_ERROR_INVALID, "value '%s', expected 1 to %d of a-z, 0-9 and '-'", text,
                        MR_NAME_MAX);
      *(char **) field = g_strdup (text);
      return MR_OK;
    case SETTING_IP:
      if (inet_pton (AF_INET, text, parsed) != 1)
        return mr_fail (MR_ERROR_INVALID, "value '%s', expected an IPv4 address", text);
      *(char **) field = g_strdup (text);
      return MR_OK;
    case SETTING_ADDRESS:
      return mr_settings_split_address (text, &settings->platform_ip, &settings->platform_port);
    case SETTING_ADDRESSES:
      return S_parse_addresses (text, &settings->seeds);
    case SETTING_NUMBER:
      return S_parse_number (setting, text, field);
    }
  return MR_ERROR_INVALID;
}

static MrStatus
S_parse_setting (const Setting *setting, const char *flag_value, MrSettings *settings)
{
  const char *text = flag_value;
  if (!text)
    text = getenv (setting->variable);
  if (!text)
    text = setting->default_value;
  if (!text)
    return mr_fail (MR_ERROR_INVALID, "--%s (or %s): missing", setting->flag, setting->variable);
  MrStatus status = S_parse_value (setting, text, settings);
  if (status == MR_OK)
    return MR_OK;
  g_autofree char *reason = g_strdup (mr_status_message ());
  return mr_fail (status, "--%s (or %s): %s", setting->flag, setting->variable, reason);
}

MrStatus
mr_settings_parse (int argc, char **argv, MrSettings *settings)
{
  struct argp_option options[G_N_ELEMENTS (settings_table) + 2] = { 0 };
  char *docs[G_N_ELEMENTS (settings_table)];
  for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++)
    {
      const Setting *setting = &settings_table[i];
      docs[i] = g_strdup_printf ("%s (%s%s%s)", setting->help, setting->variable,
                                 setting->default_value ? ", default " : "",
                                 setting->default_value ? setting->default_value : "");
      options[i] = (struct argp_option){
        .name = setting->flag,
        .key = setting->key,
        .arg = "VALUE",
        .doc = docs[i],
      };
    }
  options[G_N_ELEMENTS (settings_table)] = (struct argp_option){
    .name = "check",
    .key = KEY_CHECK,
    .doc = "Check the settings and exit",
  };
  struct argp argp = {
    .options = options,
    .parser = S_parse_option,
    .doc = "Query tier over many shards.\vA flag takes precedence over its environment variable, "
           "which takes precedence over the default.",
  };
  CommandLine command_line = { 0 };
  *settings = (MrSettings){ 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &command_line);
  settings->check_only = command_line.check;
  MrStatus status = MR_OK;
  for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++)
    {
      if (status == MR_OK)
        status = S_parse_setting (&settings_table[i], command_line.values[i], settings);
      g_free (docs[i]);
    }
  if (status == MR_OK && settings->http_port == settings->peer_port)
    status = mr_fail (MR_ERROR_INVALID, "--peer-port: value %d is also the --http-port",
                      settings->peer_port);
  return status;
}

void
mr_settings_clear (MrSettings *settings)
{
  g_free (settings->name);
  g_free (settings->ip);
  g_free (settings->domain);
  g_free (settings->region);
  g_free (settings->platform_ip);
  g_free (settings->content_key);
  g_strfreev (settings->seeds);
  *settings = (MrSettings){ 0 };
}

guint64
mr_settings_content_key_hash (const MrSettings *settings)
{
  const char *text = settings->content_key ? settings->content_key : "";
  return XXH3_64bits (text, strlen (text));
}
