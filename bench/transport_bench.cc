// Measures the latency and processor time that the transport adds per call, without admission
// and routing. An open loop of short GETs is sent to an upstream directly, through one daemon,
// and through two daemons with one gRPC hop; the upstream responds immediately. All parts share
// this process and the variants alternate, so only differences between variants are meaningful.

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "src/calls/attempt_head.h"
#include "src/calls/caller_request.h"
#include "src/routing/load_hint.h"
#include "src/transport/event_loop.h"
#include "src/transport/transport.h"
#include "src/transport/transport_events.h"
#include "tests/transport/raw_socket.h"
#include "tests/transport/raw_upstream.h"

namespace bronzeroute {
namespace {

using bench_clock = std::chrono::steady_clock;

constexpr char kRequest[] = "GET /orders HTTP/1.1\r\nHost: bench\r\n\r\n";
constexpr int kConnections = 16;
constexpr int kRounds = 3;
constexpr std::chrono::seconds kRoundLength(4);
constexpr std::chrono::milliseconds kStartDelay(50);

// Transport without decision logic: makes one attempt per call, at its own upstream or at the
// owner set by UseOwner, and admits every attempt.
class bench_daemon : public transport_events {
 public:
  explicit bench_daemon(std::uint64_t id)
      : id_{id}, sockets_(std::make_unique<transport>(*this)) {
    port_ = FreePort();
    addresses_ = {Local(port_), Local(FreePort()), Local(FreePort()), Local(FreePort())};
    const absl::Status status = sockets_->Start(addresses_);
    if (!status.ok()) std::printf("%s\n", status.ToString().c_str());
  }
  ~bench_daemon() override { sockets_->Stop(); }

  std::uint16_t port() const { return port_; }
  void UseUpstream(const std::string& address) {
    RunOnLoop([&] { sockets_->upstream().SetUpstream(address, ""); });
  }
  void UseOwner(const bench_daemon& owner) {
    owner_ = owner.id_;
    RunOnLoop(
        [&] { sockets_->peers().client().OpenPeer(owner_, owner.addresses_.peers, true); });
    for (bool ready = false; !ready;) {
      RunOnLoop([&] { ready = sockets_->peers().IsReady(owner_, false); });
    }
  }

  void OnCallerRequest(const caller_request& request, time_point now) override {
    attempt_head head;
    head.id = {{id_, incarnation_id{1}, ++sequence_}, 1};
    head.target = owner_;
    head.target_incarnation = incarnation_id{1};
    head.service = "orders";
    head.method = request.method;
    head.path = request.path;
    head.deadline = now + std::chrono::seconds(10);
    if (owner_ == member_id{}) {
      sockets_->upstream().StartUpstream(request.exchange, head.id, head.deadline, false);
    } else if (!sockets_->peers().SendAttempt(request.exchange, head)) {
      sockets_->callers().RespondWithError(request.exchange, head.id.call,
                                           error_kind::kPeerUnreachable, 0);
    }
  }
  void OnCallerDisconnected(exchange_id /*exchange*/, time_point /*now*/) override {}
  void OnPeerAttempt(exchange_id exchange, const attempt_head& head,
                     time_point /*now*/) override {
    sockets_->peers().AdmitAttempt(exchange, {});
    sockets_->upstream().StartUpstream(exchange, head.id, head.deadline, false);
  }
  void OnEntryDisconnected(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                           time_point /*now*/) override {}
  void OnAttemptAdmitted(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                         const owner_report& /*report*/, time_point /*now*/) override {}
  void OnAttemptRefused(exchange_id exchange, const attempt_id& attempt, error_kind kind,
                        int recorded_status, const owner_report& /*report*/,
                        time_point /*now*/) override {
    sockets_->callers().RespondWithError(exchange, attempt.call, kind, recorded_status);
  }
  void OnResponseHead(exchange_id exchange, const attempt_id& attempt, int /*status*/,
                      const owner_report& /*report*/, time_point /*now*/) override {
    sockets_->callers().RelayResponse(exchange, attempt);
  }
  void OnAttemptFinished(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                         bool /*complete*/, const owner_report& /*report*/,
                         time_point /*now*/) override {}
  void OnAttemptLost(exchange_id exchange, const attempt_id& attempt,
                     time_point /*now*/) override {
    sockets_->callers().RespondWithError(exchange, attempt.call, error_kind::kAnswerLost, 0);
  }
  void OnAttemptNotSent(exchange_id exchange, const attempt_id& attempt,
                        time_point /*now*/) override {
    sockets_->callers().RespondWithError(exchange, attempt.call, error_kind::kPeerUnreachable,
                                         0);
  }
  void OnUpstreamConnectFailed(exchange_id exchange, const attempt_id& attempt,
                               time_point /*now*/) override {
    sockets_->callers().RespondWithError(exchange, attempt.call,
                                         error_kind::kUpstreamConnectFailed, 0);
  }
  void OnUpstreamResponseHead(exchange_id exchange, const attempt_id& attempt, int /*status*/,
                              time_point /*now*/) override {
    sockets_->callers().RelayResponse(exchange, attempt);
    sockets_->peers().RelayToEntry(exchange, attempt);
  }
  void OnUpstreamEnded(exchange_id exchange, const attempt_id& /*attempt*/, bool complete,
                       time_point /*now*/) override {
    sockets_->peers().FinishAttempt(exchange, complete, {});
  }
  void OnUpstreamLost(exchange_id exchange, const attempt_id& attempt,
                      time_point /*now*/) override {
    sockets_->callers().RespondWithError(exchange, attempt.call, error_kind::kAnswerLost, 0);
    sockets_->peers().RefuseAttempt(exchange, error_kind::kAnswerLost, 0, {});
  }
  void OnUpstreamRefused(exchange_id exchange, const attempt_id& attempt,
                         time_point now) override {
    OnUpstreamLost(exchange, attempt, now);
  }
  void OnUpstreamLoad(const load_report& /*report*/, time_point /*now*/) override {}
  void OnUpstreamNotice(const upstream_notice& /*notice*/, time_point /*now*/) override {}
  void OnStrayResponse(exchange_id /*exchange*/, const attempt_id& /*attempt*/,
                       time_point /*now*/) override {}
  void OnDatagram(std::string_view /*from*/, std::string_view /*payload*/,
                  time_point /*now*/) override {}

 private:
  static std::string Local(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  member_id id_;
  member_id owner_;
  std::uint64_t sequence_ = 0;
  std::uint16_t port_ = 0;
  listen_addresses addresses_;
  std::unique_ptr<transport> sockets_;
};

struct variant {
  const char* name;
  std::uint16_t port;
  std::vector<double> latencies_us;
  double processor_us = 0;
  std::size_t failures = 0;
};

double ProcessorUs() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

// Sends calls at fixed times over kConnections connections. Latency is measured from the time
// at which a call was due, so that delays of the sender are included.
void RunRound(variant& measured, int calls_per_second) {
  const std::chrono::nanoseconds call_interval(1'000'000'000LL * kConnections /
                                               calls_per_second);
  const auto start = bench_clock::now() + kStartDelay;
  const double processor_before = ProcessorUs();
  std::vector<std::future<std::pair<std::vector<double>, std::size_t>>> callers;
  callers.reserve(kConnections);
  for (int index = 0; index < kConnections; ++index) {
    callers.push_back(std::async(std::launch::async, [&measured, start, call_interval, index] {
      const raw_socket socket = raw_socket::Connect(measured.port);
      std::vector<double> latencies;
      std::size_t failures = 0;
      auto due = start + call_interval * index / kConnections;
      for (; due < start + kRoundLength; due += call_interval) {
        std::this_thread::sleep_until(due);
        socket.Send(kRequest);
        std::string response;
        while (!response.ends_with("\r\n\r\nok")) {
          const std::string chunk = socket.Receive();
          if (chunk.empty()) break;
          response += chunk;
        }
        if (!response.starts_with("HTTP/1.1 200")) ++failures;
        latencies.push_back(
            std::chrono::duration<double, std::micro>(bench_clock::now() - due).count());
      }
      return std::pair(std::move(latencies), failures);
    }));
  }
  std::size_t calls = 0;
  for (auto& caller : callers) {
    const auto [latencies, failures] = caller.get();
    calls += latencies.size();
    measured.failures += failures;
    measured.latencies_us.insert(measured.latencies_us.end(), latencies.begin(),
                                 latencies.end());
  }
  measured.processor_us +=
      (ProcessorUs() - processor_before) / static_cast<double>(calls) / kRounds;
}

double Percentile(std::vector<double>& sorted, double quantile) {
  return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
}

void Measure(int calls_per_second, std::vector<variant> variants) {
  for (int round = 0; round < kRounds; ++round) {
    for (variant& measured : variants) RunRound(measured, calls_per_second);
  }
  std::printf("%d calls/s, %d rounds of %d s each\n", calls_per_second, kRounds,
              static_cast<int>(kRoundLength.count()));
  std::printf("  %-14s %9s %9s %12s %12s %15s %9s\n", "variant", "p50 us", "p99 us",
              "p50 added", "p99 added", "processor us", "failures");
  double direct_p50 = 0;
  double direct_p99 = 0;
  for (variant& measured : variants) {
    std::sort(measured.latencies_us.begin(), measured.latencies_us.end());
    const double p50 = Percentile(measured.latencies_us, 0.5);
    const double p99 = Percentile(measured.latencies_us, 0.99);
    if (&measured == &variants.front()) {
      direct_p50 = p50;
      direct_p99 = p99;
    }
    std::printf("  %-14s %9.0f %9.0f %12.0f %12.0f %15.0f %9zu\n", measured.name, p50, p99,
                p50 - direct_p50, p99 - direct_p99, measured.processor_us, measured.failures);
  }
}

void Run() {
  StartEventLoop();
  raw_upstream upstream([](raw_socket& peer) {
    peer.SetNoDelay();
    std::string request;
    for (std::string chunk = peer.Receive(); !chunk.empty(); chunk = peer.Receive()) {
      request += chunk;
      if (!request.ends_with("\r\n\r\n")) continue;
      request.clear();
      peer.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
  const std::string& address = upstream.address();
  bench_daemon owner(2);
  bench_daemon entry(1);
  owner.UseUpstream(address);
  entry.UseOwner(owner);
  const auto direct_port =
      static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  const std::vector<variant> variants = {{"direct", direct_port, {}},
                                         {"one process", owner.port(), {}},
                                         {"one hop", entry.port(), {}}};
  Measure(222, variants);
  Measure(1000, variants);
}

}  // namespace
}  // namespace bronzeroute

int main() {
  bronzeroute::Run();
  return 0;
}
