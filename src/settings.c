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
  int key; /* of argp */
  const char *flag;
  const char *variable;
  const char *fallback; /* NULL: must be given */
  SettingType type;
  gint64 least;
  gint64 most;
  size_t offset;
  const char *help;
} Setting;

enum
{
  KEY_CHECK = 'c',
  KEY_FIRST = 1000,
};

#define PLACE(member) .offset = offsetof (MrSettings, member)

static const Setting settings_table[] = {
  { 'n', "name", "MERLINRING_NAME", NULL, SETTING_NAME, 0, 0, PLACE (name),
    "Name of this daemon, the same after a restart" },
  { 'i', "ip", "MERLINRING_IP", NULL, SETTING_IP, 0, 0, PLACE (ip),
    "IP number that callers and other daemons use" },
  { 'd', "domain", "MERLINRING_DOMAIN", NULL, SETTING_NAME, 0, 0, PLACE (domain),
    "Failure domain of this VM" },
  { 'r', "region", "MERLINRING_REGION", "default", SETTING_NAME, 0, 0, PLACE (region),
    "Region of this VM" },
  { 'p', "http-port", "MERLINRING_HTTP_PORT", "8080", SETTING_NUMBER, 1, 65535, PLACE (http_port),
    "TCP port for callers and operators" },
  { 'q', "peer-port", "MERLINRING_PEER_PORT", "8081", SETTING_NUMBER, 1, 65535, PLACE (peer_port),
    "TCP port for other daemons" },
  { 'P', "platform", "MERLINRING_PLATFORM", NULL, SETTING_ADDRESS, 0, 0, PLACE (platform_ip),
    "Address of the platform's object API" },
  { 's', "seeds", "MERLINRING_SEEDS", "", SETTING_ADDRESSES, 0, 0, PLACE (seeds),
    "Peer addresses to join by when the list of VMs can't be read, separated "
    "by commas" },
  { KEY_FIRST + 1, "keep-ms", "MERLINRING_KEEP_MS", "5000", SETTING_NUMBER, 100, 600000,
    PLACE (keep_ms), "How long callers may keep an address answer" },
  { KEY_FIRST + 2, "ticket-life-ms", "MERLINRING_TICKET_LIFE_MS", "60000", SETTING_NUMBER, 1000,
    3600000, PLACE (ticket_life_ms), "How long a ticket may be presented first" },
  { KEY_FIRST + 3, "record-life-ms", "MERLINRING_RECORD_LIFE_MS", "600000", SETTING_NUMBER, 1000,
    86400000, PLACE (record_life_ms), "How long an order's result is kept after that" },
  { KEY_FIRST + 4, "max-records", "MERLINRING_MAX_RECORDS", "100000", SETTING_NUMBER, 1, 10000000,
    PLACE (max_records), "Most order records; more orders are refused, not run" },
  { KEY_FIRST + 5, "max-connections", "MERLINRING_MAX_CONNECTIONS", "1024", SETTING_NUMBER, 16,
    60000, PLACE (max_connections), "Most connections to targets" },
  { KEY_FIRST + 6, "max-requests", "MERLINRING_MAX_REQUESTS", "2000", SETTING_NUMBER, 16, 60000,
    PLACE (max_requests), "Most callers' requests at once" },
  { KEY_FIRST + 7, "content-key", "MERLINRING_CONTENT_KEY", "merlinring", SETTING_NAME, 0, 0,
    PLACE (content_key), "Keys the fingerprints of requests; the same on all daemons" },
  { 'l', "log-level", "MERLINRING_LOG_LEVEL", "6", SETTING_NUMBER, 3, 7, PLACE (log_level),
    "3 error, 4 warning, 5 notice, 6 info, 7 debug" },
};

typedef struct
{
  const char *values[G_N_ELEMENTS (settings_table)];
  gboolean check;
} Parsed;

static error_t
S_parse_option (int key, char *arg, struct argp_state *state)
{
  Parsed *parsed = state->input;
  if (key == KEY_CHECK)
    {
      parsed->check = TRUE;
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++)
    if (settings_table[i].key == key)
      {
        parsed->values[i] = arg;
        return 0;
      }
  return ARGP_ERR_UNKNOWN;
}

MrStatus
mr_settings_split_address (const char *text, char **ip, int *port)
{
  const char *colon = strrchr (text, ':');
  guint64 number = 0;
  unsigned char parsed[sizeof (struct in6_addr)];
  if (colon && mr_text_parse_u64 (mr_text (colon + 1), &number) && number >= 1 && number <= 65535)
    {
      g_autofree char *host = g_strndup (text, (gsize) (colon - text));
      if (inet_pton (AF_INET, host, parsed) == 1)
        {
          *ip = g_steal_pointer (&host);
          *port = (int) number;
          return MR_OK;
        }
    }
  return mr_fail (MR_ERROR_INVALID, "value '%s', expected IP:PORT", text);
}

static MrStatus
S_read_addresses (const char *text, char ***out)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  g_autoptr (GPtrArray) list = g_ptr_array_new ();
  for (char **part = parts; *part; part++)
    {
      char *ip = NULL;
      int port = 0;
      if (**part == '\0')
        continue;
      if (mr_settings_split_address (*part, &ip, &port) != MR_OK)
        {
          g_ptr_array_foreach (list, (GFunc) (void (*) (void)) g_free, NULL);
          return MR_ERROR_INVALID;
        }
      g_free (ip);
      g_ptr_array_add (list, g_strdup (*part));
    }
  g_ptr_array_add (list, NULL);
  *out = (char **) g_ptr_array_free (g_steal_pointer (&list), FALSE);
  return MR_OK;
}

static MrStatus
S_read_number (const Setting *setting, const char *text, int *out)
{
  guint64 number = 0;
  if (!mr_text_parse_u64 (mr_text (text), &number) || number < (guint64) setting->least ||
      number > (guint64) setting->most)
    return mr_fail (MR_ERROR_INVALID,
                    "value '%s', expected a whole number from %" G_GINT64_FORMAT
                    " to %" G_GINT64_FORMAT,
                    text, setting->least, setting->most);
  *out = (int) number;
  return MR_OK;
}

static MrStatus
S_read_value (const Setting *setting, const char *text, MrSettings *settings)
{
  void *place = (char *) settings + setting->offset;
  unsigned char parsed[sizeof (struct in6_addr)];
  switch (setting->type)
    {
    case SETTING_NAME:
      if (!mr_name_valid (mr_text (text)))
        return mr_fail (MR_ERROR_INVALID, "value '%s', expected 1 to %d of a-z, 0-9 and '-'", text,
                        MR_NAME_MAX);
      *(char **) place = g_strdup (text);
      return MR_OK;
    case SETTING_IP:
      if (inet_pton (AF_INET, text, parsed) != 1)
        return mr_fail (MR_ERROR_INVALID, "value '%s', expected an IP number", text);
      *(char **) place = g_strdup (text);
      return MR_OK;
    case SETTING_ADDRESS:
      return mr_settings_split_address (text, &settings->platform_ip, &settings->platform_port);
    case SETTING_ADDRESSES:
      return S_read_addresses (text, &settings->seeds);
    case SETTING_NUMBER:
      return S_read_number (setting, text, place);
    }
  return MR_ERROR_INVALID;
}

static MrStatus
S_read_setting (const Setting *setting, const char *flag_value, MrSettings *settings)
{
  const char *text = flag_value;
  if (!text)
    text = getenv (setting->variable);
  if (!text)
    text = setting->fallback;
  if (!text)
    return mr_fail (MR_ERROR_INVALID, "--%s (or %s): missing", setting->flag, setting->variable);
  MrStatus status = S_read_value (setting, text, settings);
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
                                 setting->fallback ? ", default " : "",
                                 setting->fallback ? setting->fallback : "");
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
    .doc = "Query tier over many shards.\vFlags go before environment "
           "variables, these before "
           "defaults.",
  };
  Parsed parsed = { 0 };
  *settings = (MrSettings){ 0 };
  argp_parse (&argp, argc, argv, 0, NULL, &parsed);
  settings->check = parsed.check;
  MrStatus status = MR_OK;
  for (size_t i = 0; i < G_N_ELEMENTS (settings_table); i++)
    {
      if (status == MR_OK)
        status = S_read_setting (&settings_table[i], parsed.values[i], settings);
      g_free (docs[i]);
    }
  if (status == MR_OK && settings->http_port == settings->peer_port)
    status = mr_fail (MR_ERROR_INVALID, "--peer-port: value %d is the http port already",
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
mr_settings_content_key (const MrSettings *settings)
{
  const char *text = settings->content_key ? settings->content_key : "";
  return XXH3_64bits (text, strlen (text));
}
