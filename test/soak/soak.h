/* Internal declarations of the fault soak:
 *   soak.c            main loop and the checks at the end of the run
 *   soak_processes.c  starts the processes and sends them operator requests
 *   soak_callers.c    callers and the checks of each response
 *   soak_keys.c       organisations, their keys and limits, and the checks of these
 *   soak_faults.c     faults of the processes, their network paths and clocks
 *   soak_stops.c      planned stops of relays as faults, and the checks of these
 *   soak_long.c       callers of long requests, which planned stops meet */
#pragma once

#include "http_message.h"
#include "proxy.h"
#include "stream.h"

#include <sys/types.h>

#ifndef SOAK_RELAYS
#define SOAK_RELAYS 3
#endif

enum
{
  /* Offsets from the first port, which is an argument. */
  STORE_PORT = 0,
  STORE_PROXY = 10, /* one for each relay */
  SEARCHER_PORT = 100,
  SEARCHER_PROXY = 200, /* one for each searcher; the address that is registered */
  RELAY_PORT = 300,     /* ten for each relay: front, ready, directory, control */
  SERVICES = 3,
  SHARD_SEARCHERS = 6, /* two for each service, in different failure domains */
  SEARCHERS = 8,       /* the last two are of the service of long requests, which merges nothing */
  RELAYS = SOAK_RELAYS,
  GRACE_SECONDS = 3,      /* grace period of a planned stop */
  LONG_TIMEOUT_MS = 5000, /* time limit of the route of long requests */
  REQUESTS_PER_SECOND = 80,
  RECORDS = 8,
  TOP_K = 4,
  ID_BYTES = 24,
};

typedef struct Soak Soak;

typedef struct
{
  pid_t pid;
  MrTime last_disturbed; /* last signal, start or fault of its network path */
  MrTime recovers_at;    /* when it is continued or restarted; 0: it runs */
  gboolean stopped;      /* by SIGSTOP */
  guint generation;      /* of a searcher */
  gint64 started_ms;     /* of a searcher, since 1970 */
} Child;

/* Requests that crash every searcher that starts them; all have the same content. */
typedef struct
{
  GRand *random; /* separate, so that the other faults of a seed do not depend on it */
  MrTime next;
  guint crashes; /* of searchers */
  MrTime third_crash;
  GHashTable *late_ids; /* ids sent when the relay must know of the quarantine */
} CrashingRequests;

/* All relays are killed at once; only what is in the store by then survives. */
typedef struct
{
  GRand *random; /* separate, as for crashing requests */
  MrTime next;
  MrTime killed_at;            /* 0: never */
  MrTime store_last_disturbed; /* last fault of the store or of a relay's path to it */
  gboolean quarantine_stored;  /* at that time the store had the quarantine */
} RelayLoss;

/* Evacuation of a failure domain: its searchers must not get requests. */
typedef struct
{
  GRand *random; /* separate, as for crashing requests */
  MrTime next;   /* when the next evacuation begins, or the current one ends */
  MrTime since;  /* 0: no domain is evacuated */
  guint domain;
  GHashTable *sent;            /* id -> SoakEvacuatedRequest, of requests whose relay must know */
  MrTime store_last_disturbed; /* last fault of the store */
  MrTime path_last_disturbed[RELAYS]; /* last fault of a relay's path to the store */
} Evacuation;

typedef struct
{
  guint domain;
  MrTime sent_at;
} SoakEvacuatedRequest;

/* The store comes back from a copy; operators and searchers then write again what it has lost. */
typedef struct
{
  GRand *random;     /* separate, as for crashing requests */
  MrTime copy_at;    /* when the next copy is taken; MR_NEVER: it has been */
  MrTime restore_at; /* when the store goes back to it */
  MrTime rewrite_at; /* when all is written again; 0: nothing is missing */
} StoreRestore;

enum
{
  ORGANISATIONS = 4,
  LIMITED_ORGANISATION = 0, /* has a rate limit */
};

typedef struct
{
  char text[ID_BYTES];
  guint organisation;
  gboolean permanent;    /* in every version */
  guint added_version;   /* of the configuration; 0: never */
  guint removed_version; /* 0: not removed */
  /* Since when all undisturbed relays must have that version; 0: unknown. */
  MrTime added_known_at;
  MrTime added_at; /* when the store acknowledged that version; 0: it has not yet */
  MrTime removed_known_at;
  MrTime removed_at;
} SoakKey;

/* Organisations and keys, which new versions of the configuration add and remove. */
typedef struct
{
  GRand *random;                /* separate, as for crashing requests */
  gboolean in_use;              /* the configuration has organisations */
  MrTime next;                  /* when keys change next */
  GPtrArray *keys;              /* SoakKey, all that there ever were */
  MrTime published_at;          /* when the store acknowledged the newest version */
  guint shown_versions[RELAYS]; /* that a relay has, as shown by a served request */
  GHashTable *expected;         /* id -> organisation + 1; 0: the request must reach no searcher */
  GHashTable *limited;          /* id -> first send of the limited one that was not refused, ms */
  guint checked_removed;
  guint checked_valid;
} Keys;

/* A process of a relay from its start to its end.  Times are 0 until the event. */
typedef struct
{
  guint relay;
  guint number; /* of its first line in the relay's log */
  pid_t pid;
  MrTime started;
  MrTime stopped_at;   /* first SIGTERM */
  MrTime killed_at;    /* by the soak */
  MrTime frozen_at;    /* last SIGSTOP */
  MrTime resumed_at;   /* after it; MR_NEVER: not yet */
  MrTime ended_at;     /* by itself */
  int wait_status;     /* then */
  MrTime stall;        /* longest during its stop, of the thread that watches its end */
  gboolean slow_reads; /* a caller may have been reading at the end of the stop */
} RelayLife;

typedef struct _LongCallers LongCallers;

/* Planned stops, in series and overlapping, and the long requests that they meet.  The mutex
 * protects the lives, which the thread of the long callers reads. */
typedef struct
{
  GRand *random; /* separate, as for crashing requests */
  GMutex mutex;
  GPtrArray *lives; /* RelayLife, all that there ever were */
  RelayLife *current[RELAYS];
  gboolean enabled;
  MrTime next;               /* when the next series begins */
  MrTime next_target;        /* when a searcher of long requests gets its next fault */
  MrTime due[RELAYS];        /* when the relay gets SIGTERM; 0: not planned */
  gboolean stopping[RELAYS]; /* by a series: restarts when its process has ended */
  gboolean restarting[RELAYS];
  MrTime second_due[RELAYS]; /* of a signal after SIGTERM; 0: none */
  int second_signal[RELAYS];
  LongCallers *callers;
} Stops;

/* Outcome of an order as reported to the caller. */
typedef enum
{
  ORDER_OPEN,
  ORDER_DONE,
  ORDER_REFUSED,
  ORDER_UNKNOWN,
} OrderOutcome;

struct Soak
{
  MrLoopHandler handler;
  MrLoop *loop;
  MrTimers *timers; /* Caller */
  MrTimers *proxy_timers;
  GRand *random;
  const char *build;
  const char *only_mode; /* sets all searchers to this mode instead of injecting faults */
  char *directory;
  Child store;
  Child searchers[SEARCHERS];
  Child relays[RELAYS];
  gint64 *clock_offsets[RELAYS]; /* offset of a relay's wall clock, us; NULL: library not built */
  SoakProxy *store_proxies[RELAYS];
  SoakProxy *searcher_proxies[SEARCHERS];
  MrTime proxies_recover_at[RELAYS + SEARCHERS];
  GQueue idle[RELAYS]; /* Caller */
  GHashTable *orders;  /* id -> OrderOutcome */
  GHashTable *sent;    /* set of ids */
  guint64 last_id;
  guint version;
  gboolean three_services; /* the configuration has three services */
  MrTime now;
  MrTime start;
  CrashingRequests crasher;
  RelayLoss loss;
  Evacuation evacuation;
  StoreRestore restore;
  Keys keys;
  Stops stops;
  MrTime next_tick;
  MrTime longest_stall; /* of this process, when it was not scheduled */
  MrTime next_request;
  MrTime next_fault;
  MrTime faults_end;
  MrTime end;
  MrTime store_recovers_at;
  guint responses;
  guint served;
  guint violations; /* of the checked guarantees */
  gboolean recovery_started;
  guint complete_responses[RELAYS];
};

/* All ports are this one plus an offset from above. */
extern int soak_first_port;

void soak_violation (Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
void soak_log (const Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
guint soak_random_below (Soak *s, guint below);
MrTime soak_random_time (Soak *s, double min_ms, double max_ms);

void soak_start_standin (
    Soak *s, Child *child, const char *role, int port, const char *id, const char *log);
void soak_start_searcher (Soak *s, guint index);
void soak_start_relay (Soak *s, guint index);
void soak_unregister_searcher (Soak *s, guint index);
/* Writes again the entries of all searchers, and removes those of their earlier processes. */
void soak_rewrite_searchers (Soak *s);
/* Sends an operator's request to a stand-in and waits for the response. */
void soak_http_send (int port, const char *method, const char *path, const char *body);
/* Returns the body of GET @path, to be freed by the caller; empty on failure. */
char *soak_http_get (int port, const char *path);
/* Publishes the next configuration version, with two or three services. */
void soak_publish_configuration (Soak *s);

/* Writes the newest configuration again. */
void soak_rewrite_configuration (Soak *s);

/* Sends a request of random kind; the response is checked when it arrives. */
void soak_send_request (Soak *s);
/* Sends a request that crashes every searcher that starts it. */
void soak_send_crashing_request (Soak *s);
/* Reaps crashed searchers and schedules their restart. */
void soak_reap_searchers (Soak *s);
/* Records the time of current faults of the store and of the relays' paths to it. */
void soak_track_store_faults (Soak *s);
void soak_kill_all_relays (Soak *s);
/* TRUE if relays restarted since all were killed can read the quarantine from the store. */
gboolean soak_store_has_quarantine (const Soak *s);
/* TRUE if at least one running relay must have received a change of the store at time @at. */
gboolean soak_change_was_received (const Soak *s, MrTime at);

void soak_keys_init (Soak *s, guint32 seed);
/* Returns the field "tenants" of the configuration with a comma; empty if there is none. */
char *soak_keys_configuration (const Soak *s);
/* Publishes a version with another key, or without one, when due. */
void soak_change_keys (Soak *s);
/* Records if the relays must have the newest version from the store. */
void soak_track_keys (Soak *s);
/* Records that @relay has served a request with @key, which shows the version that it has. */
void soak_key_was_served (Soak *s, guint relay, const SoakKey *key);
/* Forgets what a relay has shown, because its process ends. */
void soak_forget_shown_version (Soak *s, guint relay);
/* Forgets which versions relays must have, because the processes of all relays end. */
void soak_forget_known_versions (Soak *s);
/* Chooses a key for the next request: NULL, or one that may be unknown or removed. */
const SoakKey *soak_choose_key (Soak *s);
/* The key of crashing requests, which is in every version; NULL without organisations. */
const SoakKey *soak_permanent_key (const Soak *s);
/* TRUE if an undisturbed relay must refuse a request with @key that is sent now. */
gboolean soak_key_must_be_refused (const Soak *s, const SoakKey *key);
/* TRUE if an undisturbed relay must not refuse a request with @key that was sent at @sent. */
gboolean soak_key_must_be_accepted (const SoakKey *key, MrTime sent);
/* Checks a line "fields ..." of a searcher's log.  @refused: the searcher did not run the request.
 */
void soak_check_fields (Soak *s, const char *line, gboolean refused);
/* Checks the rate limit from all such lines. */
void soak_check_limit (Soak *s);

/* Called when a caller has waited too long for a response. */
void soak_on_caller_timeout (MrTimer *timer);

void soak_stops_init (Soak *s, guint32 seed);
/* Begins the faults that are due and restarts relays whose stop has ended. */
void soak_run_stops (Soak *s);
/* No further ones begin. */
void soak_end_stops (Soak *s);
/* To be called before and after a relay's process is started. */
void soak_relay_starts (Soak *s, guint index);
void soak_relay_started (Soak *s, guint index);
/* Sends a signal to a relay's process, and records it. */
void soak_signal_process (Soak *s, guint index, int number);
/* TRUE if a series of stops waits for the end of its process. */
gboolean soak_relay_is_stopping (const Soak *s, guint index);
/* Records the end of processes; with the mutex locked. */
void soak_watch_lives (Soak *s, MrTime now, MrTime stall);
/* Checks the stops, when all processes have ended. */
void soak_check_stops (Soak *s);
void soak_signal_searcher (Soak *s, guint index, int number, MrTime duration);
void soak_set_searcher_mode (Soak *s, guint index, const char *mode);

/* How the connection of a request without a complete response ended. */
typedef enum
{
  CUT_TIMED_OUT, /* it did not */
  CUT_RESET,     /* reset, or closed at about the time at which the request was sent */
  CUT_CLOSED,    /* closed in order later: the relay had read all bytes, else it would be reset */
} CutEnd;

/* A long request without a complete response. */
typedef struct
{
  char id[ID_BYTES];
  const RelayLife *life;
  MrTime sent;
  MrTime ended;
  gsize answer_bytes; /* that arrived */
  CutEnd end;
} CutRequest;

/* Starts the thread of the callers; they send @key. */
LongCallers *soak_long_callers_new (Soak *s, guint32 seed, const SoakKey *key);
/* Ends the thread.  Adds the requests to those that were sent. */
void soak_long_callers_stop (LongCallers *callers);
/* CutRequest, without those that a fault of the relay excuses. */
const GArray *soak_long_callers_cut (const LongCallers *callers);
void soak_long_callers_log (const LongCallers *callers);
/* TRUE if the process was frozen at any time from @from to @until, or shortly before. */
gboolean soak_life_was_frozen (const RelayLife *life, MrTime from, MrTime until);

/* Begins an evacuation or ends the current one. */
void soak_set_evacuation (Soak *s, gboolean begins);
/* Schedules the next copy of the store and the restore after it. */
void soak_schedule_restore (Soak *s);
/* Takes the copy, restores it, or writes again what is missing, as due. @all: writes now. */
void soak_run_restore (Soak *s, gboolean all);
/* Injects a random fault; with SOAK_ONLY set, always that mode of all searchers. */
void soak_inject_fault (Soak *s);
/* Ends the faults that are due, or all of them. */
void soak_end_faults (Soak *s, gboolean all);
