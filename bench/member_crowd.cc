// Simulates many daemons around one real daemon: each fake member runs the membership logic on
// its own UDP socket and accepts gRPC peer channels, all in one process. Prints once a second
// how many bytes the real daemon sent and received as datagrams. Usage: member_crowd MEMBERS
// LOG_ADDRESS [FIRST_PORT] [RETURNING] [SERVICES] With RETURNING, that many members are
// partitioned from all others from 60 s to 120 s, like an availability zone or a region, and
// return at the same time. SERVICES is the number of services that the members serve, 43 unless
// given.

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <array>
#include <boost/asio/io_service.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/concat.h"
#include "src/measuring/budget_account.h"
#include "src/membership/datagram_port.h"
#include "src/membership/member_codec.h"
#include "src/membership/membership_settings.h"
#include "src/membership/membership_system.h"
#include "src/platform/log_client.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"
#include "src/transport/event_loop.h"

namespace bronzeroute {
namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kHeaderBytes = 28;
// The stream of daemons whose settings name the environment "production".
constexpr const char* kStream = "members.production";
constexpr std::size_t kZones = 6;
constexpr auto kPartitionStart = seconds(60);
constexpr auto kPartitionEnd = seconds(120);

struct crowd_options {
  std::size_t members = 0;
  std::string log_address;
  std::uint16_t first_port = 22000;
  std::size_t returning = 0;
  std::size_t services = 43;
};

// Bytes of datagrams between this process and the real daemon, with their IP and UDP headers.
struct traffic {
  std::uint64_t from_daemon = 0;
  std::uint64_t to_daemon = 0;
};

member_row RowOf(const crowd_options& options, std::size_t slot, std::uint64_t incarnation) {
  const std::string address = Concat("127.0.0.1:", options.first_port + static_cast<int>(slot));
  const std::size_t zone = slot % kZones;
  member_row row;
  row.id.value = 0x9E3779B97F4A7C15ULL * (slot + 1);
  row.incarnation.value = incarnation;
  row.service = Concat("service-", slot % options.services);
  row.region = zone < kZones / 2 ? "north" : "south";
  row.availability_zone = Concat(row.region, "-", zone % 3);
  row.peer_address = address;
  row.membership_address = address;
  row.callers_address = address;
  row.admin_address = address;
  return row;
}

// Fake members receive each other's records from `joins`, and that of the real daemon by
// gossip.
class fake_member : public datagram_port, public log_port {
 public:
  fake_member(boost::asio::io_service& loop, const crowd_options& options, std::size_t slot,
              std::uint64_t incarnation, traffic& counters)
      : options_(options),
        slot_(slot),
        counters_(counters),
        socket_(loop, udp::endpoint(boost::asio::ip::address_v4::loopback(),
                                    static_cast<std::uint16_t>(options.first_port + slot))),
        budget_(2000, duration(0)),
        system_(RowOf(options, slot, incarnation), Settings(), *this, *this, budget_, slot + 1,
                MonotonicNow()) {}

  void Start(log_read joins) {
    // Without its own record: a member that finds its own incarnation in the log raises it, as
    // after a restart.
    std::erase_if(joins.records, [this](const log_record& record) {
      return record.offset == static_cast<std::int64_t>(slot_);
    });
    system_.OnLogRead(joins, MonotonicNow());
    Receive();
  }

  void Tick(time_point now) override {
    system_.Tick(now);
    system_.TakeEvents();
  }
  // While set, no datagram passes between the returning members and all others.
  void SetPartitioned(bool partitioned) { partitioned_ = partitioned; }

  void SendDatagram(std::string_view address, std::string_view payload) override {
    const auto port = static_cast<std::uint16_t>(
        std::atoi(std::string(address.substr(address.find(':') + 1)).c_str()));
    if (IsPartitionedFrom(port)) return;
    if (!IsFake(port)) counters_.to_daemon += payload.size() + kHeaderBytes;
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(payload.data(), payload.size()),
                    udp::endpoint(boost::asio::ip::address_v4::loopback(), port), 0, ignored);
  }
  void Append(std::string_view /*stream*/, std::string_view /*key*/, std::string_view /*data*/,
              std::uint64_t /*token*/) override {}
  void Read(std::string_view /*stream*/, std::int64_t /*from*/) override {}

  std::size_t member_count() const { return system_.members().size(); }

 private:
  static membership_settings Settings() {
    membership_settings settings;
    settings.stream = kStream;
    return settings;
  }
  bool IsFake(std::uint16_t port) const {
    return port >= options_.first_port && port < options_.first_port + options_.members;
  }
  bool IsReturning(std::uint16_t port) const {
    return port >= options_.first_port && port < options_.first_port + options_.returning;
  }
  bool IsPartitionedFrom(std::uint16_t port) const {
    return partitioned_ && IsReturning(port) != (slot_ < options_.returning);
  }
  void Receive() {
    socket_.async_receive_from(
        boost::asio::buffer(data_), from_,
        [this](const boost::system::error_code& error, std::size_t size) {
          if (error == boost::asio::error::operation_aborted) return;
          if (!error && !IsPartitionedFrom(from_.port())) {
            if (!IsFake(from_.port())) counters_.from_daemon += size + kHeaderBytes;
            system_.OnDatagram(Concat("127.0.0.1:", from_.port()), {data_.data(), size},
                               MonotonicNow());
          }
          Receive();
        });
  }

  const crowd_options& options_;
  std::size_t slot_;
  traffic& counters_;
  udp::socket socket_;
  udp::endpoint from_;
  std::array<char, 2048> data_{};
  bool partitioned_ = false;
  budget_account budget_;
  membership_system system_;
};

class crowd {
 public:
  crowd(boost::asio::io_service& loop, crowd_options options)
      : options_(std::move(options)), timer_(loop), started_(MonotonicNow()) {
    const auto incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                       std::chrono::system_clock::now().time_since_epoch())
                                       .count());
    log_client log(options_.log_address, seconds(5));
    log_read joins;
    joins.stream = kStream;
    joins.retention_ms = 3'600'000;
    grpc::ServerBuilder builder;
    for (std::size_t slot = 0; slot < options_.members; ++slot) {
      member_update update;
      update.row = RowOf(options_, slot, incarnation);
      update.has_details = true;
      update.details_version = 1;
      joins.records.push_back({.offset = static_cast<std::int64_t>(slot),
                               .age_ms = 0,
                               .data = EncodeMemberLogRecord(update)});
      builder.AddListeningPort(update.row.peer_address, grpc::InsecureServerCredentials());
      members_.push_back(
          std::make_unique<fake_member>(loop, options_, slot, incarnation, counters_));
    }
    builder.RegisterCallbackGenericService(&service_);
    server_ = builder.BuildAndStart();
    joins.next = static_cast<std::int64_t>(options_.members);
    for (const auto& member : members_) member->Start(joins);
    for (const log_record& record : joins.records) {
      if (!log.Append(kStream, record.data).get().ok()) {
        std::fprintf(stderr, "the log did not accept the append of a member record\n");
        std::exit(1);
      }
    }
    Tick();
  }

 private:
  void Tick() {
    const time_point now = MonotonicNow();
    const auto age = now - started_;
    const bool partitioned = age >= kPartitionStart && age < kPartitionEnd;
    for (std::size_t slot = 0; slot < members_.size(); ++slot) {
      members_[slot]->SetPartitioned(partitioned);
      members_[slot]->Tick(now);
    }
    if (now >= next_line_) {
      std::printf("%lld s: daemon sent %llu got %llu bytes, last member knows %zu\n",
                  static_cast<long long>(std::chrono::duration_cast<seconds>(age).count()),
                  static_cast<unsigned long long>(counters_.from_daemon),
                  static_cast<unsigned long long>(counters_.to_daemon),
                  members_.back()->member_count());
      std::fflush(stdout);
      next_line_ = now + seconds(1);
    }
    timer_.expires_after(milliseconds(10));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Tick();
    });
  }

  crowd_options options_;
  boost::asio::steady_timer timer_;
  time_point started_;
  time_point next_line_{};
  traffic counters_;
  std::vector<std::unique_ptr<fake_member>> members_;
  grpc::CallbackGenericService service_;
  std::unique_ptr<grpc::Server> server_;
};

}  // namespace
}  // namespace bronzeroute

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(
        stderr,
        "usage: member_crowd MEMBERS LOG_ADDRESS [FIRST_PORT] [RETURNING] [SERVICES]\n");
    return 2;
  }
  bronzeroute::crowd_options options;
  options.members = static_cast<std::size_t>(std::atoi(argv[1]));
  options.log_address = argv[2];
  if (argc > 3) options.first_port = static_cast<std::uint16_t>(std::atoi(argv[3]));
  if (argc > 4) options.returning = static_cast<std::size_t>(std::atoi(argv[4]));
  if (argc > 5) options.services = static_cast<std::size_t>(std::atoi(argv[5]));
  boost::asio::io_service loop;
  const bronzeroute::crowd fakes(loop, options);
  loop.run();
  return 0;
}
