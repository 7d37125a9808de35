#include "tests/calls/call_oracle.h"

#include "src/base/error_response.h"

namespace bronzeroute::tests {

void call_oracle::Expect(bool holds, std::size_t index, const std::string& text) {
  if (!holds) violations_.push_back("request " + std::to_string(index) + ": " + text);
}

std::size_t call_oracle::OnRequest(const std::string& key, std::uint32_t caller_try,
                                   bool is_protected) {
  requests_.push_back({.key = key, .caller_try = caller_try, .is_protected = is_protected});
  return requests_.size() - 1;
}

void call_oracle::OnRun(std::size_t index, bool is_fresh_connection, time_point deadline,
                        time_point now) {
  request& row = requests_[index];
  ++row.runs;
  Expect(!row.is_protected || row.runs == 1, index, "protected request ran twice");
  Expect(!row.is_protected || is_fresh_connection, index, "protected run on a used connection");
  Expect(now < deadline, index, "handed to the upstream after its deadline");
  int runs_of_key = 0;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (!row.key.empty() && requests_[i].key == row.key) runs_of_key += requests_[i].runs;
    CheckNotRun(i);
  }
  Expect(runs_of_key <= 1, index, "key ran twice");
}

void call_oracle::CheckNotRun(std::size_t index) {
  const request& row = requests_[index];
  if (row.now != state::kErrorReported ||
      ErrorResponseFor(row.reported).state != execution::kNotRun) {
    return;
  }
  Expect(row.runs == 0, index, "reported not run, but ran");
  // A caller relies on "not run" for its earlier tries with the key too.
  for (const request& other : requests_) {
    const bool is_earlier =
        !row.key.empty() && other.key == row.key && other.caller_try <= row.caller_try;
    Expect(!is_earlier || other.runs == 0, index, "reported not run, but an earlier try ran");
  }
}

void call_oracle::End(std::size_t index, state ended, time_point now) {
  request& row = requests_[index];
  if (row.now == state::kDisconnected) return;
  Expect(row.now == state::kOpen, index, "responded twice");
  Expect(now <= row.response_due, index, "responded too late");
  row.now = ended;
}

void call_oracle::OnError(std::size_t index, error_kind kind, time_point now) {
  End(index, state::kErrorReported, now);
  requests_[index].reported = kind;
  CheckNotRun(index);
  if (ErrorResponseFor(kind).state != execution::kRan) return;
  int runs = 0;
  for (const request& other : requests_) {
    if (other.key == requests_[index].key) runs += other.runs;
  }
  Expect(runs > 0, index, "reported ran, but nothing ran");
}

void call_oracle::OnComplete(std::size_t index, std::size_t body_of, bool body_is_whole,
                             time_point now) {
  End(index, state::kComplete, now);
  Expect(body_of == index, index, "got the response to request " + std::to_string(body_of));
  Expect(body_is_whole, index, "a truncated body was reported as complete");
}

void call_oracle::OnTruncated(std::size_t index, time_point now) {
  End(index, state::kTruncated, now);
}

void call_oracle::OnGone(std::size_t index) {
  if (requests_[index].now == state::kOpen) requests_[index].now = state::kDisconnected;
}

void call_oracle::OnEnd(std::size_t open_rows) {
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    Expect(requests_[i].now != state::kOpen, i, "no response");
  }
  if (open_rows > 0) violations_.push_back(std::to_string(open_rows) + " rows still open");
}

}  // namespace bronzeroute::tests
