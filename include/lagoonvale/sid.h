/**
 * DOC: sid
 *
 * Submission ids.  An id names the entry that owns the submission (address and
 * incarnation) and the roster offset that determines which agents may ever
 * start its tasks.  The text form is
 * "lv1-OWNER-ADDRPORT-ROSTER-MINTED-SEQ", all fields in hexadecimal.
 */
#ifndef LV_SID_H
#define LV_SID_H

#include <stdint.h>

#include "lagoonvale/slice.h"

/** Size of the longest text form, including the NUL, bytes. */
#define SID_TEXT_MAX 96

/**
 * struct sid_id - a submission id
 * @owner: incarnation of the entry that created the id (random, 64 bits)
 * @roster: membership log offset; only agents that were active at this offset
 * may start its tasks
 * @minted_ms: creation time by that entry's wall clock, ms since 1970
 * @seq: sequence number at that entry
 * @addr: IPv4 address of the owner, host byte order
 * @port: RPC port of the owner
 * @zero: always 0; ids are hashed as bytes, so there must be no padding
 */
struct sid_id
{
  uint64_t owner;
  uint64_t roster;
  uint64_t minted_ms;
  uint32_t seq;
  uint32_t addr;
  uint32_t port;
  uint32_t zero;
};

/** sid_format() - write the text form of @id into @text. */
void sid_format (const struct sid_id *id, char text[SID_TEXT_MAX]);

/**
 * sid_parse() - parse the text form
 * @id: result
 * @text: must hold exactly one id
 *
 * Return: 0, or -EINVAL.
 */
int sid_parse (struct sid_id *id, struct lv_slice text);

/** sid_equal() - whether two ids are the same. */
bool sid_equal (const struct sid_id *a, const struct sid_id *b);

/** sid_hash() - 64-bit hash of @id. */
uint64_t sid_hash (const struct sid_id *id);

#endif
