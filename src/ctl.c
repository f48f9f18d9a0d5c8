/* merlinringctl: command line and dispatch to the subcommands. */

#include "ctl.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const CtlCommand commands[] = {
  { "document get", "SERVICE", "Print the document of a service, its version and status",
    "merlinringctl document get shop-search", ctl_document_get },
  { "document check", "SERVICE FILE", "Check a document without writing it",
    "merlinringctl document check shop-search shop.json", ctl_document_check },
  { "document diff", "SERVICE FILE", "Show the changes that FILE would make to the document",
    "merlinringctl document diff shop-search shop.json", ctl_document_diff },
  { "document apply", "SERVICE FILE",
    "Write a document if the current version is still --version, or the one just read",
    "merlinringctl document apply --wait shop-search shop.json", ctl_document_apply },
  { "document edit", "SERVICE KEY=VALUE...",
    "Change keys of a document if it is not edited concurrently",
    "merlinringctl document edit shop-search deadline_ms=200 "
    "objectives.latency_ms=120",
    ctl_document_edit },
  { "status", "", "Show the state of each daemon, its services and the documents in force",
    "merlinringctl status", ctl_status },
  { "members", "", "List the daemons as the entry daemon sees them", "merlinringctl members",
    ctl_members_show },
  { "targets", "", "List the targets as each daemon sees them", "merlinringctl targets --json",
    ctl_targets },
  { "addresses", "", "List the daemon addresses that a caller would get",
    "merlinringctl addresses --domain domain-a", ctl_addresses },
  { "search", "SERVICE WORDS...", "Send a search as a caller does",
    "merlinringctl search --class urgent shop-search ripe round", ctl_search },
  { "ticket", "SERVICE", "Get a ticket for an order", "merlinringctl ticket shop-search",
    ctl_ticket },
  { "order", "SERVICE JSON", "Send an order, with the ticket of --ticket or else a new one",
    "merlinringctl order shop-search '{\"record\":\"r17\"}'", ctl_order },
  { "metrics", "", "Print the metrics of the entry daemon", "merlinringctl metrics", ctl_metrics },
  { "burn", "[SERVICE]",
    "Show the error budget burn over 5 minutes to 3 days, summed over all daemons",
    "merlinringctl burn shop-search", ctl_burn },
  { "quarantine show", "",
    "List request contents while serving which targets crashed, as known to the relay with the "
    "metrics port --entry",
    "merlinringctl quarantine show --entry 10.0.0.11:9100", ctl_quarantine },
  { "quarantine lift", "CONTENT",
    "Release the content with this fingerprint from quarantine, so that it is sent to targets "
    "again",
    "merlinringctl quarantine lift --entry 10.0.0.11:9100 6ea12fb25cac794dad0efd1471deb818",
    ctl_quarantine_lift },
  { "organisations", "",
    "List the organisations with the most requests, their rate limits and refusals, as counted by "
    "the relay with the metrics port --entry",
    "merlinringctl organisations --entry 10.0.0.11:9100", ctl_organisations },
  { "evacuate", "DOMAIN",
    "Send no new calls to the targets of a failure domain, until this is ended with --undo",
    "merlinringctl evacuate rack-a", ctl_evacuate },
  { "evacuations", "",
    "List evacuated failure domains: since when, and how many daemons know of it",
    "merlinringctl evacuations", ctl_evacuations },
  { "explain", "REQUEST-ID [FILE...]",
    "Show the calls of a relayed request and the cause of its outcome, from log lines (read from "
    "standard input without FILE)",
    "merlinringctl explain 9c41d07be2a35f68 /var/log/relay-*.log", ctl_explain },
  { "report", "[FILE...]",
    "Summarise latency, hedges and retries, refusals by cause and the rollout of configurations, "
    "from log lines",
    "merlinringctl report --svg run.svg /var/log/relay-*.log", ctl_report },
};

CtlExit
ctl_fail (CtlExit exit_code, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fputs ("merlinringctl: ", stderr);
  vfprintf (stderr, format, args);
  fputc ('\n', stderr);
  va_end (args);
  return exit_code;
}

enum
{
  KEY_ENTRY = 'e',
  KEY_PLATFORM = 'P',
  KEY_JSON = 'j',
  KEY_WAIT = 'w',
  KEY_TIMEOUT = 1000,
  KEY_CLASS,
  KEY_DEADLINE,
  KEY_HITS,
  KEY_DOMAIN,
  KEY_TICKET,
  KEY_VERSION,
  KEY_SVG,
  KEY_UNDO,
  TIMEOUT_DEFAULT_MS = 5000,
};

static const struct argp_option argp_options[] = {
  { .name = "entry",
    .key = KEY_ENTRY,
    .arg = "IP:PORT",
    .doc = "Address at which a daemon serves callers (MERLINRING_ENTRY, default "
           "127.0.0.1:8080)" },
  { .name = "platform",
    .key = KEY_PLATFORM,
    .arg = "IP:PORT",
    .doc = "Address of the platform's object API (MERLINRING_PLATFORM, default "
           "127.0.0.1:7000)" },
  { .name = "json", .key = KEY_JSON, .doc = "Print JSON" },
  { .name = "wait",
    .key = KEY_WAIT,
    .doc = "document apply, edit: wait until it is in force on every member" },
  { .name = "timeout-ms",
    .key = KEY_TIMEOUT,
    .arg = "MS",
    .doc = "Timeout for a response in ms (default 5000)" },
  { .name = "class",
    .key = KEY_CLASS,
    .arg = "CLASS",
    .doc = "search: urgent, interactive or browsing" },
  { .name = "deadline-ms", .key = KEY_DEADLINE, .arg = "MS", .doc = "search, order: deadline" },
  { .name = "hits", .key = KEY_HITS, .arg = "N", .doc = "search: maximum number of hits" },
  { .name = "domain",
    .key = KEY_DOMAIN,
    .arg = "NAME",
    .doc = "addresses: the caller's failure domain" },
  { .name = "ticket", .key = KEY_TICKET, .arg = "TICKET", .doc = "order: use this ticket" },
  { .name = "version",
    .key = KEY_VERSION,
    .arg = "N",
    .doc = "document apply, edit: version that the edit is based on" },
  { .name = "undo", .key = KEY_UNDO, .doc = "evacuate: end the evacuation of the domain" },
  { .name = "svg", .key = KEY_SVG, .arg = "FILE", .doc = "report: write plots to FILE" },
  { 0 },
};

static error_t
S_parse_option (int key, char *arg, struct argp_state *state)
{
  CtlOptions *options = state->input;
  const struct
  {
    int key;
    const char **value;
  } string_options[] = {
    { KEY_ENTRY, &options->entry },         { KEY_PLATFORM, &options->platform },
    { KEY_CLASS, &options->traffic_class }, { KEY_DEADLINE, &options->deadline_ms },
    { KEY_HITS, &options->hit_count },      { KEY_DOMAIN, &options->domain },
    { KEY_TICKET, &options->ticket },       { KEY_SVG, &options->svg },
    { KEY_VERSION, &options->version },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (string_options); i++)
    if (string_options[i].key == key)
      {
        *string_options[i].value = arg;
        return 0;
      }
  if (key == KEY_JSON)
    options->json = TRUE;
  else if (key == KEY_WAIT)
    options->wait = TRUE;
  else if (key == KEY_UNDO)
    options->undo = TRUE;
  else if (key == KEY_TIMEOUT)
    options->timeout_ms = atoi (arg);
  else if (key == ARGP_KEY_ARGS)
    {
      options->argc = state->argc - state->next;
      options->argv = state->argv + state->next;
    }
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Returns the command that the first arguments name, or NULL, and sets @word_count to the number of
 * words in its name. */
static const CtlCommand *
S_find_command (int argc, char **argv, int *word_count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_auto (GStrv) parts = g_strsplit (commands[i].name, " ", 2);
      *word_count = (int) g_strv_length (parts);
      if (argc < *word_count)
        continue;
      gboolean matches = TRUE;
      for (int w = 0; w < *word_count; w++)
        matches = matches && g_str_equal (parts[w], argv[w]);
      if (matches)
        return &commands[i];
    }
  return NULL;
}

static char *
S_help_text (void)
{
  GString *text = g_string_new ("Commands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %s %s\n      %s\n", commands[i].name, commands[i].arguments,
                            commands[i].help);
  g_string_append (text,
                   "\nExit codes: 0 success, 1 unreachable or failed, 2 wrong command line or "
                   "invalid document, 3 concurrent edit, 4 not run, 5 may have run, 6 partial "
                   "answer.  'merlinringctl COMMAND --help' shows an example.");
  return g_string_free (text, FALSE);
}

/* Prints the help of a subcommand if --help was given with it, and returns TRUE if so. */
static gboolean
S_print_command_help (int argc, char **argv)
{
  gboolean requested = FALSE;
  for (int i = 1; i < argc; i++)
    requested = requested || g_str_equal (argv[i], "--help") || g_str_equal (argv[i], "-?");
  int words = 0;
  const CtlCommand *command = requested ? S_find_command (argc - 1, argv + 1, &words) : NULL;
  if (!command)
    return FALSE;
  printf ("Usage: merlinringctl [OPTION...] %s %s\n%s.\n\nExample:\n  %s\n\n"
          "Options are listed by 'merlinringctl --help'.\n",
          command->name, command->arguments, command->help, command->example);
  return TRUE;
}

static const char *
S_get_variable (const char *name, const char *fallback)
{
  const char *value = getenv (name);
  return value ? value : fallback;
}

int
main (int argc, char **argv)
{
  CtlOptions options = {
    .entry = S_get_variable ("MERLINRING_ENTRY", "127.0.0.1:8080"),
    .platform = S_get_variable ("MERLINRING_PLATFORM", "127.0.0.1:7000"),
    .timeout_ms = TIMEOUT_DEFAULT_MS,
  };
  if (S_print_command_help (argc, argv))
    return CTL_OK;
  g_autofree char *help = S_help_text ();
  g_autofree char *doc =
      g_strconcat ("Command-line client for operators of merlinring.\v", help, NULL);
  struct argp argp = {
    .options = argp_options,
    .parser = S_parse_option,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = doc,
  };
  argp_err_exit_status = CTL_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (options.timeout_ms < 1)
    return ctl_fail (CTL_USAGE, "--timeout-ms: expected a positive integer");
  int words = 0;
  const CtlCommand *command = S_find_command (options.argc, options.argv, &words);
  if (!command)
    return ctl_fail (CTL_USAGE, "%s%s; see merlinringctl --help",
                     options.argc ? "unknown command: " : "missing command",
                     options.argc ? options.argv[0] : "");
  options.argc -= words;
  options.argv += words;
  return (int) command->run (&options);
}
