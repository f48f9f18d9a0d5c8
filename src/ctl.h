/* Declarations shared by the subcommands of merlinringctl. */
#pragma once

#include "status.h"
#include "text.h"
#include <jansson.h>
#include <stdio.h>

typedef enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,   /* the server could not be reached, or failed */
  CTL_USAGE = 2,    /* wrong command line or invalid document */
  CTL_CONFLICT = 3, /* a concurrent edit was written first */
  CTL_NOT_RUN = 4,  /* refused; the request did not run */
  CTL_UNKNOWN = 5,  /* the request may have run */
  CTL_PARTIAL = 6,  /* the answer does not cover all shards */
} CtlExit;

typedef struct
{
  const char *entry;    /* "ip:port" of a daemon */
  const char *platform; /* "ip:port" of the object API */
  gboolean json;
  gboolean undo; /* evacuate: end the evacuation */
  gboolean wait; /* document apply, edit: wait until in force on every member */
  int timeout_ms;
  const char *traffic_class;
  const char *deadline_ms;
  const char *hit_count;
  const char *domain;
  const char *ticket;
  const char *version;
  const char *svg; /* report: file to write the plots to */
  int argc;        /* arguments after the subcommand */
  char **argv;
} CtlOptions;

typedef struct
{
  const char *name; /* one or two words */
  const char *arguments;
  const char *help;
  const char *example;
  CtlExit (*run) (const CtlOptions *options);
} CtlCommand;

/* Prints an error message to standard error, after "merlinringctl: ", and returns @exit_code. */
CtlExit ctl_fail (CtlExit exit_code, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Sends one HTTP request to @address ("ip:port") and waits for the response, up to the timeout of
 * @options.  @body may be empty.  Fails with MR_ERROR_UNAVAILABLE if nothing was sent, with
 * MR_ERROR_OUTCOME_UNKNOWN if no complete response came. */
MrStatus ctl_send_request (const CtlOptions *options,
                           const char *address,
                           const char *method,
                           const char *path,
                           MrText body,
                           int *status,
                           GString *answer);

/* Fetches @path from @address and parses it as JSON; returns NULL after printing an error. */
json_t *ctl_get_json (const CtlOptions *options, const char *address, const char *path);

/* Prints @root as indented JSON. */
void ctl_print_json (const json_t *root);

/* Returns "ip:port" of every member that is neither dead nor has left, as the entry daemon knows
 * them; NULL after printing an error. */
GPtrArray *ctl_get_member_addresses (const CtlOptions *options);

CtlExit ctl_document_get (const CtlOptions *options);
CtlExit ctl_document_apply (const CtlOptions *options);
CtlExit ctl_document_edit (const CtlOptions *options);
CtlExit ctl_document_check (const CtlOptions *options);
CtlExit ctl_document_diff (const CtlOptions *options);
CtlExit ctl_status (const CtlOptions *options);
CtlExit ctl_members_show (const CtlOptions *options);
CtlExit ctl_targets (const CtlOptions *options);
CtlExit ctl_addresses (const CtlOptions *options);
CtlExit ctl_metrics (const CtlOptions *options);
CtlExit ctl_search (const CtlOptions *options);
CtlExit ctl_ticket (const CtlOptions *options);
CtlExit ctl_order (const CtlOptions *options);
CtlExit ctl_burn (const CtlOptions *options);
CtlExit ctl_explain (const CtlOptions *options);
CtlExit ctl_report (const CtlOptions *options);
CtlExit ctl_quarantine (const CtlOptions *options);
CtlExit ctl_quarantine_lift (const CtlOptions *options);
CtlExit ctl_organisations (const CtlOptions *options);
CtlExit ctl_evacuate (const CtlOptions *options);
CtlExit ctl_evacuations (const CtlOptions *options);

/* Calls @add with each log line of @file, parsed; @add must not release it.  Lines without a JSON
 * object that has an event are skipped, as collected logs contain lines of other programs too. Text
 * before the object, such as the prefix of a log collector, is skipped as well. */
void ctl_read_log_stream (FILE *file, void (*add) (json_t *line, void *user), void *user);

/* Returns the string member @key of @object, a log line or a daemon's page; "" if there is none. */
const char *ctl_json_string (const json_t *object, const char *key);

/* Returns the number of requests that the log line of a relayed request represents.  Complete
 * answers without hedges or retries are sampled; all other lines represent one request. */
guint ctl_line_weight (const json_t *line);

/* Returns the integer member @key of @object; 0 if there is none. */
json_int_t ctl_json_integer (const json_t *object, const char *key);

/* Adds @count to the entry @key of @table, which maps strings to counts. */
void ctl_add_count (GHashTable *table, const char *key, guint count);

/* Calls @add as above with the log lines of all @files; of standard input if @count is 0. */
CtlExit
ctl_read_log_files (int count, char **files, void (*add) (json_t *line, void *user), void *user);
