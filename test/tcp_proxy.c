/* TCP relay for failure tests: relay LISTEN_PORT TARGET_PORT, on loopback.
 *
 * SIGUSR1: connections that are open now stay open but carry nothing any more,
 * as when something between two ends has lost track of them; new ones work. */

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  PAIRS_MAX = 512,
  BYTES = 65536,
};

typedef struct
{
  int ends[2];
  bool silent;
} Pair;

static volatile sig_atomic_t silence;

static void
S_on_signal (int number)
{
  (void) number;
  silence = 1;
}

static struct sockaddr_in
S_address (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((unsigned short) port) };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static int
S_listen (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int yes = 1;
  struct sockaddr_in address = S_address (port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, 64) != 0)
    return -1;
  return fd;
}

static void
S_accept (int listener, int port, Pair *pairs, int *count)
{
  int in = accept (listener, NULL, NULL);
  int out = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = S_address (port);
  if (in < 0 || *count == PAIRS_MAX ||
      connect (out, (struct sockaddr *) &address, sizeof address) != 0)
    {
      close (in);
      close (out);
      return;
    }
  pairs[(*count)++] = (Pair){ .ends = { in, out } };
}

/* Passes on what can be read at one end; false if the pair is closed. */
static bool
S_pass (Pair *pair, int end)
{
  char bytes[BYTES];
  ssize_t len = read (pair->ends[end], bytes, sizeof bytes);
  if (len > 0 && pair->silent)
    return true;
  if (len > 0 && write (pair->ends[1 - end], bytes, (size_t) len) == len)
    return true;
  close (pair->ends[0]);
  close (pair->ends[1]);
  return false;
}

static void
S_round (int listener, int port, Pair *pairs, int *count)
{
  struct pollfd fds[1 + 2 * PAIRS_MAX];
  int open = *count;
  fds[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  for (int i = 0; i < open; i++)
    for (int end = 0; end < 2; end++)
      fds[1 + 2 * i + end] = (struct pollfd){ .fd = pairs[i].ends[end], .events = POLLIN };
  if (poll (fds, (nfds_t) (1 + 2 * open), 100) <= 0)
    return;
  for (int i = open - 1; i >= 0; i--)
    for (int end = 0; end < 2; end++)
      if (fds[1 + 2 * i + end].revents && !S_pass (&pairs[i], end))
        {
          pairs[i] = pairs[--*count];
          break;
        }
  if (fds[0].revents & POLLIN)
    S_accept (listener, port, pairs, count);
}

int
main (int argc, char **argv)
{
  static Pair pairs[PAIRS_MAX];
  int count = 0;
  int listener = argc == 3 ? S_listen (atoi (argv[1])) : -1;
  if (listener < 0)
    {
      fprintf (stderr, "relay: expected LISTEN_PORT TARGET_PORT, and a free port\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGUSR1, S_on_signal);
  for (;;)
    {
      if (silence)
        for (int i = 0; i < count; i++)
          pairs[i].silent = true;
      silence = 0;
      S_round (listener, atoi (argv[2]), pairs, &count);
    }
}
