#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <talloc.h>
#include <thread>
#include <unistd.h>
extern "C"
{
#include "clock.h"
#include "http_client.h"
#include "net.h"
}

namespace
{
const char *const kAddress = "127.0.0.1:7987";

void
count_accepted (int fd, const char *, void *priv)
{
  close (fd);
  ++*static_cast<int *> (priv);
}

/* Limits the descriptors of this process to those that are open.  */
struct DescriptorLimit
{
  DescriptorLimit ()
  {
    getrlimit (RLIMIT_NOFILE, &before);
    struct rlimit now = before;
    int next = dup (0);
    close (next);
    now.rlim_cur = static_cast<rlim_t> (next);
    setrlimit (RLIMIT_NOFILE, &now);
  }
  ~DescriptorLimit () { setrlimit (RLIMIT_NOFILE, &before); }
  struct rlimit before;
};

// Guards against a listening socket that stays readable, with the event loop
// at full speed and callers that wait, while descriptors are short.
TEST (Net, WithoutDescriptorsAConnectionIsClosedAndTheLoopRests)
{
  struct tevent_context *ev = tevent_context_init (nullptr);
  int accepted = 0;
  ASSERT_EQ (net_serve (ev, ev, kAddress, count_accepted, &accepted), 0);
  int caller = net_connect (kAddress, nullptr);
  ASSERT_GE (caller, 0);
  {
    DescriptorLimit limit;
    ASSERT_EQ (tevent_loop_once (ev), 0);
  }
  EXPECT_EQ (accepted, 0);
  char byte;
  fcntl (caller, F_SETFL, 0);
  struct timeval patience = { 2, 0 };
  setsockopt (caller, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  EXPECT_EQ (recv (caller, &byte, 1, 0), 0) << "closed by the server";
  close (caller);

  caller = net_connect (kAddress, nullptr);
  ASSERT_EQ (tevent_loop_once (ev), 0);
  EXPECT_EQ (accepted, 1) << "serves again";
  close (caller);
  talloc_free (ev);
}

/* Accepts two connections; answers no request on the first one.  */
void
serve_second_connection (int listener)
{
  const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char request[4096];
  int first = accept (listener, nullptr, nullptr);
  int second = accept (listener, nullptr, nullptr);
  EXPECT_GT (recv (first, request, sizeof request, 0), 0);
  EXPECT_GT (recv (second, request, sizeof request, 0), 0);
  EXPECT_EQ (send (second, answer, sizeof answer - 1, 0), (ssize_t)sizeof answer - 1);
  close (first);
  close (second);
}

struct Answer
{
  bool done;
  int err;
  long status;
};

void
store_answer (int err, long status, struct lv_slice, void *priv)
{
  *static_cast<Answer *> (priv) = { true, err, status };
}

Answer
request (struct tevent_context *ev, struct hcl_client *client, long timeout_ms)
{
  Answer answer = { false, 0, 0 };
  std::string url = "http://" + std::string (kAddress) + "/x";
  EXPECT_NE (hcl_send (client, "GET", url.c_str (), { nullptr, 0 }, timeout_ms, store_answer, &answer),
             nullptr);
  while (!answer.done && tevent_loop_once (ev) == 0)
    ;
  return answer;
}

// Guards against a request that waits for an answer without end, and against
// one that is sent on a connection on which another has timed out: it would
// get the answer of that one.
TEST (HttpClient, ATimeoutEndsTheRequestAndItsConnection)
{
  struct tevent_context *ev = tevent_context_init (nullptr);
  struct hcl_client *client = hcl_new (ev, ev, 1);
  struct sockaddr_in at = {};
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  ASSERT_EQ (net_parse (&at, kAddress), 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  ASSERT_EQ (bind (listener, (struct sockaddr *)&at, sizeof at), 0);
  ASSERT_EQ (listen (listener, 8), 0);
  std::thread server (serve_second_connection, listener);

  uint64_t began = clk_now ();
  Answer first = request (ev, client, 200);
  uint64_t took_ms = (clk_now () - began) / CLK_MS;
  EXPECT_EQ (first.err, -ETIMEDOUT);
  EXPECT_FALSE (hcl_never_sent (first.err)) << "it may have been executed";
  EXPECT_GE (took_ms, 199u);
  EXPECT_LE (took_ms, 1500u);
  Answer second = request (ev, client, 5000);
  EXPECT_EQ (second.err, 0);
  EXPECT_EQ (second.status, 200);
  server.join ();
  close (listener);
  talloc_free (ev);
}
}
