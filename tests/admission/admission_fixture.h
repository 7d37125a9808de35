#pragma once

#include <gmock/gmock.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "src/admission/admission_system.h"
#include "src/admission/queue_listener.h"
#include "src/calls/attempt_head.h"

namespace bronzeroute {

using std::chrono::milliseconds;
using std::chrono::seconds;

class mock_queue_listener : public queue_listener {
 public:
  MOCK_METHOD(void, OnQueuedStarted, (exchange_id), (override));
  MOCK_METHOD(void, OnQueuedRefused, (exchange_id, error_kind), (override));
};

inline service_spec OrdersSpec() {
  service_spec spec;
  spec.name = "orders";
  spec.max_slots = 6;
  spec.max_connections = 20;
  spec.queue_limit = 8;
  spec.long_share = 0.5;
  spec.routes = {
      {.method = "*", .prefix = "/orders/read", .time_limit = milliseconds(500)},
      {.method = "*", .prefix = "/orders/sum", .time_limit = milliseconds(500)},
      {.method = "*", .prefix = "/orders/photos", .is_long = true, .time_limit = seconds(60)}};
  return spec;
}

inline time_point At(duration since_start) { return time_point() + seconds(100) + since_start; }

inline attempt_head Head(const std::string& path, time_point deadline) {
  attempt_head head;
  head.service = "orders";
  head.method = "GET";
  head.path = path;
  head.content_length = 0;
  head.deadline = deadline;
  return head;
}

inline attempt_head Read(time_point deadline) { return Head("/orders/read", deadline); }
inline attempt_head Photos(time_point deadline) { return Head("/orders/photos", deadline); }

/// An admission system configured with OrdersSpec, which has no warm-up.
class admission_fixture : public testing::Test {
 protected:
  void SetUp() override { system_.Configure(OrdersSpec(), 6, 20, At({})); }

  submit_result Submit(std::uint64_t id, const attempt_head& head, time_point now = At({})) {
    return system_.Submit(exchange_id{id}, head, now);
  }
  void End(std::uint64_t id, upstream_result result, duration service_time,
           time_point now = At({})) {
    system_.OnUpstreamEnded(exchange_id{id}, {.result = result, .service_time = service_time},
                            now);
  }
  void Complete(std::uint64_t id, duration service_time, time_point now = At({})) {
    End(id, upstream_result::kCompleted, service_time, now);
  }
  /// Runs `count` requests of `path` that take `service_time` each.
  void Observe(const std::string& path, duration service_time, int count) {
    for (int i = 0; i < count; ++i) {
      const std::uint64_t id = 1'000'000 + next_++;
      ASSERT_EQ(Submit(id, Head(path, At(seconds(100)))).state, submit_state::kStarted);
      Complete(id, service_time);
    }
  }
  void Fill(std::uint64_t first, std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      ASSERT_EQ(Submit(first + i, Read(At(seconds(1)))).state, submit_state::kStarted);
    }
  }

  testing::StrictMock<mock_queue_listener> listener_;
  admission_system system_{&listener_};

 private:
  std::uint64_t next_ = 0;
};

}  // namespace bronzeroute
