#pragma once

#include <cpprest/http_listener.h>

#include <cstdint>
#include <list>
#include <string>

#include "standins/log/log_faults.h"
#include "standins/log/log_store.h"

namespace bronzeroute::standin {

/// Serves a `log_store` over HTTP. Runs on a pool of one thread, so its state needs no lock.
class log_service {
 public:
  /// `address` is "ip:port". Throws std::exception if the port cannot be bound.
  log_service(const std::string& address, const log_faults& faults);
  void Open();

 private:
  /// A read that is held open until a record at `from` arrives or `until_ms` passes.
  struct waiting_read {
    web::http::http_request request;
    std::string stream;
    std::int64_t from;
    std::int64_t limit;
    std::int64_t until_ms;
  };

  void Handle(const web::http::http_request& request);
  void Dispatch(const web::http::http_request& request);
  void HandleAppend(const web::http::http_request& request, const std::string& stream);
  void HandleRead(const web::http::http_request& request, const std::string& stream);
  void HandleFaults(const web::http::http_request& request);
  void ReplyRead(const waiting_read& read);
  void RespondToWaiting();
  void ScheduleTick();

  web::http::experimental::listener::http_listener listener_;
  log_faults faults_;
  log_store store_;
  std::list<waiting_read> waiting_;
  /// Number of successful reads so far, and the total bytes of their response bodies.
  std::int64_t total_reads_ = 0;
  std::int64_t read_bytes_ = 0;
};

}  // namespace bronzeroute::standin
