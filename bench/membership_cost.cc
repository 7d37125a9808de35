// Measures the cost of membership for one daemon at several numbers of members: bytes sent and
// received, processor time and memory. The other members are simulated: they reply to probes,
// and each probes a random peer once a second, which may be this daemon.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "proto/membership.pb.h"
#include "src/measuring/budget_account.h"
#include "src/membership/datagram_port.h"
#include "src/membership/member_codec.h"
#include "src/membership/membership_system.h"
#include "src/platform/log_port.h"
#include "src/platform/log_read.h"

namespace {

std::size_t g_live_bytes = 0;  // NOLINT(readability-identifier-naming)

constexpr std::size_t kPrefix = alignof(std::max_align_t);

}  // namespace

// Each allocation stores its size in front, so that the count of live bytes is exact.
void* operator new(std::size_t size) {
  auto* block = static_cast<char*>(std::malloc(size + kPrefix));
  if (block == nullptr) throw std::bad_alloc();
  *reinterpret_cast<std::size_t*>(block) = size;
  g_live_bytes += size;
  return block + kPrefix;
}
void operator delete(void* pointer) noexcept {
  if (pointer == nullptr) return;
  char* block = static_cast<char*>(pointer) - kPrefix;
  g_live_bytes -= *reinterpret_cast<std::size_t*>(block);
  std::free(block);
}
void operator delete(void* pointer, std::size_t /*size*/) noexcept { operator delete(pointer); }

namespace bronzeroute {
namespace {

using proto::MemberDatagram;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kHeaderBytes = 28;
constexpr int kMeasuredSeconds = 300;

struct cost {
  double members = 0;
  double sent = 0;
  double received = 0;
  double cpu_us = 0;
  double tick_ns = 0;
  double bytes_per_member = 0;
};

member_row MakeRow(std::size_t slot, std::uint64_t incarnation) {
  const std::string host =
      "10.1." + std::to_string(slot / 250) + "." + std::to_string(slot % 250 + 1);
  member_row row;
  row.id.value = 0x9E3779B97F4A7C15ULL * (slot + 1);
  row.incarnation.value = incarnation;
  row.service = "comprovantes";
  row.region = slot % 2 == 0 ? "recife" : "fortaleza";
  row.availability_zone = row.region + (slot % 4 < 2 ? "-a" : "-b");
  row.peer_address = host + ":7000";
  row.membership_address = host + ":7001";
  row.callers_address = host + ":7002";
  row.admin_address = host + ":7003";
  return row;
}

member_update MakeUpdate(std::size_t slot, std::uint64_t incarnation) {
  member_update update;
  update.row = MakeRow(slot, incarnation);
  update.has_details = true;
  update.details_version = 1;
  return update;
}

constexpr std::uint64_t kFirstIncarnation = 1'700'000'000'000;

class fake_members : public datagram_port, public log_port {
 public:
  fake_members(std::size_t count, bool churn)
      : count_(count), churn_(churn), incarnations_(count, kFirstIncarnation) {}

  void SendDatagram(std::string_view address, std::string_view payload) override {
    sent += payload.size() + kHeaderBytes;
    MemberDatagram message;
    message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
    if (message.kind() != MemberDatagram::PING) return;
    digests_ = {message.bucket_digests().begin(), message.bucket_digests().end()};
    const std::size_t slot = SlotOf(message.target());
    waiting_.emplace_back(std::string(address),
                          Make(slot, MemberDatagram::ACK, message.sequence()));
  }
  void Append(std::string_view /*stream*/, std::string_view /*key*/, std::string_view /*data*/,
              std::uint64_t /*token*/) override {}
  void Read(std::string_view /*stream*/, std::int64_t /*from*/) override {}

  log_read Joins() const {
    log_read read;
    read.stream = "members";
    read.next = static_cast<std::int64_t>(count_);
    read.retention_ms = 3'600'000;
    for (std::size_t i = 1; i < count_; ++i) {
      read.records.push_back({.offset = static_cast<std::int64_t>(i),
                              .age_ms = 0,
                              .data = EncodeMemberLogRecord(MakeUpdate(i, kFirstIncarnation))});
    }
    return read;
  }

  // All datagrams that reach the daemon during this tick of 10 ms.
  std::vector<std::pair<std::string, std::string>> Arriving(std::int64_t tick) {
    // Each of the count-1 others probes one of its count-1 peers per second, so that one probe
    // per second reaches this daemon.
    if (std::bernoulli_distribution(0.01)(random_)) {
      const std::size_t slot =
          std::uniform_int_distribution<std::size_t>(1, count_ - 1)(random_);
      waiting_.emplace_back(MakeRow(slot, 0).membership_address,
                            Make(slot, MemberDatagram::PING, 1));
    }
    if (churn_ && tick % 1000 == 0) {
      changed_ = std::uniform_int_distribution<std::size_t>(1, count_ - 1)(random_);
      ++incarnations_[changed_];
      carry_ = 10;
    }
    return std::exchange(waiting_, {});
  }

  std::uint64_t sent = 0;

 private:
  static std::size_t SlotOf(std::uint64_t id) {
    // The factor of MakeRow is odd; this is its inverse modulo 2^64.
    return static_cast<std::size_t>(id * 0xF1DE83E19937733DULL) - 1;
  }
  std::string Make(std::size_t slot, MemberDatagram::Kind kind, std::uint64_t sequence) {
    MemberDatagram message;
    message.set_kind(kind);
    message.set_sequence(sequence);
    message.set_sender(MakeRow(slot, 0).id.value);
    message.set_sender_incarnation(incarnations_[slot]);
    if (kind == MemberDatagram::PING) message.set_target(MakeRow(0, 0).id.value);
    WriteLoadHint({.sequence = ++hint_sequence_,
                   .effective_slots = 6,
                   .in_use = 3,
                   .running_long = 1,
                   .queued_short = 2,
                   .service_time_us = 14'000},
                  message.mutable_hint());
    message.set_config_version(1000);
    for (const std::uint32_t digest : digests_) message.add_bucket_digests(digest);
    if (carry_ > 0) {
      --carry_;
      WriteMemberRecord(MakeUpdate(changed_, incarnations_[changed_]), message.add_records());
    }
    return message.SerializeAsString();
  }

  std::size_t count_;
  bool churn_;
  std::vector<std::uint64_t> incarnations_;
  std::size_t changed_ = 1;
  int carry_ = 0;
  std::uint64_t hint_sequence_ = 0;
  std::vector<std::uint32_t> digests_;
  std::mt19937_64 random_{7};
  std::vector<std::pair<std::string, std::string>> waiting_;
};

cost Measure(std::size_t count, bool churn) {
  fake_members others(count, churn);
  budget_account budget(5000, duration(0));
  time_point now{seconds(1)};
  const log_read joins = others.Joins();
  const std::size_t before = g_live_bytes;
  auto system = std::make_unique<membership_system>(
      MakeRow(0, kFirstIncarnation), membership_settings(), others, others, budget, 1, now);
  system->Tick(now);
  const std::size_t empty = g_live_bytes;
  system->OnLogRead(joins, now);
  system->TakeEvents();

  std::uint64_t received = 0;
  std::chrono::steady_clock::duration in_datagrams{};
  std::chrono::steady_clock::duration in_ticks{};
  const auto run = [&](int span) {
    others.sent = received = 0;
    in_datagrams = in_ticks = {};
    for (std::int64_t tick = 0; tick < span * 100LL; ++tick) {
      now += milliseconds(10);
      for (const auto& [from, payload] : others.Arriving(tick)) {
        received += payload.size() + kHeaderBytes;
        const auto start = std::chrono::steady_clock::now();
        system->OnDatagram(from, payload, now);
        in_datagrams += std::chrono::steady_clock::now() - start;
      }
      const auto start = std::chrono::steady_clock::now();
      system->Tick(now);
      in_ticks += std::chrono::steady_clock::now() - start;
      if (tick % 100 == 0) system->TakeEvents();
    }
    system->TakeEvents();
  };
  run(30);
  const std::size_t held = g_live_bytes;
  run(kMeasuredSeconds);
  const auto live =
      std::ranges::count(system->members(), member_state::kAlive, &member_row::state);
  if (static_cast<std::size_t>(live) != count) {
    std::printf("only %td of %zu members are alive\n", live, count);
  }

  const auto micros = [](std::chrono::steady_clock::duration value) {
    return std::chrono::duration<double, std::micro>(value).count();
  };
  cost result;
  result.members = static_cast<double>(count);
  result.sent = static_cast<double>(others.sent) / kMeasuredSeconds;
  result.received = static_cast<double>(received) / kMeasuredSeconds;
  result.cpu_us = (micros(in_datagrams) + micros(in_ticks)) / kMeasuredSeconds;
  result.tick_ns = micros(in_ticks) * 1000 / (kMeasuredSeconds * 100.0);
  // Includes the small state of fake_members; the join records were allocated before.
  result.bytes_per_member = static_cast<double>(held - empty) / static_cast<double>(count - 1);
  (void)before;
  return result;
}

double Slope(const std::vector<cost>& rows, double cost::*column) {
  double mean_x = 0;
  double mean_y = 0;
  for (const cost& row : rows) {
    mean_x += row.members / static_cast<double>(rows.size());
    mean_y += row.*column / static_cast<double>(rows.size());
  }
  double xy = 0;
  double xx = 0;
  for (const cost& row : rows) {
    xy += (row.members - mean_x) * (row.*column - mean_y);
    xx += (row.members - mean_x) * (row.members - mean_x);
  }
  return xy / xx;
}

void PrintTable(std::string_view title, bool churn) {
  std::vector<cost> rows;
  for (const std::size_t count : {20U, 60U, 180U, 540U}) rows.push_back(Measure(count, churn));
  std::printf("%.*s\n", static_cast<int>(title.size()), title.data());
  std::printf("%12s %12s %12s %12s %12s %14s\n", "members", "sent B/s", "recv B/s", "cpu us/s",
              "tick ns", "bytes/member");
  for (const cost& row : rows) {
    std::printf("%12.0f %12.1f %12.1f %12.1f %12.1f %14.1f\n", row.members, row.sent,
                row.received, row.cpu_us, row.tick_ns, row.bytes_per_member);
  }
  std::printf("%12s %12.4f %12.4f %12.4f %12.4f %14.4f\n\n", "per member",
              Slope(rows, &cost::sent), Slope(rows, &cost::received),
              Slope(rows, &cost::cpu_us), Slope(rows, &cost::tick_ns),
              Slope(rows, &cost::bytes_per_member));
}

}  // namespace
}  // namespace bronzeroute

int main() {
  bronzeroute::PrintTable("Quiet: no member changes", false);
  bronzeroute::PrintTable("Churn: one restart every 10 s", true);
  return 0;
}
