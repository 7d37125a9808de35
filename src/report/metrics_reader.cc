#include "src/report/metrics_reader.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <cstddef>
#include <exception>
#include <optional>
#include <utility>

#include "absl/status/status.h"
#include "src/base/concat.h"
#include "src/base/read_file.h"
#include "src/report/exposition_parser.h"
#include "src/report/member_list_parser.h"

namespace bronzeroute {
namespace {

// Limits the response bodies in memory. The metrics of a daemon with 43 services take less than
// 2 MB.
constexpr std::size_t kReadAtOnce = 16;

// Sends a GET for `path`. The returned task never throws.
pplx::task<absl::StatusOr<std::string>> Fetch(std::string_view address, const std::string& path,
                                              std::chrono::milliseconds timeout) {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    web::http::client::http_client client(web::uri(Concat("http://", address)), config);
    return client.request(web::http::methods::GET, path)
        .then([](const web::http::http_response& response) {
          const auto code = response.status_code();
          // The media type is ignored, so that saved metrics can be served by any web server.
          return response.extract_string(true).then(
              [code](const std::string& body) -> absl::StatusOr<std::string> {
                if (code == web::http::status_codes::OK) return body;
                return absl::UnavailableError(Concat("the HTTP status is not 200 but ", code));
              });
        })
        .then([](const pplx::task<absl::StatusOr<std::string>>& task)
                  -> absl::StatusOr<std::string> {
          try {
            return task.get();
          } catch (const std::exception& error) {
            return absl::UnavailableError(Concat("no response: ", error.what()));
          }
        });
  } catch (const std::exception& error) {
    return pplx::task_from_result<absl::StatusOr<std::string>>(absl::InvalidArgumentError(
        Concat("not an address of the form ip:port: ", error.what())));
  }
}

absl::StatusOr<std::string> ReadSaved(const std::string& path) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) return absl::NotFoundError("the file cannot be read");
  return *std::move(text);
}

pplx::task<absl::StatusOr<std::string>> Start(const process_source& source,
                                              std::chrono::milliseconds timeout) {
  if (source.from == process_source::origin::kFile) {
    return pplx::task_from_result(ReadSaved(source.name));
  }
  if (source.name.empty()) {
    return pplx::task_from_result<absl::StatusOr<std::string>>(
        absl::NotFoundError("the member has no admin address"));
  }
  return Fetch(source.name, "/.bronzeroute/v1/metrics?minutes=1", timeout);
}

}  // namespace

absl::StatusOr<member_list> metrics_reader::Members(std::string_view admin) const {
  const absl::StatusOr<std::string> body =
      Fetch(admin, "/.bronzeroute/v1/members", timeout_).get();
  if (!body.ok()) return body.status();
  return ParseMemberList(*body);
}

std::vector<process_reading> metrics_reader::Read(
    const std::vector<process_source>& sources) const {
  std::vector<process_reading> readings;
  for (std::size_t first = 0; first < sources.size(); first += kReadAtOnce) {
    const std::size_t last = std::min(first + kReadAtOnce, sources.size());
    std::vector<pplx::task<absl::StatusOr<std::string>>> tasks;
    for (std::size_t i = first; i < last; ++i) tasks.push_back(Start(sources[i], timeout_));
    for (std::size_t i = first; i < last; ++i) {
      const absl::StatusOr<std::string> text = tasks[i - first].get();
      if (text.ok()) {
        readings.push_back({sources[i], ParseExposition(*text)});
      } else {
        readings.push_back({sources[i], text.status()});
      }
    }
  }
  return readings;
}

}  // namespace bronzeroute
