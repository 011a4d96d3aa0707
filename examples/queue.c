/**
 * DOC: example-queue
 *
 * Uses the queue and the run time estimates without a daemon.  One team
 * submits many bulk tasks, another a single urgent task; prints the team of
 * each task in the order of dispatch.
 */
#include <lagoonvale/lagoonvale.h>

#include <stdio.h>
#include <talloc.h>

#define BULK_TASKS 6
#define MS 1000000ULL

struct task
{
  struct que_item item;
  const char *team;
};

int
main (void)
{
  void *mem_ctx = talloc_new (NULL);
  struct task tasks[BULK_TASKS + 1] = { 0 };
  struct lv_slice kind = lv_slice_of ("cut");
  struct est_table estimates;
  struct que_queue queue;
  struct que_item *next;

  est_init (&estimates, mem_ctx);
  est_observe (&estimates, kind, 80 * MS, true);
  que_init (&queue, mem_ctx, que_order_find ("ratio"));
  for (int i = 0; i < BULK_TASKS; i++)
    {
      tasks[i].team = "catalogue";
      que_push (&queue, &tasks[i].item, lv_slice_of ("catalogue"), QUE_BULK,
                kind, est_mean (&estimates, kind), 0, (uint64_t)i);
    }
  tasks[BULK_TASKS].team = "counter";
  que_push (&queue, &tasks[BULK_TASKS].item, lv_slice_of ("counter"),
            QUE_URGENT, kind, est_mean (&estimates, kind), 0, 100);
  while ((next = que_peek (&queue, 200 * MS, NULL, NULL)) != NULL)
    {
      que_take (&queue, next, 200 * MS);
      printf ("%s\n", ((struct task *)(void *)next)->team);
    }
  que_finish (&queue);
  est_finish (&estimates);
  talloc_free (mem_ctx);
  return 0;
}
