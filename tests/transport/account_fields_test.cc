#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "src/base/credential_digest.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

http_dialect AccountDialect() {
  http_dialect dialect;
  dialect.credential = "X-Key";
  dialect.account = "X-Account";
  return dialect;
}

std::string Request(const std::string& fields, const std::string& connection = "close") {
  return "GET /orders HTTP/1.1\r\nHost: a\r\n" + fields + "Connection: " + connection +
         "\r\n\r\n";
}

std::string Ask(const test_daemon& daemon, const std::string& request) {
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send(request);
  return caller.ReceiveAll();
}

/// Records the heads of requests and answers each with "ok".
struct recording_upstream {
  std::vector<std::string> heads;
  raw_upstream server{[this](raw_socket& peer) {
    heads.push_back(peer.ReceiveUntil("\r\n\r\n"));
    peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    peer.ReceiveAll();
  }};
};

// Guards against a key that is misread, and against two fields of which the daemon and an
// upstream take different ones for the key.
TEST(AccountFields, OnlyOneKeyIdentifiesAnAccount) {
  test_daemon daemon(1, nullptr, AccountDialect());
  std::vector<std::optional<credential_digest>> seen;
  daemon.on_request = [&](const caller_request& request) {
    seen.push_back(request.credential);
    daemon.sockets().callers().RespondWithError(request.exchange, {}, error_kind::kOverloaded,
                                                0);
  };
  for (const char* fields :
       {"", "X-Key: first\r\n", "x-KEY:  first \r\n", "X-Key: \r\n",
        "X-Key: first\r\nX-Key: first\r\n", "X-Key: a\r\nX-Key: b\r\nX-Key: first\r\n",
        "X-Key: \r\nX-Key: first\r\n", "X-Key: first\r\nX-Own: 1\r\n"}) {
    EXPECT_TRUE(Ask(daemon, Request(fields, "X-Key, close")).starts_with("HTTP/1.1 503"))
        << fields;
  }
  const credential_digest first = DigestCredential("first");
  const credential_digest none = DigestCredential("");
  const std::vector<std::optional<credential_digest>> expected = {
      std::nullopt, first, first, none, none, none, none, first};
  EXPECT_EQ(seen, expected);
}

// Guards against a key that reaches an upstream, and against an account that the caller or its
// Connection field sets or removes, on the first attempt or a further one, whether the upstream
// is that of the daemon or that of another one.
TEST(AccountFields, EveryAttemptCarriesTheAccountInsteadOfTheKey) {
  for (const bool is_local : {true, false}) {
    recording_upstream upstream;
    test_daemon owner(2, nullptr, AccountDialect());
    test_daemon entry(1, nullptr, AccountDialect());
    owner.UseUpstream(upstream.server.address());
    entry.UseUpstream(upstream.server.address());
    if (!is_local) entry.UsePeer(owner);
    std::string account = "alpha";
    int attempts = 0;
    entry.on_request = [&](const caller_request& request) {
      entry.sockets().callers().SetAccount(request.exchange, account);
      attempt_head head = entry.HeadFor(request);
      ++attempts;
      if (is_local) {
        entry.sockets().upstream().StartUpstream(request.exchange, head.id, head.deadline,
                                                 true);
      } else {
        EXPECT_TRUE(entry.sockets().peers().SendAttempt(request.exchange, head));
      }
    };
    // The first attempt at the owner is refused; the next one goes to the own upstream.
    owner.on_attempt = [&](exchange_id exchange, const attempt_head& head) {
      if (attempts == 1) {
        owner.sockets().peers().RefuseAttempt(exchange, error_kind::kOverloaded, 0, {});
        return;
      }
      owner.sockets().peers().AdmitAttempt(exchange, {});
      owner.sockets().upstream().StartUpstream(exchange, head.id, head.deadline, true);
    };
    entry.on_refused = [&](exchange_id exchange, const attempt_id& attempt) {
      entry.sockets().upstream().StartUpstream(exchange, {attempt.call, 2},
                                               MonotonicNow() + std::chrono::seconds(60), true);
    };
    const std::string request = Request(
        "X-Key: first\r\nX-Key: first\r\nx-account: liar\r\nX-ACCOUNT: liar\r\n"
        "X-Other: kept\r\n",
        "X-Account, close");
    EXPECT_TRUE(Ask(entry, request).starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(Ask(entry, request).starts_with("HTTP/1.1 200"));
    account = "";
    EXPECT_TRUE(Ask(entry, request).starts_with("HTTP/1.1 200"));
    upstream.server.Stop();
    ASSERT_EQ(upstream.heads.size(), 3U);
    for (std::size_t i = 0; i < 3; ++i) {
      const std::string& head = upstream.heads[i];
      EXPECT_EQ(head.find("first"), std::string::npos) << head;
      EXPECT_EQ(head.find("liar"), std::string::npos) << head;
      EXPECT_NE(head.find("X-Other: kept\r\n"), std::string::npos) << head;
      EXPECT_EQ(head.find("X-Account: alpha\r\n") != std::string::npos, i < 2) << head;
      EXPECT_EQ(head.find("ccount"), head.rfind("ccount")) << head;
    }
  }
}

// Guards against fields that are removed or changed in a deployment without accounts.
TEST(AccountFields, WithoutAccountsBothFieldsAreForwarded) {
  recording_upstream upstream;
  test_daemon daemon(1, nullptr, AccountDialect());
  daemon.UseUpstream(upstream.server.address());
  EXPECT_TRUE(
      Ask(daemon, Request("X-Key: first\r\nX-Account: own\r\n")).starts_with("HTTP/1.1 200"));
  upstream.server.Stop();
  ASSERT_EQ(upstream.heads.size(), 1U);
  EXPECT_NE(upstream.heads[0].find("X-Key: first\r\n"), std::string::npos);
  EXPECT_NE(upstream.heads[0].find("X-Account: own\r\n"), std::string::npos);
}

// Guards against a key in the text of an error: of one that is too long, next to a malformed
// field, and of one that no account holds.
TEST(AccountFields, NoErrorTextContainsAKey) {
  test_daemon daemon(1, nullptr, AccountDialect());
  daemon.on_request = [&](const caller_request& request) {
    daemon.sockets().callers().RespondWithError(request.exchange, {},
                                                error_kind::kUnknownCredential, 0);
  };
  const std::string long_key = "secret" + std::string(9000, 'k');
  for (const auto& [fields, status] :
       {std::pair<std::string, std::string>{"X-Key: secret\r\n", "401"},
        {"X-Key: " + long_key + "\r\n", "431"},
        {"X-Key: secret\r\nBronzeroute-Deadline-Ms: x\r\n", "400"}}) {
    const std::string response = Ask(daemon, Request(fields));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 " + status)) << response;
    EXPECT_EQ(response.find("secret"), std::string::npos) << response;
    EXPECT_NE(response.find("not-run"), std::string::npos) << response;
  }
}

}  // namespace
}  // namespace bronzeroute
