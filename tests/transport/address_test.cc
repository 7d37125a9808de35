#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "src/calls/call_id_text.h"
#include "src/transport/http_address.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

// Guards against a daemon that starts without one of its addresses, and against an error
// message without the address.
TEST(Addresses, ErrorNamesTheAddressThatCannotBeOpened) {
  test_daemon first(1);
  ASSERT_TRUE(first.start_status.ok()) << first.start_status;
  std::uint16_t taken = 0;
  const raw_socket holder = raw_socket::Listen(taken);
  const auto members = {&listen_addresses::callers, &listen_addresses::peers,
                        &listen_addresses::membership, &listen_addresses::admin};
  for (const auto member : members) {
    for (const std::string& address :
         {first.addresses().*member, std::string("10.0.0:1"), std::string("127.0.0.1:0"),
          std::string("localhost:1")}) {
      listen_addresses addresses{
          test_daemon::Address(FreePort()), test_daemon::Address(FreePort()),
          test_daemon::Address(FreePort()), test_daemon::Address(FreePort())};
      addresses.*member = address;
      transport second(first);
      const absl::Status status = second.Start(addresses);
      EXPECT_FALSE(status.ok()) << address;
      EXPECT_NE(std::string(status.message()).find(address), std::string::npos) << status;
    }
  }
}

// Guards against datagrams that are lost or altered on an idle loopback link.
TEST(Addresses, DatagramsArrive) {
  test_daemon first(1);
  test_daemon second(2);
  const std::string payload(1200, 'd');
  RunOnLoop([&] {
    first.sockets().datagrams().SendDatagram("nonsense", payload);
    first.sockets().datagrams().SendDatagram(second.addresses().membership, payload);
  });
  second.Await("datagram " + first.addresses().membership + " " + payload);
}

// Guards against an admin request that reaches the wrong handler or whose body is buffered
// without limit.
TEST(Addresses, AdminEndpointsAreRouted) {
  test_daemon daemon(1, [](transport& sockets) {
    sockets.admin_endpoints().Add("POST", "/drain", [](const local_request& request) {
      return local_response{202, "text/plain", request.query + "|" + request.body};
    });
    sockets.caller_endpoints().Add("POST", "/.bronzeroute/v1/keys/",
                                   [](const local_request& request) {
                                     return local_response{200, "text/plain", request.path};
                                   });
  });
  const auto ask = [](const std::string& address, const std::string& request,
                      const std::string& body) {
    const raw_socket caller = raw_socket::Connect(
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    caller.Send(request + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.ReceiveAll();
  };
  const std::string& admin = daemon.addresses().admin;
  const std::string drained = ask(admin, "POST /drain?now=1", "x");
  EXPECT_TRUE(drained.starts_with("HTTP/1.1 202")) << drained;
  EXPECT_TRUE(drained.ends_with("now=1|x")) << drained;
  EXPECT_TRUE(ask(admin, "GET /drain", "").starts_with("HTTP/1.1 404"));
  EXPECT_TRUE(
      ask(admin, "POST /drain", std::string(1'000'000, 'x')).starts_with("HTTP/1.1 431"));
  const std::string key = ask(daemon.addresses().callers, "POST /.bronzeroute/v1/keys/a", "");
  EXPECT_TRUE(key.ends_with("/.bronzeroute/v1/keys/a")) << key;
  EXPECT_EQ(daemon.Count("request"), 0);
}

// Guards against a call id in a response with which an operator cannot look up the call.
TEST(Addresses, CallIdTextRoundTrips) {
  const call_id id{member_id{0xfedcba9876543210}, incarnation_id{1733295600000}, 77};
  EXPECT_EQ(ParseCallId(FormatCallId(id)), id);
  EXPECT_FALSE(ParseCallId("1-2").has_value());
  EXPECT_FALSE(ParseCallId("1-2-x").has_value());
}

}  // namespace
}  // namespace bronzeroute
