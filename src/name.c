#include "lagoonvale/name.h"

#include <unictype.h>
#include <unistr.h>

bool
nam_valid (struct lv_slice name)
{
  const uint8_t *at = (const uint8_t *)name.data;
  size_t left = name.len;

  if (left == 0 || u8_check (at, left) != NULL)
    return false;
  while (left > 0)
    {
      ucs4_t c;
      int n = u8_mbtouc (&c, at, left);

      /* Line and paragraph separators break a line like a newline.  */
      if (uc_is_general_category_withtable (c, UC_CATEGORY_MASK_Cc
                                                   | UC_CATEGORY_MASK_Zl
                                                   | UC_CATEGORY_MASK_Zp))
        return false;
      at += n;
      left -= (size_t)n;
    }
  return true;
}
