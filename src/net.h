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

/** Bytes of "255.255.255.255:65535" with its NUL. */
#define NET_TEXT_MAX 22

/** net_parse() - read "IP:PORT". Return: 0 or -EINVAL. */
int net_parse (struct sockaddr_in *address, const char *text);

/**
 * net_parse_pair() - read "IP:PORT" as net_format() writes it
 * @address: host byte order
 *
 * Return: 0 or -EINVAL.
 */
int net_parse_pair (uint32_t *address, uint32_t *port, const char *text);

/** net_format() - write @address (host byte order) and @port as text. */
void net_format (uint32_t address, uint32_t port, char text[NET_TEXT_MAX]);

/** net_listen() - listening socket. Return: descriptor or -errno. */
int net_listen (const char *text);

/**
 * net_connect() - begin a connection
 * @text: "IP:PORT"
 * @source: address to connect from, "IP:0"; NULL for any
 *
 * Return: descriptor or -errno.
 */
int net_connect (const char *text, const char *source);

/**
 * net_serve() - listen and hand each accepted, non-blocking socket on
 * @mem_ctx: talloc parent of the listener
 * @accepted: owns @fd from the call on
 *
 * Return: 0 or a negative error number.
 */
int net_serve (void *mem_ctx, struct tevent_context *ev, const char *text,
               void (*accepted) (int fd, const char *peer, void *priv),
               void *priv);

#endif
