#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>

#include "src/base/time.h"
#include "src/transport/http_response_message.h"
#include "src/transport/message_reader.h"
#include "src/transport/message_writer.h"

namespace bronzeroute {

class http_server;
struct exchange;

/// Server side of one connection: reads requests one after the other and writes one answer to
/// each. While an answer is due it goes on reading, so that a client that leaves is noticed.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, http_server& server);

  void Start();
  /// Answers the request at hand. The rest of an unread body is dropped.
  void SendResponse(const http_response_message& response);
  /// Ends the connection so that a partial answer shows as cut.
  void Abort();
  /// Closes the connection without telling the handler.
  void Abandon();
  /// Enforces the time limits of the server.
  void Tick(time_point now);
  /// No request is being handled.
  bool IsIdle() const { return row_ == nullptr; }
  /// Closes the connection after its answer, or shortly if it waits for a request.
  void CloseWhenIdle();

 private:
  enum class phase { kIdle, kHead, kBody, kWatch };
  using writer = internal::message_writer<false>;

  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t count);
  /// Goes on with the bytes at hand.
  void Parse();
  /// False if the connection waits or is closed.
  bool ParseHead();
  bool ParseBody();
  void TakeHead();
  void RejectHead();
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
  /// The end of the connection is the end of the answer.
  bool is_unframed_ = false;
  bool replied_ = false;
  bool written_ = false;
  bool close_when_idle_ = false;
  /// Time limit of the current phase, if it has one.
  time_point deadline_;
};

}  // namespace bronzeroute
