#include "src/calls/call_history.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "absl/strings/str_format.h"
#include "src/base/error_response.h"
#include "src/calls/call_id_text.h"

namespace bronzeroute {
namespace {

double Milliseconds(duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

void call_history::Add(call_record row) {
  if (on_end_) on_end_(row);
  if (capacity_ == 0) return;
  if (rows_.size() < capacity_) {
    index_[row.id] = rows_.size();
    rows_.push_back(std::move(row));
    return;
  }
  index_.erase(rows_[next_].id);
  index_[row.id] = next_;
  rows_[next_] = std::move(row);
  next_ = (next_ + 1) % capacity_;
}

const call_record* call_history::Find(const call_id& id) const {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &rows_[found->second];
}

std::string ExplainCall(const call_record& row) {
  std::string text = absl::StrFormat(
      "call: %s for service %s, path %s, %s, %s, try %d, %s, configuration %d, %.1f ms "
      "allowed\n",
      FormatCallId(row.id), row.service, row.path,
      row.is_protected ? "protected" : "repeatable", row.is_long ? "long" : "short",
      row.caller_try, row.has_key ? "with a key" : "without a key", row.config_version,
      Milliseconds(row.deadline - row.received));
  if (!row.account.empty()) {
    absl::StrAppendFormat(&text, "call: for account %s\n", row.account);
  }
  int number = 0;
  for (const call_record::attempt& attempt : row.attempts) {
    const error_response& response = ErrorResponseFor(attempt.result);
    absl::StrAppendFormat(
        &text, "call: attempt %d after %.1f ms to member %016x incarnation %x (%s), %.1f ms: ",
        ++number, Milliseconds(attempt.sent - row.received), attempt.target.id.value,
        attempt.target.incarnation.value, TargetReasonText(attempt.reason),
        Milliseconds(attempt.ended - attempt.sent));
    if (attempt.result == error_kind::kNone) {
      text += "response complete\n";
    } else {
      absl::StrAppendFormat(&text, "%s (%s)\n", response.name, response.text);
    }
    text += attempt.choice.ToText(row.service);
  }
  if (!row.failed_choice.empty()) {
    text += "call: no further attempt was possible\n" + row.failed_choice.ToText(row.service);
  }
  const error_response& result = ErrorResponseFor(row.result);
  if (row.caller_left) {
    absl::StrAppendFormat(&text, "call: the caller disconnected after %.1f ms\n",
                          Milliseconds(row.ended - row.received));
  } else if (row.result == error_kind::kNone) {
    absl::StrAppendFormat(&text, "call: response complete with status %d after %.1f ms\n",
                          row.status, Milliseconds(row.ended - row.received));
  } else {
    absl::StrAppendFormat(&text, "call: ended with %s (%s) after %.1f ms: %s\n", result.name,
                          ExecutionName(result.state), Milliseconds(row.ended - row.received),
                          result.text);
  }
  return text;
}

}  // namespace bronzeroute
