#include "src/report/exposition_parser.h"

#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "src/base/concat.h"
#include "src/measuring/request_result.h"

namespace bronzeroute {
namespace {

using std::string_view;

constexpr string_view kEnd = "# EOF";
// Whole numbers above 2^53 are not exact in the text, which is written from doubles.
constexpr double kMaxCount = 9007199254740992.0;
// Keeps times in microseconds within 64 bits.
constexpr double kMaxSeconds = 1e12;

struct sample {
  string_view metric;
  std::map<std::string, std::string, std::less<>> labels;
  double value = 0;

  const std::string* Label(string_view name) const {
    const auto found = labels.find(name);
    return found == labels.end() ? nullptr : &found->second;
  }
};

std::optional<double> ParseNumber(string_view text) {
  if (text == "+Inf") return std::numeric_limits<double>::infinity();
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Reads a quoted label value from the front of `text`.
std::optional<std::string> TakeQuoted(string_view& text) {
  if (text.empty() || text.front() != '"') return std::nullopt;
  std::string value;
  for (std::size_t i = 1; i < text.size(); ++i) {
    if (text[i] == '"') {
      text.remove_prefix(i + 1);
      return value;
    }
    if (text[i] != '\\') {
      value += text[i];
      continue;
    }
    if (++i == text.size()) return std::nullopt;
    if (text[i] != 'n' && text[i] != '\\' && text[i] != '"') return std::nullopt;
    value += text[i] == 'n' ? '\n' : text[i];
  }
  return std::nullopt;
}

// Reads "{name="value",...}" from the front of `text`.
bool TakeLabels(string_view& text, sample& into) {
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '}') {
    const std::size_t equals = text.find('=');
    if (equals == string_view::npos) return false;
    std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    std::optional<std::string> value = TakeQuoted(text);
    if (!value || !into.labels.emplace(std::move(name), std::move(*value)).second) return false;
    if (!text.empty() && text.front() == ',') text.remove_prefix(1);
  }
  if (text.empty()) return false;
  text.remove_prefix(1);
  return true;
}

std::optional<sample> ParseSample(string_view line) {
  sample result;
  const std::size_t name_end = line.find_first_of("{ ");
  if (name_end == 0 || name_end == string_view::npos) return std::nullopt;
  result.metric = line.substr(0, name_end);
  line.remove_prefix(name_end);
  if (line.front() == '{' && !TakeLabels(line, result)) return std::nullopt;
  if (line.empty() || line.front() != ' ') return std::nullopt;
  const std::optional<double> value = ParseNumber(line.substr(1));
  if (!value) return std::nullopt;
  result.value = *value;
  return result;
}

std::optional<std::uint64_t> WholeNumber(double value) {
  if (!(value >= 0 && value <= kMaxCount) || std::floor(value) != value) return std::nullopt;
  return static_cast<std::uint64_t>(value);
}

std::optional<duration> SecondsOf(double value) {
  if (!(value >= 0 && value <= kMaxSeconds)) return std::nullopt;
  return duration(std::llround(value * 1e6));
}

// The index for which `name_of(index)` equals `text`; nullopt if there is none or `text` is
// null.
template <typename NameOf>
std::optional<std::size_t> IndexOf(const std::string* text, std::size_t count, NameOf name_of) {
  for (std::size_t i = 0; text != nullptr && i < count; ++i) {
    if (name_of(i) == *text) return i;
  }
  return std::nullopt;
}

// Collects samples into a process_metrics.
class collector {
 public:
  // Returns false if a sample of a metric that the report uses lacks a label, repeats an
  // earlier one or has a value out of range.
  bool Add(const sample& row) {
    if (row.metric == "bronzeroute_process_start_time_seconds") {
      return Set(started_, SecondsOf(row.value));
    }
    if (row.metric == "bronzeroute_uptime_seconds") return Set(uptime_, SecondsOf(row.value));
    if (row.metric == "bronzeroute_objective") return AddObjective(row);
    if (row.metric == "bronzeroute_request_latency_seconds") return AddLatency(row);
    if (row.metric == "bronzeroute_window_requests") return AddWindow(row);
    if (row.metric == "bronzeroute_minute_requests") return AddMinute(row);
    return true;
  }

  absl::StatusOr<process_metrics> Finish() {
    if (!started_ || !uptime_) {
      return absl::DataLossError("start or uptime of the process is missing");
    }
    result_.started = *started_;
    result_.uptime = *uptime_;
    for (const auto& [name, row] : result_.services) {
      if (!objectives_.contains(name)) {
        return absl::DataLossError(Concat("the objective of service ", name, " is missing"));
      }
    }
    std::size_t classes_seen = 0;
    for (const auto& [name, row] : result_.services) {
      for (const auto& each : row.classes) classes_seen += each ? 1 : 0;
    }
    if (window_samples_ != 2 * kRequestResults * classes_seen) {
      return absl::DataLossError("counts of a window are missing or repeated");
    }
    // The metrics count minutes back from the one in which the text was made.
    const std::int64_t newest =
        std::chrono::floor<std::chrono::minutes>(result_.read_at()).count();
    for (const auto& [name, classes] : minutes_) {
      for (std::size_t of = 0; of < kRequestClasses; ++of) {
        for (const auto& [ago, counts] : classes[of]) {
          // AddMinute has created the class.
          result_.services[name].classes[of]->minutes[newest - ago] = counts;
        }
      }
    }
    for (const auto& [name, row] : result_.services) {
      for (const auto& each : row.classes) {
        if (each && !MinutesAddUp(*each)) {
          return absl::DataLossError(
              Concat("the minutes of service ", name, " do not add up to its hour"));
        }
      }
    }
    return std::move(result_);
  }

 private:
  using minutes_by_class =
      std::array<std::map<std::int64_t, process_metrics::minute_counts>, kRequestClasses>;

  template <typename Value>
  static bool Set(std::optional<Value>& to, const std::optional<Value>& value) {
    if (to || !value) return false;
    to = value;
    return true;
  }

  // The daemon derives the minutes and the hour from the same counts, so their sums must be
  // equal.
  static bool MinutesAddUp(const process_metrics::class_row& row) {
    process_metrics::minute_counts sum;
    for (const auto& [at, counts] : row.minutes) {
      sum.good += counts.good;
      sum.bad += counts.bad;
    }
    return sum.bad == BadRequests(row.long_window) &&
           sum.good + sum.bad == AllRequests(row.long_window);
  }

  bool AddObjective(const sample& row) {
    const std::string* service = row.Label("service");
    if (service == nullptr || !(row.value >= 0 && row.value <= 1)) return false;
    result_.services[*service].objective = row.value;
    return objectives_.insert(*service).second;
  }

  // The row for the service and class labels of `row`, created if missing; null without the
  // labels.
  process_metrics::class_row* ClassRow(const sample& row) {
    const std::string* service = row.Label("service");
    const auto of = ClassOf(row);
    if (service == nullptr || !of) return nullptr;
    auto& found = result_.services[*service].classes[*of];
    if (!found) found = process_metrics::class_row{};
    return &*found;
  }

  static std::optional<std::size_t> ClassOf(const sample& row) {
    return IndexOf(row.Label("class"), kRequestClasses, [](std::size_t i) {
      return RequestClassName(static_cast<request_class>(i));
    });
  }

  bool AddLatency(const sample& row) {
    const std::string* quantile = row.Label("quantile");
    process_metrics::class_row* into = ClassRow(row);
    if (into == nullptr || quantile == nullptr || !(row.value >= 0)) return false;
    if (*quantile == "0.5") into->p50 = row.value;
    if (*quantile == "0.99") into->p99 = row.value;
    return true;
  }

  bool AddWindow(const sample& row) {
    const std::string* window = row.Label("window");
    const auto result = IndexOf(row.Label("result"), kRequestResults, [](std::size_t i) {
      return RequestResultName(static_cast<request_result>(i));
    });
    const auto count = WholeNumber(row.value);
    process_metrics::class_row* into = ClassRow(row);
    if (into == nullptr || window == nullptr || !result || !count) return false;
    if (*window != "5m" && *window != "1h") return false;
    (*window == "5m" ? into->short_window : into->long_window)[*result] = *count;
    ++window_samples_;
    return true;
  }

  bool AddMinute(const sample& row) {
    const std::string* ago = row.Label("minutes_ago");
    const std::string* outcome = row.Label("outcome");
    const auto count = WholeNumber(row.value);
    if (ClassRow(row) == nullptr || ago == nullptr || outcome == nullptr || !count) {
      return false;
    }
    const std::optional<double> number = ParseNumber(*ago);
    const auto minutes = number ? WholeNumber(*number) : std::nullopt;
    if (!minutes || (*outcome != "good" && *outcome != "bad")) return false;
    process_metrics::minute_counts& into =
        minutes_[*row.Label("service")][*ClassOf(row)][static_cast<std::int64_t>(*minutes)];
    (*outcome == "good" ? into.good : into.bad) = *count;
    return true;
  }

  process_metrics result_;
  std::optional<duration> started_;
  std::optional<duration> uptime_;
  std::set<std::string, std::less<>> objectives_;
  std::size_t window_samples_ = 0;
  std::map<std::string, minutes_by_class, std::less<>> minutes_;
};

}  // namespace

absl::StatusOr<process_metrics> ParseExposition(string_view text) {
  collector into;
  bool complete = false;
  for (std::size_t number = 1; !text.empty(); ++number) {
    const std::size_t end = text.find('\n');
    const string_view line = text.substr(0, end);
    text.remove_prefix(end == string_view::npos ? text.size() : end + 1);
    complete = line == kEnd;
    if (line.empty() || line.front() == '#') continue;
    const std::optional<sample> row = ParseSample(line);
    if (!row || !into.Add(*row)) {
      return absl::DataLossError(
          Concat("line ", number, " of the metrics is malformed, repeated or out of range"));
    }
  }
  if (!complete) {
    return absl::DataLossError(
        "the metrics do not end with \"# EOF\": truncated, or from an older daemon");
  }
  return into.Finish();
}

}  // namespace bronzeroute
