#include "src/ctl/admin_client.h"

#include <cpprest/http_client.h>

#include <exception>
#include <utility>

#include "src/base/concat.h"

namespace bronzeroute {

admin_client::admin_client(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

absl::StatusOr<web::json::value> admin_client::Get(std::string_view endpoint) const {
  return Send("GET", endpoint);
}

absl::StatusOr<web::json::value> admin_client::Post(std::string_view endpoint) const {
  return Send("POST", endpoint);
}

absl::StatusOr<web::json::value> admin_client::Send(const std::string& method,
                                                    std::string_view endpoint) const {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(timeout_);
    web::http::client::http_client client(web::uri(Concat("http://", address_)), config);
    web::http::http_request request(method);
    request.set_request_uri(Concat("/.bronzeroute/v1/", endpoint));
    web::http::http_response response = client.request(request).get();
    const std::string text = response.extract_utf8string(true).get();
    std::error_code error;
    const web::json::value parsed = web::json::value::parse(text, error);
    if (response.status_code() / 100 != 2) {
      const std::string reason =
          !error && parsed.has_string_field("error") ? parsed.at("error").as_string() : text;
      return absl::FailedPreconditionError(Concat(address_, " responded with HTTP status ",
                                                  response.status_code(),
                                                  reason.empty() ? "" : ": ", reason));
    }
    return error ? web::json::value::string(text) : parsed;
  } catch (const std::exception& error) {
    return absl::UnavailableError(Concat("no response from ", address_, ": ", error.what()));
  }
}

}  // namespace bronzeroute
