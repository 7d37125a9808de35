#include "tests/process/call_oracle.h"

#include <utility>

namespace bronzeroute::testing {
namespace {

// Capacity of `calls_`, which must not reallocate while callers write their results into it.
constexpr std::size_t kMaxCalls = 500;
constexpr std::int64_t kMaxAttempts = 3;

}  // namespace

void call_oracle::StartRepeatable(std::size_t entry, const std::string& path,
                                  const std::string& deadline_ms) {
  Start("GET", path, {.entry = entry, .key = {}, .mark = {}, .result = {}}, deadline_ms);
}

void call_oracle::StartProtected(std::size_t entry, const std::string& path,
                                 const std::string& key, const std::string& deadline_ms) {
  Start("POST", path, {.entry = entry, .key = key, .mark = {}, .result = {}}, deadline_ms);
}

void call_oracle::Start(const std::string& method, const std::string& path, reported_call call,
                        const std::string& deadline_ms) {
  calls_.reserve(kMaxCalls);
  const std::size_t index = calls_.size();
  call.mark = (method == "POST" ? "p" : "r") + name_ + std::to_string(index);
  calls_.push_back(std::move(call));
  callers_.emplace_back([this, index, method, path, deadline_ms] {
    reported_call& own = calls_[index];
    own.result = deployment_.Call(own.entry, method, path, method == "POST" ? "x" : "", own.key,
                                  deadline_ms, "", own.mark);
  });
}

void call_oracle::Join() {
  for (std::thread& caller : callers_) {
    caller.join();
  }
  callers_.clear();
}

std::string call_oracle::Results() const {
  std::string lines;
  for (const reported_call& call : calls_) {
    lines += call.mark + " at entry " + std::to_string(call.entry) + ": ";
    lines += call.result.no_response ? "no response" : std::to_string(call.result.status);
    lines += " " + call.result.error + " " + call.result.execution + "\n";
  }
  return lines;
}

std::string call_oracle::Contradictions() {
  std::string found;
  for (const reported_call& call : calls_) {
    const std::int64_t runs = deployment_.RunsOfMark(call.mark);
    const bool is_protected = call.mark[0] == 'p';
    const auto report = [&](const std::string& text) {
      found += call.mark + " at entry " + std::to_string(call.entry) + ": " + text +
               "; reported " + std::to_string(call.result.status) + " " + call.result.error +
               " " + call.result.execution + ", runs " + std::to_string(runs) + "\n";
    };
    if (call.result.no_response) {
      report("no response");
    } else if (call.result.execution == "not-run" && runs != 0) {
      report("ran although reported as not-run");
    } else if (call.result.execution == "ran" && runs == 0) {
      report("did not run although reported as ran");
    } else if (call.result.status != 200 && call.result.error.empty()) {
      report("neither a response of the upstream nor an error kind");
    }
    if (runs > (is_protected ? 1 : kMaxAttempts)) {
      report("ran more often than allowed");
    }
  }
  return found;
}

}  // namespace bronzeroute::testing
