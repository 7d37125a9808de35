#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>

#include "src/base/time.h"
#include "src/transport/http_response_message.h"
#include "src/transport/message_reader.h"
#include "src/transport/message_writer.h"
#include "src/transport/socket_options.h"

namespace bronzeroute {

class http_server;
struct exchange;

/// Server side of one connection: reads requests one after the other and writes one response to
/// each. It keeps reading while a response is pending, to detect that the client disconnects.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, http_server& server);

  void Start();
  /// Sends a response of this process to the current request. The unread rest of the request
  /// body is dropped.
  void SendResponse(const http_response_message& response);
  /// Sends the response of an upstream to the current request. The upstream may still be
  /// reading the request body, so that its rest is dropped only once the response is complete.
  void RelayResponse(const http_response_message& response);
  /// Resets the connection, so that the client detects a partial response as truncated.
  void Abort();
  /// Closes the connection without calling the handler.
  void Abandon();
  /// Enforces the time limits of the server.
  void Tick(time_point now);
  /// No request is being handled.
  bool IsIdle() const { return row_ == nullptr; }
  /// True if the client closed the connection, although a read has not reported it yet.
  bool HasClientLeft() { return closed_ || HasPeerLeft(socket_); }
  /// Closes the connection after the current response, or after a short wait if it is idle.
  void CloseWhenIdle();

 private:
  enum class phase { kIdle, kHead, kBody, kAwaitResponse };
  using writer = internal::message_writer<false>;

  void Read();
  void OnReadable(boost::system::error_code error);
  /// Processes the bytes received so far.
  void Parse();
  /// False if the connection waits or is closed.
  bool ParseHead();
  bool ParseBody();
  void ProcessHead();
  void RejectHead();
  void WriteResponse(const http_response_message& response);
  /// Drops the rest of the request body, for a limited time.
  void DropRequestBody();
  void OnClientDisconnected();
  void OnWritten(writer::end how);
  void NextRequest();
  void Close();

  boost::asio::ip::tcp::socket socket_;
  http_server* server_;
  internal::message_reader<true> reader_;
  std::shared_ptr<writer> writer_;
  std::shared_ptr<exchange> row_;
  phase phase_ = phase::kIdle;
  bool reading_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool is_old_client_ = false;
  /// The response has neither Content-Length nor chunks: it ends with the connection.
  bool is_unframed_ = false;
  bool response_started_ = false;
  bool written_ = false;
  bool close_when_idle_ = false;
  /// Time limit of the current phase, if it has one.
  time_point deadline_;
};

}  // namespace bronzeroute
