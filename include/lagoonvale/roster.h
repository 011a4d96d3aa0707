/**
 * DOC: roster
 *
 * Cluster membership, built by applying the records of the platform log's
 * membership stream in order.  A member is active from the offset of its
 * "join" record up to the offset of the record that ends it.  Ended members
 * are kept for a while: a submission may have started only at agents that were
 * active at the offset in its id.  Pure: no I/O, no clock.
 */
#ifndef LV_ROSTER_H
#define LV_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/** Number of buckets that keys hash to; each bucket has its homes. */
#define ROS_BUCKETS 1024
/** Homes of a key: the agents that store its binding. */
#define ROS_HOMES 2
/** Size of a member or failure domain name, bytes, with NUL. */
#define ROS_NAME_MAX 64

/** enum ros_role - role of a member */
enum ros_role
{
  ROS_ENTRY = 1,
  ROS_AGENT = 2,
};

/**
 * struct ros_member - one instance
 * @name: unique among active members
 * @domain: failure domain
 * @role: see enum ros_role
 * @addr: IPv4 address, host byte order
 * @port: RPC port
 * @incarnation: random, new at each process start
 * @slots: of an agent
 * @joined: offset of its join record
 * @ended: offset of the record that ended it, 0 while active
 * @ended_ms: log time of that record
 * @listed: it is in the dump that was loaded last
 * @priv: for the caller; ros_expire() keeps the member while it is set
 */
struct ros_member
{
  char name[ROS_NAME_MAX];
  char domain[ROS_NAME_MAX];
  enum ros_role role;
  uint32_t addr;
  uint32_t port;
  uint64_t incarnation;
  uint32_t slots;
  uint64_t joined;
  uint64_t ended;
  uint64_t ended_ms;
  bool listed;
  void *priv;
  struct ros_member *next;
  UT_hash_handle hh;
};

/**
 * struct ros_home - homes of one bucket, chosen by rendezvous hashing
 * @member: incarnations, the primary home first; 0 for none
 * @since_ms: log time since which each has been a home without interruption
 */
struct ros_home
{
  uint64_t member[ROS_HOMES];
  uint64_t since_ms[ROS_HOMES];
};

/**
 * struct ros_roster - caller-owned
 * @mem_ctx: talloc parent
 * @offset: offset up to which records were applied or skipped, 0 for none
 * @complete_from: offset from which on all members are known, ended ones too
 * @members: list, including ended members
 * @by_incarnation: hash table of @members
 * @homes: by bucket
 */
struct ros_roster
{
  void *mem_ctx;
  uint64_t offset;
  uint64_t complete_from;
  struct ros_member *members;
  struct ros_member *by_incarnation;
  struct ros_home homes[ROS_BUCKETS];
};

/** ros_init() - initialize an empty roster. */
void ros_init (struct ros_roster *r, void *mem_ctx);

/** ros_finish() - free all members. */
void ros_finish (struct ros_roster *r);

/**
 * ros_apply() - apply one record
 * @offset: of the record in the stream, starting at 1
 * @log_ms: time at which the log stored it
 * @record: JSON text
 *
 * Return: the member that joined or ended; NULL if no member changed or the
 * record is invalid.  The end of an unknown member returns NULL too, but moves
 * @complete_from to @offset and restarts the times of all homes.
 */
struct ros_member *ros_apply (struct ros_roster *r, uint64_t offset,
                              uint64_t log_ms, struct lv_slice record);

/**
 * ros_start_at() - reading continues at @first, the oldest record in the log
 *
 * If records before @first were not read, members may have joined or ended
 * meanwhile: @complete_from and @offset become @first - 1.
 */
void ros_start_at (struct ros_roster *r, uint64_t first);

/** ros_dump() - JSON array with the join records of all active members. */
char *ros_dump (void *mem_ctx, const struct ros_roster *r);

/**
 * ros_load() - apply the members of a peer's roster
 * @offset: of the peer's roster
 * @log_ms: stands in for the log time of the join records
 * @dump: from ros_dump()
 *
 * Active members that @dump lacks have ended, at some offset up to @offset.
 *
 * Return: true if applied; false if @dump is not a JSON array or @offset is
 * not newer than the roster's.
 */
bool ros_load (struct ros_roster *r, uint64_t offset, uint64_t log_ms,
               struct lv_slice dump);

/** ros_find() - look up a member by incarnation; NULL if unknown. */
struct ros_member *ros_find (const struct ros_roster *r, uint64_t incarnation);

/** ros_active_at() - whether @m was active at @offset. */
bool ros_active_at (const struct ros_member *m, uint64_t offset);

/** ros_expire() - free members that ended before @before_ms. */
void ros_expire (struct ros_roster *r, uint64_t before_ms);

/** ros_bucket() - bucket of a key. */
unsigned ros_bucket (struct lv_slice key);

/** ros_homes_digest() - hash of a bucket's homes. */
uint64_t ros_homes_digest (const struct ros_roster *r, unsigned bucket);

/**
 * ros_join_record() - JSON text of a member's join record
 * @mem_ctx: talloc parent of the result
 * @since: offset of the first join record when it is repeated; else 0
 */
char *ros_join_record (void *mem_ctx, const struct ros_member *m,
                       uint64_t since);

/** ros_end_record() - JSON text that ends @incarnation; @why isn't escaped. */
char *ros_end_record (void *mem_ctx, uint64_t incarnation, const char *why);

#endif
