/* Inside of the fault soak, shared by its files:
 *   soak.c            the run, what is checked at its end
 *   soak_processes.c  starting, stopping and telling the processes
 *   soak_callers.c    callers and what they check of each answer
 *   soak_faults.c     what is done to the processes, their paths and clocks */
#pragma once

#include "http_message.h"
#include "proxy.h"
#include "stream.h"

#include <sys/types.h>

enum
{
  /* Beside the first port, which is given. */
  STORE_PORT = 0,
  STORE_PROXY = 10, /* one a relay */
  SEARCHER_PORT = 100,
  SEARCHER_PROXY = 200, /* one a searcher: the address that is listed */
  RELAY_PORT = 300,     /* ten a relay: front, ready, directory, control */
  SERVICES = 3,
  SEARCHERS = 6, /* two a service, each in a failure domain of its own */
  RELAYS = 3,
  REQUESTS_PER_SECOND = 80,
  RECORDS = 8,
  TOP = 4,
  ID_BYTES = 24,
};

typedef struct Soak Soak;

typedef struct
{
  pid_t pid;
  MrTime disturbed;  /* last signal, start or fault on its way */
  MrTime back_at;    /* when it is continued or started again; 0: it runs */
  gboolean stopped;  /* by SIGSTOP */
  guint generation;  /* of a searcher */
  gint64 started_ms; /* of a searcher, since 1970 */
} Child;

/* A request that ends each searcher that begins it: the same content each time. */
typedef struct
{
  GRand *random; /* its own, so that the faults of a seed are the same without it */
  MrTime next;
  guint ended; /* searchers */
  MrTime third_end;
  GHashTable *late; /* ids sent by relays that could know, later than the news takes */
} Crasher;

/* All relays are killed at one moment: what they know by then is in the store, or lost. */
typedef struct
{
  GRand *random; /* its own, as the crasher's */
  MrTime next;
  MrTime last;            /* 0: not yet */
  MrTime store_disturbed; /* or a relay's way to it, last */
  gboolean saved;         /* the store held what had ended three searchers */
} Loss;

/* A failure domain whose searchers are to get nothing. */
typedef struct
{
  GRand *random; /* its own, as the crasher's */
  MrTime next;   /* when it begins, or ends */
  MrTime since;  /* 0: none is evacuated */
  guint domain;
  GHashTable *sent;              /* id -> SoakEvacuated, of requests whose relay has to know */
  MrTime store_disturbed;        /* last */
  MrTime path_disturbed[RELAYS]; /* a relay's way to the store, last */
} Evacuation;

typedef struct
{
  guint domain;
  MrTime at;
} SoakEvacuated;

/* What became of an order. */
typedef enum
{
  ORDER_OPEN,
  ORDER_DONE,
  ORDER_REFUSED,
  ORDER_UNKNOWN,
} OrderEnd;

struct Soak
{
  MrLoopHandler host;
  MrLoop *loop;
  MrTimers *timers; /* Caller */
  MrTimers *proxy_timers;
  GRand *random;
  const char *build;
  const char *only; /* one mode of searchers in place of all faults */
  char *folder;
  Child store;
  Child searchers[SEARCHERS];
  Child relays[RELAYS];
  gint64 *clocks[RELAYS]; /* us that a relay's time of day is off by; NULL: not built */
  SoakProxy *store_proxies[RELAYS];
  SoakProxy *searcher_proxies[SEARCHERS];
  MrTime proxies_back[RELAYS + SEARCHERS];
  GQueue idle[RELAYS]; /* Caller */
  GHashTable *orders;  /* id -> OrderEnd */
  GHashTable *sent;    /* set of ids */
  guint64 last_id;
  guint version;
  gboolean wide; /* the version names three services */
  MrTime now;
  MrTime start;
  Crasher crasher;
  Loss loss;
  Evacuation evacuation;
  MrTime next_tick;
  MrTime longest_stall; /* of this process, as the machine gave it no time */
  MrTime next_request;
  MrTime next_fault;
  MrTime faults_end;
  MrTime end;
  MrTime store_back;
  guint answered;
  guint served;
  guint broken; /* promises */
  gboolean healing_checked;
  guint healed[RELAYS];
};

/* All ports are this one plus a number from above. */
extern int soak_first_port;

void soak_broken (Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
void soak_say (const Soak *s, const char *format, ...) G_GNUC_PRINTF (2, 3);
guint soak_pick (Soak *s, guint below);
MrTime soak_between (Soak *s, double least_ms, double most_ms);

void soak_start_standin (
    Soak *s, Child *child, const char *role, int port, const char *id, const char *log);
void soak_start_searcher (Soak *s, guint index);
void soak_start_relay (Soak *s, guint index);
void soak_withdraw (Soak *s, guint index);
/* A short HTTP exchange of the operator's with a stand-in; waits for it. */
void soak_tell (int port, const char *method, const char *path, const char *body);
/* What GET @path gives, new; empty if nothing. */
char *soak_fetch (int port, const char *path);
/* Puts the next version in force, with two or three services. */
void soak_configure (Soak *s);

/* Sends one request of a caller; its answer is checked when it comes. */
void soak_ask (Soak *s);
/* One that ends each searcher that begins it. */
void soak_ask_crasher (Soak *s);
/* Finds out which searchers have ended by themselves. */
void soak_note_ends (Soak *s);
/* Keeps when the store, or a relay's way to it, was disturbed last. */
void soak_note_store (Soak *s);
void soak_lose_all (Soak *s);
/* TRUE if relays that have started since the loss of all could read what is quarantined. */
gboolean soak_store_tells (const Soak *s);
/* A caller has waited for too long. */
void soak_caller_overdue (MrTimer *timer);

/* Begins an evacuation, or ends the one that stands. */
void soak_evacuate (Soak *s, gboolean begins);
/* Draws one fault; with SOAK_ONLY set, always that mode of all searchers. */
void soak_disturb (Soak *s);
/* Ends the faults that are due, or all. */
void soak_restore (Soak *s, gboolean all);
