#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "src/platform/log_read.h"

namespace bronzeroute {

/// In-memory model of one stream of the platform's log. Records before `first` have expired;
/// they stay in `history`.
struct log_model {
  std::string stream = "config.trial";
  std::int64_t first = 0;
  std::vector<std::string> history;

  std::int64_t Append(std::string data) {
    history.push_back(std::move(data));
    return static_cast<std::int64_t>(history.size()) - 1;
  }

  log_read Read(std::int64_t from, std::size_t limit = 1000) const {
    log_read read;
    read.stream = stream;
    read.first = first;
    read.next = static_cast<std::int64_t>(history.size());
    read.retention_ms = 3'600'000;
    for (std::int64_t at = std::max(from, first); at < read.next; ++at) {
      if (read.records.size() == limit) break;
      read.records.push_back({at, 0, history[static_cast<std::size_t>(at)]});
    }
    return read;
  }
};

}  // namespace bronzeroute
