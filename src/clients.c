#include "lagoonvale/clients.h"

#include <string.h>
#include <utlist.h>

void
clt_init (struct clt_clients *c, unsigned connections_max, size_t bytes_max)
{
  memset (c, 0, sizeof *c);
  c->connections_max = connections_max;
  c->bytes_max = bytes_max;
}

/* The client that loses its place first, of those that hold memory if
   HOLDING; NULL if all are busy.  */
static struct clt_client *
find_victim (const struct clt_clients *c, bool holding)
{
  struct clt_client *client;

  DL_FOREACH (c->list, client)
  if (!client->busy && !client->dropped && (!holding || client->held > 0))
    return client;
  return NULL;
}

void
clt_drop (struct clt_clients *c, struct clt_client *client)
{
  if (client->dropped)
    return;
  client->dropped = true;
  c->dropped++;
  c->count--;
  c->held -= client->held;
}

struct clt_client *
clt_join (struct clt_clients *c, struct clt_client *client)
{
  struct clt_client *victim;

  DL_APPEND (c->list, client);
  c->count++;
  if (c->count <= c->connections_max)
    return NULL;
  victim = find_victim (c, false);
  clt_drop (c, victim);
  return victim;
}

void
clt_leave (struct clt_clients *c, struct clt_client *client)
{
  DL_DELETE (c->list, client);
  if (client->dropped)
    return;
  c->count--;
  c->held -= client->held;
}

static size_t
counted (size_t bytes)
{
  return bytes > CLT_SMALL_BYTES ? bytes - CLT_SMALL_BYTES : 0;
}

bool
clt_reserve (struct clt_clients *c, struct clt_client *client, size_t bytes,
             clt_close_fn close_client)
{
  size_t wanted = counted (bytes);

  if (client->dropped || wanted > c->bytes_max)
    return false;
  while (c->held - client->held > c->bytes_max - wanted)
    {
      struct clt_client *victim = find_victim (c, true);

      if (victim == NULL || victim == client)
        return false;
      clt_drop (c, victim);
      close_client (victim);
    }
  c->held += wanted - client->held;
  client->held = wanted;
  return true;
}

void
clt_release (struct clt_clients *c, struct clt_client *client)
{
  if (!client->dropped)
    c->held -= client->held;
  client->held = 0;
}

void
clt_request_begun (struct clt_clients *c, struct clt_client *client)
{
  (void)c;
  client->busy = true;
}

void
clt_request_ended (struct clt_clients *c, struct clt_client *client)
{
  clt_release (c, client);
  client->busy = false;
  DL_DELETE (c->list, client);
  DL_APPEND (c->list, client);
}
