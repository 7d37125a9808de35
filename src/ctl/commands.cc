#include "src/ctl/commands.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "src/base/concat.h"
#include "src/base/read_file.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/guarantees_text.h"
#include "src/configuration/parse_document.h"
#include "src/ctl/admin_client.h"
#include "src/ctl/json_text.h"
#include "src/ctl/operator_log.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kMaxShownRecords = 5;
constexpr auto kWaitPoll = std::chrono::milliseconds(100);

exit_code Fail(exit_code code, std::string_view message) {
  // Error texts from a daemon may already end with a line break.
  std::cerr << "brctl: " << message << (message.ends_with('\n') ? "" : "\n");
  return code;
}

exit_code Fail(const absl::Status& status) {
  const std::string message(status.message());
  if (absl::IsUnknown(status)) return Fail(exit_code::kUnknown, message);
  if (absl::IsFailedPrecondition(status)) return Fail(exit_code::kRefused, message);
  return Fail(exit_code::kUnavailable, message);
}

/// The bytes of a document; nullopt, with an error for the user, if it cannot be read.
std::optional<std::string> ReadDocument(const std::string& path) {
  std::optional<std::string> bytes = ReadFile(path);
  if (!bytes) Fail(exit_code::kUsage, Concat("cannot read ", path));
  return bytes;
}

std::string NewPublicationId() {
  std::random_device random;
  std::string id;
  for (int word = 0; word < 4; ++word) id += absl::StrCat(absl::Hex(random(), absl::kZeroPad8));
  return id;
}

void PrintErrors(const std::vector<document_error>& errors) {
  for (const document_error& error : errors) std::cerr << DescribeError(error) << "\n";
}

// Publishes `bytes` and reports the outcome.
exit_code Publish(operator_log& log, stream_state& state, std::int64_t base,
                  std::string_view bytes, std::optional<std::int64_t> trial_version) {
  const std::string id = NewPublicationId();
  const absl::StatusOr<folded_record> published =
      log.Publish(state, id, base, bytes, trial_version);
  if (!published.ok()) {
    const std::string reason(published.status().message());
    if (absl::IsUnknown(published.status())) {
      return Fail(exit_code::kUnknown, Concat("unknown whether publication ", id, " to ",
                                              state.environment, " took effect: ", reason));
    }
    return Fail(published.status());
  }
  if (published->outcome == record_outcome::kAccepted) {
    std::cout << state.environment << ": accepted as version " << published->offset
              << ", digest " << DigestText(DocumentDigest(bytes)) << ", publication " << id
              << "\n";
    return exit_code::kOk;
  }
  PrintErrors(published->errors);
  return Fail(exit_code::kRefused,
              Concat(state.environment, ": refused as ", RecordOutcomeName(published->outcome),
                     ": publication ", id, " builds on version ", published->base_version,
                     ", version ", published->version_before, " was in force"));
}

exit_code Check(const arguments& options) {
  const std::optional<std::string> bytes = ReadDocument(options.operands[0]);
  if (!bytes) return exit_code::kUsage;
  const parse_result parsed = ParseDocument(*bytes, options.operands[0]);
  if (!parsed.value) {
    PrintErrors(parsed.errors);
    return exit_code::kInvalidDocument;
  }
  std::cout << options.operands[0] << ": valid, " << parsed.value->services.size()
            << " services, digest " << DigestText(DocumentDigest(*bytes)) << "\n";
  return exit_code::kOk;
}

exit_code PublishFile(const arguments& options) {
  const std::optional<std::string> bytes = ReadDocument(options.operands[0]);
  if (!bytes) return exit_code::kUsage;
  const parse_result parsed = ParseDocument(*bytes, options.operands[0]);
  if (!parsed.value) {
    PrintErrors(parsed.errors);
    return exit_code::kInvalidDocument;
  }
  operator_log log(options.log, options.timeout);
  stream_state trial("trial");
  if (const absl::Status status = log.ReadToEnd(trial); !status.ok()) return Fail(status);
  const configuration_snapshot& head = trial.fold.head();
  if (options.base && *options.base != head.version) {
    return Fail(exit_code::kRefused,
                Concat("trial: refused as ", RecordOutcomeName(record_outcome::kStaleBase),
                       ": version ", head.version, " is in force, not ", *options.base));
  }
  if (head.version >= 0 && head.bytes == *bytes) {
    std::cout << "trial: in force already as version " << head.version << ", digest "
              << DigestText(head.digest) << "\n";
    return exit_code::kOk;
  }
  return Publish(log, trial, head.version, *bytes, std::nullopt);
}

exit_code Promote(const arguments& options) {
  operator_log log(options.log, options.timeout);
  stream_state trial("trial");
  stream_state production("production");
  if (const absl::Status status = log.ReadToEnd(trial); !status.ok()) return Fail(status);
  const configuration_snapshot tried = trial.fold.head();
  if (tried.version < 0) return Fail(exit_code::kRefused, "trial: nothing was accepted yet");
  if (tried.parsed == nullptr) {
    return Fail(exit_code::kRefused,
                "trial: the document has a format that this build cannot "
                "read");
  }
  if (!options.digest.empty() && options.digest != DigestText(tried.digest)) {
    return Fail(exit_code::kRefused,
                Concat("trial: version ", tried.version, " has digest ",
                       DigestText(tried.digest), ", not ", options.digest));
  }
  if (const absl::Status status = log.ReadToEnd(production); !status.ok()) {
    return Fail(status);
  }
  const configuration_snapshot& head = production.fold.head();
  if (head.version >= 0 && head.bytes == tried.bytes) {
    std::cout << "production: in force already as version " << head.version << ", digest "
              << DigestText(head.digest) << "\n";
    return exit_code::kOk;
  }
  // Another publication to trial may have been accepted while production was read.
  if (const absl::Status status = log.ReadToEnd(trial); !status.ok()) return Fail(status);
  if (trial.fold.head().digest != tried.digest) {
    return Fail(exit_code::kRefused,
                Concat("trial: the accepted document changed from digest ",
                       DigestText(tried.digest), " to ", DigestText(trial.fold.head().digest)));
  }
  return Publish(log, production, head.version, tried.bytes, tried.version);
}

void PrintStream(const stream_state& state) {
  const configuration_snapshot& head = state.fold.head();
  if (head.version < 0) {
    std::cout << state.environment << ": no publication accepted yet\n";
  } else {
    std::cout << state.environment << ": version " << head.version << ", digest "
              << DigestText(head.digest) << ", "
              << (head.parsed != nullptr ? Concat("document ", head.parsed->name)
                                         : Concat("unsupported format ", head.format))
              << "\n";
  }
  std::vector<const folded_record*> rows;
  for (const folded_record& row : state.folded_records) {
    if (!row.publication_id.empty()) rows.push_back(&row);
  }
  const std::size_t skipped = rows.size() - std::min(rows.size(), kMaxShownRecords);
  for (std::size_t i = skipped; i < rows.size(); ++i) {
    std::cout << "  offset " << rows[i]->offset << ": " << RecordOutcomeName(rows[i]->outcome)
              << ", base " << rows[i]->base_version;
    if (rows[i]->trial_version) std::cout << ", trial version " << *rows[i]->trial_version;
    std::cout << ", publication " << rows[i]->publication_id << "\n";
  }
}

exit_code PublicationStatus(const arguments& options) {
  operator_log log(options.log, options.timeout);
  for (const std::string environment : {"trial", "production"}) {
    stream_state state(environment);
    if (const absl::Status status = log.ReadToEnd(state); !status.ok()) return Fail(status);
    if (const folded_record* found = state.Find(options.publication)) {
      std::cout << environment << ": publication " << options.publication << " at offset "
                << found->offset << ": " << RecordOutcomeName(found->outcome) << "\n";
      return exit_code::kOk;
    }
  }
  return Fail(exit_code::kRefused, Concat("publication ", options.publication,
                                          " is in no record that the log still keeps"));
}

// The configuration version in a daemon's JSON, under any key that daemons use; "?" if missing.
std::string VersionIn(const web::json::value& object) {
  if (object.is_object()) {
    for (const char* key : {"config_version", "configuration_version", "version"}) {
      if (object.has_field(key) && !object.at(key).is_object()) {
        return ScalarText(object.at(key));
      }
    }
    for (const char* key : {"configuration", "config"}) {
      if (object.has_field(key)) return VersionIn(object.at(key));
    }
  }
  return "?";
}

// The columns of the table that compares daemons. For a single daemon the whole status is
// shown.
web::json::value StatusRow(const std::string& address, const web::json::value& status) {
  // In the order of the columns.
  web::json::value row = web::json::value::object(true);
  row["daemon"] = web::json::value::string(address);
  row["version"] = web::json::value::string(VersionIn(status));
  for (const char* key :
       {"environment", "service", "region", "availability_zone", "draining", "running",
        "queued", "ready_members", "log_available", "config_problem"}) {
    if (status.has_field(key)) row[key] = status.at(key);
  }
  return row;
}

exit_code Status(const arguments& options) {
  if (!options.publication.empty()) return PublicationStatus(options);
  exit_code result = exit_code::kOk;
  if (!options.log.empty()) {
    operator_log log(options.log, options.timeout);
    for (const std::string environment : {"trial", "production"}) {
      if (!options.environment.empty() && options.environment != environment) continue;
      stream_state state(environment);
      if (const absl::Status status = log.ReadToEnd(state); !status.ok()) {
        result = Fail(status);
      } else {
        PrintStream(state);
      }
    }
  }
  std::vector<web::json::value> rows;
  for (const std::string& address : options.admin) {
    const admin_client daemon(address, options.timeout);
    const absl::StatusOr<web::json::value> status = daemon.Get("status");
    if (!status.ok()) {
      result = Fail(status.status());
      continue;
    }
    if (options.admin.size() == 1) {
      std::cout << address << ": version " << VersionIn(*status) << "\n"
                << JsonText(*status, 2);
    }
    rows.push_back(StatusRow(address, *status));
  }
  if (options.admin.size() > 1 && !rows.empty()) {
    std::cout << JsonText(web::json::value::array(std::move(rows)));
  }
  return result;
}

exit_code Guarantees(const arguments& options) {
  if (options.operands.empty()) {
    operator_log log(options.log, options.timeout);
    stream_state state(options.environment);
    if (const absl::Status status = log.ReadToEnd(state); !status.ok()) return Fail(status);
    const configuration_snapshot& head = state.fold.head();
    if (head.parsed == nullptr) {
      return Fail(
          exit_code::kRefused,
          Concat(options.environment, ": no accepted document that this build can read"));
    }
    std::cout << options.environment << ", version " << head.version << ", digest "
              << DigestText(head.digest) << "\n\n"
              << GuaranteesText(*head.parsed);
    return exit_code::kOk;
  }
  const std::optional<std::string> bytes = ReadDocument(options.operands[0]);
  if (!bytes) return exit_code::kUsage;
  const parse_result parsed = ParseDocument(*bytes, options.operands[0]);
  if (!parsed.value) {
    PrintErrors(parsed.errors);
    return exit_code::kInvalidDocument;
  }
  std::cout << GuaranteesText(*parsed.value);
  return exit_code::kOk;
}

exit_code Print(const absl::StatusOr<web::json::value>& response) {
  if (!response.ok()) return Fail(response.status());
  std::cout << (response->is_string() ? response->as_string() : JsonText(*response));
  return exit_code::kOk;
}

exit_code Explain(const arguments& options) {
  const std::string call = web::uri::encode_data_string(options.operands[0]);
  return Print(admin_client(options.admin[0], options.timeout).Get("explain?call=" + call));
}

exit_code Drain(const arguments& options) {
  return Print(admin_client(options.admin[0], options.timeout).Post("drain"));
}

exit_code Members(const arguments& options) {
  return Print(admin_client(options.admin[0], options.timeout).Get("members"));
}

// Why a daemon is not ready; empty if it is ready.
std::string MissingFor(const absl::StatusOr<web::json::value>& status, int members) {
  if (!status.ok()) return Concat(status.status().message());
  if (!status->has_integer_field("config_version") ||
      !status->has_integer_field("ready_members")) {
    return "its status has no integer config_version or ready_members";
  }
  if (status->at("config_version").as_integer() < 0) return "it has no configuration";
  const int known = status->at("ready_members").as_integer();
  return known >= members ? ""
                          : Concat("it reports ", known, " of ", members, " ready members");
}

exit_code Wait(const arguments& options) {
  const auto limit = std::chrono::steady_clock::now() + options.timeout;
  for (const std::string& address : options.admin) {
    const admin_client daemon(address, options.timeout);
    std::string missing = MissingFor(daemon.Get("status"), options.members);
    while (!missing.empty()) {
      if (std::chrono::steady_clock::now() >= limit) {
        return Fail(exit_code::kUnavailable, Concat(address, " is not ready: ", missing));
      }
      std::this_thread::sleep_for(kWaitPoll);
      missing = MissingFor(daemon.Get("status"), options.members);
    }
  }
  const std::size_t count = options.admin.size();
  std::cout << count << (count == 1 ? " daemon is ready\n" : " daemons are ready\n");
  return exit_code::kOk;
}

}  // namespace

exit_code RunCommand(const arguments& options) {
  using handler = exit_code (*)(const arguments&);
  constexpr auto kHandlers = std::to_array<std::pair<std::string_view, handler>>({
      {"check", Check},
      {"publish", PublishFile},
      {"promote", Promote},
      {"status", Status},
      {"guarantees", Guarantees},
      {"explain", Explain},
      {"drain", Drain},
      {"members", Members},
      {"wait", Wait},
  });
  for (const auto& [name, run] : kHandlers) {
    if (name == options.command) return run(options);
  }
  return Fail(exit_code::kUsage, Concat("unknown command ", options.command));
}

}  // namespace bronzeroute
