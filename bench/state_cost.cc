// Measures memory and time of the state of a daemon at several sizes: key rows, queued
// attempts, documents and the stream of configuration records.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <string_view>
#include <vector>

#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/base/concat.h"
#include "src/calls/attempt_head.h"
#include "src/calls/key_table.h"
#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/parse_document.h"
#include "src/platform/log_read.h"

namespace {

std::size_t g_live_bytes = 0;  // NOLINT(readability-identifier-naming)

constexpr std::size_t kSizePrefixBytes = alignof(std::max_align_t);

}  // namespace

// Each allocation is preceded by its size, so that g_live_bytes is exact. The operators are not
// inlined, as GCC would warn about a mismatch of `new` and `free`.
[[gnu::noinline]] void* operator new(std::size_t size) {
  auto* block = static_cast<char*>(std::malloc(size + kSizePrefixBytes));
  if (block == nullptr) throw std::bad_alloc();
  *reinterpret_cast<std::size_t*>(block) = size;
  g_live_bytes += size;
  return block + kSizePrefixBytes;
}
[[gnu::noinline]] void operator delete(void* pointer) noexcept {
  if (pointer == nullptr) return;
  char* block = static_cast<char*>(pointer) - kSizePrefixBytes;
  g_live_bytes -= *reinterpret_cast<std::size_t*>(block);
  std::free(block);
}
void operator delete(void* pointer, std::size_t /*size*/) noexcept { operator delete(pointer); }

namespace bronzeroute {
namespace {

using clock_type = std::chrono::steady_clock;

double Micros(clock_type::duration value) {
  return std::chrono::duration<double, std::micro>(value).count();
}

std::string DocumentText(std::size_t services, std::size_t routes, int number) {
  std::string text = Concat("format = 1\nname = \"bench-", number, "\"\n");
  for (std::size_t i = 0; i < services; ++i) {
    const std::string name = Concat("service-", i);
    text += Concat("[[service]]\nname = \"", name,
                   "\"\ndeadline_ms = 2000\nslots = 6\nconnections = 260\nqueue_limit = 24\n"
                   "long_share = 0.3\nwarmup_ms = 4000\nobjective = 0.999\n"
                   "objective_latency_ms = 200\n");
    for (std::size_t r = 0; r < routes; ++r) {
      text += Concat("[[service.route]]\nmethod = \"POST\"\nprefix = \"/", name, "/route-", r,
                     "\"\nclass = \"short\"\nprotected = ", r == 0 ? "true" : "false",
                     "\ndeadline_ms = 2000\n");
    }
  }
  return text;
}

void MeasureDocuments() {
  std::printf("documents of 10 routes for each service\n");
  std::printf("%10s %12s %14s %14s %16s %18s\n", "services", "text bytes", "parse us",
              "live bytes", "record bytes", "fold us a record");
  for (const std::size_t services : {5U, 11U, 22U, 43U, 86U}) {
    const std::string text = DocumentText(services, 10, 0);
    constexpr int kParses = 20;
    const std::size_t before = g_live_bytes;
    auto parsed = std::make_unique<parse_result>(ParseDocument(text, "bench"));
    const std::size_t live_bytes = g_live_bytes - before;
    if (!parsed->value) {
      std::printf("%s\n", DescribeError(parsed->errors.front()).c_str());
      return;
    }
    auto start = clock_type::now();
    for (int i = 0; i < kParses; ++i) *parsed = ParseDocument(text, "bench");
    const double parse_us = Micros(clock_type::now() - start) / kParses;

    log_read read;
    read.stream = "config.production";
    read.retention_ms = 3'600'000;
    constexpr int kRecords = 40;
    for (int i = 0; i < kRecords; ++i) {
      read.records.push_back(
          {.offset = i,
           .age_ms = 0,
           .data = EncodePublication(Concat("id-", i), i - 1, DocumentText(services, 10, i),
                                     std::int64_t{i})});
    }
    read.next = kRecords;
    configuration_fold fold("production");
    start = clock_type::now();
    fold.Fold(read);
    const double fold_us = Micros(clock_type::now() - start) / kRecords;
    if (fold.head().version != kRecords - 1) std::printf("records were not accepted\n");
    std::printf("%10zu %12zu %14.0f %14zu %16zu %18.0f\n", services, text.size(), parse_us,
                live_bytes, read.records.front().data.size(), fold_us);
  }
}

attempt_id Attempt(std::uint64_t sequence) {
  attempt_id id;
  id.call.entry.value = 7;
  id.call.entry_incarnation.value = 1'700'000'000'000;
  id.call.sequence = sequence;
  id.number = 1;
  return id;
}

void MeasureKeys() {
  std::printf("\nkey rows, keys of 36 characters\n%10s %14s %18s\n", "rows", "bytes/row",
              "begin+end ns");
  for (const std::size_t count : {1000U, 4000U, 16'000U, 65'000U}) {
    const std::size_t before = g_live_bytes;
    const self_identity self{};
    key_table table(self);
    const time_point now{std::chrono::seconds(1)};
    const auto start = clock_type::now();
    for (std::size_t i = 0; i < count; ++i) {
      const std::string key = Concat("0f8fad5b-d9cb-469f-a165-", 100'000'000'000 + i);
      table.Begin(key, 1, Attempt(i), now);
      table.End(key, Attempt(i), key_state::kRan, 200, now);
    }
    const auto elapsed = clock_type::now() - start;
    std::printf("%10zu %14.1f %18.0f\n", table.size(),
                static_cast<double>(g_live_bytes - before) / static_cast<double>(count),
                Micros(elapsed) * 1000 / static_cast<double>(count));
  }
}

class null_listener : public queue_listener {
 public:
  void OnQueuedStarted(exchange_id /*exchange*/) override {}
  void OnQueuedRefused(exchange_id /*exchange*/, error_kind /*kind*/) override {}
};

void MeasureQueue() {
  std::printf("\nqueued attempts at the owner\n%10s %14s %18s %16s\n", "queued", "bytes/row",
              "offer ns", "tick ns");
  for (const std::size_t count : {24U, 100U, 400U, 1600U}) {
    service_spec spec;
    spec.name = "near";
    spec.max_slots = 1;
    spec.max_connections = 5000;
    spec.queue_limit = 5000;
    spec.time_limit = std::chrono::hours(1);
    null_listener listener;
    admission_system admission(&listener);
    time_point now{std::chrono::seconds(1)};
    admission.Configure(spec, 1, 5000, now);
    now += std::chrono::hours(1);
    attempt_head head;
    head.service = "near";
    head.deadline = now + std::chrono::hours(10);
    head.id = Attempt(0);
    exchange_id running_exchange;
    running_exchange.value = 1;
    admission.Submit(running_exchange, head, now);
    const std::size_t before = g_live_bytes;
    const auto start = clock_type::now();
    for (std::size_t i = 0; i < count; ++i) {
      head.id = Attempt(i + 1);
      exchange_id exchange;
      exchange.value = i + 2;
      admission.Submit(exchange, head, now);
    }
    const auto elapsed = clock_type::now() - start;
    constexpr int kTicks = 1000;
    const auto tick_start = clock_type::now();
    for (int i = 0; i < kTicks; ++i) admission.Tick(now);
    std::printf("%10zu %14.1f %18.0f %16.0f\n", admission.queued(),
                static_cast<double>(g_live_bytes - before) / static_cast<double>(count),
                Micros(elapsed) * 1000 / static_cast<double>(count),
                Micros(clock_type::now() - tick_start) * 1000 / kTicks);
  }
}

}  // namespace
}  // namespace bronzeroute

int main() {
  bronzeroute::MeasureDocuments();
  bronzeroute::MeasureKeys();
  bronzeroute::MeasureQueue();
  return 0;
}
