#include <gtest/gtest.h>

#include <atomic>
#include <cctype>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/concat.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

http_dialect OtherDialect() {
  http_dialect dialect;
  dialect.deadline = "X-Left";
  dialect.request_id = "X-Id";
  dialect.caller_service = "X-From";
  dialect.expected_upstream = "X-Expect";
  dialect.not_run = "X-Not-Run";
  dialect.load = "X-Load";
  dialect.max_rate = "X-Limit";
  dialect.leaving = "X-Leaving";
  dialect.seal = "X-Seal";
  dialect.has_own_fields = false;
  return dialect;
}

std::string Request(const std::string& id, const std::string& fields = "") {
  return "GET /orders HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\nX-Left: 5000\r\n" + fields +
         "\r\n";
}

std::string Response(const std::string& status, const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Ask(const test_daemon& daemon, const std::string& request) {
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send(request);
  std::string response = caller.ReceiveUntil("\r\n\r\n");
  const std::size_t at = response.find("Content-Length: ");
  if (at != std::string::npos) {
    response += caller.ReceiveExactly(std::stoul(response.substr(at + 16)));
  }
  return response;
}

class DialectTest : public testing::Test {
 protected:
  DialectTest() : daemon_(1, nullptr, OtherDialect()) {
    RunOnLoop([this] { daemon_.sockets().callers().SetCallerService("shop"); });
  }
  void Use(const std::string& address) {
    RunOnLoop([&] { daemon_.sockets().upstream().SetUpstream(address, "run-7"); });
  }

  test_daemon daemon_;
};

// Guards against a call that an upstream makes for a running request being treated as a call
// from a client, and vice versa.
TEST_F(DialectTest, CallMadeForRunningRequestGetsIncrementedDepth) {
  std::string calls;
  raw_upstream upstream([&](raw_socket& peer) {
    const std::string head = peer.ReceiveUntil("\r\n\r\n");
    if (head.find("X-Id: 9\r\n") != std::string::npos) {
      for (const char* id : {"9.1", "91", "8.1", "9"}) Ask(daemon_, Request(id));
    }
    peer.Send(Response("200 OK", "X-Seal: s\r\n", "ok"));
  });
  Use(upstream.address());
  daemon_.on_request = [&](const caller_request& request) {
    calls += request.request_id + " " + std::to_string(request.depth) + "\n";
    const attempt_head head = daemon_.HeadFor(request);
    if (calls.find('\n') + 1 == calls.size()) {
      daemon_.sockets().upstream().StartUpstream(request.exchange, head.id, head.deadline,
                                                 true);
    } else {
      daemon_.sockets().callers().RespondWithError(request.exchange, {},
                                                   error_kind::kOverloaded, 0);
    }
  };
  Ask(daemon_, Request("9"));
  Ask(daemon_, Request("9.2"));
  EXPECT_EQ(calls, "9 0\n9.1 1\n91 0\n8.1 0\n9 0\n9.2 0\n");
}

// Guards against a request without the expected identity, which any upstream at the address
// would run, and against a caller that sets the caller service itself.
TEST_F(DialectTest, RequestCarriesExpectedUpstreamAndCallerService) {
  std::string head;
  raw_upstream upstream([&](raw_socket& peer) {
    head = peer.ReceiveUntil("\r\n\r\n");
    peer.Send(Response("200 OK", "X-Id: 9\r\nX-Seal: s\r\nX-Load: 1,2,3,400\r\n", "ok"));
    peer.ReceiveAll();
  });
  Use(upstream.address());
  const std::string response =
      Ask(daemon_, Request("9", "X-From: liar\r\nX-Expect: other\r\n"));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_NE(response.find("X-Seal: s"), std::string::npos) << response;
  EXPECT_EQ(response.find("X-Load"), std::string::npos) << response;
  EXPECT_NE(head.find("X-From: shop\r\n"), std::string::npos) << head;
  EXPECT_EQ(head.find("liar"), std::string::npos) << head;
  EXPECT_NE(head.find("X-Expect: run-7\r\n"), std::string::npos) << head;
  EXPECT_EQ(head.find("other"), std::string::npos) << head;
  EXPECT_NE(head.find("X-Id: 9\r\n"), std::string::npos) << head;
  EXPECT_NE(head.find("X-Left: "), std::string::npos) << head;
  EXPECT_EQ(head.find("Bronzeroute"), std::string::npos) << head;
  EXPECT_EQ(daemon_.Count("upstream_load"), 1);
}

// Guards against relaying a response in which the upstream reports that it did not run the
// request.
TEST_F(DialectTest, NotRunResponsesAreTreatedAsRefusals) {
  for (const std::string& refusal :
       {Response("503 Service Unavailable", "X-Not-Run: 1\r\n", ""),
        Response("421 Misdirected Request", "X-Id: 1\r\n", "no")}) {
    raw_upstream upstream([&](raw_socket& peer) {
      peer.ReceiveUntil("\r\n\r\n");
      peer.Send(refusal);
      peer.ReceiveAll();
    });
    Use(upstream.address());
    const std::string response = Ask(daemon_, Request("1"));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
    EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After: 0."), std::string::npos) << response;
    EXPECT_NE(response.find("X-Id: 1\r\n"), std::string::npos) << response;
  }
  EXPECT_EQ(daemon_.Count("upstream_refused"), 2);
}

// Guards against relaying a success that the upstream itself did not produce.
TEST_F(DialectTest, SuccessWithoutValidSealIsReportedAsLost) {
  for (const std::string fields :
       {"X-Id: 1\r\n", "X-Id: 1\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n"}) {
    raw_upstream upstream([&](raw_socket& peer) {
      peer.ReceiveUntil("\r\n\r\n");
      peer.Send(Response("200 OK", fields, "bytes"));
      peer.ReceiveAll();
    });
    Use(upstream.address());
    const std::string response = Ask(daemon_, Request("1"));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
    EXPECT_EQ(response.find("bytes"), std::string::npos) << response;
  }
}

// Guards against a late second response to an earlier request that reaches the next caller.
TEST_F(DialectTest, StraySecondResponseIsDropped) {
  std::atomic<int> connections = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    if (++connections > 1) {
      peer.ReceiveUntil("\r\n\r\n");
      peer.Send(Response("200 OK", "X-Id: 3\r\nX-Seal: s\r\n", "three"));
      peer.ReceiveAll();
      return;
    }
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send(Response("200 OK", "X-Id: 1\r\nX-Seal: s\r\n", "one"));
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send(Response("200 OK", "X-Id: 1\r\nX-Seal: s\r\n", "one") +
              Response("200 OK", "X-Id: 2\r\nX-Seal: s\r\n", "two"));
    peer.ReceiveAll();
  });
  Use(upstream.address());
  EXPECT_TRUE(Ask(daemon_, Request("1")).ends_with("one"));
  EXPECT_TRUE(Ask(daemon_, Request("2")).ends_with("two"));
  EXPECT_EQ(daemon_.Count("stray_response"), 1);
  // A connection that carried a stray response is not reused.
  EXPECT_TRUE(Ask(daemon_, Request("3")).ends_with("three"));
  EXPECT_EQ(connections, 2);
}

// Guards against an earlier refusal that the upstream repeats on a kept connection and that is
// taken for the response to a request that runs: with its id, without one, and for a request
// that is sent again with the id that was refused.
TEST_F(DialectTest, RepeatedRefusalIsNotTakenForThatOfALaterRequest) {
  struct repeated {
    std::string fields;
    std::string next_id;
    std::string status;
    int connections;
  };
  for (const repeated& one : {repeated{"X-Id: 1\r\nX-Not-Run: 1\r\n", "2", "200", 1},
                              repeated{"X-Not-Run: 1\r\n", "2", "504", 1},
                              repeated{"X-Id: 1\r\nX-Not-Run: 1\r\n", "1", "200", 2}}) {
    const std::string refusal = Response("503 Service Unavailable", one.fields, "full");
    std::atomic<int> requests = 0;
    raw_upstream upstream([&](raw_socket& peer) {
      for (std::string last; !peer.ReceiveUntil("\r\n\r\n").empty();) {
        if (++requests == 1) {
          last = refusal;
          peer.Send(refusal);
        } else {
          peer.Send(last);
          peer.Send(Response("200 OK", "X-Id: " + one.next_id + "\r\nX-Seal: s\r\n", "ran"));
        }
      }
    });
    Use(upstream.address());
    EXPECT_TRUE(Ask(daemon_, Request("1")).starts_with("HTTP/1.1 503"));
    const std::string response = Ask(daemon_, Request(one.next_id));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + one.status)) << response;
    EXPECT_EQ(response.find("not-run"), std::string::npos) << response;
    EXPECT_EQ(upstream.connections(), one.connections);
  }
}

// Guards against a response head that ends in the middle, with the connection, and is relayed
// as a complete response: every prefix of a head, closed in order and reset.
TEST_F(DialectTest, HeadThatEndsInTheMiddleIsNeverASuccess) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 10\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); ++length) {
    const bool is_reset = length % 2 == 1;
    raw_upstream upstream([&](raw_socket& peer) {
      peer.ReceiveUntil("\r\n\r\n");
      peer.Send(head.substr(0, length));
      if (is_reset) {
        peer.Reset();
      } else {
        peer.Shutdown();
      }
    });
    Use(upstream.address());
    const std::string response = Ask(daemon_, Request("1"));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << length << ": " << response;
  }
}

// Guards against bytes that follow a response being read as the next response.
TEST_F(DialectTest, ExtraBytesAfterResponsePreventConnectionReuse) {
  std::atomic<int> connections = 0;
  raw_upstream upstream([&](raw_socket& peer) {
    ++connections;
    const std::string head = peer.ReceiveUntil("\r\n\r\n");
    const std::string id = head.substr(head.find("X-Id: ") + 6, 1);
    peer.Send(Response("200 OK", "X-Id: " + id + "\r\nX-Seal: s\r\n", "ok") +
              "HTTP/1.1 200 OK");
    peer.ReceiveAll();
  });
  Use(upstream.address());
  EXPECT_TRUE(Ask(daemon_, Request("1")).ends_with("ok"));
  EXPECT_TRUE(Ask(daemon_, Request("2")).ends_with("ok"));
  EXPECT_EQ(connections, 2);
}

// Guards against an upstream that keeps working for a caller that disconnected: the disconnect
// must be detected while the upstream sends nothing.
TEST_F(DialectTest, DetectsCallerDisconnectWhileUpstreamIsSilent) {
  std::atomic<bool> asked = false;
  std::atomic<bool> ended = false;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    asked = true;
    peer.ReceiveAll();
    ended = true;
  });
  Use(upstream.address());
  raw_socket caller = raw_socket::Connect(daemon_.callers_port());
  caller.Send(Request("1"));
  while (!asked) std::this_thread::yield();
  caller.Shutdown();
  daemon_.Await("caller_disconnected");
  daemon_.Await("upstream_lost");
  upstream.Stop();
  EXPECT_TRUE(ended);
}

// Guards against a late event loop that passes on requests whose callers gave up meanwhile.
TEST_F(DialectTest, LateLoopDoesNotPassOnRequestsOfCallersThatLeft) {
  raw_upstream upstream([](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
  });
  Use(upstream.address());
  std::atomic<bool> is_blocked = false;
  PostToLoop([&] {
    is_blocked = true;
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  });
  while (!is_blocked) std::this_thread::yield();
  for (const std::string_view body :
       {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
    raw_socket caller = raw_socket::Connect(daemon_.callers_port());
    caller.Send(Request("1", std::string(body)));
    if (body.starts_with("Content")) caller.Send("ab");
    if (body.starts_with("Transfer")) caller.Send("2\r\nab\r\n0\r\n\r\n");
    caller.Close();
  }
  const raw_socket patient = raw_socket::Connect(daemon_.callers_port());
  patient.Send(Request("1", "Connection: close\r\n"));
  EXPECT_TRUE(patient.ReceiveAll().starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(daemon_.Count("request"), 1);
  upstream.Stop();
}

// Guards against a response without a length that looks complete though a reset truncated it.
TEST_F(DialectTest, ResetTruncatesResponseWithoutContentLength) {
  std::atomic<bool> resets = false;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    peer.Send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nConnection: close\r\n\r\npart");
    if (resets) {
      peer.Reset();
    } else {
      peer.Shutdown();
    }
  });
  Use(upstream.address());
  const raw_socket whole = raw_socket::Connect(daemon_.callers_port());
  whole.Send(Request("1", "Connection: close\r\n"));
  EXPECT_TRUE(whole.ReceiveAll().ends_with("0\r\n\r\n"));
  resets = true;
  const raw_socket cut = raw_socket::Connect(daemon_.callers_port());
  cut.Send(Request("1", "Connection: close\r\n"));
  const std::string response = cut.ReceiveAll();
  EXPECT_EQ(response.find("0\r\n\r\n"), std::string::npos) << response;
}

// Guards against configured limits that are not enforced, or whose violation gets no response.
TEST_F(DialectTest, EnforcesHeadAndBodyLimits) {
  RunOnLoop([this] {
    http_limits limits;
    limits.head_bytes = 1000;
    limits.body_bytes = 10;
    daemon_.sockets().callers().server().SetLimits(limits);
  });
  EXPECT_TRUE(Ask(daemon_, Request("1", "X-Large: " + std::string(2000, 'x') + "\r\n"))
                  .starts_with("HTTP/1.1 431"));
  EXPECT_TRUE(Ask(daemon_, "POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n")
                  .starts_with("HTTP/1.1 413"));
}

class ForwardedFieldsTest : public testing::TestWithParam<bool> {
 protected:
  ForwardedFieldsTest()
      : owner_(2, nullptr, OtherDialect()), entry_(1, nullptr, OtherDialect()) {
    if (GetParam()) entry_.UsePeer(owner_);
    for (test_daemon* const each : {&owner_, &entry_}) {
      RunOnLoop([each] { each->sockets().callers().SetCallerService("shop"); });
    }
  }
  void Use(const raw_upstream& upstream) {
    (GetParam() ? owner_ : entry_).UseUpstream(upstream.address());
  }

  test_daemon owner_;
  test_daemon entry_;
};

std::size_t CountOf(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a Connection field, of a caller or of an upstream, that removes the framing of
// a body or a field that the daemon sets: the body then runs as another request.
TEST_P(ForwardedFieldsTest, ConnectionFieldCannotRemoveFramingOrOwnFields) {
  const std::string body =
      "GET /smuggled HTTP/1.1\r\nHost: a\r\nX-Id: 9\r\nX-From: bad\r\n\r\n";
  std::string head;
  std::string received;
  std::string rest;
  raw_upstream upstream([&](raw_socket& peer) {
    head = peer.ReceiveUntil("\r\n\r\n");
    received = peer.ReceiveExactly(body.size());
    peer.Send(Response("200 OK",
                       "X-Id: 1\r\nX-Seal: s\r\nX-Odd: no\r\n"
                       "Connection: content-length, X-SEAL, X-Id, X-Odd\r\n",
                       "ran"));
    rest = peer.ReceiveAll();
  });
  Use(upstream);
  const std::string response =
      Ask(entry_,
          "POST /orders HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nX-Left: 5000\r\n"
          "X-From: forged\r\nX-FROM: twice\r\nX-Odd: no\r\nX-Kept: yes\r\n"
          "Connection: keep-alive, content-LENGTH, Transfer-Encoding\r\n"
          "connection: X-From, Host , X-Id,X-Left, X-Expect, X-Odd,,\r\n"
          "Content-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  upstream.Stop();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_TRUE(response.ends_with("ran")) << response;
  EXPECT_EQ(CountOf(response, "X-Seal: s\r\n"), 1U) << response;
  EXPECT_EQ(CountOf(response, "X-Id: 1\r\n"), 1U) << response;
  EXPECT_EQ(CountOf(response, "X-Odd"), 0U) << response;
  EXPECT_EQ(received, body);
  EXPECT_EQ(rest, "");
  for (const std::string& once :
       {std::string("Host: a\r\n"), std::string("X-Id: 1\r\n"), std::string("X-From: shop\r\n"),
        std::string("X-Kept: yes\r\n"), std::string("X-Left: "),
        "Content-Length: " + std::to_string(body.size()) + "\r\n"}) {
    EXPECT_EQ(CountOf(head, once), 1U) << once << " in " << head;
  }
  for (const std::string_view none : {"forged", "twice", "X-Odd", "Connection"}) {
    EXPECT_EQ(CountOf(head, none), 0U) << none << " in " << head;
  }
}

// Guards against a message that is lost between daemons because a field, or the path, is not
// valid UTF-8.
TEST_P(ForwardedFieldsTest, BytesAbove7fArriveUnchanged) {
  const std::string odd = "name=\"caf\xe9 \xff\x80.jpg\"";
  std::string head;
  raw_upstream upstream([&](raw_socket& peer) {
    head = peer.ReceiveUntil("\r\n\r\n");
    peer.Send(Response("200 OK", "X-Id: 1\r\nX-Seal: s\r\nX-Odd: " + odd + "\r\n", "ran"));
    peer.ReceiveAll();
  });
  Use(upstream);
  const std::string response = Ask(entry_, Request("1", "X-Odd: " + odd + "\r\n"));
  upstream.Stop();
  EXPECT_TRUE(response.ends_with("ran")) << response;
  EXPECT_EQ(CountOf(response, "X-Odd: " + odd + "\r\n"), 1U) << response;
  EXPECT_EQ(CountOf(head, "X-Odd: " + odd + "\r\n"), 1U) << head;
}

// Guards against a response that is relayed although its head is none of HTTP, or can be read
// in two ways: a status that does not exist, a field name with a blank or a control byte, a
// folded line, a framing that is contradictory or unknown.
TEST_P(ForwardedFieldsTest, InvalidHeadIsNeverRelayed) {
  const std::string fields = "X-Id: 1\r\nX-Seal: s\r\n";
  const std::string whole = fields + "Content-Length: 5\r\n";
  std::vector<std::string> heads;
  for (const char* const status : {"000 None", "000", "099 Low", "101 Switch", "600 High",
                                   "999 Odd", "2 OK", "20x OK", "-20 OK", "200OK", "2000 OK"}) {
    heads.push_back("HTTP/1.1 " + std::string(status) + "\r\n" + whole);
  }
  for (const char* const line : {"HTTP/2.0 200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K",
                                 "http/1.1 200 OK", "ICY 200 OK"}) {
    heads.push_back(std::string(line) + "\r\n" + whole);
  }
  std::vector<std::string> lines = {" X-A: b",  "\tX-A: b", " Content-Length: 2",
                                    ": b",      "X-A",      " ",
                                    "X-A: b\r", "X-A: b\n", "X-A: \x7f"};
  for (int byte = 0; byte < 256; ++byte) {
    const bool is_token = std::isalnum(byte) != 0 ||
                          std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) !=
                              std::string_view::npos;
    const std::string each(1, static_cast<char>(byte));
    if (!is_token && byte != ':') {
      lines.push_back(Concat("X", each, "A: b"));
      lines.push_back(Concat("XA", each, ": b"));
    }
    if (byte < ' ' && byte != '\t') lines.push_back(Concat("X-A: b", each, "c"));
  }
  for (const std::string& line : lines) {
    heads.push_back(Concat("HTTP/1.1 200 OK\r\n", line, "\r\n", whole));
    heads.push_back(Concat("HTTP/1.1 200 OK\r\n", whole, line, "\r\n"));
  }
  for (const char* const framing :
       {"Content-Length: 5\r\nContent-Length: 2\r\n", "Content-Length: 5, 2\r\n",
        "Content-Length: -5\r\n", "Content-Length: +5\r\n", "Content-Length: five\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: identity\r\n"}) {
    heads.push_back("HTTP/1.1 200 OK\r\n" + fields + framing);
  }
  std::mutex mutex;
  std::string head;
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    const std::lock_guard<std::mutex> lock(mutex);
    peer.Send(head + "\r\nbytes");
    peer.Shutdown();
  });
  Use(upstream);
  for (const std::string& each : heads) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      head = each;
    }
    const raw_socket caller = raw_socket::Connect(entry_.callers_port());
    caller.Send(Request("1", "Connection: close\r\n"));
    const std::string response = caller.ReceiveAll();
    EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << testing::PrintToString(each) << "\n"
                                                      << response;
  }
}

// Guards against fields in the trailer of a request body that reach the upstream.
TEST_P(ForwardedFieldsTest, TrailerIsNotForwarded) {
  std::string head;
  std::string rest;
  raw_upstream upstream([&](raw_socket& peer) {
    head = peer.ReceiveUntil("\r\n\r\n");
    rest = peer.ReceiveUntil("0\r\n\r\n");
    peer.Send(Response("200 OK", "X-Id: 1\r\nX-Seal: s\r\n", "ran"));
    rest += peer.ReceiveAll();
  });
  Use(upstream);
  const std::string response =
      Ask(entry_,
          "POST /orders HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nX-Left: 5000\r\n"
          "Transfer-Encoding: chunked\r\nTrailer: X-From\r\n\r\n"
          "4\r\nbody\r\n0\r\nX-From: bad\r\nX-Id: 9\r\n\r\n");
  upstream.Stop();
  EXPECT_TRUE(response.ends_with("ran")) << response;
  EXPECT_EQ(CountOf(head, "X-From: shop\r\n"), 1U) << head;
  EXPECT_EQ(CountOf(head, "Trailer"), 0U) << head;
  EXPECT_EQ(rest, "4\r\nbody\r\n0\r\n\r\n");
}

INSTANTIATE_TEST_SUITE_P(Paths, ForwardedFieldsTest, testing::Bool(),
                         [](const testing::TestParamInfo<bool>& info) {
                           return info.param ? "RemoteUpstream" : "LocalUpstream";
                         });

// Guards against a limit that is missed on a refusal, taken from a value that is no number, or
// ended by a response that does not come from the upstream itself.
TEST_F(DialectTest, LimitAndLeavingAreReadFromEachResponseOfTheUpstream) {
  struct row {
    std::string response;
    std::string event;
  };
  const std::string seal = "X-Id: 1\r\nX-Seal: s\r\n";
  const row rows[] = {
      {Response("200 OK", seal + "X-Limit: 12.5\r\n", "ok"), "limit 12.500000"},
      {Response("503 Full", "X-Id: 1\r\nX-Not-Run: 1\r\nX-Limit: 0\r\n", ""), "limit 0.000000"},
      {Response("503 Full", "X-Id: 1\r\nX-Not-Run: 1\r\n", ""), ""},
      {Response("500 Failed", "X-Id: 1\r\n", ""), ""},
      {Response("500 Failed", seal, ""), "no limit"},
      {Response("200 OK", seal + "X-Limit: 1e999\r\n", "ok"), "malformed limit"},
      {Response("200 OK", seal + "X-Limit: -1\r\n", "ok"), "malformed limit"},
      {Response("200 OK", seal + "X-Limit: nan\r\n", "ok"), "malformed limit"},
      {Response("200 OK", seal + "X-Limit: 3\r\nX-Leaving: 1\r\n", "ok"), "leaving"},
      {Response("200 OK", seal + "X-Limit: 3\r\nX-Leaving: 0\r\n", "ok"), "limit 3.000000"},
  };
  for (const row& each : rows) {
    test_daemon daemon(1, nullptr, OtherDialect());
    raw_upstream upstream([&](raw_socket& peer) {
      peer.ReceiveUntil("\r\n\r\n");
      peer.Send(each.response);
      peer.ReceiveAll();
    });
    RunOnLoop([&] { daemon.sockets().upstream().SetUpstream(upstream.address(), "run-7"); });
    Ask(daemon, Request("1"));
    for (const std::string name : {"limit 12.500000", "limit 0.000000", "limit 3.000000",
                                   "no limit", "malformed limit", "leaving"}) {
      const bool is_expected =
          name == each.event || (each.event == "leaving" && name == "limit 3.000000");
      EXPECT_EQ(daemon.Count(name), is_expected ? 1 : 0) << name << " after " << each.response;
    }
  }
}

// Guards against a limit of an upstream that has been replaced being taken for one of its
// successor.
TEST_F(DialectTest, ResponseOfAReplacedUpstreamSaysNothingOfItsSuccessor) {
  raw_upstream upstream([&](raw_socket& peer) {
    peer.ReceiveUntil("\r\n\r\n");
    Use(upstream.address());
    peer.Send(
        Response("200 OK", "X-Id: 1\r\nX-Seal: s\r\nX-Limit: 3\r\nX-Leaving: 1\r\n", "ok"));
    peer.ReceiveAll();
  });
  Use(upstream.address());
  EXPECT_TRUE(Ask(daemon_, Request("1")).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(daemon_.Count("limit 3.000000"), 0);
  EXPECT_EQ(daemon_.Count("leaving"), 0);
}

// Guards against a retry time of the error table where the decision names its own.
TEST_F(DialectTest, RetryTimeOfTheDecisionReplacesThatOfTheTable) {
  daemon_.on_request = [&](const caller_request& request) {
    daemon_.sockets().callers().RespondWithError(
        request.exchange, {}, error_kind::kUsageCapReached, 0, std::chrono::milliseconds(1250));
  };
  const std::string response = Ask(daemon_, Request("9"));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 429")) << response;
  EXPECT_NE(response.find("Retry-After: 1.250\r\n"), std::string::npos) << response;
}

// Guards against callers of accounts that were refused together and return together, because
// all of them were told the same time.
TEST_F(DialectTest, RetryTimesAreSpread) {
  daemon_.on_request = [&](const caller_request& request) {
    daemon_.sockets().callers().SetAccount(request.exchange, "alpha");
    daemon_.sockets().callers().RespondWithError(request.exchange, {}, error_kind::kOverloaded,
                                                 0);
  };
  std::set<std::string> times;
  for (int i = 0; i < 20; ++i) {
    const std::string response = Ask(daemon_, Request("1"));
    const std::size_t at = response.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos) << response;
    const std::string time = response.substr(at + 13, response.find('\r', at) - at - 13);
    EXPECT_GE(std::stod(time), 0.1);
    EXPECT_LE(std::stod(time), 0.2);
    times.insert(time);
  }
  EXPECT_GT(times.size(), 5U);
}

}  // namespace
}  // namespace bronzeroute
