/**
 * DOC: sid
 *
 * Submission ids.  An id names the entry that owns the submission (address and
 * incarnation) and the roster offset that fixes at which agents its tasks may
 * ever start.  The text form is
 * "lv1-OWNER-ADDRPORT-ROSTER-MINTED-SEQ", all fields in hexadecimal.
 */
#ifndef LV_SID_H
#define LV_SID_H

#include <stdint.h>

#include "lagoonvale/slice.h"

/** Bytes of the longest text form, with its NUL. */
#define SID_TEXT_MAX 96

/**
 * struct sid_id - a submission id
 * @owner: incarnation of the minting entry (random, 64 bits)
 * @roster: membership log offset; only agents in force there may start it
 * @minted_ms: wall clock of the minting entry, milliseconds since 1970
 * @seq: counter of the minting entry
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
 * sid_parse() - read the text form
 * @id: result
 * @text: the whole id and nothing else
 *
 * Return: 0, or -EINVAL.
 */
int sid_parse (struct sid_id *id, struct lv_slice text);

/** sid_equal() - whether two ids are the same. */
bool sid_equal (const struct sid_id *a, const struct sid_id *b);

/** sid_hash() - 64-bit digest of @id. */
uint64_t sid_hash (const struct sid_id *id);

#endif
