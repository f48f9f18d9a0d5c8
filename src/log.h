/* Structured log on standard output: one JSON object per line, with numbered events.
 *
 * A line looks like {"time":MS,"level":N,"event":"E1234",...}.  Event numbers do not change; they
 * are listed in docs/EVENTS.md.  The log is rate-limited: each event number is allowed LOG_BURST
 * lines per second, and the first line after a second with more of them gives the number of
 * suppressed lines as "left_out".  Logging never blocks: while nothing reads the output, lines are
 * dropped and counted as "dropped". */
#pragma once

#include "text.h"

typedef enum
{
  MR_LOG_ERROR = 3,
  MR_LOG_WARNING = 4,
  MR_LOG_NOTICE = 5,
  MR_LOG_INFO = 6,
  MR_LOG_DEBUG = 7,
} MrLogLevel;

typedef enum
{
  MR_EVENT_STARTED = 1000,
  MR_EVENT_READY = 1001,
  MR_EVENT_STOPPING = 1002,
  MR_EVENT_STOPPED = 1003,
  MR_EVENT_LIBRARY_MESSAGE = 1004,
  MR_EVENT_RELOADED = 1005,
  MR_EVENT_STOP_SUMMARY = 1006,
  MR_EVENT_MEMBER_ALIVE = 1100,
  MR_EVENT_MEMBER_SUSPECT = 1101,
  MR_EVENT_MEMBER_DEAD = 1102,
  MR_EVENT_MEMBER_LEFT = 1103,
  MR_EVENT_SUSPICION_REFUTED = 1104,
  MR_EVENT_PEER_MESSAGE_INVALID = 1105,
  MR_EVENT_TRAFFIC = 1106,
  MR_EVENT_OBJECT_NEW = 1200,
  MR_EVENT_OBJECT_OUTDATED = 1201,
  MR_EVENT_OBJECT_INVALID = 1202,
  MR_EVENT_DOCUMENT_ACCEPTED = 1203,
  MR_EVENT_DOCUMENT_INVALID = 1204,
  MR_EVENT_WRITE_OUTCOME_UNKNOWN = 1205,
  MR_EVENT_CONFIGURATION_APPLIED = 1206,
  MR_EVENT_ENTRY_UNUSABLE = 1207,
  MR_EVENT_EVACUATION = 1208,
  MR_EVENT_PLATFORM_UNREACHABLE = 1300,
  MR_EVENT_PLATFORM_REACHABLE = 1301,
  MR_EVENT_START_INCOMPLETE = 1302,
  MR_EVENT_STORE_ERA = 1303,
  MR_EVENT_ANSWER_OUTDATED = 1304,
  MR_EVENT_ENTRY_HELD = 1305,
  MR_EVENT_WATCHER_ROLE = 1306,
  MR_EVENT_LISTING_STALLED = 1307,
  MR_EVENT_TARGET_SUSPECT = 1400,
  MR_EVENT_TARGET_DOWN = 1401,
  MR_EVENT_TARGET_UP = 1402,
  MR_EVENT_TARGET_LEAVING = 1403,
  MR_EVENT_CONNECTION_SILENT = 1404,
  MR_EVENT_REPLY_DISCARDED = 1405,
  MR_EVENT_TARGET_ADDED = 1406,
  MR_EVENT_CONNECT_FAILED = 1407,
  MR_EVENT_TARGET_RESTARTED = 1408,
  MR_EVENT_TARGET_ENDED = 1409,
  MR_EVENT_QUARANTINE_EVIDENCE = 1410,
  MR_EVENT_QUARANTINE_LIFTED = 1411,
  MR_EVENT_PROBE_RESET = 1412,
  MR_EVENT_STAGED_SEARCHES = 1413,
  MR_EVENT_RESPONSE_TOO_LARGE = 1414,
  MR_EVENT_RESPONSE_MALFORMED = 1415,
  MR_EVENT_OWNER_SILENT = 1500,
  MR_EVENT_ORDER_UNKNOWN = 1600,
  MR_EVENT_REQUEST_SERVED = 1700,
  MR_EVENT_REQUEST_PARTIAL = 1701,
  MR_EVENT_REQUEST_REFUSED = 1702,
  MR_EVENT_REQUEST_FAILED = 1703,
  MR_EVENT_REQUEST_TIMEOUT = 1704,
  MR_EVENT_CALLER_DISCONNECTED = 1705,
  MR_EVENT_NO_ROUTE = 1706,
  MR_EVENT_EARLY_REQUESTS = 1707,
  MR_EVENT_REQUEST_UNANSWERED = 1708,
  MR_EVENT_REQUEST_MALFORMED = 1709,
  MR_EVENT_LIMIT_REFUSED = 1800,
  MR_EVENT_LIMIT_COUNTER = 1801,
  MR_EVENT_LIMIT_FENCE = 1802,
  MR_EVENT_DENIAL_CHECK = 1803,
} MrEvent;

/* Suppresses lines with a level above @level; the default is MR_LOG_INFO. */
void mr_log_set_level (MrLogLevel level);

/* Writes a line with the formatted text as its only field, "message". */
void mr_log (MrLogLevel level, MrEvent event, const char *format, ...) G_GNUC_PRINTF (3, 4);

/* A line with arbitrary fields, which mr_log_end () writes and frees. */
typedef struct _MrLogLine MrLogLine;

/* Returns NULL if the line is suppressed; the functions below accept NULL. */
MrLogLine *mr_log_begin (MrLogLevel level, MrEvent event);
void mr_log_text (MrLogLine *line, const char *key, MrText value);
void mr_log_number (MrLogLine *line, const char *key, gint64 value);
/* @json: a value that is already encoded as JSON. */
void mr_log_json (MrLogLine *line, const char *key, MrText json);
void mr_log_end (MrLogLine *line);
