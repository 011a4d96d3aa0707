/**
 * DOC: example-queue
 *
 * Embeds the queue and the run time estimates without any daemon: two teams,
 * one of them flooding, and the order in which their tasks would go out.
 */
#include <lagoonvale/lagoonvale.h>

#include <stdio.h>
#include <talloc.h>

#define FLOOD 6
#define MS 1000000ULL

struct work
{
  struct que_item item;
  const char *name;
};

int
main (void)
{
  void *mem_ctx = talloc_new (NULL);
  struct work work[FLOOD + 1] = { 0 };
  struct lv_slice kind = lv_slice_of ("cut");
  struct est_table estimates;
  struct que_queue queue;
  struct que_item *next;

  est_init (&estimates, mem_ctx);
  est_observe (&estimates, kind, 80 * MS, true);
  que_init (&queue, mem_ctx, que_order_find ("ratio"));
  for (int i = 0; i < FLOOD; i++)
    {
      work[i].name = "catalogue";
      que_push (&queue, &work[i].item, lv_slice_of ("catalogue"), QUE_BULK,
                kind, est_mean (&estimates, kind), 0, (uint64_t)i);
    }
  work[FLOOD].name = "counter";
  que_push (&queue, &work[FLOOD].item, lv_slice_of ("counter"), QUE_URGENT,
            kind, est_mean (&estimates, kind), 0, 100);
  while ((next = que_peek (&queue, 200 * MS, NULL, NULL)) != NULL)
    {
      que_take (&queue, next, 200 * MS);
      printf ("%s\n", ((struct work *)(void *)next)->name);
    }
  que_finish (&queue);
  est_finish (&estimates);
  talloc_free (mem_ctx);
  return 0;
}
