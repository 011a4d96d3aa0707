/**
 * DOC: clients
 *
 * Places and memory that a process holds for its clients, and which client
 * loses its place when there is no more.  All bodies share one budget; the
 * first CLT_SMALL_BYTES of each are free of it, so that ordinary requests are
 * served beside many large ones.  A client that has sent a whole request is
 * never dropped.  Of the others, those go first that have not completed a
 * request for longest: clients that stop, or send slowly, before those that
 * have just arrived.  Pure: no I/O, no clock; not locked.
 */
#ifndef LV_CLIENTS_H
#define LV_CLIENTS_H

#include <stdbool.h>
#include <stddef.h>

/** Bytes of each body that the budget does not count. */
#define CLT_SMALL_BYTES 8192
/** Default of the most connections: with what each may hold at least they
 * leave most of the smallest instance's 120 MB and 2,875 descriptors. */
#define CLT_CONNECTIONS_DEFAULT "2500"
/** Default of the budget, KiB: 64 bodies of the longest kind at a time, where
 * callers send some hundred bytes. */
#define CLT_BODIES_KB_DEFAULT "16384"

/**
 * struct clt_client - one connection; caller-owned, zeroed before it joins
 * @busy: a whole request has arrived and is not answered yet
 * @dropped: it has lost its place; the owner closes it
 * @held: bytes that the budget counts for it
 * @priv: owned by the caller
 */
struct clt_client
{
  bool busy;
  bool dropped;
  size_t held;
  void *priv;
  struct clt_client *prev;
  struct clt_client *next;
};

/**
 * struct clt_clients - caller-owned
 * @connections_max: most clients at a time
 * @bytes_max: the budget of all bodies
 * @list: the client first that has not completed a request for longest
 * @count: clients that have not been dropped
 * @held: bytes held for these
 * @dropped: clients dropped so far
 */
struct clt_clients
{
  unsigned connections_max;
  size_t bytes_max;
  struct clt_client *list;
  unsigned count;
  size_t held;
  unsigned long long dropped;
};

/** clt_init() - initialize without clients. */
void clt_init (struct clt_clients *c, unsigned connections_max,
               size_t bytes_max);

/**
 * clt_join() - add a client that has connected
 *
 * Return: the client that loses its place for it, NULL if there is room.  It
 * is @client itself if all others are busy.
 */
struct clt_client *clt_join (struct clt_clients *c, struct clt_client *client);

/** clt_leave() - remove a client whose connection is closed. */
void clt_leave (struct clt_clients *c, struct clt_client *client);

/** clt_close_fn - close the connection of @victim, which has lost its place;
 * it leaves later. */
typedef void (*clt_close_fn) (struct clt_client *victim);

/**
 * clt_reserve() - let the body of @client take @bytes in all
 * @close_client: called for each client that loses its place for it
 *
 * Return: whether @client may take them.  False if it is to be refused.
 */
bool clt_reserve (struct clt_clients *c, struct clt_client *client,
                  size_t bytes, clt_close_fn close_client);

/** clt_release() - the body of @client has been freed. */
void clt_release (struct clt_clients *c, struct clt_client *client);

/** clt_drop() - @client has lost its place: what it holds is about to be
 * freed. */
void clt_drop (struct clt_clients *c, struct clt_client *client);

/** clt_request_begun() - a whole request of @client has arrived. */
void clt_request_begun (struct clt_clients *c, struct clt_client *client);

/** clt_request_ended() - it is answered, or its connection has ended. */
void clt_request_ended (struct clt_clients *c, struct clt_client *client);

#endif
