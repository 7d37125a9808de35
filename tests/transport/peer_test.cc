#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <thread>

#include "proto/membership.pb.h"
#include "proto/peer.grpc.pb.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"
#include "tests/transport/test_daemon.h"

namespace bronzeroute {
namespace {

std::string Post(const test_daemon& daemon, const std::string& body) {
  const raw_socket caller = raw_socket::Connect(daemon.callers_port());
  caller.Send("POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  return caller.ReceiveAll();
}

// Responds to every request with the size of its body.
struct counting_upstream {
  explicit counting_upstream(std::size_t expected) : size(expected) {}
  std::size_t size;
  raw_upstream server{[this](raw_socket& peer) {
    while (!peer.ReceiveUntil("\r\n\r\n").empty()) {
      const std::string text = std::to_string(peer.ReceiveExactly(size).size());
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                "\r\n\r\n" + text);
    }
  }};
};

// Number of established connections to the port of a local `address`.
int ConnectionsTo(const std::string& address) {
  char port[16];
  std::snprintf(port, sizeof port, ":%04X", std::stoi(address.substr(address.find(':') + 1)));
  int count = 0;
  for (const char* const path : {"/proc/net/tcp", "/proc/net/tcp6"}) {
    std::ifstream table(path);
    for (std::string line; std::getline(table, line);) {
      std::istringstream fields(line);
      std::string slot;
      std::string local;
      std::string remote;
      std::string state;
      fields >> slot >> local >> remote >> state;
      if (local.ends_with(port) && state == "01") ++count;
    }
  }
  return count;
}

// Guards against a second connection from every daemon to every other one, which takes memory
// at both ends although few pairs exchange long work.
TEST(Peer, OpensTheConnectionForLongWorkWithTheFirstLongCall) {
  constexpr auto kUnprompted = std::chrono::seconds(1);
  counting_upstream upstream(1);
  test_daemon owner(2);
  test_daemon entry(1);
  owner.UseUpstream(upstream.server.address());
  entry.UsePeer(owner);
  EXPECT_TRUE(Post(entry, "s").ends_with("\r\n\r\n1"));
  // Several periods of the reconnection of channels.
  std::this_thread::sleep_for(kUnprompted);
  EXPECT_EQ(ConnectionsTo(owner.addresses().peers), 1);
  entry.is_long = true;
  EXPECT_TRUE(Post(entry, "l").ends_with("\r\n\r\n1"));
  EXPECT_EQ(ConnectionsTo(owner.addresses().peers), 2);
}

// Guards against a connection to each member of a large deployment, and against a call that is
// refused since its target had none.
TEST(Peer, AMemberThatIsNotKeptOpenIsConnectedWithTheFirstAttempt) {
  constexpr auto kUnprompted = std::chrono::milliseconds(300);
  counting_upstream upstream(1);
  test_daemon owner(2);
  test_daemon entry(1);
  owner.UseUpstream(upstream.server.address());
  entry.target = owner.id();
  RunOnLoop([&] {
    entry.sockets().peers().client().OpenPeer(owner.id(), owner.addresses().peers, false);
  });
  std::this_thread::sleep_for(kUnprompted);
  EXPECT_EQ(ConnectionsTo(owner.addresses().peers), 0);
  EXPECT_TRUE(Post(entry, "s").ends_with("\r\n\r\n1"));
  EXPECT_EQ(ConnectionsTo(owner.addresses().peers), 1);
}

// Guards against calls that a daemon refuses in the first moments after its start, while it
// opens the channels to all members that it prefers.
TEST(Peer, AnAttemptWaitsForAKeptChannelThatOpensForTheFirstTime) {
  counting_upstream upstream(1);
  test_daemon owner(2);
  test_daemon entry(1);
  owner.UseUpstream(upstream.server.address());
  entry.target = owner.id();
  const raw_socket caller = raw_socket::Connect(entry.callers_port());
  RunOnLoop([&] {
    entry.sockets().peers().client().OpenPeer(owner.id(), owner.addresses().peers, true);
    // The loop reads the request next, before the channel can be open.
    caller.Send(
        "POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\ns");
  });
  EXPECT_TRUE(caller.ReceiveAll().ends_with("\r\n\r\n1"));
}

// Guards against an attempt that waits without end, or is reported as possibly run, when the
// connection opened for it fails.
TEST(Peer, AnAttemptWithoutAConnectionIsReportedAsNotSent) {
  raw_upstream silent([](raw_socket& peer) { peer.ReceiveAll(); });
  const std::string refused = test_daemon::Address(FreePort());
  for (const std::string& address : {refused, silent.address()}) {
    test_daemon entry(1);
    entry.target = member_id{9};
    RunOnLoop([&] { entry.sockets().peers().client().OpenPeer(member_id{9}, address, false); });
    const std::string response = Post(entry, "s");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
    EXPECT_NE(response.find("Bronzeroute-Execution: not-run"), std::string::npos) << response;
    EXPECT_EQ(entry.Count("attempt_not_sent"), 1) << address;
  }
}

// Guards against a call that is sent, or reported, after its caller has gone.
TEST(Peer, AnAttemptThatWaitsForItsConnectionCanBeCancelled) {
  raw_upstream silent([](raw_socket& peer) { peer.ReceiveAll(); });
  test_daemon entry(1);
  entry.target = member_id{9};
  RunOnLoop([&] {
    entry.sockets().peers().client().OpenPeer(member_id{9}, silent.address(), false);
  });
  {
    const raw_socket caller = raw_socket::Connect(entry.callers_port());
    caller.Send("GET /orders HTTP/1.1\r\nHost: a\r\n\r\n");
    entry.Await("request");
  }
  entry.Await("caller_disconnected");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  EXPECT_EQ(entry.Count("attempt_not_sent"), 0);
}

// Guards against a short call that, after a refusal, is sent to the next owner without its
// body.
TEST(Peer, ResendsBodyToNextOwnerAfterRefusal) {
  const std::string body(65536, 'b');
  counting_upstream upstream(body.size());
  test_daemon first(2);
  test_daemon second(3);
  test_daemon entry(1);
  second.UseUpstream(upstream.server.address());
  entry.UsePeer(first);
  entry.UsePeer(second);
  load_hint hint;
  hint.sequence = 5;
  hint.queued_long = 9;
  hint.draining = true;
  first.on_attempt = [&](exchange_id exchange, const attempt_head& head) {
    EXPECT_EQ(head.content_length, body.size());
    first.sockets().peers().RefuseAttempt(exchange, error_kind::kDuplicateKey, 201, hint);
  };
  entry.on_request = [&](const caller_request& request) {
    attempt_head head = entry.HeadFor(request);
    head.target = first.id();
    EXPECT_TRUE(entry.sockets().peers().SendAttempt(request.exchange, head));
  };
  entry.on_refused = [&](exchange_id exchange, const attempt_id& attempt) {
    caller_request request;
    request.exchange = exchange;
    request.method = "POST";
    request.path = "/orders";
    attempt_head head = entry.HeadFor(request);
    head.id = {attempt.call, 2};
    EXPECT_TRUE(entry.sockets().exchanges().Find(exchange)->body->CanRewind());
    EXPECT_TRUE(entry.sockets().peers().SendAttempt(exchange, head));
  };
  const std::string response = Post(entry, body);
  EXPECT_TRUE(response.ends_with("\r\n\r\n65536")) << response;
  ASSERT_TRUE(entry.refused_report.hint.has_value());
  EXPECT_EQ(entry.refused_report.hint->sequence, 5U);
  EXPECT_EQ(entry.refused_report.hint->queued_long, 9U);
  EXPECT_TRUE(entry.refused_report.hint->draining);
}

// Guards against a refusal whose kind or recorded status does not reach the caller.
TEST(Peer, RefusalReachesTheCaller) {
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& /*head*/) {
    owner.sockets().peers().RefuseAttempt(exchange, error_kind::kDuplicateKey, 201, {});
  };
  const std::string response = Post(entry, "body");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 409")) << response;
  EXPECT_NE(response.find("Bronzeroute-Error: duplicate_key"), std::string::npos) << response;
  EXPECT_NE(response.find("Bronzeroute-Execution: ran"), std::string::npos) << response;
  EXPECT_NE(response.find("\"recorded_status\":201"), std::string::npos) << response;
}

// Guards against an entry that receives no incarnation with the refusal of a restarted owner
// and keeps sending the call to the incarnation that has ended.
TEST(Peer, RefusalOfEarlierIncarnationNamesCurrentOne) {
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  RunOnLoop([&] { owner.sockets().peers().server().SetSelf({owner.id(), incarnation_id{9}}); });
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& head) {
    EXPECT_EQ(head.target_incarnation, incarnation_id{7});
    owner.sockets().peers().RefuseAttempt(exchange, error_kind::kWrongIncarnation, 0, {});
  };
  Post(entry, "body");
  EXPECT_EQ(entry.refused_report.owner_incarnation, incarnation_id{9});
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& /*head*/) {
    owner.sockets().peers().RefuseAttempt(exchange, error_kind::kOverloaded, 0, {});
  };
  Post(entry, "body");
  EXPECT_EQ(entry.refused_report.owner_incarnation, incarnation_id{7});
}

// Guards against sending the body of a long attempt to an owner that has not admitted it.
TEST(Peer, LongBodyIsSentOnlyAfterAdmission) {
  const std::string body(200'000, 'b');
  counting_upstream upstream(body.size());
  test_daemon owner(2);
  test_daemon entry(1);
  entry.is_long = true;
  owner.UseUpstream(upstream.server.address());
  entry.UsePeer(owner);
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& head) {
    EXPECT_EQ(owner.sockets().exchanges().Find(exchange)->body->Available(), 0U);
    EXPECT_TRUE(head.is_long);
    owner.sockets().peers().AdmitAttempt(exchange, {});
    owner.sockets().upstream().StartUpstream(exchange, head.id, head.deadline, false);
  };
  const std::string response = Post(entry, body);
  EXPECT_TRUE(response.ends_with("\r\n\r\n200000")) << response;
}

// Guards against an attempt that stays queued at the owner after the entry cancelled it.
TEST(Peer, CancelReachesTheOwner) {
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  owner.on_attempt = [](exchange_id, const attempt_head&) {};
  std::thread caller([&] { Post(entry, "body"); });
  owner.Await("attempt");
  RunOnLoop([&] {
    entry.sockets().peers().CancelAttempt(entry.last_exchange, entry.last_attempt);
    entry.sockets().callers().RespondWithError(entry.last_exchange, {}, error_kind::kCancelled,
                                               0);
  });
  owner.Await("entry_disconnected");
  caller.join();
  EXPECT_EQ(entry.Count("attempt_lost"), 0);
}

// Guards against a late event loop at the owner that gives an attempt the time for which it
// waited unread once more.
TEST(Peer, DeadlineOfAnAttemptCountsTheTimeBeforeALateOwnerReadsIt) {
  constexpr auto kLate = std::chrono::milliseconds(600);
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  std::atomic<bool> is_late = false;
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& head) {
    is_late = head.deadline <= MonotonicNow();
    owner.sockets().peers().RefuseAttempt(exchange, error_kind::kQueueTimeout, 0, {});
  };
  entry.on_request = [&](const caller_request& request) {
    attempt_head head = entry.HeadFor(request);
    head.deadline = MonotonicNow() + kLate / 2;
    EXPECT_TRUE(entry.sockets().peers().SendAttempt(request.exchange, head));
    // Both daemons of this test run on the loop that is late.
    std::this_thread::sleep_for(kLate);
  };
  Post(entry, "b");
  EXPECT_TRUE(is_late);
}

// Guards against a late event loop at the owner that starts an attempt which was cancelled
// before.
TEST(Peer, LateOwnerDoesNotStartACancelledAttempt) {
  constexpr auto kDelivery = std::chrono::milliseconds(300);
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  entry.on_request = [&](const caller_request& request) {
    const attempt_head head = entry.HeadFor(request);
    EXPECT_TRUE(entry.sockets().peers().SendAttempt(request.exchange, head));
    std::this_thread::sleep_for(kDelivery);
    entry.sockets().peers().CancelAttempt(request.exchange, head.id);
    std::this_thread::sleep_for(kDelivery);
    entry.sockets().callers().RespondWithError(request.exchange, head.id.call,
                                               error_kind::kDeadlineExceeded, 0);
  };
  Post(entry, "b");
  // A later attempt shows that the owner has handled the first one.
  entry.on_request = nullptr;
  owner.on_attempt = [&](exchange_id exchange, const attempt_head& /*head*/) {
    owner.sockets().peers().RefuseAttempt(exchange, error_kind::kOverloaded, 0, {});
  };
  Post(entry, "b");
  EXPECT_EQ(owner.Count("attempt"), 1);
}

// Guards against callers of a failed owner that receive no response, or a wrong "not run".
TEST(Peer, StoppedOwnerYieldsUnknownExecution) {
  auto owner = std::make_unique<test_daemon>(2);
  test_daemon entry(1);
  entry.UsePeer(*owner);
  owner->on_attempt = [](exchange_id, const attempt_head&) {};
  std::future<std::string> response =
      std::async(std::launch::async, [&] { return Post(entry, "body"); });
  owner->Await("attempt");
  owner.reset();
  const std::string text = response.get();
  EXPECT_TRUE(text.starts_with("HTTP/1.1 504")) << text;
  EXPECT_NE(text.find("Bronzeroute-Execution: unknown"), std::string::npos) << text;
  entry.Await("attempt_lost");
  // Once no channel is open, the next call is certainly not sent.
  bool ready = true;
  while (ready) {
    RunOnLoop([&] { ready = entry.sockets().peers().IsReady(entry.target, false); });
  }
  EXPECT_NE(Post(entry, "body").find("Bronzeroute-Execution: not-run"), std::string::npos);
}

// Serves an owner that a test defines, at a free address.
class owner_server {
 public:
  explicit owner_server(proto::Peer::Service& owner)
      : owner_server(owner, test_daemon::Address(FreePort())) {}
  owner_server(proto::Peer::Service& owner, const std::string& address) : address_(address) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address_, grpc::InsecureServerCredentials());
    builder.RegisterService(&owner);
    server_ = builder.BuildAndStart();
  }
  const std::string& address() const { return address_; }

 private:
  std::string address_;
  std::unique_ptr<grpc::Server> server_;
};

// A frame of the attempt that `request` begins, from the incarnation that it addresses.
proto::AnswerFrame FrameFor(const proto::AttemptFrame& request) {
  proto::AnswerFrame frame;
  *frame.mutable_id() = request.id();
  frame.set_owner_incarnation(request.head().target_incarnation());
  return frame;
}

// An owner whose frames name another attempt or another incarnation.
class mismatched_owner : public proto::Peer::Service {
 public:
  bool wrong_incarnation = false;

  grpc::Status Forward(
      grpc::ServerContext* /*context*/,
      grpc::ServerReaderWriter<proto::AnswerFrame, proto::AttemptFrame>* stream) override {
    proto::AttemptFrame request;
    stream->Read(&request);
    proto::AnswerFrame frame = FrameFor(request);
    if (wrong_incarnation) {
      frame.set_owner_incarnation(frame.owner_incarnation() + 1);
    } else {
      frame.mutable_id()->set_sequence(request.id().sequence() + 1);
    }
    frame.mutable_head()->set_status(200);
    frame.set_body("secret");
    frame.set_last(true);
    stream->Write(frame);
    return grpc::Status::OK;
  }
};

// Guards against relaying a response to another attempt, or from another incarnation of the
// owner.
TEST(Peer, FramesOfAnotherAttemptAreDropped) {
  for (const bool wrong_incarnation : {false, true}) {
    mismatched_owner owner;
    owner.wrong_incarnation = wrong_incarnation;
    const owner_server server(owner);
    test_daemon entry(1);
    entry.UsePeer(member_id{9}, server.address());
    const std::string response = Post(entry, "body");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
    EXPECT_EQ(response.find("secret"), std::string::npos) << response;
    RunOnLoop([&] { EXPECT_EQ(entry.sockets().peers().counters().mismatched_frames, 1U); });
  }
}

// An owner that answers with a given head.
class relaying_owner : public proto::Peer::Service {
 public:
  proto::AnswerHead head;

  grpc::Status Forward(
      grpc::ServerContext* /*context*/,
      grpc::ServerReaderWriter<proto::AnswerFrame, proto::AttemptFrame>* stream) override {
    proto::AttemptFrame request;
    stream->Read(&request);
    proto::AnswerFrame frame = FrameFor(request);
    *frame.mutable_head() = head;
    frame.set_body("secret");
    frame.set_last(true);
    stream->Write(frame);
    return grpc::Status::OK;
  }
};

// Guards against a response that no upstream can have made, relayed by an owner of a version
// that does not check it: the bytes of a field would become another field or another response.
TEST(Peer, ResponseHeadThatIsNoneIsNotRelayed) {
  struct row {
    int status;
    std::string name;
    std::string value;
  };
  for (const row& each :
       {row{0, "X-A", "b"}, row{101, "X-A", "b"}, row{600, "X-A", "b"}, row{1000, "X-A", "b"},
        row{200, "X A", "b"}, row{200, "X-A:", "b"}, row{200, "", "b"},
        row{200, "X-A", "b\r\nX-B: c"}, row{200, "X-A\r\nX-B", "c"},
        row{200, "X-A", std::string("b\0", 2)}}) {
    relaying_owner owner;
    owner.head.set_status(each.status);
    proto::Header* const field = owner.head.add_headers();
    field->set_name(each.name);
    field->set_value(each.value);
    const owner_server server(owner);
    test_daemon entry(1);
    entry.UsePeer(member_id{9}, server.address());
    const std::string response = Post(entry, "body");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << each.status << ": " << response;
    EXPECT_EQ(response.find("secret"), std::string::npos) << response;
  }
}

// An owner that admits an attempt and ends its stream while the body still arrives.
class ending_owner : public proto::Peer::Service {
 public:
  grpc::Status Forward(
      grpc::ServerContext* /*context*/,
      grpc::ServerReaderWriter<proto::AnswerFrame, proto::AttemptFrame>* stream) override {
    proto::AttemptFrame request;
    stream->Read(&request);
    proto::AnswerFrame frame = FrameFor(request);
    frame.set_admitted(true);
    stream->Write(frame);
    stream->Read(&request);
    return {grpc::StatusCode::UNAVAILABLE, "ends during the upload"};
  }
};

// Guards against a write to a stream that gRPC has released: the owner ends it while the caller
// goes on sending. A build with -fsanitize=address shows the fault.
TEST(Peer, UploadGoesOnAfterTheOwnerEndedItsStream) {
  constexpr int kRounds = 40;
  ending_owner owner;
  const owner_server server(owner);
  test_daemon entry(1);
  entry.is_long = true;
  entry.UsePeer(member_id{9}, server.address());
  const std::string piece = "800\r\n" + std::string(0x800, 'b') + "\r\n";
  for (int round = 0; round < kRounds; ++round) {
    const raw_socket caller = raw_socket::Connect(entry.callers_port());
    std::atomic<bool> has_response = false;
    std::thread sending([&] {
      caller.Send(
          "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
          "Connection: close\r\n\r\n");
      while (!has_response && caller.Send(piece)) {
      }
    });
    const std::string head = caller.ReceiveUntil("\r\n\r\n");
    has_response = true;
    caller.Shutdown();
    sending.join();
    EXPECT_TRUE(head.starts_with("HTTP/1.1 504")) << head;
  }
}

// Guards against short attempts sharing a TCP connection with long ones, which would delay
// them.
TEST(Peer, ShortAndLongAttemptsUseSeparateConnections) {
  raw_upstream silent([](raw_socket& peer) { peer.ReceiveAll(); });
  test_daemon entry(1);
  RunOnLoop(
      [&] { entry.sockets().peers().client().OpenPeer(member_id{9}, silent.address(), true); });
  while (silent.connections() < 2) std::this_thread::yield();
}

// Guards against refusing a long attempt because the channel for long attempts, which opens
// later than the one for short attempts, is not open yet.
TEST(Peer, LongAttemptsAreReadyOnceShortChannelIsOpen) {
  constexpr std::uint64_t kOthers = 30;
  raw_upstream silent([](raw_socket& peer) { peer.ReceiveAll(); });
  test_daemon owner(2);
  test_daemon entry(1);
  auto& client = entry.sockets().peers().client();
  RunOnLoop([&] {
    for (std::uint64_t id = 0; id < kOthers; ++id) {
      client.OpenPeer(member_id{100 + id}, silent.address(), true);
    }
    client.OpenPeer(owner.id(), owner.addresses().peers, true);
  });
  bool is_short_ready = false;
  bool is_long_ready = false;
  while (!is_short_ready) {
    RunOnLoop([&] {
      is_short_ready = client.IsReady(owner.id(), false);
      is_long_ready = client.IsReady(owner.id(), true);
    });
  }
  EXPECT_TRUE(is_long_ready);
}

// Guards against frames that daemons of the version before, whose fields are text, cannot read
// during a rolling restart: a message with two text fields reads one with two fields of bytes.
TEST(Peer, FieldsOfBytesAreReadAsText) {
  proto::Header field;
  field.set_name("Content-Type");
  field.set_value("text/plain; charset=\xc3\xa9");
  proto::MemberDetails text;
  ASSERT_TRUE(text.ParseFromString(field.SerializeAsString()));
  EXPECT_EQ(text.service(), field.name());
  EXPECT_EQ(text.region(), field.value());
  EXPECT_EQ(text.SerializeAsString(), field.SerializeAsString());
  proto::Header again;
  ASSERT_TRUE(again.ParseFromString(text.SerializeAsString()));
  EXPECT_EQ(again.value(), field.value());
}

// Guards against a member record of another writer whose address ends the process or counts as
// a reachable peer.
TEST(Peer, ImpossibleAddressesAreNeverReady) {
  test_daemon entry(1);
  auto& client = entry.sockets().peers().client();
  RunOnLoop([&] {
    for (const char* const address :
         {"127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1",
          "nowhere:80", "", "\xff\xfe"}) {
      client.OpenPeer(member_id{9}, address, true);
      EXPECT_FALSE(client.IsReady(member_id{9}, false)) << address;
      entry.sockets().datagrams().SendDatagram(address, "lost");
    }
  });
}

// Guards against a daemon that cannot fetch a newer configuration from a peer.
TEST(Peer, ConfigurationIsFetched) {
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  std::promise<std::string> fetched;
  RunOnLoop([&] {
    owner.sockets().peers().server().SetSnapshotSource(
        [](std::int64_t known) { return "newer than " + std::to_string(known); });
    entry.sockets().peers().client().FetchConfiguration(
        owner.id(), 41, [&](const absl::StatusOr<std::string>& snapshot) {
          fetched.set_value(snapshot.value_or("failed"));
        });
  });
  EXPECT_EQ(fetched.get_future().get(), "newer than 41");
}

class configured_owner : public proto::Peer::Service {
 public:
  grpc::Status FetchConfiguration(grpc::ServerContext* /*context*/,
                                  const proto::ConfigurationRequest* /*request*/,
                                  proto::ConfigurationReply* reply) override {
    reply->set_snapshot("newer");
    return grpc::Status::OK;
  }
};

// Guards against a fetch that fails because a busy peer did not open the connection at once.
TEST(Peer, ConfigurationIsFetchedFromAPeerThatIsSlowToAccept) {
  test_daemon entry(1);
  std::uint16_t port = 0;
  // Connections are established, and carry nothing.
  raw_socket silent = raw_socket::Listen(port);
  const std::string address = test_daemon::Address(port);
  std::promise<std::string> fetched;
  RunOnLoop([&] {
    peer_client& client = entry.sockets().peers().client();
    client.OpenPeer(member_id{9}, address, false);
    client.FetchConfiguration(member_id{9}, 41, [&](const absl::StatusOr<std::string>& result) {
      fetched.set_value(result.ok() ? *result : result.status().ToString());
    });
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  silent.Close();
  configured_owner owner;
  const owner_server server(owner, address);
  EXPECT_EQ(fetched.get_future().get(), "newer");
}

// Guards against an abort inside gRPC: its thread must not release the last reference to a
// channel, since it then waits for itself.
TEST(Peer, FetchedConfigurationsAreReleasedOnTheEventLoop) {
  constexpr int kFetches = 5000;
  test_daemon owner(2);
  test_daemon entry(1);
  entry.UsePeer(owner);
  std::thread::id loop;
  RunOnLoop([&] {
    loop = std::this_thread::get_id();
    owner.sockets().peers().server().SetSnapshotSource([](std::int64_t) { return "any"; });
  });
  // A loop that never sleeps takes the result before gRPC's thread has returned from its
  // callback.
  std::atomic<bool> stays_awake = true;
  std::function<void()> stay_awake = [&] {
    if (stays_awake) PostToLoop(stay_awake);
  };
  PostToLoop(stay_awake);
  std::atomic<int> released_elsewhere = 0;
  for (int i = 0; i < kFetches; ++i) {
    std::promise<void> released;
    RunOnLoop([&] {
      const std::shared_ptr<void> held(nullptr, [&](void*) {
        if (std::this_thread::get_id() != loop) ++released_elsewhere;
        released.set_value();
      });
      entry.sockets().peers().client().FetchConfiguration(
          owner.id(), 0, [held](const absl::StatusOr<std::string>&) {});
    });
    released.get_future().wait();
  }
  stays_awake = false;
  RunOnLoop([] {});
  EXPECT_EQ(released_elsewhere, 0);
}

}  // namespace
}  // namespace bronzeroute
