#include "soak.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static pid_t
S_spawn (const Soak *s, const char *log, char *const *argv)
{
  g_autofree char *path = g_build_filename (s->directory, log, NULL);
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL); /* children end with the soak */
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (argv[0], argv);
  _exit (EXIT_FAILURE);
}

void
soak_start_standin (
    Soak *s, Child *child, const char *role, int port, const char *id, const char *log)
{
  g_autofree char *program = g_build_filename (s->build, "test", "standin", NULL);
  g_autofree char *number = g_strdup_printf ("%d", port);
  char *argv[] = { program, (char *) role, number, (char *) id, NULL };
  child->pid = S_spawn (s, log, argv);
  child->last_disturbed = mr_now ();
}

void
soak_http_send (int port, const char *method, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d%s", port, path);
  char *argv[] = { "/usr/bin/curl",
                   "-sS",
                   "--max-time",
                   "2",
                   "--retry",
                   "20",
                   "--retry-connrefused",
                   "-o",
                   "/dev/null",
                   "-X",
                   (char *) method,
                   "--data-binary",
                   (char *) body,
                   "--retry-delay",
                   "1",
                   url,
                   NULL };
  pid_t pid = fork ();
  if (pid == 0)
    {
      int null = open ("/dev/null", O_WRONLY);
      dup2 (null, STDERR_FILENO);
      execv (argv[0], argv);
      _exit (EXIT_FAILURE);
    }
  waitpid (pid, NULL, 0);
}

char *
soak_http_get (int port, const char *path)
{
  g_autofree char *command =
      g_strdup_printf ("curl -sS --max-time 2 http://127.0.0.1:%d%s", port, path);
  char *body = NULL;
  g_spawn_command_line_sync (command, &body, NULL, NULL, NULL);
  return body ? body : g_strdup ("");
}

/* Searchers with an even index keep their id after a restart. */
static void
S_searcher_id (const Soak *s, guint index, char *id)
{
  guint generation = index % 2 == 0 ? 0 : s->searchers[index].generation;
  g_snprintf (id, ID_BYTES, "s%u-%u", index, generation);
}

enum
{
  EARLIER_PROCESSES_MAX = 8, /* of a searcher that a copy of the store may list */
  SHARD_SLOTS = 5,
  LONG_SLOTS = 40,
};

static void
S_register_searcher (Soak *s, guint index, const char *state)
{
  char id[ID_BYTES];
  S_searcher_id (s, index, id);
  g_autofree char *path = g_strdup_printf ("/objects/servers/%s", id);
  g_autofree char *body = g_strdup_printf (
      "{\"service\":\"%c\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%u\",\"slots\":%d,"
      "\"state\":\"%s\",\"version\":\"v1\",\"warmup_left_ms\":0,\"seq\":1,"
      "\"born\":%" G_GINT64_FORMAT "}",
      'a' + (int) (index / 2), soak_first_port + SEARCHER_PROXY + (int) index, index % RELAYS,
      index < SHARD_SEARCHERS ? SHARD_SLOTS : LONG_SLOTS, state, s->searchers[index].started_ms);
  soak_http_send (soak_first_port + STORE_PORT, state ? "PUT" : "DELETE", path, body);
}

void
soak_unregister_searcher (Soak *s, guint index)
{
  char id[ID_BYTES];
  S_searcher_id (s, index, id);
  g_autofree char *path = g_strdup_printf ("/objects/servers/%s", id);
  soak_http_send (soak_first_port + STORE_PORT, "DELETE", path, "");
}

static void
S_remove_earlier_entries (Soak *s, guint index)
{
  Child *searcher = &s->searchers[index];
  guint current = searcher->generation;
  for (guint i = 1; i <= EARLIER_PROCESSES_MAX && i < current; i++)
    {
      searcher->generation = current - i;
      soak_unregister_searcher (s, index);
    }
  searcher->generation = current;
}

void
soak_rewrite_searchers (Soak *s)
{
  for (guint i = 0; i < SEARCHERS; i++)
    {
      if (i % 2 != 0) /* the others keep their id */
        S_remove_earlier_entries (s, i);
      if (s->searchers[i].recovers_at == 0 || s->searchers[i].stopped)
        S_register_searcher (s, i, "ready");
      else
        soak_unregister_searcher (s, i);
    }
}

void
soak_start_searcher (Soak *s, guint index)
{
  char id[ID_BYTES];
  g_autofree char *log = g_strdup_printf ("searcher%u.log", index);
  s->searchers[index].generation++;
  s->searchers[index].started_ms = g_get_real_time () / 1000;
  S_searcher_id (s, index, id);
  soak_proxy_set_open (s->searcher_proxies[index], TRUE);
  soak_start_standin (s, &s->searchers[index], "searcher",
                      soak_first_port + SEARCHER_PORT + (int) index, id, log);
  S_register_searcher (s, index, "ready");
}

/* Preloads test/soak/clock.c into the relay, which shifts the wall clock by the offset in a
 * file.  Sanitizer builds do not have this library. */
static void
S_preload_clock (Soak *s, guint index)
{
  g_autofree char *library = g_build_filename (s->build, "test", "libsoak_clock.so", NULL);
  g_autofree char *path = g_strdup_printf ("%s/clock%u", s->directory, index);
  if (!g_file_test (library, G_FILE_TEST_EXISTS))
    return;
  if (!s->clock_offsets[index])
    {
      const gint64 zero_offset = 0;
      g_file_set_contents (path, (const char *) &zero_offset, sizeof zero_offset, NULL);
      int fd = open (path, O_RDWR);
      void *mapping = mmap (NULL, sizeof zero_offset, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
      close (fd);
      s->clock_offsets[index] = mapping == MAP_FAILED ? NULL : mapping;
    }
  setenv ("SOAK_CLOCK", path, 1);
  setenv ("LD_PRELOAD", library, 1);
}

void
soak_start_relay (Soak *s, guint index)
{
  const char *name =
      getenv ("SOAK_RELAY"); /* another build, whose safeguards can be switched off */
  g_autofree char *program = g_build_filename (s->build, name ? name : "merlinring-relay", NULL);
  g_autofree char *log = g_strdup_printf ("relay%u.log", index);
  g_autofree char *settings = g_strdup_printf ("%s/relay%u.json", s->directory, index);
  int base = soak_first_port + RELAY_PORT + 10 * (int) index;
  g_autofree char *text = g_strdup_printf (
      "{\"node_name\":\"r%u\",\"ip\":\"127.0.0.1\",\"zone\":\"z%u\",\"region\":\"reg\","
      "\"seeds\":[\"127.0.0.1:%d\",\"127.0.0.1:%d\"],\"listen\":{\"front\":\"127.0.0.1:%d\","
      "\"ready\":\"127.0.0.1:%d\",\"directory\":\"127.0.0.1:%d\",\"control\":\"127.0.0.1:%d\"},"
      "\"limits\":{\"cpu_share\":0.25,\"cores\":1,\"max_fds\":1000,\"link_mbps\":1000},"
      "\"bounds\":{\"grace_s\":%d,\"budget_window_s\":10,\"retry_budget_ratio\":0.2,"
      "\"retry_budget_slack\":100,\"quota_window_s\":5,\"quota_overage\":0.1,\"quota_slack\":20},"
      "\"platform\":{\"address\":\"127.0.0.1:%d\"}}",
      index, index, soak_first_port + RELAY_PORT + 3, soak_first_port + RELAY_PORT + 13, base,
      base + 1, base + 2, base + 3, GRACE_SECONDS, soak_first_port + STORE_PROXY + (int) index);
  g_file_set_contents (settings, text, -1, NULL);
  S_preload_clock (s, index);
  setenv ("MERLINRING_CONFIG", settings, 1);
  soak_relay_starts (s, index);
  char *argv[] = { program, NULL };
  s->relays[index].pid = S_spawn (s, log, argv);
  unsetenv ("LD_PRELOAD");
  s->relays[index].last_disturbed = mr_now ();
  soak_relay_started (s, index);
}

void
soak_publish_configuration (Soak *s)
{
  s->three_services = soak_random_below (s, 2) == 0;
  s->version++;
  soak_rewrite_configuration (s);
  s->keys.published_at = mr_now ();
}

void
soak_rewrite_configuration (Soak *s)
{
  g_autofree char *organisations = soak_keys_configuration (s);
  g_autofree char *body = g_strdup_printf (
      "{\"version\":%u,%s\"routes\":["
      "{\"name\":\"all\",\"host\":\"h\",\"path_prefix\":\"/all/\",\"kind\":\"safe\","
      "\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":1,\"gather\":[%s],"
      "\"max_attempts\":2,\"top_k\":%d,\"min_shard_share\":0.5},"
      "{\"name\":\"one\",\"host\":\"h\",\"path_prefix\":\"/one/\",\"kind\":\"safe\","
      "\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":0,\"service\":\"a\","
      "\"max_attempts\":2},{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"latency_target_ms\":300,\"priority\":0,"
      "\"service\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"long\",\"host\":\"h\",\"path_prefix\":\"/long/\",\"kind\":\"safe\","
      "\"timeout_ms\":%d,\"latency_target_ms\":3500,\"priority\":0,\"service\":\"d\","
      "\"max_attempts\":2},"
      "{\"name\":\"long-order\",\"host\":\"h\",\"path_prefix\":\"/long-order/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":%d,\"latency_target_ms\":3500,\"priority\":0,"
      "\"service\":\"d\",\"max_attempts\":2}],\"services\":[{\"name\":\"a\",\"max_conns\":40},"
      "{\"name\":\"b\",\"max_conns\":40},{\"name\":\"c\",\"max_conns\":40},"
      "{\"name\":\"d\",\"max_conns\":80}],\"limits\":{"
      "\"max_header_bytes\":4096,\"max_body_bytes\":4096,\"header_timeout_ms\":1000,"
      "\"idle_timeout_ms\":15000}}",
      s->version, organisations, s->three_services ? "\"a\",\"b\",\"c\"" : "\"a\",\"b\"", TOP_K,
      LONG_TIMEOUT_MS, LONG_TIMEOUT_MS);
  soak_http_send (soak_first_port + STORE_PORT, "PUT", "/objects/config/main", body);
}
