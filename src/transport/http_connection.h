#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>

#include "src/base/time.h"
#include "src/transport/http_response_message.h"
#include "src/transport/message_reader.h"
#include "src/transport/message_writer.h"
#include "src/transport/socket_options.h"

namespace bronzeroute {

class http_server;
struct exchange;

/// Server side of one connection: reads requests and writes their responses in the order of the
/// requests. It hands a request to the handler once those before it are answered, or at once if
/// the handler lets it run beside them, up to a bound. It keeps reading while responses are
/// pending, to detect that the client disconnects.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, http_server& server);

  void Start();
  /// Sends a response of this process to the request of `row`, once the requests before it are
  /// answered. The unread rest of the request body is dropped. Replaces an earlier response to
  /// `row` of which nothing was written yet.
  void SendResponse(const exchange& row, const http_response_message& response);
  /// The same for the only request that is being handled.
  void SendResponse(const http_response_message& response);
  /// Sends the response of an upstream to the request of `row`, once the requests before it are
  /// answered. The upstream may still be reading the request body, so that its rest is dropped
  /// only once the response is complete.
  void RelayResponse(const exchange& row, const http_response_message& response);
  /// True once the response to `row` is being written.
  bool HasBegunResponse(const exchange& row) const;
  /// Resets the connection, so that the client detects a partial response as truncated. The
  /// handler gets `OnResponseEnded` for `row` and `OnClientDisconnected` for other requests.
  void Abort(const exchange& row);
  /// The same for the only request that is being handled.
  void Abort();
  /// Closes the connection without calling the handler.
  void Abandon();
  /// Enforces the time limits of the server.
  void Tick(time_point now);
  /// No request is being handled.
  bool IsIdle() const { return pending_.empty(); }
  /// True if the client closed the connection, although a read has not reported it yet.
  bool HasClientLeft() { return closed_ || HasPeerLeft(socket_); }
  /// Closes the connection after the responses to the requests read so far, or after a short
  /// wait if it is idle.
  void CloseWhenIdle();

 private:
  enum class phase {
    /// No byte of the next request was parsed.
    kIdle,
    kHead,
    /// The head was read; the request waits until those before it are answered.
    kHeld,
    kBody,
    /// The last response was written; further bytes are dropped.
    kDrop,
  };
  using writer = internal::message_writer<false>;

  /// A request whose response is not written completely or whose body is not read completely.
  struct request {
    std::shared_ptr<exchange> row;
    /// Bytes of head and body, as far as the head states them.
    std::size_t bytes = 0;
    bool keep_alive = true;
    bool is_head = false;
    bool is_old_client = false;
    bool expects_continue = false;
    /// Further requests may be handled before this one is answered.
    bool may_be_followed = false;
    bool passed_on = false;
    /// The response, until its writing begins.
    std::optional<http_response_message> response;
    /// The response is being written or was written.
    bool response_started = false;
    bool written = false;
    /// The response has neither Content-Length nor chunks: it ends with the connection.
    bool is_unframed = false;
  };

  void Read();
  void OnReadable(boost::system::error_code error);
  /// Processes the bytes received so far.
  void Parse();
  /// False if the connection waits or is closed.
  bool ParseHead();
  bool ParseBody();
  void ProcessHead();
  void RejectHead();
  /// True if the next request may be read now.
  bool MayReadNext() const;
  /// Hands the request read last to the handler.
  void PassOn();
  request* Find(const exchange& row);
  void Respond(request& to, const http_response_message& response);
  /// Begins to write the response to the oldest request. If it is the last one on the
  /// connection, requests behind it are cancelled.
  void WriteResponse(request& to, const http_response_message& response);
  /// Drops the rest of the request body, for a limited time.
  void DropRequestBody(const request& of);
  void OnClientDisconnected();
  void OnWritten(writer::end how);
  /// The oldest request is answered and its body was read.
  void EndFront();
  /// Closes the connection so that the client still receives what was written.
  void CloseAfterResponse();
  void Close();
  /// Ends requests that were not answered, after the connection was closed.
  void Cancel(const std::list<request>& unanswered);

  boost::asio::ip::tcp::socket socket_;
  http_server* server_;
  internal::message_reader<true> reader_;
  std::shared_ptr<writer> writer_;
  /// In the order in which they were read. The last one is the one whose body is being read.
  std::list<request> pending_;
  phase phase_ = phase::kIdle;
  bool reading_ = false;
  bool closed_ = false;
  bool close_when_idle_ = false;
  /// No further request is read; the connection is closed after the last response.
  bool reads_no_more_ = false;
  /// Time limit of the current phase, if it has one.
  time_point deadline_;
};

}  // namespace bronzeroute
