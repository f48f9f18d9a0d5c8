/* TCP proxy on the loopback interface for failure tests: tcp_proxy LISTEN_PORT TARGET_PORT
 *
 * SIGUSR1: connections that exist at that time stay open but drop all further data, as if a
 * middlebox had lost their state.  New connections work.
 * SIGUSR2: resets all connections, and new ones until the next SIGUSR2. */

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 512,
  BUFFER_SIZE = 65536,
};

typedef struct
{
  int fds[2]; /* client, server */
  bool dropping;
} Connection;

static volatile sig_atomic_t drop_requested;
static volatile sig_atomic_t cut;

static void
S_on_signal (int number)
{
  if (number == SIGUSR1)
    drop_requested = 1;
  else
    cut = !cut;
}

static void
S_reset (int fd)
{
  const struct linger at_once = { .l_onoff = 1 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
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
  int enable = 1;
  struct sockaddr_in address = S_address (port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0 || listen (fd, 64) != 0)
    return -1;
  return fd;
}

static void
S_accept (int listener, int port, Connection *connections, int *count)
{
  int client = accept (listener, NULL, NULL);
  int server = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = S_address (port);
  if (client < 0 || cut || *count == CONNECTIONS_MAX ||
      connect (server, (struct sockaddr *) &address, sizeof address) != 0)
    {
      S_reset (client);
      close (server);
      return;
    }
  connections[(*count)++] = (Connection){ .fds = { client, server } };
}

/* Forwards what can be read at one side; returns false if the connection was closed. */
static bool
S_forward (Connection *connection, int side)
{
  char bytes[BUFFER_SIZE];
  ssize_t len = read (connection->fds[side], bytes, sizeof bytes);
  if (len > 0 && connection->dropping)
    return true;
  if (len > 0 && write (connection->fds[1 - side], bytes, (size_t) len) == len)
    return true;
  close (connection->fds[0]);
  close (connection->fds[1]);
  return false;
}

static void
S_poll (int listener, int port, Connection *connections, int *count)
{
  struct pollfd poll_fds[1 + 2 * CONNECTIONS_MAX];
  int open_count = *count;
  poll_fds[0] = (struct pollfd){ .fd = listener, .events = POLLIN };
  for (int i = 0; i < open_count; i++)
    for (int side = 0; side < 2; side++)
      poll_fds[1 + 2 * i + side] =
          (struct pollfd){ .fd = connections[i].fds[side], .events = POLLIN };
  if (poll (poll_fds, (nfds_t) (1 + 2 * open_count), 100) <= 0)
    return;
  for (int i = open_count - 1; i >= 0; i--)
    for (int side = 0; side < 2; side++)
      if (poll_fds[1 + 2 * i + side].revents && !S_forward (&connections[i], side))
        {
          connections[i] = connections[--*count];
          break;
        }
  if (poll_fds[0].revents & POLLIN)
    S_accept (listener, port, connections, count);
}

int
main (int argc, char **argv)
{
  static Connection connections[CONNECTIONS_MAX];
  int count = 0;
  int listener = argc == 3 ? S_listen (atoi (argv[1])) : -1;
  if (listener < 0)
    {
      fprintf (stderr, "usage: tcp_proxy LISTEN_PORT TARGET_PORT; LISTEN_PORT must be free\n");
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGUSR1, S_on_signal);
  signal (SIGUSR2, S_on_signal);
  for (;;)
    {
      if (drop_requested)
        for (int i = 0; i < count; i++)
          connections[i].dropping = true;
      drop_requested = 0;
      for (; cut && count > 0; count--)
        for (int side = 0; side < 2; side++)
          S_reset (connections[count - 1].fds[side]);
      S_poll (listener, atoi (argv[2]), connections, &count);
    }
}
