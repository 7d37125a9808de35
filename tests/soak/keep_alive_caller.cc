#include "tests/soak/keep_alive_caller.h"

#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace bronzeroute::testing {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
// Above the longest deadline that the soak uses.
constexpr timeval kResponseTimeout{10, 0};

}  // namespace

bool keep_alive_caller::Connect() {
  error_code error;
  socket_ = tcp::socket(loop_);
  buffer_.clear();
  const auto colon = address_.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1)));
  socket_.connect({boost::asio::ip::make_address(address_.substr(0, colon)), port}, error);
  setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kResponseTimeout,
             sizeof kResponseTimeout);
  return !error;
}

keep_alive_response keep_alive_caller::Send(const std::string& method, const std::string& path,
                                            const std::string& mark,
                                            const std::string& deadline_ms) {
  keep_alive_response result;
  error_code error;
  if (!socket_.is_open() && !Connect()) {
    socket_.close(error);
    return result;
  }
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(method);
  request.target(path);
  request.set(http::field::host, "orders.example");
  request.set("X-Mark", mark);
  request.set("X-Echo", mark);
  request.set("Bronzeroute-Deadline-Ms", deadline_ms);
  if (method == "POST") request.body() = mark;
  request.prepare_payload();
  http::write(socket_, request, error);
  http::response<http::string_body> response;
  http::response_parser<http::string_body> parser;
  if (!error) http::read(socket_, buffer_, parser, error);
  result.complete = !error;
  if (error) {
    result.error =
        error.message() + (parser.is_header_done() ? " after the head" : " before the head");
  }
  response = parser.release();
  if (result.complete) {
    result.status = static_cast<int>(response.result_int());
    result.execution = std::string(response["Bronzeroute-Execution"]);
    result.echo = std::string(response["X-Echo"]);
  }
  if (error || !response.keep_alive()) socket_.close(error);
  return result;
}

}  // namespace bronzeroute::testing
