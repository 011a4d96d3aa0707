/**
 * DOC: net
 *
 * IPv4 addresses and non-blocking TCP sockets.
 */
#ifndef LV_NET_H
#define LV_NET_H

#include <netinet/in.h>
#include <stdint.h>
#include <tevent.h>

/** Size of "255.255.255.255:65535" including the NUL, bytes. */
#define NET_TEXT_MAX 22

/** net_parse() - parse "IP:PORT". Return: 0 or -EINVAL. */
int net_parse (struct sockaddr_in *address, const char *text);

/**
 * net_parse_host_order() - parse "IP:PORT" into numbers, as net_format()
 * writes it
 * @address: host byte order
 *
 * Return: 0 or -EINVAL.
 */
int net_parse_host_order (uint32_t *address, uint32_t *port, const char *text);

/** net_format() - write @address (host byte order) and @port as text. */
void net_format (uint32_t address, uint32_t port, char text[NET_TEXT_MAX]);

/** net_listen() - listen on "IP:PORT". Return: descriptor or -errno. */
int net_listen (const char *text);

/**
 * net_connect() - start a non-blocking connect
 * @text: "IP:PORT"
 * @source: local address to connect from, "IP:0"; NULL for any
 *
 * Return: descriptor or -errno.
 */
int net_connect (const char *text, const char *source);

/**
 * net_serve() - listen and pass on each accepted, non-blocking socket
 * @mem_ctx: talloc parent of the listener
 * @accepted: called for each connection; takes ownership of @fd
 *
 * Return: 0 or a negative error number.
 */
int net_serve (void *mem_ctx, struct tevent_context *ev, const char *text,
               void (*accepted) (int fd, const char *peer, void *priv),
               void *priv);

#endif
