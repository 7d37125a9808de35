// A small deployment for the cases of review 2: a store, workers and clients of the users'
// platform as threads of this process, around real daemons that are started with the command of
// the deploy file.
//
// Usage: harness SCENARIO CASE_FOLDER. Exit code: 0 the rule held, 1 it was broken, 2 cannot
// run. With TROUBLE=0 in the environment the disruption is left out.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/inotify.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;
using std::string;
using std::chrono::milliseconds;

const clock_type::time_point kStart = clock_type::now();

// The figures of the small sites (`gelonor-mesh`): "Bounds" of SYSTEM.md and `heartbeatMs` of
// DEPLOY.md.
constexpr int kDrainMs = 2000;
constexpr int kBeatMs = 1500;
constexpr int kStabilityWindowMs = 3000;
constexpr int kSlots = 6;

int NowMs() {
  return static_cast<int>(
      std::chrono::duration_cast<milliseconds>(clock_type::now() - kStart).count());
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int ms) {
  if (ms > 0) std::this_thread::sleep_for(milliseconds(ms));
}

std::mutex record_mutex;
FILE* record_file = nullptr;

__attribute__((format(printf, 1, 2))) void Record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  fprintf(record_file, "%7d ", NowMs());
  va_list arguments;
  va_start(arguments, format);
  vfprintf(record_file, format, arguments);
  va_end(arguments);
  fputc('\n', record_file);
  fflush(record_file);
}

[[noreturn]] void CannotRun(const string& why) {
  Record("cannot run: %s", why.c_str());
  std::cerr << "cannot run: " << why << "\n";
  throw 2;
}

// --- sockets and HTTP

struct address {
  string ip = "127.0.0.1";
  int port = 0;
  string Text() const { return ip + ":" + std::to_string(port); }
};

sockaddr_in Native(const address& from) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(from.port));
  inet_pton(AF_INET, from.ip.c_str(), &result.sin_addr);
  return result;
}

// A port that is free for TCP and UDP, below those that the kernel gives to outgoing
// connections. Each is given out once. Each run has a loopback address of its own, so that runs
// don't take each other's ports.
address FreeAddress() {
  static const string ip = "127." + std::to_string(1 + getpid() / 250 % 250) + "." +
                           std::to_string(getpid() % 250) + ".1";
  static int next = 20000;
  while (next < 30000) {
    const address result{.ip = ip, .port = next++};
    const sockaddr_in native = Native(result);
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool is_free =
        bind(tcp, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0 &&
        bind(udp, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0;
    close(tcp);
    close(udp);
    if (is_free) return result;
  }
  CannotRun("no free port");
}

using fields = std::vector<std::pair<string, string>>;

struct message {
  string first;  // "GET /x HTTP/1.1", or the status line
  fields headers;
  string body;
  string Field(const char* name) const {
    for (const auto& [known, value] : headers) {
      if (strcasecmp(known.c_str(), name) == 0) return value;
    }
    return {};
  }
  string Method() const { return first.substr(0, first.find(' ')); }
  string Target() const {
    const auto begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
  int Status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

bool WriteAll(int fd, const string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) return false;
    done += static_cast<std::size_t>(count);
  }
  return true;
}

// Reads more bytes; false at the end, on an error or when `until_ms` (NowMs) has passed.
bool ReadMore(int fd, string& buffer, int until_ms) {
  pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
  const int wait = until_ms < 0 ? -1 : std::max(0, until_ms - NowMs());
  if (poll(&entry, 1, wait) <= 0) return false;
  char bytes[16384];
  const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

// Reads one message; bytes of the next one stay in `buffer`.
std::optional<message> ReadMessage(int fd, string& buffer, int until_ms, bool is_response) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == string::npos) {
    if (!ReadMore(fd, buffer, until_ms)) return std::nullopt;
  }
  message result;
  std::istringstream head(buffer.substr(0, end));
  string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (result.first.empty()) {
      result.first = line;
      continue;
    }
    const auto colon = line.find(':');
    if (colon == string::npos) return std::nullopt;
    string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    result.headers.emplace_back(line.substr(0, colon), value);
  }
  buffer.erase(0, end + 4);
  if (strcasecmp(result.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buffer.find("\r\n")) == string::npos) {
        if (!ReadMore(fd, buffer, until_ms)) return std::nullopt;
      }
      const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line_end + 2 + size + 2) {
        if (!ReadMore(fd, buffer, until_ms)) return std::nullopt;
      }
      result.body += buffer.substr(line_end + 2, size);
      buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) return result;
    }
  }
  const string length = result.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
  if (is_response && length.empty() && result.Status() != 204) return std::nullopt;
  while (buffer.size() < size) {
    if (!ReadMore(fd, buffer, until_ms)) return std::nullopt;
  }
  result.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return result;
}

string Encode(const string& first, const fields& headers, const string& body,
              bool with_length) {
  string text = first + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (with_length) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

struct response {
  int status = 200;
  fields headers;
  string body;
  bool closes = false;
};

// An HTTP server with a thread for each connection.
class http_service {
 public:
  using handler = std::function<response(const message&)>;
  http_service(const address& at, handler handle) : at_(at), handle_(std::move(handle)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in native = Native(at_);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&native), sizeof native) != 0 ||
        listen(listener_, 256) != 0) {
      CannotRun("cannot listen on " + at_.Text());
    }
    std::thread([this] { Accept(); }).detach();
  }
  const address& at() const { return at_; }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        string buffer;
        while (auto request = ReadMessage(fd, buffer, -1, false)) {
          response answer = handle_(*request);
          if (answer.status == 0) {
            const linger reset{.l_onoff = 1, .l_linger = 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            break;
          }
          if (answer.closes) answer.headers.emplace_back("Connection", "close");
          const string first = "HTTP/1.1 " + std::to_string(answer.status) + " Status";
          if (!WriteAll(fd, Encode(first, answer.headers, answer.body, true)) ||
              answer.closes) {
            break;
          }
        }
        close(fd);
      }).detach();
    }
  }
  address at_;
  handler handle_;
  int listener_ = -1;
};

int Connect(const address& to, int until_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in native = Native(to);
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&native), sizeof native) != 0) {
    pollfd entry{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof error;
    if (error != 0 || poll(&entry, 1, std::max(0, until_ms - NowMs())) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, flags);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

// One request on a connection of its own; nothing if there was no whole answer in time.
std::optional<message> Call(const address& to, const string& first, const fields& headers,
                            const string& body, int patience_ms) {
  const int until = NowMs() + patience_ms;
  const int fd = Connect(to, until);
  if (fd < 0) return std::nullopt;
  std::optional<message> answer;
  string buffer;
  if (WriteAll(fd, Encode(first, headers, body, !body.empty()))) {
    answer = ReadMessage(fd, buffer, until, true);
  }
  close(fd);
  return answer;
}

// --- the platform's store

string BigEndian(std::uint64_t value, int size) {
  string text;
  for (int i = size - 1; i >= 0; --i) text += static_cast<char>(value >> (8 * i) & 0xff);
  return text;
}

string Base64(const string& bytes) {
  static const char* kLetters =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group =
          group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kLetters[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

class store {
 public:
  store()
      : service_(FreeAddress(), [this](const message& request) { return Handle(request); }) {}
  const address& at() const { return service_.at(); }

  void Put(const string& topic, const string& key, const string& value) {
    const std::lock_guard lock(mutex_);
    auto& records = topics_[topic];
    records.emplace_back(key, value);
    changed_.notify_all();
  }

 private:
  static string Parameter(const string& target, const string& name) {
    auto at = target.find("?" + name + "=");
    if (at == string::npos) at = target.find("&" + name + "=");
    if (at == string::npos) return {};
    at += name.size() + 2;
    return target.substr(at, target.find('&', at) - at);
  }

  response Handle(const message& request) {
    SleepMs(4);
    const string target = request.Target();
    const string path = target.substr(0, target.find('?'));
    const string topic = Parameter(target, "topic");
    if (path == "/api/log-append") return Append(topic, request.body);
    if (path == "/api/log-newest") return Newest(topic);
    if (path == "/api/log-read") {
      return Read(topic, std::strtoul(Parameter(target, "from").c_str(), nullptr, 10),
                  std::atoi(Parameter(target, "waitMs").c_str()));
    }
    return {.status = 404, .headers = {}, .body = "{}"};
  }

  response Append(const string& topic, const string& body) {
    if (topic == "keyed.op" || topic == "keyed.servers")
      return {.status = 403, .headers = {}, .body = "{}"};
    const std::lock_guard lock(mutex_);
    auto& records = topics_[topic];
    const std::size_t offset = records.size();
    std::size_t at = 0;
    while (at + 4 <= body.size()) {
      std::uint32_t size = 0;
      for (int i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(body[at + i]);
      const auto key_size = static_cast<unsigned char>(body[at + 4]);
      records.emplace_back(body.substr(at + 5, key_size),
                           body.substr(at + 5 + key_size, size - 1 - key_size));
      at += 4 + size;
    }
    changed_.notify_all();
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = "{\"offset\":" + std::to_string(offset) +
                    ",\"end\":" + std::to_string(records.size()) + "}"};
  }

  response Newest(const string& topic) {
    const std::lock_guard lock(mutex_);
    const auto& records = topics_[topic];
    std::map<string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      if (records[i].second.empty()) {
        newest.erase(records[i].first);
      } else {
        newest[records[i].first] = i;
      }
    }
    string items;
    for (const auto& [key, offset] : newest) {
      items += string(items.empty() ? "" : ",") + "{\"key\":\"" + key + "\",\"value\":\"" +
               Base64(records[offset].second) + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = "{\"items\":[" + items +
                    "],\"more\":false,\"end\":" + std::to_string(records.size()) + "}"};
  }

  response Read(const string& topic, std::size_t from, int wait_ms) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, milliseconds(wait_ms),
                      [&] { return topics_[topic].size() > from; });
    const auto& records = topics_[topic];
    string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
      const auto& [key, value] = records[i];
      body +=
          BigEndian(1 + key.size() + value.size(), 4) + BigEndian(key.size(), 1) + key + value;
    }
    return {
        .status = 200, .headers = {{"Content-Type", "application/octet-stream"}}, .body = body};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<string, std::vector<std::pair<string, string>>> topics_;
  http_service service_;
};

// --- daemons

struct machine {
  string name;
  string zone = "rec-a";
  string service;
  address outbound, inbound, ready, control, membership, admin, app;
};

machine NewMachine(const string& name, const string& service) {
  machine result;
  result.name = name;
  result.service = service;
  for (address* each : {&result.outbound, &result.inbound, &result.ready, &result.control,
                        &result.membership, &result.admin, &result.app}) {
    *each = FreeAddress();
  }
  return result;
}

string folder;  // for settings and logs, removed at the end
std::mutex children_mutex;
std::vector<pid_t> children;

// Fills in the template of the deploy file.
string Settings(const machine& of, const string& service, const store& log) {
  std::ifstream input("deploy/settings.toml");
  std::stringstream text;
  text << input.rdbuf();
  string result = text.str();
  if (result.empty()) CannotRun("deploy/settings.toml cannot be read");
  const std::pair<string, string> values[] = {
      {"region", "recife"},
      {"zone", of.zone},
      {"service", service},
      {"listen.outbound", of.outbound.Text()},
      {"listen.inbound", of.inbound.Text()},
      {"listen.control", of.control.Text()},
      {"listen.ready", of.ready.Text()},
      {"{{ip}}:{{internalPorts.0}}", of.membership.Text()},
      {"{{ip}}:{{internalPorts.1}}", of.admin.Text()},
      {"platform.address", log.at().Text()},
  };
  for (const auto& [name, value] : values) {
    const string mark = name[0] == '{' ? name : "{{" + name + "}}";
    for (auto at = result.find(mark); at != string::npos; at = result.find(mark)) {
      result.replace(at, mark.size(), value);
    }
  }
  if (result.find("{{") != string::npos)
    CannotRun("the template has a name that is not known here");
  return result;
}

// Replaces the file as a whole, so that no reader sees a part of it.
void WriteFile(const string& path, const string& text) {
  std::ofstream(path + ".new") << text;
  rename((path + ".new").c_str(), path.c_str());
}

class daemon_process {
 public:
  daemon_process(const machine& at, const store& log)
      : at_(at), log_(log), file_(folder + "/" + at.name + ".conf") {
    WriteFile(file_, Settings(at_, at_.service, log_));
  }
  const machine& at() const { return at_; }
  const string& file() const { return file_; }
  pid_t pid() const { return pid_; }

  void Start() {
    const string output = folder + "/" + at_.name + ".log";
    const char* const program = "target/bin/bronzerouted-platform";
    if (access(program, X_OK) != 0) CannotRun("target/bin/bronzerouted-platform is not built");
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      const string variable = "BRONZEROUTE_CONFIG=" + file_;
      const char* arguments[] = {program, "--settings", file_.c_str(), nullptr};
      const char* environment[] = {variable.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp",
                                   "LANG=C.UTF-8", nullptr};
      execve(program, const_cast<char**>(arguments), const_cast<char**>(environment));
      _exit(127);
    }
    const std::lock_guard lock(children_mutex);
    children.push_back(pid_);
    Record("daemon %s starts, process %d", at_.name.c_str(), pid_);
  }

  void Signal(int number) const { kill(pid_, number); }

  void Kill() {
    Signal(SIGKILL);
    Wait();
    Record("daemon %s killed", at_.name.c_str());
  }

  void Wait() {
    waitpid(pid_, nullptr, 0);
    const std::lock_guard lock(children_mutex);
    std::erase(children, pid_);
  }

  bool HasEnded() const { return waitpid(pid_, nullptr, WNOHANG) != 0; }

  bool AwaitReady(int patience_ms) const {
    const int until = NowMs() + patience_ms;
    while (NowMs() < until) {
      const auto answer =
          Call(at_.ready, "GET /api/readyz HTTP/1.1", {{"Host", "ready"}}, "", 500);
      if (answer && answer->Status() == 200) return true;
      SleepMs(20);
    }
    return false;
  }

 private:
  machine at_;
  const store& log_;
  string file_;
  pid_t pid_ = -1;
};

// --- workers

struct arrival {
  int at_ms = 0;
  string id;
  string caller_service;
  int status = 0;
  string tenant;
  string key;
};

class worker {
 public:
  worker(const machine& at, string id, int work_ms)
      : at_(at),
        id_(std::move(id)),
        work_ms_(work_ms),
        service_(at.app, [this](const message& request) { return Handle(request); }) {}

  const string& id() const { return id_; }
  std::int64_t born() const { return born_; }
  const machine& at() const { return at_; }
  bool is_leaving() const { return is_leaving_; }

  // A liveness report; true if it was acknowledged within a second.
  bool Beat() {
    const std::lock_guard lock(beat_mutex_);
    const string body = Report(++sequence_, is_leaving_ ? "draining" : "ready");
    const bool acknowledged = Send("heartbeat", body);
    Record("worker %s: report %d %s, %s", id_.c_str(), sequence_,
           is_leaving_ ? "draining" : "ready",
           acknowledged ? "acknowledged" : "not acknowledged");
    return acknowledged;
  }
  int sequence() const { return sequence_; }

  string Report(int sequence, const string& state) const {
    return "{\"address\":\"" + at_.app.Text() + "\",\"born\":" + std::to_string(born_) +
           ",\"info\":{\"service\":\"" + at_.service + "\",\"version\":\"v1\",\"zone\":\"" +
           at_.zone + "\",\"slots\":" + std::to_string(kSlots) + "},\"status\":{\"state\":\"" +
           state + "\",\"sequence\":" + std::to_string(sequence) + ",\"coldLeftMs\":0}}";
  }

  bool Deregister() {
    const bool acknowledged = Send("deregister", "{\"born\":" + std::to_string(born_) + "}");
    Record("worker %s: deregister, %s", id_.c_str(),
           acknowledged ? "acknowledged" : "not acknowledged");
    return acknowledged;
  }

  bool Send(const string& call, const string& body) const {
    const auto answer =
        ::Call(at_.control, "POST /api/instances/" + id_ + "/" + call + " HTTP/1.1",
               {{"Host", "control"}, {"Content-Type", "application/json"}}, body, 1000);
    return answer && answer->Status() / 100 == 2;
  }

  void StartBeats() {
    std::thread([this] {
      while (!ended_) {
        if (!beats_paused_) Beat();
        const int next = NowMs() + kBeatMs;
        while (!ended_ && NowMs() < next) SleepMs(20);
      }
    }).detach();
  }
  void PauseBeats() { beats_paused_ = true; }
  void ResumeBeats() { beats_paused_ = false; }
  void BeginLeaving() { is_leaving_ = true; }
  void End() { ended_ = true; }
  /// Resets the connections of this share of the requests, without running them.
  void Fail(double share) { fail_share_ = share; }

  std::vector<arrival> Arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  response Handle(const message& request) {
    const int at = NowMs();
    const string id = request.Field("Attempt-Id");
    const string expected = request.Field("Expected-Instance");
    const bool is_other = !expected.empty() && expected != id_;
    const int status = is_other ? 421 : id.empty() ? 400 : 200;
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back({at, id, request.Field("Caller-Service"), status,
                           request.Field("Tenant"), request.Field("X-Api-Key")});
    }
    Record("worker %s: request %s arrives, Caller-Service %s, Tenant '%s', status %d",
           id_.c_str(), id.c_str(), request.Field("Caller-Service").c_str(),
           request.Field("Tenant").c_str(), status);
    if (status != 200) {
      return {.status = status,
              .headers = {{"Not-Executed", "1"}, {"Instance-Id", id_}},
              .body = ""};
    }
    if (random() < fail_share_ * RAND_MAX) {
      Record("worker %s: resets %s", id_.c_str(), id.c_str());
      return {.status = 0, .headers = {}, .body = {}};
    }
    const int running = ++running_;
    SleepMs(work_ms_);
    --running_;
    return {.status = 200,
            .headers = {{"Attempt-Id", id},
                        {"Response-Seal", "3e1b.07." + id},
                        {"Server-Load",
                         std::to_string(running) + ",0," + std::to_string(kSlots) + ",100"}},
            .body = "answer to " + id,
            .closes = is_leaving_};
  }

  machine at_;
  string id_;
  int work_ms_;
  std::int64_t born_ = UnixMs();
  std::mutex beat_mutex_;
  int sequence_ = 0;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> beats_paused_ = false;
  std::atomic<double> fail_share_ = 0;
  std::atomic<int> running_ = 0;
  mutable std::mutex mutex_;
  std::vector<arrival> arrivals_;
  http_service service_;
};

// --- clients

struct sent_request {
  string id;
  string machine;
  int at_ms = 0;
  int answered_ms = 0;
  int status = 0;  // 0: no whole answer
};

class client {
 public:
  client(const machine& at, string host, string prefix, int gap_ms)
      : at_(at), host_(std::move(host)), prefix_(std::move(prefix)), gap_ms_(gap_ms) {}

  void Start() {
    thread_ = std::thread([this] {
      while (!ended_) {
        std::thread([this, number = ++number_] { SendOne(number); }).detach();
        SleepMs(gap_ms_);
      }
    });
  }
  void End() {
    ended_ = true;
    if (thread_.joinable()) thread_.join();
    SleepMs(1200);
  }
  std::vector<sent_request> Sent() const {
    const std::lock_guard lock(mutex_);
    return sent_;
  }

 private:
  void SendOne(int number) {
    sent_request row;
    row.id = at_.name + "-" + std::to_string(number);
    row.machine = at_.name;
    row.at_ms = NowMs();
    Record("client of %s: sends %s", at_.name.c_str(), row.id.c_str());
    const auto answer =
        Call(at_.outbound, "GET " + prefix_ + std::to_string(number) + " HTTP/1.1",
             {{"Host", host_}, {"Attempt-Id", row.id}, {"Deadline-Ms", "1000"}}, "", 1100);
    row.answered_ms = NowMs();
    row.status = answer ? answer->Status() : 0;
    Record("client of %s: %s is answered with %d", at_.name.c_str(), row.id.c_str(),
           row.status);
    const std::lock_guard lock(mutex_);
    sent_.push_back(row);
  }

  machine at_;
  string host_;
  string prefix_;
  int gap_ms_;
  std::atomic<bool> ended_ = false;
  std::atomic<int> number_ = 0;
  std::thread thread_;
  mutable std::mutex mutex_;
  std::vector<sent_request> sent_;
};

// --- a deployment: two services, a daemon beside each worker

string Configuration(int version, const string& tenants = "") {
  const auto route = [](const char* name, const char* kind, const char* prefix,
                        const char* service) {
    return string("{\"name\":\"") + name + "\",\"routeType\":\"" + kind +
           "\",\"targetLatencyMs\":250,\"priority\":2,\"match\":{\"pathPrefix\":\"" + prefix +
           "\"},\"action\":{\"service\":\"" + service +
           "\",\"timeoutMs\":1000,\"attempts\":2}}";
  };
  const auto cluster = [](const char* name) {
    return string("{\"name\":\"") + name +
           "\",\"healthPath\":\"/"
           "healthz\",\"maxConnections\":260,\"protocol\":\"h1\",\"tls\":false}";
  };
  return "{\"version\":\"r" + std::to_string(version) +
         "\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
         "\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000}," +
         tenants + "\"listeners\":[{\"host\":\"shop.example\",\"routeRules\":[" +
         route("r-stock", "safe", "/stock/", "estoque") + "," +
         route("r-order", "unsafe", "/order/", "pedidos") + "]}],\"clusters\":[" +
         cluster("estoque") + "," + cluster("pedidos") + "]}";
}

constexpr const char* kOneTenant =
    "\"tenants\":[{\"name\":\"loja\",\"apiKeys\":[\"k-loja-1\"],\"priority\":1,\"ratePerS\":"
    "200,"
    "\"burst\":200}],";

// The configuration without the route /order/.
string FirstRouteOnly(int version) {
  string result = Configuration(version);
  const auto order = result.find(",{\"name\":\"r-order\"");
  return result.erase(order, result.find("]}]", order) - order);
}

struct deployment {
  store log;
  std::vector<std::unique_ptr<daemon_process>> daemons;
  std::vector<std::unique_ptr<worker>> workers;
  std::vector<std::unique_ptr<client>> clients;

  void Add(const string& name, const string& service, int work_ms = 20) {
    const machine at = NewMachine(name, service);
    daemons.push_back(std::make_unique<daemon_process>(at, log));
    workers.push_back(std::make_unique<worker>(at, "i-" + name, work_ms));
  }

  void Start(const string& tenants = "") {
    // A whole configuration instead of tenants is marked by an @.
    log.Put("keyed.op", "config",
            tenants[0] == '@' ? tenants.substr(1) : Configuration(5, tenants));
    for (const auto& each : daemons) each->Start();
    for (const auto& each : daemons) {
      if (!each->AwaitReady(20000)) CannotRun("daemon " + each->at().name + " is not ready");
    }
    for (const auto& each : workers) each->StartBeats();
    SleepMs(4000);
  }

  void StartClients(int gap_ms) {
    for (const auto& each : daemons) {
      clients.push_back(
          std::make_unique<client>(each->at(), "shop.example", "/stock/", gap_ms));
      clients.back()->Start();
    }
  }

  int Served(int from_ms) const {
    int served = 0;
    for (const auto& each : clients) {
      for (const auto& row : each->Sent())
        served += row.at_ms >= from_ms && row.status == 200 ? 1 : 0;
    }
    return served;
  }
};

int Verdict(bool broken, const string& what) {
  Record("%s: %s", broken ? "BROKEN" : "held", what.c_str());
  std::cout << (broken ? "broken: " : "held: ") << what << std::endl;
  return broken ? 1 : 0;
}

/// DRAIN: the requests that reached `of` and ran later than `drainMs` after `acknowledged_ms`.
int JudgeDrain(const worker& of, int acknowledged_ms, int calm_from_ms, const deployment& all) {
  int late = 0;
  int latest = 0;
  for (const arrival& each : of.Arrivals()) {
    if (each.status == 421 || each.at_ms <= acknowledged_ms + kDrainMs ||
        each.at_ms < calm_from_ms)
      continue;
    ++late;
    latest = std::max(latest, each.at_ms);
  }
  if (all.Served(0) == 0) CannotRun("no request was served");
  return Verdict(late > 0, "DRAIN, " + std::to_string(late) + " requests reached " + of.id() +
                               " later than " + std::to_string(kDrainMs) +
                               " ms after the ack, the last one " +
                               std::to_string(late > 0 ? latest - acknowledged_ms : 0) +
                               " ms after it");
}

// SCENARIOS

/// Another writer reports once for a worker, with `field` missing; then the worker leaves.
int ForgedReport(const string& field, bool trouble) {
  // Never destroyed: its threads run until the process ends.
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2", "a3"}) all.Add(name, "estoque");
  all.Add("b1", "pedidos");
  all.Start();
  all.StartClients(40);
  SleepMs(3000);
  worker& leaving = *all.workers[0];
  if (trouble) {
    string report = leaving.Report(leaving.sequence() + 50, "ready");
    const auto at = report.find("\"" + field + "\":");
    report.erase(at, report.find(',', at) + 1 - at);
    const auto answer = Call(
        leaving.at().control, "POST /api/instances/" + leaving.id() + "/heartbeat HTTP/1.1",
        {{"Host", "control"}, {"Content-Type", "application/json"}}, report, 1000);
    Record("another writer reports %s: %d", report.c_str(), answer ? answer->Status() : 0);
  }
  SleepMs(2000);
  leaving.PauseBeats();
  SleepMs(50);
  leaving.BeginLeaving();
  bool acknowledged = false;
  for (int i = 0; i < 3 && !acknowledged; ++i) acknowledged = leaving.Beat();
  const int at = NowMs();
  if (!acknowledged)
    return Verdict(false, "the report that the worker leaves was not acknowledged");
  Record("the leaving of %s is acknowledged", leaving.id().c_str());
  leaving.ResumeBeats();
  SleepMs(kDrainMs + 4000);
  leaving.Deregister();
  leaving.End();
  for (const auto& each : all.clients) each->End();
  return JudgeDrain(leaving, at, 0, all);
}

/// Gives a process its share of a core as a usage cap ("cpuShare" 0.2, "for the rest of that
/// tenth of a second" of DEPLOY.md): it runs for 20 ms of each 100 ms, until `ends` is set.
void CapProcessor(const daemon_process& of, const std::atomic<bool>& ends) {
  while (!ends) {
    SleepMs(20);
    of.Signal(SIGSTOP);
    SleepMs(80);
    of.Signal(SIGCONT);
  }
}

/// All daemons have their share of a core as a usage cap, and one after the other is stopped
/// and started again.
int CappedStop(bool trouble) {
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2", "a3"}) all.Add(name, "estoque");
  all.Add("b1", "pedidos");
  all.Start();
  static std::atomic<bool> caps_end = false;
  std::vector<std::thread> caps;
  if (trouble) {
    for (const auto& each : all.daemons) {
      caps.emplace_back([&each] { CapProcessor(*each, caps_end); });
    }
  }
  all.StartClients(30);
  SleepMs(3000);
  std::vector<std::pair<int, int>> stops;
  for (int round = 0; round < 2; ++round) {
    for (const auto& each : all.daemons) {
      const int from = NowMs();
      each->Signal(SIGTERM);
      Record("SIGTERM to %s", each->at().name.c_str());
      const int until = from + 6000;
      while (!each->HasEnded() && NowMs() < until) SleepMs(5);
      Record("%s ended after %d ms", each->at().name.c_str(), NowMs() - from);
      stops.emplace_back(from, NowMs());
      each->Start();
      each->AwaitReady(8000);
      SleepMs(3000);
    }
  }
  caps_end = true;
  for (auto& each : caps) each.join();
  for (const auto& each : all.clients) each->End();
  std::map<string, int> arrived;
  for (const auto& each : all.workers) {
    for (const arrival& row : each->Arrivals()) arrived[row.id] = row.at_ms;
  }
  int lost = 0;
  int unanswered = 0;
  int served = 0;
  string of;
  for (const auto& each : all.clients) {
    for (const auto& row : each->Sent()) {
      served += row.status == 200 ? 1 : 0;
      if (row.status != 0 || row.answered_ms - row.at_ms > 950) continue;
      ++unanswered;
      if (arrived.contains(row.id)) {
        ++lost;
        of += " " + row.id;
      }
    }
  }
  return Verdict(lost > 0, "LOST, " + std::to_string(lost) +
                               " requests were passed on and got no answer, of " +
                               std::to_string(unanswered) + " unanswered and " +
                               std::to_string(served) + " served:" + of);
}

/// A version adds a route for unsafe requests to a service that has no other. Then its workers
/// reset half of their requests for 8 s. Judged is the steady state from 15 s after that on.
int GreyWorkers(bool trouble) {
  constexpr double kFailedShare = 0.5;
  constexpr int kGreyMs = 8000;
  constexpr int kSteadyAfterMs = 15000;
  constexpr int kSteadyMs = 30000;
  deployment& all = *new deployment;
  all.Add("a1", "estoque");
  for (const char* name : {"b1", "b2"}) all.Add(name, "pedidos");
  all.Start("@" + FirstRouteOnly(5));
  all.log.Put("keyed.op", "config", Configuration(7));
  Record("the store has acknowledged r7, which adds /order/");
  SleepMs(3000);
  for (const char* prefix : {"/stock/", "/order/"}) {
    for (const auto& each : all.daemons) {
      machine at = each->at();
      at.name += prefix[1];
      all.clients.push_back(std::make_unique<client>(at, "shop.example", prefix, 50));
      all.clients.back()->Start();
    }
  }
  SleepMs(3000);
  if (trouble) {
    for (std::size_t i = 1; i < all.workers.size(); ++i) all.workers[i]->Fail(kFailedShare);
    Record("the workers of pedidos reset half of their requests");
    SleepMs(kGreyMs);
    for (const auto& each : all.workers) each->Fail(0);
    Record("the workers of pedidos are sound again");
  }
  const int from = NowMs() + kSteadyAfterMs;
  SleepMs(kSteadyAfterMs + kSteadyMs);
  for (const auto& each : all.clients) each->End();
  int sent[2] = {0, 0};
  int served[2] = {0, 0};
  for (const auto& each : all.clients) {
    for (const auto& row : each->Sent()) {
      const int kind = row.machine.back() == 'o' ? 1 : 0;
      if (row.at_ms < from) continue;
      ++sent[kind];
      served[kind] += row.status == 200 ? 1 : 0;
    }
  }
  if (served[0] == 0) CannotRun("no request was served");
  const double first = static_cast<double>(served[0]) / sent[0];
  const double added = static_cast<double>(served[1]) / sent[1];
  return Verdict(
      sent[1] >= 20 && added < first / 4,
      "CONFIG, in steady state " + std::to_string(served[1]) + " of " +
          std::to_string(sent[1]) + " requests on the route that was added were served, and " +
          std::to_string(served[0]) + " of " + std::to_string(sent[0]) + " on the first one");
}

/// While daemons start, the platform replaces their settings files without a signal: their
/// machines now belong to another service. Without the disruption the files change before the
/// start.
int SettingsChange(bool trouble) {
  constexpr int kMachines = 16;
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2"}) all.Add(name, "estoque");
  all.Start();
  std::vector<std::unique_ptr<daemon_process>> changed;
  std::vector<std::thread> changes;
  std::vector<std::thread> caps;
  std::atomic<bool> caps_end = false;
  for (int i = 0; i < kMachines; ++i) {
    changed.push_back(std::make_unique<daemon_process>(
        NewMachine("c" + std::to_string(i), "pedidos"), all.log));
    daemon_process& each = *changed.back();
    const string text = Settings(each.at(), "comprovantes", all.log);
    if (!trouble) WriteFile(each.file(), text);
    const int watch = inotify_init1(IN_CLOEXEC);
    inotify_add_watch(watch, each.file().c_str(), IN_CLOSE_NOWRITE);
    each.Start();
    const int delay = 5 * i;
    caps.emplace_back([&each, &caps_end] { CapProcessor(each, caps_end); });
    changes.emplace_back([&each, text, trouble, delay, watch] {
      pollfd entry{.fd = watch, .events = POLLIN, .revents = 0};
      poll(&entry, 1, 10000);
      SleepMs(delay);
      if (trouble) WriteFile(each.file(), text);
      Record("settings of %s name the service comprovantes, %d ms after it has read them",
             each.at().name.c_str(), delay);
      close(watch);
    });
    SleepMs(300);
  }
  for (auto& each : changes) each.join();
  SleepMs(3000);
  caps_end = true;
  for (auto& each : caps) each.join();
  for (const auto& each : changed) {
    if (!each->AwaitReady(20000)) CannotRun("daemon " + each->at().name + " is not ready");
  }
  SleepMs(8000);
  int served = 0;
  for (const auto& each : changed) {
    const string id = each->at().name + "-1";
    Record("client of %s: sends %s", each->at().name.c_str(), id.c_str());
    const auto answer =
        Call(each->at().outbound, "GET /stock/1 HTTP/1.1",
             {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "1000"}}, "", 1100);
    Record("client of %s: %s is answered with %d", each->at().name.c_str(), id.c_str(),
           answer ? answer->Status() : 0);
    served += answer && answer->Status() == 200 ? 1 : 0;
  }
  if (served == 0) CannotRun("no request was served");
  int wrong = 0;
  string of;
  for (const auto& each : all.workers) {
    for (const arrival& row : each->Arrivals()) {
      if (row.status != 200 || row.caller_service == "comprovantes") continue;
      ++wrong;
      of += " " + row.id;
    }
  }
  return Verdict(
      wrong > 0,
      "UNASKED, " + std::to_string(wrong) + " of " + std::to_string(served) +
          " requests ran with another Caller-Service than that of their machine:" + of);
}

/// A worker deregisters, the daemon beside it is killed and starts again, and a report from
/// before arrives late.
int LateReport(bool trouble) {
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2", "a3"}) all.Add(name, "estoque");
  all.Add("b1", "pedidos");
  all.Start();
  all.StartClients(40);
  SleepMs(3000);
  worker& leaving = *all.workers[0];
  daemon_process& beside = *all.daemons[0];
  leaving.PauseBeats();
  SleepMs(1000);
  const string late = leaving.Report(leaving.sequence() + 1, "ready");
  Record("the report %s is under way", late.c_str());
  SleepMs(500);
  if (!leaving.Deregister())
    return Verdict(false, "the leaving of the worker was not acknowledged");
  const int at = NowMs();
  int calm_from = 0;
  if (trouble) {
    SleepMs(300);
    beside.Kill();
    SleepMs(500);
    beside.Start();
    calm_from = NowMs() + kStabilityWindowMs;
    if (!beside.AwaitReady(5000)) CannotRun("the daemon did not start again");
  }
  SleepMs(at + 2000 - NowMs());
  const bool taken = leaving.Send("heartbeat", late);
  Record("the late report arrives, %s", taken ? "acknowledged" : "not acknowledged");
  SleepMs(at + 8000 - NowMs());
  leaving.End();
  for (const auto& each : all.clients) each->End();
  return JudgeDrain(leaving, at, calm_from, all);
}

/// A version of the configuration is acknowledged; what is sent later than `configApplyMs`
/// after it is judged. `is_stale` says for the path, the key and the status of an answer
/// whether only an older version allows it.
struct probe {
  string path;
  string key;
  std::function<bool(int status)> is_stale;
};

int ConfigurationChange(const string& before, const string& after,
                        const std::vector<probe>& probes, const string& what) {
  // SYSTEM.md and demands/LATER.md: 2,000 and 3,000; the longer one.
  constexpr int kConfigApplyMs = 3000;
  constexpr int kRounds = 20;
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2", "a3"}) all.Add(name, "estoque");
  all.Add("b1", "pedidos");
  all.Start(before);
  int served = 0;
  int stale = 0;
  int sent = 0;
  const auto round = [&](const string& name, bool is_judged) {
    for (const auto& each : all.workers) {
      for (const probe& row : probes) {
        const string id = name + "-" + each->at().name + "-" + std::to_string(++sent);
        fields headers = {
            {"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "1000"}};
        if (!row.key.empty()) headers.emplace_back("X-Api-Key", row.key);
        Record("client of %s: sends %s, path %s, key '%s'", each->at().name.c_str(), id.c_str(),
               row.path.c_str(), row.key.c_str());
        const auto answer =
            Call(each->at().outbound, "GET " + row.path + " HTTP/1.1", headers, "", 1100);
        const int status = answer ? answer->Status() : 0;
        Record("client of %s: %s is answered with %d", each->at().name.c_str(), id.c_str(),
               status);
        served += !is_judged && status == 200 ? 1 : 0;
        if (is_judged && row.is_stale(status)) ++stale;
      }
    }
  };
  for (int i = 0; i < 5; ++i) round("before", false);
  if (served == 0) CannotRun("no request was served");
  if (!after.empty()) {
    all.log.Put("keyed.op", "config", after);
    Record("the store has acknowledged %s", after.c_str());
  }
  SleepMs(kConfigApplyMs + 2000);
  sent = 0;
  for (int i = 0; i < kRounds; ++i) {
    round("after", true);
    SleepMs(200);
  }
  return Verdict(stale > 0,
                 "CONFIG, " + std::to_string(stale) + " of " + std::to_string(sent) +
                     " requests were handled as only the older version allows: " + what);
}

/// A version takes the key of one tenant away and adds a tenant whose name has a blank.
int TenantName(bool trouble) {
  const string added = trouble ? "Gelo Nordeste" : "GeloNordeste";
  const string tenants =
      "\"tenants\":[{\"name\":\"loja\",\"apiKeys\":[\"k-loja-2\"],\"priority\":1,\"ratePerS\":"
      "200,"
      "\"burst\":200},{\"name\":\"" +
      added + "\",\"apiKeys\":[\"k-gelo-1\"],\"priority\":1,\"ratePerS\":200,\"burst\":200}],";
  return ConfigurationChange(
      kOneTenant, Configuration(7, tenants),
      {{"/stock/1", "k-loja-1", [](int status) { return status == 200; }},
       {"/stock/2", "k-gelo-1", [](int status) { return status == 401; }}},
      "the dropped key k-loja-1 is still served, or the new key k-gelo-1 is refused with 401");
}

/// A version takes the last tenant away.
int LastTenant(bool trouble) {
  const string tenants =
      trouble ? "\"tenants\":[],"
              : "\"tenants\":[{\"name\":\"loja\",\"apiKeys\":[],\"priority\":1}],";
  return ConfigurationChange(
      kOneTenant, Configuration(7, tenants),
      {{"/stock/1", "k-loja-1", [](int status) { return status == 200; }}},
      "the dropped key k-loja-1 is still served");
}

/// A version takes the last routes away.
int LastRoutes(bool trouble) {
  string before = Configuration(6);
  string after = Configuration(7);
  for (string* each : {&before, &after}) {
    const auto at = each->find("/stock/");
    each->replace(at, 7, "/estoque/");
  }
  const auto begin = after.find("\"listeners\":[") + 13;
  const auto end = after.find("],\"clusters\"");
  const auto order = after.find("{\"name\":\"r-order\"");
  const auto rules = after.find("\"routeRules\":[") + 14;
  if (trouble) {
    after.erase(begin, end - begin);
  } else {
    after.erase(rules, order - rules);
  }
  return ConfigurationChange(
      "@" + before, after,
      {{"/estoque/1", "", [](int status) { return status != 404 && status != 503; }}},
      "the dropped route /estoque/ is still served");
}

/// Clients whose key no configuration ever held send requests while one of a client with a good
/// key runs. Their ids continue the id of that request. Without the disruption they don't.
int UnknownKey(bool trouble) {
  constexpr int kRounds = 20;
  deployment& all = *new deployment;
  for (const char* name : {"a1", "a2", "a3"}) all.Add(name, "estoque", 300);
  all.Add("b1", "pedidos");
  all.Start(
      "\"tenants\":[{\"name\":\"loja\",\"apiKeys\":[\"k-loja-1\"],\"priority\":1,\"ratePerS\":"
      "200,\"burst\":200}],");
  const machine& at = all.workers[0]->at();
  const auto send = [&at](const string& id, const string& key) {
    Record("client of %s: sends %s with the key %s", at.name.c_str(), id.c_str(), key.c_str());
    const auto answer = Call(at.outbound, "GET /stock/1 HTTP/1.1",
                             {{"Host", "shop.example"},
                              {"Attempt-Id", id},
                              {"Deadline-Ms", "1000"},
                              {"X-Api-Key", key}},
                             "", 1100);
    const int status = answer ? answer->Status() : 0;
    Record("client of %s: %s is answered with %d", at.name.c_str(), id.c_str(), status);
    return status;
  };
  int served = 0;
  for (int i = 0; i < kRounds; ++i) {
    const string id = "p" + std::to_string(1000 + i);
    int status = 0;
    std::thread first([&] { status = send(id, "k-loja-1"); });
    SleepMs(100);
    send(trouble ? id + ".1" : "q" + std::to_string(1000 + i), "k-never-given-out");
    first.join();
    served += status == 200 ? 1 : 0;
  }
  if (served == 0) CannotRun("no request was served");
  int ran = 0;
  for (const auto& each : all.workers) {
    for (const arrival& row : each->Arrivals()) {
      const bool has_good_key = row.id[0] == 'p' && row.id.find('.') == string::npos;
      ran += row.status == 200 && !has_good_key ? 1 : 0;
    }
  }
  return Verdict(ran > 0, "ROUTE, " + std::to_string(ran) + " of " + std::to_string(kRounds) +
                              " requests ran whose key no configuration ever held");
}

/// A version splits a route by weights that are no whole numbers, and removes another route.
int FractionalWeight(bool trouble) {
  string after = FirstRouteOnly(7);
  const string whole = "\"service\":\"estoque\"";
  const string parts = trouble ? "0.9},{\"service\":\"pedidos\",\"weight\":0.1"
                               : "90},{\"service\":\"pedidos\",\"weight\":10";
  after.replace(after.find(whole), whole.size(),
                "\"weightedClusters\":[{\"service\":\"estoque\",\"weight\":" + parts + "}]");
  return ConfigurationChange(
      "@" + Configuration(6), after,
      {{"/order/1", "", [](int status) { return status != 404 && status != 503; }}},
      "the dropped route /order/ is still served");
}

int RunScenario(const string& name, bool trouble) {
  if (name == "grey-workers") return GreyWorkers(trouble);
  if (name == "capped-stop") return CappedStop(trouble);
  if (name == "late-report") return LateReport(trouble);
  if (name == "fractional-weight") return FractionalWeight(trouble);
  if (name == "tenant-name") return TenantName(trouble);
  if (name == "last-tenant") return LastTenant(trouble);
  if (name == "last-routes") return LastRoutes(trouble);
  if (name == "unknown-key") return UnknownKey(trouble);
  if (name == "settings-change") return SettingsChange(trouble);
  if (name == "forged-version") return ForgedReport("version", trouble);
  if (name == "forged-zone") return ForgedReport("zone", trouble);
  CannotRun("unknown scenario " + name);
}

void EndChildren() {
  const std::lock_guard lock(children_mutex);
  for (const pid_t each : children) kill(each, SIGKILL);
  for (const pid_t each : children) waitpid(each, nullptr, 0);
  children.clear();
}

void RemoveFolder() {
  if (getenv("KEEP") != nullptr) return;
  const string command = "rm -rf " + folder;
  if (system(command.c_str()) != 0) std::cerr << "cannot remove " << folder << "\n";
}

// A run takes 120 s at most, whatever hangs.
constexpr int kLongestRunMs = 110'000;

void StartWatchdog() {
  std::thread([] {
    SleepMs(kLongestRunMs);
    Record("cannot run: not done in time");
    EndChildren();
    RemoveFolder();
    _exit(2);
  }).detach();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: harness SCENARIO CASE_FOLDER\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  record_file = fopen((string(argv[2]) + "/record.txt").c_str(), "w");
  char pattern[] = "/tmp/review-2-XXXXXX";
  if (record_file == nullptr || mkdtemp(pattern) == nullptr) return 2;
  folder = pattern;
  const char* const text = getenv("TROUBLE");
  const bool trouble = text == nullptr || string(text) != "0";
  Record("scenario %s, %s", argv[1],
         trouble ? "with the disruption" : "without the disruption");
  StartWatchdog();
  int result = 2;
  try {
    result = RunScenario(argv[1], trouble);
  } catch (int code) {
    result = code;
  }
  EndChildren();
  RemoveFolder();
  // The threads of the stand-ins end with the process.
  _exit(result);
}
