#pragma once

// Stand-ins for the tests of the review: the platform's store, workers, clients, and a launcher
// for the daemon with the command of the deploy file. Plain sockets and threads; loopback only.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Writes lines with the time since the start to standard output and to a file.
class record {
 public:
  explicit record(const std::string& file);
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  int file_ = -1;
  steady::time_point start_ = steady::now();
};

/// The head of a request or response.
struct head {
  /// Request: method and target; response: status.
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> fields;
  bool Has(const std::string& lower_name) const { return fields.count(lower_name) > 0; }
  std::string Field(const std::string& lower_name) const;
};

/// A connected socket with a read buffer. All calls block; reads end after `read_limit`.
class socket_stream {
 public:
  explicit socket_stream(int fd) : fd_(fd) {}
  ~socket_stream();
  socket_stream(const socket_stream&) = delete;
  socket_stream& operator=(const socket_stream&) = delete;

  bool is_open() const { return fd_ >= 0; }
  void SetReadLimit(milliseconds limit) const;
  bool Write(std::string_view bytes) const;
  /// Reads more bytes into the buffer; false at the end of the connection or after the limit.
  bool Fill();
  bool ReadHead(head& into);
  /// Takes exactly `count` bytes; false if the connection ends before.
  bool ReadBytes(std::size_t count, std::string& into);
  /// Reads a body in chunks or with a length; false if it is not complete.
  bool ReadBody(const head& from, std::string& into);
  /// Closes with a reset.
  void Reset();
  void Close();
  /// Ends blocking calls of other threads.
  void Shutdown() const;
  std::string& buffer() { return buffer_; }

 private:
  bool ReadLine(std::string& line);

  int fd_;
  std::string buffer_;
};

/// Connects; a stream that is not open where that failed.
std::shared_ptr<socket_stream> Connect(const std::string& ip, int port);

/// Accepts connections on an address and runs `serve` on a thread for each.
class listener {
 public:
  using handler = std::function<void(const std::shared_ptr<socket_stream>&)>;
  listener(const std::string& ip, int port, handler serve);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  bool ok() const { return fd_ >= 0; }

 private:
  void Run();

  handler serve_;
  int fd_ = -1;
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<socket_stream>> streams_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

/// The platform's store as far as the daemon uses it: topics that keep the newest record of
/// each key, with append, read and newest.
class store {
 public:
  store(const std::string& ip, int port);
  bool ok() const { return listener_->ok(); }
  void Put(const std::string& topic, const std::string& key, const std::string& value);

 private:
  struct topic_rows {
    std::vector<std::pair<std::string, std::string>> rows;
  };
  void Serve(socket_stream& stream);
  std::string Append(const std::string& topic, std::string_view body);
  std::string Read(const std::string& topic, std::size_t from, milliseconds wait);
  std::string Newest(const std::string& topic);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, topic_rows> topics_;
  std::unique_ptr<listener> listener_;
};

/// One machine: addresses and the daemon on it.
struct machine {
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  pid_t daemon = -1;
};

/// A small deployment on addresses of the loopback range.
class deployment {
 public:
  static constexpr int kOutbound = 18629;
  static constexpr int kInbound = 18624;
  static constexpr int kReady = 18625;
  static constexpr int kControl = 18620;
  static constexpr int kApp = 18628;
  static constexpr int kInternal = 17600;
  static constexpr int kStore = 18627;

  /// `root` is the root of the repository, `folder` a temporary folder for files.
  deployment(std::string root, std::string folder, record& log);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// Adds a machine without starting its daemon; returns its number.
  std::size_t AddMachine(const std::string& service, const std::string& zone,
                         const std::string& region);
  bool StartStore();
  store& the_store() { return *store_; }
  machine& at(std::size_t number) { return machines_[number]; }
  bool StartDaemon(std::size_t number);
  /// Sends SIGKILL and waits for the end.
  void KillDaemon(std::size_t number);
  void Signal(std::size_t number, int signal);
  /// True if the daemon of a machine ended by itself; `how` says how.
  bool HasEnded(std::size_t number, std::string& how);
  /// Asks the ready address until it answers 200.
  bool AwaitReady(std::size_t number, milliseconds limit) const;
  /// Sends one liveness report; returns the status, 0 without an answer.
  int Beat(std::size_t number, const std::string& id, const std::string& service,
           std::int64_t born, int sequence, const std::string& state, int slots,
           int port = kApp) const;
  int Deregister(std::size_t number, const std::string& id) const;
  const std::string& folder() const { return folder_; }

 private:
  std::string Settings(const machine& of) const;

  std::string root_;
  std::string folder_;
  record& log_;
  std::string prefix_;
  /// A deque, since other threads refer to machines while some are added.
  std::deque<machine> machines_;
  std::unique_ptr<store> store_;
};

/// Sends the liveness reports of one worker every 1.5 s until it is destroyed.
class heartbeat {
 public:
  heartbeat(deployment& where, std::size_t number, std::string id, int slots);
  ~heartbeat();
  heartbeat(const heartbeat&) = delete;
  heartbeat& operator=(const heartbeat&) = delete;
  std::int64_t born() const { return born_; }
  int sequence() const { return sequence_; }

 private:
  std::int64_t born_;
  std::atomic<int> sequence_{0};
  std::mutex mutex_;
  std::condition_variable wake_;
  bool ended_ = false;
  std::thread thread_;
};

struct route {
  std::string prefix;
  std::string type;
  std::string service;
  int timeout_ms = 5000;
  int attempts = 2;
};

/// A configuration in the format of the platform, for host `h.example`.
std::string Configuration(int version, const std::vector<std::string>& services,
                          const std::vector<route>& routes);

std::int64_t UnixMs();
void Sleep(milliseconds time);
/// True unless the environment variable TROUBLE is 0.
bool HasTrouble();
/// Printable form of bytes that may hold anything, cut to 100.
std::string Printable(std::string_view bytes);

}  // namespace review
