/* Shared by the sub-commands of merlinringctl. */
#pragma once

#include "status.h"
#include "text.h"
#include <jansson.h>
#include <stdio.h>

typedef enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,   /* the other side could not be reached or failed */
  CTL_USAGE = 2,    /* wrong command line or invalid document */
  CTL_CONFLICT = 3, /* somebody else's edit came first */
  CTL_NOT_RUN = 4,  /* refused; it did not run */
  CTL_UNKNOWN = 5,  /* it may have run */
  CTL_PARTIAL = 6,  /* the answer does not cover the whole */
} CtlExit;

typedef struct
{
  const char *entry;    /* "ip:port" of a daemon */
  const char *platform; /* "ip:port" of the object API */
  gboolean json;
  gboolean undo; /* evacuate: take it back */
  gboolean wait; /* document apply, edit: until in force on every member */
  int timeout_ms;
  const char *traffic_class;
  const char *deadline_ms;
  const char *k;
  const char *domain;
  const char *ticket;
  const char *version;
  const char *svg; /* report: file for the plots */
  int argc;        /* words after the sub-command */
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

/* Prints "merlinringctl: ..." to standard error and returns @exit_code. */
CtlExit ctl_fail (CtlExit exit_code, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* One HTTP exchange with @address; MR_ERROR_UNAVAILABLE if nothing was sent,
 * MR_ERROR_OUTCOME_UNKNOWN if no whole answer came.  @body may be empty. */
MrStatus ctl_http (const CtlOptions *options,
                   const char *address,
                   const char *method,
                   const char *path,
                   MrText body,
                   int *status,
                   GString *answer);

/* GET of a page of the entry daemon as JSON; NULL after a message. */
json_t *ctl_get_json (const CtlOptions *options, const char *address, const char *path);

/* Prints @root as JSON, indented. */
void ctl_print_json (const json_t *root);

/* "ip:port" of every member that serves; NULL after a message. */
GPtrArray *ctl_members (const CtlOptions *options);

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
CtlExit ctl_evacuate (const CtlOptions *options);
CtlExit ctl_evacuations (const CtlOptions *options);

/* Calls @add with each line of @file that holds a JSON object; other lines are
 * passed over, since collected logs hold others too.  @line is borrowed. */
void ctl_read_lines (FILE *file, void (*add) (json_t *line, void *user), void *user);

/* The text at @key of a log line, or of what a daemon says; empty if it is not there. */
const char *ctl_line_text (const json_t *line, const char *key);

/* Requests that a relayed request's line stands for: plain answers are sampled. */
guint ctl_line_weight (const json_t *line);

/* The number at @key; 0 if it is not there. */
json_int_t ctl_line_number (const json_t *line, const char *key);

/* Adds @count to what @table (text -> count) holds at @key. */
void ctl_count (GHashTable *table, const char *key, guint count);

/* Reads standard input if @files is empty. */
CtlExit
ctl_read_files (int count, char **files, void (*add) (json_t *line, void *user), void *user);
