#include "tests/process/raw_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string_view>
#include <thread>
#include <vector>

namespace bronzeroute::testing {
namespace {

constexpr std::size_t kBlock = 65'536;
constexpr int kReadLimitSeconds = 60;

class digest {
 public:
  digest() { XXH64_reset(state_, 0); }
  ~digest() { XXH64_freeState(state_); }
  digest(const digest&) = delete;
  digest& operator=(const digest&) = delete;

  void Add(const void* data, std::size_t size) { XXH64_update(state_, data, size); }
  std::string Text() const {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64_digest(state_)));
    return text.data();
  }

 private:
  XXH64_state_t* state_ = XXH64_createState();
};

class connection {
 public:
  connection(const std::string& address, std::int64_t read_rate)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)), read_rate_(read_rate) {
    if (read_rate_ > 0) {
      const int size = kBlock;
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    }
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const timeval limit{.tv_sec = kReadLimitSeconds, .tv_usec = 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    open_ = connect(fd_, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0;
  }
  ~connection() { close(fd_); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool is_open() const { return open_; }
  std::string_view error() const { return error_; }

  bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Reads at most `limit` bytes; returns an empty view at the end of the connection.
  std::string_view Read(std::size_t limit) {
    if (begin_ == end_) {
      const ssize_t count = recv(fd_, block_.data(), block_.size(), 0);
      if (count < 0) error_ = std::strerror(errno);
      if (read_rate_ > 0 && count > 0) {
        std::this_thread::sleep_for(std::chrono::microseconds(1'000'000 * count / read_rate_));
      }
      begin_ = 0;
      end_ = count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    const std::size_t size = std::min(limit, end_ - begin_);
    const std::string_view result(block_.data() + begin_, size);
    begin_ += size;
    return result;
  }

  /// Reads a line and removes its line end; false if the connection ends first.
  bool ReadLine(std::string& line) {
    line.clear();
    while (true) {
      const std::string_view one = Read(1);
      if (one.empty()) {
        return false;
      }
      if (one[0] == '\n') {
        return true;
      }
      if (one[0] != '\r') {
        line += one[0];
      }
    }
  }

 private:
  int fd_;
  std::int64_t read_rate_;
  bool open_ = false;
  std::string error_ = "end of the connection";
  std::vector<char> block_ = std::vector<char>(kBlock);
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
};

bool ReadBody(connection& from, std::int64_t bytes, raw_response& response, digest& hash) {
  while (bytes > 0) {
    const std::string_view part = from.Read(static_cast<std::size_t>(bytes));
    if (part.empty()) {
      return false;
    }
    hash.Add(part.data(), part.size());
    response.body_bytes += static_cast<std::int64_t>(part.size());
    bytes -= static_cast<std::int64_t>(part.size());
  }
  return true;
}

bool ReadChunks(connection& from, raw_response& response, digest& hash) {
  std::string line;
  while (from.ReadLine(line)) {
    const std::int64_t size = std::strtoll(line.c_str(), nullptr, 16);
    if (size == 0) {
      return !line.empty() && line[0] == '0' && from.ReadLine(line);
    }
    if (!ReadBody(from, size, response, hash) || !from.ReadLine(line)) {
      return false;
    }
  }
  return false;
}

bool ReadHead(connection& from, raw_response& response) {
  std::string line;
  if (!from.ReadLine(line) || line.size() < 12) {
    return false;
  }
  response.status = std::atoi(line.substr(9, 3).c_str());
  while (from.ReadLine(line)) {
    if (line.empty()) {
      return true;
    }
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char character) {
      return static_cast<char>(std::tolower(character));
    });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    response.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return false;
}

}  // namespace

std::string raw_response::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

raw_response SendRaw(const std::string& address, const raw_request& request) {
  raw_response response;
  connection link(address, request.read_rate);
  response.connected = link.is_open();
  if (!response.connected) {
    return response;
  }
  std::ostringstream head;
  head << request.method << " " << request.path << " HTTP/1.1\r\nHost: " << address
       << "\r\nConnection: close\r\n";
  for (const auto& [name, value] : request.headers) {
    head << name << ": " << value << "\r\n";
  }
  if (request.method != "GET") {
    head << "Content-Length: " << request.body_bytes << "\r\n";
  }
  head << "\r\n";
  bool writable = link.Write(head.str());
  digest sent;
  std::string block(kBlock, '\0');
  for (std::int64_t at = 0; writable && at < request.body_bytes;) {
    const auto size = static_cast<std::size_t>(
        std::min<std::int64_t>(static_cast<std::int64_t>(kBlock), request.body_bytes - at));
    // Each block has a different content, so that a lost or reordered block changes the digest.
    std::fill_n(block.begin(), size, static_cast<char>(at / static_cast<std::int64_t>(kBlock)));
    sent.Add(block.data(), size);
    // A write error is not final: a refusal may have arrived before the whole body was sent.
    writable = link.Write({block.data(), size});
    at += static_cast<std::int64_t>(size);
  }
  response.sent_hash = sent.Text();
  digest received;
  if (ReadHead(link, response)) {
    if (response.Header("transfer-encoding") == "chunked") {
      response.complete = ReadChunks(link, response, received);
    } else {
      response.complete = ReadBody(link, std::atoll(response.Header("content-length").c_str()),
                                   response, received);
    }
  }
  if (!response.complete) {
    response.error = (response.status == 0 ? "before the head, " : "after the head, ") +
                     std::string(writable ? "all sent, " : "not all sent, ") +
                     std::string(link.error());
  }
  response.received_hash = received.Text();
  return response;
}

}  // namespace bronzeroute::testing
