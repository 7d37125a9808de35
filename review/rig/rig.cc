#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 65536;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

std::string Trimmed(const std::string& text) {
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::string ReadFile(const std::string& name) {
  const std::ifstream input(name);
  std::stringstream text;
  text << input.rdbuf();
  return text.str();
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string Base64(const std::string& from) {
  constexpr std::string_view kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string result;
  for (std::size_t i = 0; i < from.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < from.size() ? static_cast<unsigned char>(from[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const std::size_t letter = group >> (18 - 6 * k) & 63U;
      result += i + k > from.size() ? '=' : kLetters[letter];
    }
  }
  return result;
}

void AddNumber(std::uint64_t number, int bytes, std::string& to) {
  for (int i = bytes - 1; i >= 0; --i) {
    to += static_cast<char>(number >> (8 * static_cast<unsigned>(i)) & 0xffU);
  }
}

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return {};
  std::stringstream rest(target.substr(mark + 1));
  std::string part;
  while (std::getline(rest, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return {};
}

void Replace(const std::string& from, const std::string& to, std::string& text) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    text.replace(at, from.size(), to);
    at += to.size();
  }
}

}  // namespace

record::record(const std::string& file)
    : file_(open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

void record::Add(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const double seconds = std::chrono::duration<double>(steady::now() - start_).count();
  std::array<char, 32> stamp{};
  std::snprintf(stamp.data(), stamp.size(), "%8.3f  ", seconds);
  const std::string text = std::string(stamp.data()) + line + "\n";
  std::cout << text << std::flush;
  if (file_ >= 0 && write(file_, text.data(), text.size()) < 0) file_ = -1;
}

std::string head::Field(const std::string& lower_name) const {
  const auto found = fields.find(lower_name);
  return found == fields.end() ? std::string() : found->second;
}

socket_stream::~socket_stream() { Close(); }

void socket_stream::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void socket_stream::Reset() {
  if (fd_ < 0) return;
  const linger hard{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  Close();
}

void socket_stream::Shutdown() const {
  if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
}

void socket_stream::SetReadLimit(milliseconds limit) const {
  const timeval value{.tv_sec = limit.count() / 1000, .tv_usec = limit.count() % 1000 * 1000};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool socket_stream::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t count = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool socket_stream::Fill() {
  if (fd_ < 0) return false;
  const std::size_t before = buffer_.size();
  buffer_.resize(before + kReadBytes);
  const ssize_t count = recv(fd_, buffer_.data() + before, kReadBytes, 0);
  buffer_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  return count > 0;
}

bool socket_stream::ReadLine(std::string& line) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill()) return false;
    end = buffer_.find("\r\n");
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool socket_stream::ReadHead(head& into) {
  into = {};
  std::string line;
  if (!ReadLine(line)) return false;
  std::stringstream first(line);
  if (line.rfind("HTTP/", 0) == 0) {
    std::string version;
    first >> version >> into.status;
  } else {
    first >> into.method >> into.target;
  }
  while (ReadLine(line)) {
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    into.fields[Lower(line.substr(0, colon))] = Trimmed(line.substr(colon + 1));
  }
  return false;
}

bool socket_stream::ReadBytes(std::size_t count, std::string& into) {
  while (buffer_.size() < count) {
    if (!Fill()) return false;
  }
  into.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool socket_stream::ReadBody(const head& from, std::string& into) {
  if (from.Has("transfer-encoding")) {
    for (;;) {
      std::string line;
      if (!ReadLine(line)) return false;
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size > 0 && !ReadBytes(size, into)) return false;
      if (!ReadLine(line)) return false;
      if (size == 0) return true;
    }
  }
  if (from.Has("content-length")) {
    const std::string length = from.Field("content-length");
    return ReadBytes(std::strtoul(length.c_str(), nullptr, 10), into);
  }
  if (from.status == 0) return true;
  while (Fill()) {
  }
  into += std::exchange(buffer_, {});
  return true;
}

std::shared_ptr<socket_stream> Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Address(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return std::make_shared<socket_stream>(-1);
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_shared<socket_stream>(fd);
}

listener::listener(const std::string& ip, int port, handler serve) : serve_(std::move(serve)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Address(ip, port);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd_, 1024) != 0) {
    close(fd_);
    fd_ = -1;
    return;
  }
  thread_ = std::thread([this] { Run(); });
}

listener::~listener() {
  ended_ = true;
  if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
  if (thread_.joinable()) thread_.join();
  for (const auto& stream : streams_) stream->Shutdown();
  for (std::thread& thread : threads_) thread.join();
  if (fd_ >= 0) close(fd_);
}

void listener::Run() {
  while (!ended_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto stream = std::make_shared<socket_stream>(fd);
    const std::scoped_lock lock(mutex_);
    streams_.push_back(stream);
    threads_.emplace_back([this, stream] {
      serve_(stream);
      // The descriptor stays valid for Shutdown until the listener ends.
      stream->Shutdown();
    });
  }
}

store::store(const std::string& ip, int port)
    : listener_(std::make_unique<listener>(
          ip, port, [this](const std::shared_ptr<socket_stream>& stream) { Serve(*stream); })) {
}

void store::Put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::scoped_lock lock(mutex_);
  topics_[topic].rows.emplace_back(key, value);
  changed_.notify_all();
}

void store::Serve(socket_stream& stream) {
  head request;
  while (stream.ReadHead(request)) {
    std::string body;
    if (!stream.ReadBody(request, body)) return;
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string topic = Query(request.target, "topic");
    std::string type = "application/json";
    std::string answer = "{}";
    if (path == "/api/log-append") {
      answer = Append(topic, body);
    } else if (path == "/api/log-read") {
      const std::size_t from = std::strtoul(Query(request.target, "from").c_str(), nullptr, 10);
      const std::int64_t wait =
          std::strtol(Query(request.target, "waitMs").c_str(), nullptr, 10);
      answer = Read(topic, from, milliseconds(wait));
      type = "application/octet-stream";
    } else if (path == "/api/log-newest") {
      answer = Newest(topic);
    }
    std::string response = "HTTP/1.1 200 OK\r\nContent-Type: ";
    response += type;
    response += "\r\nContent-Length: ";
    response += std::to_string(answer.size());
    response += "\r\n\r\n";
    response += answer;
    if (!stream.Write(response)) return;
  }
}

std::string store::Append(const std::string& topic, std::string_view body) {
  const std::scoped_lock lock(mutex_);
  auto& rows = topics_[topic].rows;
  const std::size_t first = rows.size();
  while (body.size() >= 5) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(body[i]);
    const std::size_t key = static_cast<unsigned char>(body[4]);
    rows.emplace_back(std::string(body.substr(5, key)),
                      std::string(body.substr(5 + key, size - 1 - key)));
    body.remove_prefix(4 + size);
  }
  changed_.notify_all();
  return "{\"offset\":" + std::to_string(first) + ",\"end\":" + std::to_string(rows.size()) +
         "}";
}

std::string store::Read(const std::string& topic, std::size_t from, milliseconds wait) {
  std::unique_lock lock(mutex_);
  auto& rows = topics_[topic].rows;
  changed_.wait_for(lock, wait, [&] { return rows.size() > from; });
  std::string result;
  AddNumber(rows.size(), 8, result);
  AddNumber(0, 8, result);
  for (std::size_t i = from; i < rows.size(); ++i) {
    AddNumber(1 + rows[i].first.size() + rows[i].second.size(), 4, result);
    AddNumber(rows[i].first.size(), 1, result);
    result += rows[i].first + rows[i].second;
  }
  return result;
}

std::string store::Newest(const std::string& topic) {
  const std::scoped_lock lock(mutex_);
  const auto& rows = topics_[topic].rows;
  std::map<std::string, std::size_t> newest;
  for (std::size_t i = 0; i < rows.size(); ++i) newest[rows[i].first] = i;
  std::string items;
  for (const auto& [key, offset] : newest) {
    items += (items.empty() ? std::string() : std::string(",")) + R"({"key":")" + key +
             R"(","value":")" + Base64(rows[offset].second) + R"(","offset":)" +
             std::to_string(offset) + "}";
  }
  return "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(rows.size()) +
         "}";
}

deployment::deployment(std::string root, std::string folder, record& log)
    : root_(std::move(root)), folder_(std::move(folder)), log_(log) {
  std::signal(SIGPIPE, SIG_IGN);
  // An own part of the loopback range for each run, so that all its ports are free.
  const auto run = static_cast<unsigned>(getpid());
  prefix_ =
      "127." + std::to_string(64 + run / 250 % 128) + "." + std::to_string(run % 250) + ".";
}

deployment::~deployment() {
  for (std::size_t i = 0; i < machines_.size(); ++i) KillDaemon(i);
}

std::size_t deployment::AddMachine(const std::string& service, const std::string& zone,
                                   const std::string& region) {
  machine added;
  added.ip = prefix_ + std::to_string(machines_.size() + 1);
  added.zone = zone;
  added.region = region;
  added.service = service;
  machines_.push_back(added);
  return machines_.size() - 1;
}

bool deployment::StartStore() {
  store_ = std::make_unique<store>(prefix_ + "250", kStore);
  return store_->ok();
}

// The template of the deploy file with the fields that the platform would fill in.
std::string deployment::Settings(const machine& of) const {
  std::string text = ReadFile(root_ + "/deploy/settings.toml");
  const auto address = [&](int port) { return of.ip + ":" + std::to_string(port); };
  Replace("{{region}}", of.region, text);
  Replace("{{zone}}", of.zone, text);
  Replace("{{service}}", of.service, text);
  Replace("{{listen.outbound}}", address(kOutbound), text);
  Replace("{{listen.inbound}}", address(kInbound), text);
  Replace("{{listen.control}}", address(kControl), text);
  Replace("{{listen.ready}}", address(kReady), text);
  Replace("{{ip}}:{{internalPorts.0}}", address(kInternal), text);
  Replace("{{ip}}:{{internalPorts.1}}", address(kInternal + 1), text);
  Replace("{{platform.address}}", prefix_ + "250:" + std::to_string(kStore), text);
  return text;
}

bool deployment::StartDaemon(std::size_t number) {
  machine& on = machines_[number];
  const std::string name = folder_ + "/machine-" + std::to_string(number);
  const std::string settings = name + ".conf";
  std::ofstream(settings) << Settings(on);
  // The line `run` of the deploy file, with the settings file in the temporary folder.
  const std::string deploy = ReadFile(root_ + "/deploy/system.toml");
  const std::size_t at = deploy.find("run = \"");
  if (at == std::string::npos) return false;
  std::stringstream line(deploy.substr(at + 7, deploy.find('"', at + 7) - at - 7));
  std::vector<std::string> words;
  for (std::string word; line >> word;) {
    words.push_back(word == "/etc/bronzeroute/boot.conf" ? settings : word);
  }
  const std::string output = name + ".log";
  const std::string variable = "BRONZEROUTE_CONFIG=" + settings;
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::string path = "PATH=/usr/bin:/bin";
  std::string home = "HOME=/tmp";
  std::string lang = "LANG=C";
  std::string config = variable;
  std::array<char*, 5> environment = {path.data(), home.data(), lang.data(), config.data(),
                                      nullptr};
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || chdir(root_.c_str()) != 0) _exit(127);
    const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  on.daemon = child;
  log_.Add("daemon " + std::to_string(number) + " starts on " + on.ip + ", service " +
           on.service + ", process " + std::to_string(child));
  return child > 0;
}

void deployment::KillDaemon(std::size_t number) {
  machine& on = machines_[number];
  if (on.daemon <= 0) return;
  kill(on.daemon, SIGKILL);
  waitpid(on.daemon, nullptr, 0);
  on.daemon = -1;
}

void deployment::Signal(std::size_t number, int signal) {
  if (machines_[number].daemon > 0) kill(machines_[number].daemon, signal);
}

bool deployment::HasEnded(std::size_t number, std::string& how) {
  machine& on = machines_[number];
  int status = 0;
  if (on.daemon <= 0 || waitpid(on.daemon, &status, WNOHANG) != on.daemon) return false;
  on.daemon = -1;
  how = WIFSIGNALED(status) ? std::string("signal ") + std::to_string(WTERMSIG(status)) + " (" +
                                  strsignal(WTERMSIG(status)) + ")"
                            : "exit code " + std::to_string(WEXITSTATUS(status));
  return true;
}

bool deployment::AwaitReady(std::size_t number, milliseconds limit) const {
  const auto end = steady::now() + limit;
  while (steady::now() < end) {
    const auto stream = Connect(machines_[number].ip, kReady);
    head answer;
    if (stream->is_open()) {
      stream->SetReadLimit(milliseconds(1000));
      if (stream->Write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
          stream->ReadHead(answer) && answer.status == 200) {
        return true;
      }
    }
    Sleep(milliseconds(50));
  }
  return false;
}

int deployment::Beat(std::size_t number, const std::string& id, const std::string& service,
                     std::int64_t born, int sequence, const std::string& state, int slots,
                     int port) const {
  const machine& on = machines_[number];
  const std::string body = R"({"address":")" + on.ip + ":" + std::to_string(port) +
                           R"(","born":)" + std::to_string(born) + R"(,"info":{"service":")" +
                           service + R"(","version":"v1","zone":")" + on.zone +
                           R"(","slots":)" + std::to_string(slots) +
                           R"(},"status":{"state":")" + state + R"(","sequence":)" +
                           std::to_string(sequence) + R"(,"coldLeftMs":0}})";
  const auto stream = Connect(on.ip, kControl);
  head answer;
  if (!stream->is_open()) return 0;
  stream->SetReadLimit(milliseconds(1000));
  const bool answered =
      stream->Write("POST /api/instances/" + id +
                    "/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body) &&
      stream->ReadHead(answer);
  return answered ? answer.status : 0;
}

int deployment::Deregister(std::size_t number, const std::string& id) const {
  const auto stream = Connect(machines_[number].ip, kControl);
  head answer;
  if (!stream->is_open()) return 0;
  stream->SetReadLimit(milliseconds(1000));
  const bool answered = stream->Write("POST /api/instances/" + id +
                                      "/deregister HTTP/1.1\r\nHost: x\r\nContent-Length: 0"
                                      "\r\n\r\n") &&
                        stream->ReadHead(answer);
  return answered ? answer.status : 0;
}

heartbeat::heartbeat(deployment& where, std::size_t number, std::string id, int slots)
    : born_(UnixMs()) {
  thread_ = std::thread([this, &where, number, id = std::move(id), slots] {
    std::unique_lock lock(mutex_);
    while (!ended_) {
      const int sequence = ++sequence_;
      lock.unlock();
      const int status =
          where.Beat(number, id, where.at(number).service, born_, sequence, "ready", slots);
      lock.lock();
      // Without an answer the worker tries again soon, as while its daemon starts.
      wake_.wait_for(lock, milliseconds(status == 200 ? 1500 : 100), [this] { return ended_; });
    }
  });
}

heartbeat::~heartbeat() {
  {
    const std::scoped_lock lock(mutex_);
    ended_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

std::string Configuration(int version, const std::vector<std::string>& services,
                          const std::vector<route>& routes) {
  std::string rules;
  for (const route& each : routes) {
    rules += (rules.empty() ? std::string() : std::string(",")) + R"({"name":"r-)" +
             std::to_string(rules.size()) + R"(","routeType":")" + each.type +
             R"(","targetLatencyMs":1000,"priority":1,"match":{"pathPrefix":")" + each.prefix +
             R"("},"action":{"service":")" + each.service + R"(","timeoutMs":)" +
             std::to_string(each.timeout_ms) + R"(,"attempts":)" +
             std::to_string(each.attempts) + "}}";
  }
  std::string clusters;
  for (const std::string& service : services) {
    clusters +=
        (clusters.empty() ? std::string() : std::string(",")) + R"({"name":")" + service +
        R"(","healthPath":"/healthz","maxConnections":260,"protocol":"h1","tls":false})";
  }
  return R"({"version":"r)" + std::to_string(version) +
         R"(","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"baseVersion":"r0","listeners":[{"host":"h.example",)"
         R"("routeRules":[)" +
         rules + R"(]}],"clusters":[)" + clusters + "]}";
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Sleep(milliseconds time) { std::this_thread::sleep_for(time); }

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

std::string Printable(std::string_view bytes) {
  std::string result;
  for (const char letter : bytes.substr(0, 100)) {
    const bool plain = letter >= ' ' && letter <= '~';
    result += plain ? letter : '.';
  }
  return result;
}

}  // namespace review
