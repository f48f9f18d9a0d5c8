/* Port for a test that listens, so that several runs on one machine do not collide. */
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
