/**
 * DOC: roster
 *
 * Who takes part: the membership stream of the platform's log, applied record
 * by record.  A member is in force from the offset of its "join" record to the
 * offset of the record that ends it.  Members that have ended are kept for a
 * while, since the agents at which a submission may have started are those in
 * force at the offset in its id.  Pure.
 */
#ifndef LV_ROSTER_H
#define LV_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "lagoonvale/slice.h"

/** Buckets that keys are divided into; each has its homes. */
#define ROS_BUCKETS 1024
/** Homes of a key. */
#define ROS_HOMES 2
/** Bytes of names of members and failure domains, with NUL. */
#define ROS_NAME_MAX 64

/** enum ros_role - what a member does */
enum ros_role
{
  ROS_ENTRY = 1,
  ROS_AGENT = 2,
};

/**
 * struct ros_member - one instance
 * @name: unique among the living
 * @domain: failure domain
 * @role: see enum ros_role
 * @addr: IPv4 address, host byte order
 * @port: RPC port
 * @incarnation: random, one per process start
 * @slots: of an agent
 * @joined: offset of its join record
 * @ended: offset of the record that ended it, 0 while in force
 * @ended_ms: log time of that record
 * @priv: the caller's
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
  void *priv;
  struct ros_member *next;
  UT_hash_handle hh;
};

/**
 * struct ros_home - the homes of one bucket of keys
 * @member: incarnations, first home first; 0 where there is none
 * @since_ms: log time since which each has been a home without a break
 */
struct ros_home
{
  uint64_t member[ROS_HOMES];
  uint64_t since_ms[ROS_HOMES];
};

/**
 * struct ros_roster - caller-owned
 * @mem_ctx: talloc parent
 * @offset: offset of the last record applied, 0 for none
 * @complete_from: from this offset on, all members are known, the ended
 * included
 * @members: list, those that ended included
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

/** ros_init() - empty roster. */
void ros_init (struct ros_roster *r, void *mem_ctx);

/** ros_finish() - free all members. */
void ros_finish (struct ros_roster *r);

/**
 * ros_apply() - apply one record
 * @offset: of the record in the stream, starting at 1
 * @log_ms: time at which the log took it
 * @record: JSON text
 *
 * Return: the member it concerns; NULL if nothing changed or the record is
 * not one of ours.
 */
struct ros_member *ros_apply (struct ros_roster *r, uint64_t offset,
                              uint64_t log_ms, struct lv_slice record);

/** ros_start_at() - reading goes on at @first, the oldest record kept. */
void ros_start_at (struct ros_roster *r, uint64_t first);

/** ros_dump() - JSON array of the announcements of all in force. */
char *ros_dump (void *mem_ctx, const struct ros_roster *r);

/**
 * ros_load() - take the members that a peer knows
 * @offset: of the peer's roster
 * @log_ms: time
 * @dump: from ros_dump()
 *
 * Return: whether the roster is now at @offset.
 */
bool ros_load (struct ros_roster *r, uint64_t offset, uint64_t log_ms,
               struct lv_slice dump);

/** ros_find() - member by incarnation, or NULL. */
struct ros_member *ros_find (const struct ros_roster *r, uint64_t incarnation);

/** ros_active_at() - whether @m was in force at @offset. */
bool ros_active_at (const struct ros_member *m, uint64_t offset);

/** ros_expire() - forget members that ended before @before_ms. */
void ros_expire (struct ros_roster *r, uint64_t before_ms);

/** ros_bucket() - bucket of a key. */
unsigned ros_bucket (struct lv_slice key);

/** ros_homes_digest() - digest of a bucket's homes. */
uint64_t ros_homes_digest (const struct ros_roster *r, unsigned bucket);

/**
 * ros_join_record() - JSON text of a member's announcement
 * @mem_ctx: talloc parent of the result
 * @since: offset of the first announcement, for a refresh; else 0
 */
char *ros_join_record (void *mem_ctx, const struct ros_member *m,
                       uint64_t since);

/** ros_end_record() - JSON text that ends @incarnation; @why is one word. */
char *ros_end_record (void *mem_ctx, uint64_t incarnation, const char *why);

#endif
