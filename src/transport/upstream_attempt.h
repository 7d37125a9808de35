#pragma once

#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/base/attempt_id.h"
#include "src/base/time.h"
#include "src/transport/header_list.h"
#include "src/transport/message_reader.h"
#include "src/transport/message_writer.h"

namespace bronzeroute {

class upstream_client;
struct response_stream;
struct exchange;
struct upstream_connection;

/// One request to the upstream, from the choice of a connection to the end of the response.
class upstream_attempt : public std::enable_shared_from_this<upstream_attempt> {
 public:
  upstream_attempt(upstream_client& owner, std::shared_ptr<exchange> row,
                   const attempt_id& attempt, time_point deadline, bool fresh_connection);

  void Start();
  /// Closes the connection. The end of the attempt is reported later, on the event loop.
  void Cancel();
  /// Closes the connection; no event follows.
  void Abandon();

  const attempt_id& attempt() const { return attempt_; }
  exchange_id exchange_of() const;
  /// The caller's id of the request; empty if it has none.
  std::string_view request_id() const { return request_id_; }
  std::uint32_t depth() const;

 private:
  using writer = internal::message_writer<true>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Send();
  void OnSent(writer::end how);
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t count);
  void Parse();
  bool ParseHead();
  bool ParseBody();
  /// Processes the parsed response head; false if the attempt ended.
  bool ProcessHead();
  /// Reports what the upstream states about itself in `fields` of its response.
  void ReportNotice(const header_list& fields) const;
  void AnnounceHead();
  /// The response was read completely.
  void OnResponseRead();
  /// Continues to send the request body although the response is complete.
  void AwaitSent();
  /// Ends the attempt with its complete response.
  void Complete();
  /// The connection ended. `in_order` is true if the upstream closed it, false for a reset.
  void OnConnectionEnd(bool in_order);
  /// Ends the attempt without a complete response: the request may have run, and its response
  /// is lost or truncated.
  void EndIncomplete();
  /// Closes the connection, or keeps it for the next request.
  void Release(bool keep);
  bool Finish();

  upstream_client* owner_;
  std::shared_ptr<exchange> row_;
  std::string request_id_;
  attempt_id attempt_;
  time_point deadline_;
  bool fresh_connection_;
  std::shared_ptr<upstream_connection> connection_;
  std::shared_ptr<writer> writer_;
  std::shared_ptr<response_stream> response_;
  bool reading_ = false;
  bool parsing_ = false;
  bool in_body_ = false;
  bool sent_ = false;
  bool write_failed_ = false;
  /// The response is complete, but part of the request body is not sent yet.
  bool awaits_sent_ = false;
  bool head_announced_ = false;
  /// The current message is a late response to an earlier request and is dropped.
  bool is_stray_ = false;
  bool is_refusal_ = false;
  bool saw_stray_ = false;
  /// Bytes received while no head of a response to this request was accepted.
  std::size_t unusable_bytes_ = 0;
  bool received_any_ = false;
  bool may_resend_ = false;
  bool finished_ = false;
  /// The upstream to which the request is sent; see `upstream_client::generation`.
  std::uint64_t generation_ = 0;
  time_point sent_at_;
};

}  // namespace bronzeroute
