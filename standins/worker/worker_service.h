#pragma once

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "standins/worker/run_record.h"
#include "standins/worker/worker_faults.h"

namespace bronzeroute::standin {

struct worker_options;

/// An upstream that accepts any request, waits for a random service time and responds with the
/// length and hash of the body it received. Runs on a pool of one thread, so its state needs no
/// lock.
class worker_service {
 public:
  /// Throws std::exception if the port cannot be bound.
  explicit worker_service(const worker_options& options);
  ~worker_service();
  void Open();

 private:
  struct job;

  void Handle(const web::http::http_request& request);
  void HandleControl(const web::http::http_request& request, const std::string& action);
  void ReadBody(const std::shared_ptr<job>& work);
  void Work(const std::shared_ptr<job>& work);
  /// Begins the work that was held.
  void Release();
  void Respond(const std::shared_ptr<job>& work);
  /// Writes `bytes` bytes to `body` as fast as they are read, then closes it.
  void WriteDownload(concurrency::streams::producer_consumer_buffer<std::uint8_t> body,
                     std::int64_t bytes);
  void Announce();
  std::int64_t ServiceTimeUs();

  std::unique_ptr<worker_options> options_;
  web::http::experimental::listener::http_listener listener_;
  worker_faults faults_;
  run_record record_;
  std::vector<std::shared_ptr<job>> held_;
  std::mt19937_64 random_;
  double speed_ = 1.0;
  std::int64_t next_speed_shift_ms_ = 0;
};

}  // namespace bronzeroute::standin
