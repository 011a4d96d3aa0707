#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <string>
extern "C"
{
#include "wire.h"
}

namespace
{
/* A peer sends the begin of a message: nothing of it may stay allocated.  */
TEST (Wire, TruncatedMessagesLeaveNothingBehind)
{
  u_quad_t runs[] = { 1, 2, 3 };
  lvp_stop out = { { 3, runs } };
  char buf[256];
  XDR xdr;
  xdrmem_create (&xdr, buf, sizeof buf, XDR_ENCODE);
  ASSERT_TRUE (xdr_lvp_stop (&xdr, &out));
  const u_int whole = xdr_getpos (&xdr);
  for (u_int len = 0; len <= whole; len++)
    {
      lvp_stop in;
      xdrmem_create (&xdr, buf, len, XDR_DECODE);
      EXPECT_EQ (WIR_DECODE (lvp_stop, &xdr, &in), len == whole) << len;
      EXPECT_EQ (in.runs.runs_val != nullptr, len == whole) << len;
      WIR_FREE (lvp_stop, &in);
    }
}

template <typename Message, typename Decode>
void
check_seed (const char *name, Decode decode)
{
  std::ifstream file ("tests/fuzz/corpus/" + std::string (name) + ".xdr",
                      std::ios::binary);
  std::string text ((std::istreambuf_iterator<char> (file)), {});
  Message message = {};
  XDR xdr;

  xdrmem_create (&xdr, text.data (), (u_int)text.size (), XDR_DECODE);
  EXPECT_TRUE (decode (&xdr, &message)) << name;
  EXPECT_EQ (xdr_getpos (&xdr), text.size ()) << name;
  xdr_free ((xdrproc_t)decode, reinterpret_cast<char *> (&message));
}

/* Guards against seeds of the fuzz target that no longer are messages since a
   member was added: nothing behind that member is reached then.  */
TEST (Wire, SeedsOfTheFuzzTargetAreWholeMessages)
{
  check_seed<lvp_cancels> ("cancels", xdr_lvp_cancels);
  check_seed<lvp_ends> ("ends", xdr_lvp_ends);
  check_seed<lvp_join> ("join", xdr_lvp_join);
  check_seed<lvp_loss> ("loss", xdr_lvp_loss);
  check_seed<lvp_order> ("order", xdr_lvp_order);
  check_seed<lvp_config> ("page", xdr_lvp_config);
  check_seed<lvp_peer> ("peer", xdr_lvp_peer);
  check_seed<lvp_report> ("report", xdr_lvp_report);
}
}
