#include "standins/log/log_store.h"

#include <utility>

namespace bronzeroute::standin {

namespace {
constexpr std::int64_t kWindowMs = 1000;
}  // namespace

std::optional<std::int64_t> log_store::Append(std::string_view name, std::string data,
                                              std::int64_t now_ms,
                                              std::int64_t appends_per_second) {
  if (now_ms - window_start_ms_ >= kWindowMs) {
    window_start_ms_ = now_ms;
    appends_in_window_ = 0;
  }
  if (appends_in_window_ >= appends_per_second) {
    return std::nullopt;
  }
  ++appends_in_window_;
  ++total_appends_;
  stream& target = streams_.try_emplace(std::string(name)).first->second;
  const std::int64_t offset = target.next++;
  target.records.push_back({offset, now_ms, std::move(data)});
  return offset;
}

void log_store::Expire(std::int64_t now_ms, std::int64_t retention_ms) {
  for (auto& [name, target] : streams_) {
    while (!target.records.empty() && now_ms - target.records.front().at_ms > retention_ms) {
      target.records.pop_front();
    }
  }
}

const log_store::stream& log_store::Get(std::string_view name) {
  return streams_.try_emplace(std::string(name)).first->second;
}

}  // namespace bronzeroute::standin
