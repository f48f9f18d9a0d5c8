/* Sockets of tests on the loopback address.  Ports are chosen freely, so that several runs on one
 * machine do not collide. */
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns a port of the loopback address that is free now; 0 if there is none. */
static inline int
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int port = 0;
  if (bind (fd, (struct sockaddr *) &address, length) == 0 &&
      getsockname (fd, (struct sockaddr *) &address, &length) == 0)
    port = ntohs (address.sin_port);
  close (fd);
  return port;
}

/* Returns a socket that listens, and its port in @port; -1 if it cannot.  It does not block. */
static inline int
listen_loopback (int *port)
{
  enum
  {
    BACKLOG_MAX = 16,
  };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (bind (fd, (struct sockaddr *) &address, length) == 0 && listen (fd, BACKLOG_MAX) == 0 &&
      getsockname (fd, (struct sockaddr *) &address, &length) == 0)
    {
      *port = ntohs (address.sin_port);
      return fd;
    }
  close (fd);
  return -1;
}

/* Returns a socket that is connected to @port and has a receive buffer of @receive_bytes; -1 if it
 * cannot connect. */
static inline int
connect_loopback (int port, int receive_bytes)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((unsigned short) port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  if (connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}
