#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "logline.h"
#include "xtalloc.h"

#define LISTEN_BACKLOG 512
#define PORT_MAX 65535

int
net_parse (struct sockaddr_in *address, const char *text)
{
  char host[INET_ADDRSTRLEN];
  const char *colon = strrchr (text, ':');
  char *end;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return -EINVAL;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  port = strtoul (colon + 1, &end, 10);
  if (colon[1] == '\0' || *end != '\0' || port > PORT_MAX)
    return -EINVAL;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &address->sin_addr) == 1 ? 0 : -EINVAL;
}

int
net_parse_host_order (uint32_t *address, uint32_t *port, const char *text)
{
  struct sockaddr_in parsed;

  if (net_parse (&parsed, text) != 0 || parsed.sin_port == 0)
    return -EINVAL;
  *address = ntohl (parsed.sin_addr.s_addr);
  *port = ntohs (parsed.sin_port);
  return 0;
}

void
net_format (uint32_t address, uint32_t port, char text[NET_TEXT_MAX])
{
  snprintf (text, NET_TEXT_MAX, "%u.%u.%u.%u:%u", (address >> 24) & 255,
            (address >> 16) & 255, (address >> 8) & 255, address & 255,
            port & PORT_MAX);
}

static void
set_socket_options (int fd)
{
  int one = 1;

  fcntl (fd, F_SETFL, O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Return: a socket for the address TEXT, or a negative error number.  */
static int
open_socket (const char *text, struct sockaddr_in *address)
{
  int fd;

  if (net_parse (address, text) != 0)
    return -EINVAL;
  fd = socket (AF_INET, SOCK_STREAM, 0);
  if (fd < 0)
    return -errno;
  set_socket_options (fd);
  return fd;
}

int
net_listen (const char *text)
{
  struct sockaddr_in address;
  int one = 1;
  int fd = open_socket (text, &address);

  if (fd < 0)
    return fd;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      int code = -errno;
      close (fd);
      return code;
    }
  return fd;
}

static int
connect_from (int fd, const struct sockaddr_in *address, const char *source)
{
  struct sockaddr_in from;
  int one = 1;

  if (source != NULL)
    {
      if (net_parse (&from, source) != 0)
        return -EINVAL;
      setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
      if (bind (fd, (struct sockaddr *)&from, sizeof from) != 0)
        return -errno;
    }
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0
      && errno != EINPROGRESS)
    return -errno;
  return 0;
}

int
net_connect (const char *text, const char *source)
{
  struct sockaddr_in address;
  int rc;
  int fd = open_socket (text, &address);

  if (fd < 0)
    return fd;
  rc = connect_from (fd, &address, source);
  if (rc == 0)
    return fd;
  close (fd);
  return rc;
}

/* SPARE_FD is given up to accept a connection when descriptors are short.  */
struct server
{
  int fd;
  int spare_fd;
  void (*accepted) (int fd, const char *peer, void *priv);
  void *priv;
};

static bool
is_shortage (int code)
{
  return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM;
}

/* Close the oldest connection that waits to be accepted, since descriptors are
   short: the listening socket would stay readable, and its peer wait.  */
static void
shed_connection (struct server *server, int code)
{
  int fd;

  log_ratelimited (LOGL_WARN, "accept-failed", "code=%d", -code);
  if (server->spare_fd >= 0)
    close (server->spare_fd);
  fd = accept (server->fd, NULL, NULL);
  if (fd >= 0)
    close (fd);
  server->spare_fd = fcntl (server->fd, F_DUPFD_CLOEXEC, 0);
}

static void
accept_cb (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
           void *priv)
{
  struct server *server = priv;
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  char peer[NET_TEXT_MAX];
  int fd = accept (server->fd, (struct sockaddr *)&from, &len);

  (void)ev;
  (void)fde;
  (void)flags;
  if (fd < 0)
    {
      if (is_shortage (errno))
        shed_connection (server, errno);
      return;
    }
  set_socket_options (fd);
  net_format (ntohl (from.sin_addr.s_addr), ntohs (from.sin_port), peer);
  server->accepted (fd, peer, server->priv);
}

static int
close_spare (struct server *server)
{
  if (server->spare_fd >= 0)
    close (server->spare_fd);
  return 0;
}

int
net_serve (void *mem_ctx, struct tevent_context *ev, const char *text,
           void (*accepted) (int fd, const char *peer, void *priv), void *priv)
{
  struct server *server;
  struct tevent_fd *fde;
  int fd = net_listen (text);

  if (fd < 0)
    return fd;
  server = xtalloc_zero (mem_ctx, struct server);
  server->fd = fd;
  server->accepted = accepted;
  server->priv = priv;
  server->spare_fd = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  talloc_set_destructor (server, close_spare);
  fde = xtalloc_check (
      tevent_add_fd (ev, server, fd, TEVENT_FD_READ, accept_cb, server));
  tevent_fd_set_auto_close (fde);
  return 0;
}
