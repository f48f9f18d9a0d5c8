/* Stand-ins and helpers for the cases of the second review: a store, searchers and callers as
 * threads of the case's process, and relays as processes of their own, all on 127.0.0.1. */
#ifndef REVIEW_KIT_2_H
#define REVIEW_KIT_2_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

enum
{
  KIT_BODY_MAX = 512 * 1024,
  KIT_NAME_MAX = 64,
};

/* One HTTP/1.1 request as a server has read it. */
typedef struct
{
  char method[16];
  char target[1024];
  char head[16384];   /* request line and header fields */
  char id[128];       /* X-Request-Id */
  char expected[128]; /* X-Expect-Instance */
  long deadline_ms;   /* X-Deadline-Ms; -1: none */
  char *body;
  size_t body_len;
  int fd;
  long number; /* of this request on its connection, from 1 */
} KitRequest;

/* Returns false to close the connection. */
typedef bool (*KitHandler) (void *user, const KitRequest *request);

double kit_now (void); /* seconds since the start of the case */
void kit_sleep (double seconds);

/* Writes a line with the time to record.txt. */
void kit_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void kit_open_record (const char *path);

/* Returns a free port below the range from which the system takes its own. */
int kit_free_port (void);

/* Serves HTTP on a port; one thread for each connection. */
void kit_serve (int port, KitHandler handler, void *user);
/* Returns true if all bytes were sent. */
bool kit_send (int fd, const void *bytes, size_t len);
bool kit_sendf (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/* The store; listens at once. */
void kit_store_start (int port);
/* Creates or replaces an object; NULL removes it. */
void kit_store_put (const char *kind, const char *name, const char *spec);

/* Relays. */
typedef struct
{
  char name[KIT_NAME_MAX];
  int front;
  int ready;
  int directory;
  int control;
  pid_t pid;
  bool first_start;
  char zone[KIT_NAME_MAX];
} KitRelay;

/* Settings of the relays that start from now on. */
extern int kit_grace_s;
extern int kit_tolerated_zones;

void kit_relay_init (KitRelay *relay, const char *name, const char *zone);
void kit_relay_start (KitRelay *relay, const KitRelay *relays, int count);
bool kit_relay_is_ready (const KitRelay *relay);
bool kit_relay_await_ready (const KitRelay *relay, double seconds);
void kit_relay_signal (const KitRelay *relay, int signal_number);
void kit_stop_all (void);

/* Callers. */
int kit_connect (int port); /* -1: refused */
typedef struct
{
  int status; /* 0: the connection ended without a complete response; -1: none in time */
  char head[8192];
  char body[KIT_BODY_MAX];
  size_t body_len;
  bool complete;
  bool close; /* Connection: close */
} KitResponse;
/* Reads one response. */
void kit_read_response (int fd, double timeout, KitResponse *response);
/* Copies a field of @head; empty if it is absent. */
void kit_field (const char *head, const char *name, char *out, size_t size);

/* Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run. */
void kit_exit (int code) __attribute__ ((noreturn));
void kit_fail (const char *format, ...) __attribute__ ((noreturn, format (printf, 1, 2)));
bool kit_trouble (void); /* FALSE with TROUBLE=0 */

#endif
