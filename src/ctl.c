/* merlinringctl: what operators type. */

#include "ctl.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

static const CtlCommand commands[] = {
  { "document get", "SERVICE", "Print the operators' document and its version",
    "merlinringctl document get shop-search", ctl_document_get },
  { "document check", "SERVICE FILE", "Check a document without writing it",
    "merlinringctl document check shop-search shop.json", ctl_document_check },
  { "document diff", "SERVICE FILE", "Show what FILE would change",
    "merlinringctl document diff shop-search shop.json", ctl_document_diff },
  { "document apply", "SERVICE FILE",
    "Write a document, conditional on --version or on the version just read",
    "merlinringctl document apply --wait shop-search shop.json", ctl_document_apply },
  { "document edit", "SERVICE KEY=VALUE...",
    "Change keys of a document, conditional on the version read",
    "merlinringctl document edit shop-search deadline_ms=200 "
    "objectives.latency_ms=120",
    ctl_document_edit },
  { "status", "", "What each daemon serves, and which documents are in force",
    "merlinringctl status", ctl_status },
  { "members", "", "The daemons as the entry sees them", "merlinringctl members",
    ctl_members_show },
  { "targets", "", "The targets as each daemon sees them", "merlinringctl targets --json",
    ctl_targets },
  { "addresses", "", "The addresses a caller would be handed",
    "merlinringctl addresses --domain domain-a", ctl_addresses },
  { "search", "SERVICE WORDS...", "Search as a caller would",
    "merlinringctl search --class urgent shop-search ripe round", ctl_search },
  { "ticket", "SERVICE", "Get a ticket for an order", "merlinringctl ticket shop-search",
    ctl_ticket },
  { "order", "SERVICE JSON", "Place an order; takes a ticket first unless --ticket names one",
    "merlinringctl order shop-search '{\"record\":\"r17\"}'", ctl_order },
  { "metrics", "", "The entry daemon's counters", "merlinringctl metrics", ctl_metrics },
  { "burn", "[SERVICE]", "Service-level burn over 5 minutes to 3 days, over all daemons",
    "merlinringctl burn shop-search", ctl_burn },
  { "quarantine show", "",
    "Contents under which targets ended, as the relay whose metrics are at --entry knows them",
    "merlinringctl quarantine show --entry 10.0.0.11:9100", ctl_quarantine },
  { "quarantine lift", "CONTENT", "Let a content be sent to targets again, by its fingerprint",
    "merlinringctl quarantine lift --entry 10.0.0.11:9100 6ea12fb25cac794dad0efd1471deb818",
    ctl_quarantine_lift },
  { "evacuate", "DOMAIN",
    "Give the targets of a failure domain no new work, until --undo takes it back",
    "merlinringctl evacuate rack-a", ctl_evacuate },
  { "evacuations", "", "Evacuated failure domains: since when, and held by how many daemons",
    "merlinringctl evacuations", ctl_evacuations },
  { "explain", "REQUEST-ID [FILE...]",
    "A relayed request's story and the cause of its outcome, from log lines (standard input "
    "without files)",
    "merlinringctl explain 9c41d07be2a35f68 /var/log/relay-*.log", ctl_explain },
  { "report", "[FILE...]",
    "Latency, hedges and retries, refusals by cause and spread of configurations, from log lines",
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
  KEY_K,
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
    .doc = "A daemon's address for callers (MERLINRING_ENTRY, default "
           "127.0.0.1:8080)" },
  { .name = "platform",
    .key = KEY_PLATFORM,
    .arg = "IP:PORT",
    .doc = "The platform's object API (MERLINRING_PLATFORM, default "
           "127.0.0.1:7000)" },
  { .name = "json", .key = KEY_JSON, .doc = "Print JSON" },
  { .name = "wait",
    .key = KEY_WAIT,
    .doc = "document apply, edit: wait until it is in force on every member" },
  { .name = "timeout-ms",
    .key = KEY_TIMEOUT,
    .arg = "MS",
    .doc = "Longest wait for an answer (default 5000)" },
  { .name = "class",
    .key = KEY_CLASS,
    .arg = "CLASS",
    .doc = "search: urgent, interactive or browsing" },
  { .name = "deadline-ms", .key = KEY_DEADLINE, .arg = "MS", .doc = "search, order: deadline" },
  { .name = "hits", .key = KEY_K, .arg = "N", .doc = "search: most hits" },
  { .name = "domain",
    .key = KEY_DOMAIN,
    .arg = "NAME",
    .doc = "addresses: the caller's failure domain" },
  { .name = "ticket", .key = KEY_TICKET, .arg = "TICKET", .doc = "order: present this ticket" },
  { .name = "version",
    .key = KEY_VERSION,
    .arg = "N",
    .doc = "document apply, edit: the version that the edit is based on" },
  { .name = "undo", .key = KEY_UNDO, .doc = "evacuate: let the domain be used again" },
  { .name = "svg", .key = KEY_SVG, .arg = "FILE", .doc = "report: write plots to FILE" },
  { 0 },
};

static error_t
S_parse (int key, char *arg, struct argp_state *state)
{
  CtlOptions *options = state->input;
  const struct
  {
    int key;
    const char **place;
  } texts[] = {
    { KEY_ENTRY, &options->entry },
    { KEY_PLATFORM, &options->platform },
    { KEY_CLASS, &options->traffic_class },
    { KEY_DEADLINE, &options->deadline_ms },
    { KEY_K, &options->k },
    { KEY_DOMAIN, &options->domain },
    { KEY_TICKET, &options->ticket },
    { KEY_SVG, &options->svg },
    { KEY_VERSION, &options->version },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (texts[i].key == key)
      {
        *texts[i].place = arg;
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

/* The command that the first words name; @words: how many. */
static const CtlCommand *
S_find (int argc, char **argv, int *words)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_auto (GStrv) parts = g_strsplit (commands[i].name, " ", 2);
      *words = (int) g_strv_length (parts);
      if (argc < *words)
        continue;
      gboolean same = TRUE;
      for (int w = 0; w < *words; w++)
        same = same && g_str_equal (parts[w], argv[w]);
      if (same)
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
  g_string_append (text, "\nExit codes: 0 done, 1 not reached or failed, 2 wrong command line or "
                         "invalid document, 3 lost race, 4 not run, 5 may have run, 6 partial "
                         "answer.  'merlinringctl COMMAND --help' shows an example.");
  return g_string_free (text, FALSE);
}

/* TRUE if the help of one command was asked for and printed. */
static gboolean
S_command_help (int argc, char **argv)
{
  gboolean asked = FALSE;
  for (int i = 1; i < argc; i++)
    asked = asked || g_str_equal (argv[i], "--help") || g_str_equal (argv[i], "-?");
  int words = 0;
  const CtlCommand *command = asked ? S_find (argc - 1, argv + 1, &words) : NULL;
  if (!command)
    return FALSE;
  printf ("Usage: merlinringctl [OPTION...] %s %s\n%s.\n\nExample:\n  %s\n\n"
          "Options are listed by 'merlinringctl --help'.\n",
          command->name, command->arguments, command->help, command->example);
  return TRUE;
}

static const char *
S_variable (const char *name, const char *fallback)
{
  const char *value = getenv (name);
  return value ? value : fallback;
}

int
main (int argc, char **argv)
{
  CtlOptions options = {
    .entry = S_variable ("MERLINRING_ENTRY", "127.0.0.1:8080"),
    .platform = S_variable ("MERLINRING_PLATFORM", "127.0.0.1:7000"),
    .timeout_ms = TIMEOUT_DEFAULT_MS,
  };
  if (S_command_help (argc, argv))
    return CTL_OK;
  g_autofree char *help = S_help_text ();
  g_autofree char *doc = g_strconcat ("Control of merlinring.\v", help, NULL);
  struct argp argp = {
    .options = argp_options,
    .parser = S_parse,
    .args_doc = "COMMAND [ARGUMENT...]",
    .doc = doc,
  };
  argp_err_exit_status = CTL_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  if (options.timeout_ms < 1)
    return ctl_fail (CTL_USAGE, "--timeout-ms: expected a whole number from 1");
  int words = 0;
  const CtlCommand *command = S_find (options.argc, options.argv, &words);
  if (!command)
    return ctl_fail (CTL_USAGE, "%s%s; see merlinringctl --help",
                     options.argc ? "no such command: " : "a command is missing",
                     options.argc ? options.argv[0] : "");
  options.argc -= words;
  options.argv += words;
  return (int) command->run (&options);
}
