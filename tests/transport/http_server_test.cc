#include "src/transport/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/transport/event_loop.h"
#include "src/transport/exchange.h"
#include "src/transport/http_connection.h"
#include "src/transport/http_request_handler.h"
#include "src/transport/http_response_message.h"
#include "tests/transport/holding_handler.h"
#include "tests/transport/raw_socket.h"

namespace bronzeroute {
namespace {

struct echo_handler : http_request_handler {
  void OnRequest(const std::shared_ptr<http_connection>& connection,
                 const std::shared_ptr<exchange>& /*row*/) override {
    connection->SendResponse(TextResponse(200, "text/plain", "response"));
  }
  void OnClientDisconnected(const exchange& /*row*/) override {}
  void OnNothingWritten(const exchange& /*row*/) override {}
  void OnResponseEnded(const exchange& /*row*/) override {}
};

// Guards against bytes that are read to the wrong place of the buffer because the requests
// before them were parsed while the read was pending. The client then received the response to
// an earlier request, or 400.
TEST(HttpServer, RequestThatArrivesWhileEarlierOnesAreParsedIsReadUnchanged) {
  StartEventLoop();
  holding_handler handler;
  http_server server(handler);
  const std::uint16_t port = FreePort();
  ASSERT_TRUE(server.Start("127.0.0.1:" + std::to_string(port)).ok());
  const raw_socket client = raw_socket::Connect(port);
  client.Send(GetRequest("/1") + GetRequest("/2"));
  handler.Await(1);
  // This handler does not let requests run side by side.
  EXPECT_EQ(handler.Paths(), std::vector<std::string>{"/1"});
  handler.Respond(0);
  EXPECT_TRUE(client.ReceiveUntil(">").ends_with("</1>"));
  handler.Await(2);
  client.Send(GetRequest("/other"));
  handler.Respond(1);
  EXPECT_TRUE(client.ReceiveUntil(">").ends_with("</2>"));
  handler.Await(3);
  EXPECT_EQ(handler.Paths(), (std::vector<std::string>{"/1", "/2", "/other"}));
  handler.Respond(2);
  EXPECT_TRUE(client.ReceiveUntil(">").ends_with("</other>"));
  server.Stop();
}

// Guards against a client that receives a reset instead of a response because it connects while
// the listener is being closed: an accepted client is served, a later one cannot connect.
TEST(HttpServer, ServesEveryClientAcceptedBeforeTheListenerCloses) {
  StartEventLoop();
  constexpr int kRounds = 100;
  constexpr int kClients = 4;
  // The kernel retransmits a dropped SYN only after a second.
  constexpr timeval kConnectLimit{0, 50'000};
  std::atomic<int> complete = 0;
  std::atomic<int> incomplete = 0;
  for (int round = 0; round < kRounds; ++round) {
    echo_handler handler;
    http_server server(handler);
    const std::uint16_t port = FreePort();
    ASSERT_TRUE(server.Start("127.0.0.1:" + std::to_string(port)).ok());
    std::atomic<int> served = 0;
    std::atomic<int> open_clients = kClients;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([&] {
        for (;;) {
          const raw_socket client = raw_socket::Connect(port, kConnectLimit);
          if (!client.valid()) {
            --open_clients;
            return;
          }
          client.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
          const bool is_whole = client.ReceiveAll().ends_with("response");
          ++(is_whole ? complete : incomplete);
          ++served;
        }
      });
    }
    while (served < kClients * 4) std::this_thread::yield();
    RunOnLoop([&] { server.EndListening(); });
    while (open_clients > 0) {
      RunOnLoop([&] { server.Tick(MonotonicNow()); });
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    for (std::thread& client : clients) client.join();
    server.Stop();
  }
  EXPECT_GT(complete, kRounds * kClients);
  EXPECT_EQ(incomplete, 0);
}

}  // namespace
}  // namespace bronzeroute
