/**
 * DOC: quota
 *
 * Divides a limit of the whole fleet among its entries, without messages: each
 * knows the members, and so its own part.  The remainder goes to entries that
 * differ by subject, so that none has it of all.  Pure.
 */
#ifndef LV_QUOTA_H
#define LV_QUOTA_H

#include <stdint.h>

#include "lagoonvale/slice.h"

/**
 * qta_part() - the part of one entry
 * @limit: of the fleet
 * @entries: number of entries, not 0
 * @position: of this entry among them, 0 to @entries - 1
 * @subject: name of the team or kind that is limited
 *
 * The parts add up to @limit.  Where it is below the number of entries, though
 * not 0, each gets one: callers reach any entry, and none may refuse for good.
 */
uint32_t qta_part (uint32_t limit, uint32_t entries, uint32_t position,
                   struct lv_slice subject);

#endif
