#include "src/calls/key_table.h"

#include <algorithm>
#include <chrono>

#include "src/calls/issued_key.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;

/// Time for which a key is valid after its issue, and for which the row of an ended try is
/// kept.
constexpr milliseconds kWindow = std::chrono::minutes(10);
/// Largest time by which the issue time of a key may be ahead of this process's clock.
constexpr milliseconds kClockSkew = std::chrono::minutes(1);
constexpr duration kSweepInterval = std::chrono::seconds(1);

}  // namespace

key_decision key_table::Begin(const std::string& key, std::uint32_t caller_try,
                              const attempt_id& attempt, time_point now) {
  std::optional<std::int64_t> issued_ms;
  if (IsIssuedKey(key)) {
    const auto parsed = ParseIssuedKey(key);
    if (!parsed) return {error_kind::kBadKey};
    if (parsed->home.id != self_.id || parsed->home.incarnation != self_.incarnation) {
      return {error_kind::kKeyHomeLost};
    }
    const milliseconds age(self_.UnixMs(now) - parsed->issued_ms);
    if (age >= kWindow || age < -kClockSkew) return {error_kind::kKeyExpired};
    issued_ms = parsed->issued_ms;
  }

  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    // All tries with an issued key are sent to this process, so a missing row proves that none
    // ran. An earlier try with a key chosen by the caller may have had another home.
    if (!issued_ms && caller_try > 1) return {error_kind::kKeyUnknown};
    if (rows_.size() >= capacity_) return {error_kind::kKeyTableFull};
    rows_.emplace(key,
                  row{.attempt = attempt, .caller_try = caller_try, .issued_ms = issued_ms});
    return {};
  }
  row& known = found->second;
  switch (known.state) {
    case key_state::kRunning:
      return {error_kind::kKeyInProgress};
    case key_state::kRan:
      return {error_kind::kDuplicateKey, known.status};
    case key_state::kUnknown:
      return {error_kind::kAnswerLost};
    case key_state::kNotRun:
      break;
  }
  // A caller that received "not run" for a later try relies on it for its earlier tries too.
  if (caller_try < known.caller_try) return {error_kind::kCancelled};
  known = row{.attempt = attempt, .caller_try = caller_try, .issued_ms = issued_ms};
  return {};
}

bool key_table::IsRunning(const std::string& key, const attempt_id& attempt) const {
  const auto found = rows_.find(key);
  return found != rows_.end() && found->second.state == key_state::kRunning &&
         found->second.attempt == attempt;
}

void key_table::End(const std::string& key, const attempt_id& attempt, key_state state,
                    int status, time_point now) {
  const auto found = rows_.find(key);
  if (found == rows_.end() || found->second.attempt != attempt) return;
  row& known = found->second;
  if (known.state != key_state::kRunning) return;
  known.state = state;
  known.status = status;
  known.expires = now + kWindow;
  if (known.issued_ms) {
    // The row must be kept as long as the key is valid; the key may have been issued ahead of
    // this clock.
    known.expires = std::max(
        known.expires, now + kWindow + milliseconds(*known.issued_ms - self_.UnixMs(now)));
  }
}

void key_table::Tick(time_point now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + kSweepInterval;
  absl::erase_if(rows_, [now](const auto& entry) { return entry.second.expires <= now; });
}

}  // namespace bronzeroute
