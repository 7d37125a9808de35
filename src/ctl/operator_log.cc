#include "src/ctl/operator_log.h"

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

#include "src/base/concat.h"
#include "src/configuration/configuration_record.h"
#include "src/platform/log_client.h"

namespace bronzeroute {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kRequestTimeout(5000);
constexpr std::chrono::milliseconds kPause(250);
constexpr int kReadLimit = 500;

}  // namespace

operator_log::operator_log(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

absl::Status operator_log::ReadOnce(stream_state& state) {
  log_client client(address_, std::min(kRequestTimeout, timeout_));
  const std::string stream = ConfigurationStream(state.environment);
  while (true) {
    const absl::StatusOr<log_read> read =
        client.Read(stream, state.fold.position(), kReadLimit, std::chrono::milliseconds(0))
            .get();
    if (!read.ok()) return read.status();
    std::ranges::move(state.fold.Fold(*read), std::back_inserter(state.folded_records));
    if (state.fold.position() >= read->next || read->records.empty()) break;
  }
  if (!state.fold.anchored()) {
    return absl::FailedPreconditionError(
        Concat("the beginning of stream ", stream,
               " has expired and no snapshot stands in for it yet"));
  }
  return absl::OkStatus();
}

absl::Status operator_log::ReadToEnd(stream_state& state) {
  const auto deadline = steady_clock::now() + timeout_;
  absl::Status status = ReadOnce(state);
  // kFailedPrecondition is not retried: it can take minutes until a daemon appends a snapshot.
  while (!status.ok() && !absl::IsFailedPrecondition(status) &&
         steady_clock::now() + kPause < deadline) {
    std::this_thread::sleep_for(kPause);
    status = ReadOnce(state);
  }
  return status;
}

absl::StatusOr<folded_record> operator_log::Publish(stream_state& state,
                                                    std::string_view publication_id,
                                                    std::int64_t base, std::string_view bytes,
                                                    std::optional<std::int64_t> trial_version) {
  const auto deadline = steady_clock::now() + timeout_;
  const std::string record = EncodePublication(publication_id, base, bytes, trial_version);
  const std::string stream = ConfigurationStream(state.environment);
  // True while the log has refused every append, so that none of them can have taken effect.
  bool all_refused = true;
  bool appended = false;
  absl::Status last = absl::OkStatus();
  while (true) {
    if (!appended) {
      // Each append uses a new client. On a reused connection, the HTTP library may send an
      // append twice; if the second copy were refused, the first might have taken effect
      // unnoticed.
      log_client client(address_, std::min(kRequestTimeout, timeout_));
      const absl::StatusOr<std::int64_t> offset = client.Append(stream, record).get();
      appended = offset.ok();
      if (!appended) last = offset.status();
      all_refused = all_refused && absl::IsResourceExhausted(offset.status());
    }
    // The record is appended again only after a read that did not return it. If both copies are
    // in the stream, at most one can be accepted, because both have the same base.
    absl::Status read = ReadOnce(state);
    while (!read.ok() && steady_clock::now() < deadline) {
      last = read;
      std::this_thread::sleep_for(kPause);
      read = ReadOnce(state);
    }
    if (const folded_record* found = state.Find(publication_id)) return *found;
    if (steady_clock::now() >= deadline) break;
    std::this_thread::sleep_for(kPause);
  }
  const std::string reason(last.message());
  return all_refused ? absl::UnavailableError(reason) : absl::UnknownError(reason);
}

}  // namespace bronzeroute
