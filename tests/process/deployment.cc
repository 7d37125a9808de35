#include "tests/process/deployment.h"

#include <arpa/inet.h>
#include <cpprest/http_client.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace bronzeroute::testing {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr auto kWaitLimit = std::chrono::seconds(30);
constexpr auto kPoll = std::chrono::milliseconds(20);
// Below the ephemeral range, so that outgoing connections do not use these ports.
constexpr int kFirstPort = 10'000;
constexpr int kPortsPerProcess = 200;
constexpr int kPortSlots = 100;

bool IsFree(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  const int result = bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(socket_fd);
  return result == 0;
}

http_client_config Timeout(std::chrono::seconds limit) {
  http_client_config config;
  config.set_timeout(limit);
  return config;
}

std::string HeaderOr(const http_response& response, const char* name) {
  const auto found = response.headers().find(name);
  return found == response.headers().end() ? "" : found->second;
}

}  // namespace

deployment::deployment() {
  std::string name = std::filesystem::temp_directory_path() / "bronzeroute-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  folder_ = name;
  next_port_ = kFirstPort + ClaimPortSlot() * kPortsPerProcess;
  log_address_ = NextAddress();
  daemon_log_address_ = log_address_;
}

deployment::~deployment() {
  pairs_.clear();
  log_.reset();
  close(port_lock_);
  std::filesystem::remove_all(folder_);
}

// Ports of a killed daemon appear free until it restarts, so a range must not be shared with
// another test.
int deployment::ClaimPortSlot() {
  for (int tries = 0; tries < kPortSlots; ++tries) {
    const int slot = (getpid() + tries) % kPortSlots;
    const std::string path = std::filesystem::temp_directory_path() /
                             ("bronzeroute-test-ports-" + std::to_string(slot));
    port_lock_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (port_lock_ >= 0 && flock(port_lock_, LOCK_EX | LOCK_NB) == 0) return slot;
    close(port_lock_);
  }
  throw std::runtime_error(
      "all 100 port ranges of the tests are locked by other test processes");
}

std::string deployment::NextAddress() {
  while (!IsFree(next_port_)) {
    ++next_port_;
  }
  return "127.0.0.1:" + std::to_string(next_port_++);
}

void deployment::StartLog() {
  const std::vector<std::string> arguments = {"--listen", log_address_};
  log_ = std::make_unique<child_process>("brstandin_log", arguments, folder_ + "/log.out");
}

void deployment::StopLog() { log_.reset(); }

std::size_t deployment::AddPair(const std::string& service, const std::string& region,
                                const std::string& zone, std::int64_t slots,
                                std::int64_t service_us) {
  node_pair added;
  added.callers = NextAddress();
  added.peers = NextAddress();
  added.membership = NextAddress();
  added.admin = NextAddress();
  added.upstream = NextAddress();
  added.announced = route_upstream_ ? route_upstream_(added.upstream) : added.upstream;
  added.service = service;
  added.zone = zone;
  added.slots = slots;
  added.service_us = service_us;
  const std::size_t index = pairs_.size();
  std::ofstream settings(folder_ + "/" + std::to_string(index) + ".toml");
  settings << "environment = \"production\"\nregion = \"" << region
           << "\"\navailability_zone = \"" << zone << "\"\n";
  if (!seeds_.empty()) {
    settings << "seeds = [";
    for (const std::string& seed : seeds_) {
      settings << "\"" << seed << "\",";
    }
    settings << "]\n";
  }
  settings << "[addresses]\ncallers = \"" << added.callers << "\"\npeers = \"" << added.peers
           << "\"\nmembership = \"" << added.membership << "\"\nadmin = \"" << added.admin
           << "\"\n[log]\naddress = \"" << daemon_log_address_ << "\"\n"
           << settings_tables_;
  settings.close();
  pairs_.push_back(std::move(added));
  StartWorker(index);
  StartDaemon(index);
  return index;
}

void deployment::StartWorker(std::size_t index) {
  node_pair& pair = pairs_[index];
  const std::vector<std::string> arguments = {"--listen",      pair.upstream,
                                              "--announce-as", pair.announced,
                                              "--daemon",      pair.admin,
                                              "--service",     pair.service,
                                              "--slots",       std::to_string(pair.slots),
                                              "--service-us",  std::to_string(pair.service_us)};
  pair.worker =
      std::make_unique<child_process>("brstandin_worker", arguments, folder_ + "/worker.out");
}

void deployment::StartDaemon(std::size_t index) {
  const std::vector<std::string> arguments = {"--settings",
                                              folder_ + "/" + std::to_string(index) + ".toml"};
  pairs_[index].daemon = std::make_unique<child_process>(
      "bronzerouted", arguments, folder_ + "/daemon-" + std::to_string(index) + ".out");
}

int deployment::RunCtl(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), {"--log", log_address_});
  const std::string output = folder_ + "/ctl-" + std::to_string(++ctl_runs_) + ".out";
  child_process ctl("brctl", arguments, output);
  return ctl.Wait();
}

std::string deployment::ctl_output() const {
  return Output("ctl-" + std::to_string(ctl_runs_));
}

std::string deployment::Output(std::string_view name) const {
  std::ifstream file(folder_ + "/" + std::string(name) + ".out");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int deployment::Publish(const std::string& document) {
  const std::string file = folder_ + "/document.toml";
  std::ofstream(file) << document;
  if (const int code = RunCtl({"publish", file}); code != 0) {
    return code;
  }
  return RunCtl({"promote"});
}

bool deployment::WaitFor(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
  while (std::chrono::steady_clock::now() < limit) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

bool deployment::WaitReady(std::size_t members) {
  return WaitFor([this, members] {
    for (const node_pair& each : pairs_) {
      const web::json::value status = GetJson(each.admin, "/.bronzeroute/v1/status");
      if (!status.has_field("config_version") || status.at("config_version").as_integer() < 0 ||
          status.at("ready_members").as_integer() < static_cast<int>(members)) {
        return false;
      }
    }
    return true;
  });
}

call_result deployment::Call(std::size_t entry, const std::string& method,
                             const std::string& path, const std::string& body,
                             const std::string& key, const std::string& deadline_ms,
                             const std::string& caller_try, const std::string& mark) {
  http_request request(method);
  request.set_request_uri(path);
  const auto add = [&request](const char* name, const std::string& value) {
    if (!value.empty()) {
      request.headers().add(name, value);
    }
  };
  add("Idempotency-Key", key);
  add("Bronzeroute-Deadline-Ms", deadline_ms);
  add("Bronzeroute-Try", caller_try);
  add("X-Mark", mark);
  if (!body.empty()) {
    request.set_body(body, "application/octet-stream");
  }
  call_result result;
  try {
    // Each call uses a new client, since the library may repeat a request on a reused
    // connection.
    http_client client("http://" + pairs_[entry].callers, Timeout(std::chrono::seconds(60)));
    const http_response response = client.request(request).get();
    result.status = response.status_code();
    result.error = HeaderOr(response, "Bronzeroute-Error");
    result.execution = HeaderOr(response, "Bronzeroute-Execution");
    result.call_id = HeaderOr(response, "Bronzeroute-Call");
    const auto bytes = response.extract_vector().get();
    result.body.assign(bytes.begin(), bytes.end());
  } catch (const std::exception&) {
    result.no_response = true;
  }
  return result;
}

web::json::value deployment::GetJson(const std::string& address, const std::string& path) {
  try {
    http_client client("http://" + address, Timeout(std::chrono::seconds(5)));
    return client.request(web::http::methods::GET, path).get().extract_json(true).get();
  } catch (const std::exception&) {
    return web::json::value::object();
  }
}

bool deployment::PutJson(const std::string& address, const std::string& path,
                         const std::string& body) {
  try {
    http_client client("http://" + address, Timeout(std::chrono::seconds(5)));
    return client.request(web::http::methods::PUT, path, body, "application/json")
               .get()
               .status_code() == web::http::status_codes::OK;
  } catch (const std::exception&) {
    return false;
  }
}

std::string deployment::IssueKey(std::size_t entry, const std::string& service) {
  const call_result issued = Call(entry, "POST", "/.bronzeroute/v1/keys/" + service);
  return issued.status == 200 ? web::json::value::parse(issued.body).at("key").as_string() : "";
}

std::int64_t deployment::RunRecord(std::size_t index, const std::string& field) {
  const web::json::value runs = GetJson(pairs_[index].upstream, "/standin/runs");
  return runs.has_field(field) ? runs.at(field).as_number().to_int64() : -1;
}

std::int64_t deployment::Status(std::size_t index, const std::string& field) {
  const web::json::value status = GetJson(pairs_[index].admin, "/.bronzeroute/v1/status");
  return status.has_field(field) ? status.at(field).as_number().to_int64() : -1;
}

bool deployment::HoldWork(bool hold) {
  const std::string fault = hold ? R"({"hold": true})" : R"({"hold": false})";
  bool is_set = true;
  for (const node_pair& each : pairs_) {
    is_set = PutJson(each.upstream, "/standin/faults", fault) && is_set;
  }
  return is_set;
}

std::int64_t deployment::Runs(std::size_t index) { return RunRecord(index, "started"); }

std::int64_t deployment::RunsOfKey(const std::string& key) { return SumOver("keys", key); }

std::int64_t deployment::RunsOfMark(const std::string& mark) { return SumOver("marks", mark); }

std::int64_t deployment::SumOver(const std::string& table, const std::string& name) {
  std::int64_t total = 0;
  for (const node_pair& each : pairs_) {
    const web::json::value runs = GetJson(each.upstream, "/standin/runs");
    if (runs.has_field(table) && runs.at(table).has_field(name)) {
      total += runs.at(table).at(name).as_number().to_int64();
    }
  }
  return total;
}

}  // namespace bronzeroute::testing
