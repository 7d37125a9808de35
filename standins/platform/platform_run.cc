#include "standins/platform/platform_run.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"
#include "src/base/concat.h"
#include "src/base/read_file.h"
#include "standins/platform/loop_timer.h"
#include "standins/platform/platform_addresses.h"

namespace bronzeroute::standin {
namespace {

constexpr milliseconds kTickPeriod{5};
constexpr milliseconds kReportPeriod{1500};
constexpr milliseconds kPoll{50};
constexpr std::chrono::seconds kReadyLimit{30};
constexpr std::chrono::seconds kStopLimit{12};
constexpr std::chrono::seconds kFaultTime{3};
// Age of the copy from which the store returns, when it goes away.
constexpr milliseconds kCopyAge{9'000};
constexpr milliseconds kCallersLeaveAfter{2'000};
// Time in which a daemon that was started again is ready.
constexpr milliseconds kStartTime{1'500};
// Time after the bound of a version at which each daemon is asked for it.
constexpr milliseconds kAskedAfterBound{50};
// Cap of an account as a multiple of its usual demand.
constexpr double kCapOverDemand = 1.6;
// Time before the end of an evacuation at which the upstreams of the zone become cold.
constexpr milliseconds kColdBeforeEnd{200};
constexpr std::size_t kMaxShown = 20;
constexpr std::size_t kExplainedCalls = 20;
// Beginning of the keys that no account holds.
constexpr std::string_view kUnknownKey = "key-unknown-";
// Longer than any field that daemons accept.
constexpr std::size_t kLongField = 40'000;
constexpr int kOk = 200;
constexpr std::string_view kAdminPrefix = "/.bronzeroute/v1/";
const std::string kOperatorTopic = "keyed.op";

std::string TextOf(const std::string& file) {
  std::optional<std::string> text = ReadFile(file);
  if (!text) throw std::runtime_error("cannot read " + file);
  return *std::move(text);
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

/// What no daemon may write: the keys of `accounts`, and those that no account holds.
std::vector<std::string> SecretsOf(const std::vector<account_shape>& accounts) {
  std::vector<std::string> keys = {std::string(kUnknownKey)};
  keys.reserve(accounts.size() + 1);
  for (const account_shape& each : accounts) keys.push_back(each.key);
  return keys;
}

/// Ids of the last calls that `log` names.
std::vector<std::string> LastCalls(std::string_view log) {
  static constexpr std::string_view kField = " call=";
  std::vector<std::string> ids;
  while (ids.size() < kExplainedCalls) {
    const std::size_t at = log.rfind(kField);
    if (at == std::string_view::npos) break;
    const std::string_view id = log.substr(at + kField.size());
    ids.emplace_back(id.substr(0, id.find_first_of(" \n")));
    log = log.substr(0, at);
  }
  return ids;
}

void SearchResponse(const client_response& response, secrecy_oracle& oracle) {
  const std::string source = Concat("a response with status ", response.status);
  for (const auto& [name, value] : response.headers) oracle.OnOutput(source, value);
  oracle.OnOutput(source, response.body);
}

double SecondsOfDay() { return static_cast<double>(UnixMilliseconds()) / 1000; }

std::string_view StoreFaultName(store_fault fault) {
  switch (fault) {
    case store_fault::kNone:
      return "history deleted";
    case store_fault::kSlow:
      return "slow";
    case store_fault::kBusy:
      return "503";
    case store_fault::kSilent:
      return "silent";
    case store_fault::kSilentConnections:
      return "open connections silent";
    case store_fault::kRestored:
      return "away, and back from an older copy";
    case store_fault::kLostResponses:
      return "responses to appends lost";
  }
  return "unknown";
}

}  // namespace

platform_run::platform_run(const site_shape& site, const run_options& options)
    : site_(site),
      options_(options),
      random_(options.seed),
      change_random_(options.seed + 1),
      fault_random_(options.seed + 2),
      restart_random_(options.seed + 3),
      upstream_random_(options.seed + 4),
      refused_random_(options.seed + 6),
      share_random_(options.seed + 7),
      kill_random_(options.seed + 8),
      author_(site, options.seed),
      changer_(options.seed + 5),
      oracle_(site.bounds),
      upstream_oracle_(site.bounds),
      placement_oracle_(site.bounds),
      accounts_(MakeAccounts()),
      account_oracle_(accounts_),
      secrecy_oracle_(SecretsOf(accounts_)),
      store_(options.retention) {
  author_.SetAccounts(accounts_);
  PlaceMachines();
}

platform_run::~platform_run() {
  for (const auto& daemon : daemons_) daemon->Signal(SIGTERM);
  for (const auto& daemon : daemons_) daemon->AwaitEnd(kStopLimit);
  daemons_.clear();
  RunOnLoop([this] { is_ended_ = true; });
  for (const auto& upstream : upstreams_) upstream->Stop();
  store_.Stop();
}

std::vector<account_shape> platform_run::MakeAccounts() {
  double requests = 0;
  for (const traffic_shape& from : site_.traffic) requests += from.per_second * options_.load;
  // Sizes fall like 1/rank; the caps leave room above the usual demand.
  double sum = 0;
  for (int rank = 1; rank <= options_.accounts; ++rank) sum += 1.0 / rank;
  std::vector<account_shape> accounts;
  for (int rank = 1; rank <= options_.accounts; ++rank) {
    const double cap = kCapOverDemand * requests / rank / sum;
    accounts.push_back({.name = Concat("account-", rank),
                        .key = absl::StrFormat("key-%016x", upstream_random_()),
                        .per_second = cap,
                        .burst = cap});
  }
  return accounts;
}

const account_shape* platform_run::PickAccount() {
  if (accounts_.empty()) return nullptr;
  // The first account is the hot one: its share of all requests is that of its own demand.
  double total = 0;
  const auto weight = [this](const account_shape& account) {
    const bool is_hot = &account == &accounts_.front() && options_.hot_account > 1;
    return account.per_second * (is_hot ? options_.hot_account * kCapOverDemand : 1);
  };
  for (const account_shape& each : accounts_) total += weight(each);
  double rest = std::uniform_real_distribution<double>(0, total)(random_);
  for (const account_shape& each : accounts_) {
    rest -= weight(each);
    if (rest <= 0) return &each;
  }
  return &accounts_.back();
}

void platform_run::PlaceMachines() {
  int zone_number = 0;
  for (const zone_shape& zone : site_.zones) {
    int number = 0;
    for (const machine_shape& machines : site_.machines) {
      if (machines.zone != zone.name) continue;
      for (int i = 0; i < machines.count; ++i) {
        ++number;
        places_.push_back(
            {.name = Concat("sidecar-", zone.name, "-", number),
             .zone = zone.name,
             .region = zone.region,
             .ip = Concat("127.30.", zone_number, ".", number),
             .store = Address(Concat("127.40.", zone_number, ".", number), kStorePort),
             .service = machines.service});
        by_zone_[zone.name].push_back(&places_.back());
      }
    }
    ++zone_number;
  }
}

std::string platform_run::Settings(const machine_place& place) const {
  std::string text =
      absl::StrReplaceAll(TextOf(options_.settings_template),
                          {{"{{region}}", place.region},
                           {"{{zone}}", place.zone},
                           {"{{service}}", author_.ServiceName(place.service)},
                           {"{{listen.outbound}}", Address(place.ip, kOutboundPort)},
                           {"{{listen.inbound}}", Address(place.ip, kInboundPort)},
                           {"{{listen.control}}", Address(place.ip, kControlPort)},
                           {"{{listen.ready}}", Address(place.ip, kReadyPort)},
                           {"{{ip}}:{{internalPorts.0}}", Address(place.ip, kMembershipPort)},
                           {"{{ip}}:{{internalPorts.1}}", Address(place.ip, kAdminPort)},
                           {"{{platform.address}}", place.store}});
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error(options_.settings_template + ": unknown placeholder " +
                             text.substr(text.find("{{"), 30));
  }
  return text;
}

std::string platform_run::LogName(const machine_place& place) const {
  return Concat(options_.folder, "/", place.name, ".log");
}

void platform_run::StartDaemons() {
  daemons_.resize(places_.size());
  for (std::size_t machine = 0; machine < places_.size(); ++machine) StartDaemon(machine);
}

void platform_run::StartDaemon(std::size_t machine) {
  const std::string name = options_.folder + "/" + places_[machine].name;
  std::ofstream(name + ".toml") << Settings(places_[machine]);
  daemons_[machine] = std::make_unique<daemon_process>(options_.daemon, name + ".toml",
                                                       LogName(places_[machine]));
}

void platform_run::AwaitReady(const std::atomic<bool>& stop) {
  const auto until = clock::now() + kReadyLimit;
  for (const machine_place& place : places_) {
    bool is_ready = false;
    while (!is_ready && !stop) {
      if (clock::now() >= until) {
        throw std::runtime_error(Concat("the daemon of ", place.name, " is not ready after ",
                                        kReadyLimit.count(), " s; see its log in ",
                                        options_.folder));
      }
      std::atomic<int> status = -1;
      RunOnLoop([&] {
        client_request question;
        question.target = "/api/readyz";
        question.headers = {{"Host", "ready"}};
        question.patience = std::chrono::seconds(1);
        client_.Send(Address(place.ip, kReadyPort), std::move(question),
                     [&status](const client_response& response) { status = response.status; });
      });
      while (status < 0) std::this_thread::sleep_for(kTickPeriod);
      is_ready = status == 200;
      if (!is_ready) std::this_thread::sleep_for(kPoll);
    }
  }
}

void platform_run::Publish(const authored_version& version) {
  oracle_.OnSent(version, clock::now());
  nlohmann::json document = author_.Document(version);
  if (options_.odd_values) changer_.AddValues(document);
  store_.Put(kOperatorTopic, "config", document_changer::Text(document));
  oracle_.OnConfirmed(version.number, clock::now());
  confirmed_.emplace_back(version.number, UnixMilliseconds());
  std::cout << absl::StrFormat("version r%d confirmed at %.3f: %s\n", version.number,
                               SecondsOfDay(), author_.last_change())
            << std::flush;
  RunAfter(site_.bounds.configuration + kAskedAfterBound, [this] {
    if (!is_ended_ && sends_requests_) AskDaemons();
  });
}

void platform_run::ScheduleChange() {
  if (options_.change_period.count() == 0) return;
  std::uniform_real_distribution<double> spread(0.2, 1.8);
  RunAfter(
      std::chrono::microseconds(static_cast<std::int64_t>(
          spread(change_random_) * 1000 * static_cast<double>(options_.change_period.count()))),
      [this] {
        if (is_ended_ || clock::now() >= ends_at_) return;
        Publish(author_.Next());
        ScheduleChange();
      });
}

void platform_run::ScheduleFault() {
  if (options_.fault_period.count() == 0) return;
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  RunAfter(
      std::chrono::microseconds(static_cast<std::int64_t>(
          spread(fault_random_) * 1000 * static_cast<double>(options_.fault_period.count()))),
      [this] {
        if (is_ended_ || clock::now() >= ends_at_) return;
        constexpr std::array kFaults = {store_fault::kSlow,
                                        store_fault::kBusy,
                                        store_fault::kSilent,
                                        store_fault::kLostResponses,
                                        store_fault::kSilentConnections,
                                        store_fault::kRestored,
                                        store_fault::kNone};
        std::uniform_int_distribution<std::size_t> pick(0, kFaults.size() - 1);
        const store_fault fault = options_.fault.value_or(kFaults[pick(fault_random_)]);
        if (fault == store_fault::kNone) store_.Compact(kOperatorTopic);
        store_.SetFault(fault, PickFaulty());
        // Connections that fall silent count as reset at that moment, and new ones work.
        const bool is_moment = fault == store_fault::kSilentConnections;
        oracle_.OnStoreFault(clock::now(),
                             is_moment ? clock::now() : clock::now() + kFaultTime);
        std::cout << absl::StrFormat("store fault at %.3f: %s\n", SecondsOfDay(),
                                     StoreFaultName(fault))
                  << std::flush;
        RunAfter(kFaultTime, [this, fault] {
          if (is_ended_) return;
          if (fault == store_fault::kRestored) store_.Restore(kFaultTime + kCopyAge);
          store_.SetFault(store_fault::kNone);
        });
        ScheduleFault();
      });
}

std::set<std::string> platform_run::PickFaulty() {
  std::set<std::string> result;
  if (options_.fault_share >= 1) return result;
  std::bernoulli_distribution is_faulty(options_.fault_share);
  for (const machine_place& place : places_) {
    if (is_faulty(share_random_)) result.insert(place.store);
  }
  return result;
}

void platform_run::ScheduleStops(milliseconds period, int signal, std::string_view what,
                                 std::mt19937_64& random) {
  if (period.count() == 0) return;
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  RunAfter(std::chrono::microseconds(static_cast<std::int64_t>(
               spread(random) * 1000 * static_cast<double>(period.count()))),
           [this, period, signal, what, &random] {
             if (is_ended_ || clock::now() >= ends_at_) return;
             std::uniform_int_distribution<std::size_t> pick(0, places_.size() - 1);
             StopAndStart(pick(random), signal, what);
             ScheduleStops(period, signal, what, random);
           });
}

bool platform_run::StopAndStart(std::size_t machine, int signal, std::string_view what) {
  const std::string& name = places_[machine].name;
  if (!restarting_.insert(name).second) return false;
  std::cout << absl::StrFormat("%s of %s at %.3f\n", what, name, SecondsOfDay()) << std::flush;
  // Callers leave the machine after two questions of the platform, one a second.
  RunAfter(kCallersLeaveAfter, [this, name] {
    if (restarting_.contains(name)) avoided_.insert(name);
  });
  oracle_.OnDaemonFault(name, clock::now(), clock::time_point::max());
  daemons_[machine]->Signal(signal);
  StartAgain(machine);
  return true;
}

void platform_run::StartAgain(std::size_t machine) {
  if (is_ended_) return;
  const std::string& name = places_[machine].name;
  if (!daemons_[machine]->HasEnded()) {
    RunAfter(kPoll, [this, machine] { StartAgain(machine); });
    return;
  }
  upstream_oracle_.OnRestart(name, clock::now());
  StartDaemon(machine);
  RunAfter(kStartTime, [this, name] {
    oracle_.OnDaemonStarted(name, clock::now());
    restarting_.erase(name);
    avoided_.erase(name);
  });
}

void platform_run::ScheduleLimits() {
  if (options_.limited_share <= 0) return;
  const std::string& service = site_.services.front().name;
  const auto limited = std::make_shared<std::vector<platform_upstream*>>();
  std::uniform_real_distribution<double> share(0, 1);
  for (const auto& upstream : upstreams_) {
    if (upstream->place().service != service) continue;
    if (share(upstream_random_) < options_.limited_share) limited->push_back(upstream.get());
  }
  static constexpr milliseconds kMeasured{3000};
  RunAfter(milliseconds(500), [this, limited] {
    if (is_ended_) return;
    for (platform_upstream* const each : *limited) each->TakeArrivals();
  });
  RunAfter(milliseconds(500) + kMeasured, [this, limited] {
    if (is_ended_) return;
    for (platform_upstream* const each : *limited) {
      const double per_second = 1000.0 * each->TakeArrivals() / kMeasured.count();
      each->SetLimit(per_second * options_.limit_factor);
      std::cout << absl::StrFormat("%s at %s names a limit of %.2f/s at %.3f\n",
                                   each->identity(), each->place().name,
                                   per_second * options_.limit_factor, SecondsOfDay())
                << std::flush;
    }
  });
  RunAfter(options_.length * 4 / 5, [this, limited] {
    if (is_ended_) return;
    for (platform_upstream* const each : *limited) each->SetLimit(-1);
    std::cout << absl::StrFormat("limits end at %.3f\n", SecondsOfDay()) << std::flush;
  });
}

void platform_run::ScheduleLeaving() {
  constexpr std::chrono::seconds kReportDelay{4};
  for (int i = 0; i < options_.leaving; ++i) {
    RunAfter(options_.length * (i + 1) / (options_.leaving + 2), [this, kReportDelay] {
      if (is_ended_) return;
      std::uniform_int_distribution<std::size_t> pick(0, upstreams_.size() - 1);
      platform_upstream& leaving = *upstreams_[pick(upstream_random_)];
      leaving.BeginLeaving(clock::now() + kReportDelay);
      std::cout << absl::StrFormat("%s at %s leaves at %.3f\n", leaving.identity(),
                                   leaving.place().name, SecondsOfDay())
                << std::flush;
    });
  }
}

void platform_run::ScheduleDepartures() {
  for (int i = 0; i < options_.departing; ++i) {
    // Different machines, in the first half of the run: a late report counts for 10 s.
    const std::size_t machine = upstreams_.size() * static_cast<std::size_t>(i) /
                                static_cast<std::size_t>(options_.departing);
    RunAfter(options_.length * (i + 1) / (2 * options_.departing + 2), [this, i, machine] {
      if (is_ended_) return;
      upstreams_[machine]->Depart(i % 2 == 0, [this, machine](bool acknowledged) {
        if (acknowledged && !is_ended_) OnDepartureAcknowledged(machine);
      });
    });
  }
}

void platform_run::OnDepartureAcknowledged(std::size_t machine) {
  constexpr milliseconds kKilledAfter{300};
  constexpr milliseconds kReportLateBy{2500};
  ++departures_;
  const std::string& name = places_[machine].name;
  std::cout << absl::StrFormat("%s at %s departs at %.3f\n", upstreams_[machine]->identity(),
                               name, SecondsOfDay())
            << std::flush;
  // The machine counts again once it has been up for the stability window.
  const milliseconds restarted = kKilledAfter + kStartTime + site_.bounds.stability;
  upstream_oracle_.OnDepartureAcknowledged(
      upstreams_[machine]->identity(),
      clock::now() + std::max(restarted, milliseconds(site_.bounds.drain)));
  RunAfter(kKilledAfter, [this, machine, name] {
    if (!is_ended_ && StopAndStart(machine, SIGKILL, "kill")) avoided_.insert(name);
  });
  RunAfter(kReportLateBy, [this, machine] {
    if (!is_ended_) upstreams_[machine]->SendLateReport();
  });
}

void platform_run::ScheduleEvacuations() {
  for (int i = 0; i < options_.evacuations; ++i) {
    const auto length = options_.length / (options_.evacuations + 1);
    RunAfter(length * i + length / 4, [this, length] {
      if (is_ended_) return;
      std::uniform_int_distribution<std::size_t> pick(0, site_.zones.size() - 1);
      const std::string zone = site_.zones[pick(upstream_random_)].name;
      store_.Put(kOperatorTopic, Concat("evacuate/", zone), "{}");
      placement_oracle_.OnEvacuated(zone, clock::now());
      std::cout << absl::StrFormat("%s is evacuated at %.3f\n", zone, SecondsOfDay())
                << std::flush;
      RunAfter(length * 3 / 4 - kColdBeforeEnd, [this, zone] { EndEvacuation(zone); });
    });
  }
}

void platform_run::EndEvacuation(const std::string& zone) {
  if (is_ended_) return;
  for (const auto& upstream : upstreams_) {
    if (upstream->place().zone != zone) continue;
    const service_shape& service = *site_.FindService(upstream->place().service);
    upstream->BecomeCold(clock::now() + service.cold_time);
  }
  RunAfter(kColdBeforeEnd, [this, zone] {
    if (is_ended_) return;
    placement_oracle_.OnEvacuationEnded(zone);
    store_.Put(kOperatorTopic, Concat("evacuate/", zone), "");
    std::cout << absl::StrFormat("%s is taken back at %.3f\n", zone, SecondsOfDay())
              << std::flush;
  });
}

void platform_run::SendRequest(const traffic_shape& from, const class_shape& described) {
  const auto& machines = by_zone_[from.zone];
  std::uniform_int_distribution<std::size_t> pick(0, machines.size() - 1);
  const machine_place& entry = *machines[pick(random_)];
  if (avoided_.contains(entry.name)) return;
  route_place place = author_.PlaceOf(described.name);
  const auto& added = author_.added();
  // Some requests go to routes that were added, which are like those of the first class.
  if (!added.empty() && &described == &site_.classes.front() && random_() % 10 == 0) {
    place = added[random_() % added.size()];
  }
  SendRequest(entry, described, place);
}

void platform_run::AskDaemons() {
  if (author_.added().empty()) return;
  const route_place place = author_.added().back();
  for (const machine_place& entry : places_) {
    if (!avoided_.contains(entry.name)) SendRequest(entry, site_.classes.front(), place);
  }
}

void platform_run::SendRequest(const machine_place& entry, const class_shape& described,
                               const route_place& place) {
  const std::string id = absl::StrFormat("%016x", random_());
  client_request request;
  request.method = described.method;
  request.target = place.prefix + absl::StrFormat("%x", ++requests_);
  request.headers = {{"Host", place.host},
                     {"Attempt-Id", id},
                     {"Deadline-Ms", std::to_string(described.deadline.count())}};
  const account_shape* const account = PickAccount();
  if (account != nullptr) request.headers.emplace_back("X-Api-Key", account->key);
  if (described.method != "GET") {
    request.body = std::string(static_cast<std::size_t>(described.request_bytes), 'b');
    request.is_chunked = random_() % 2 == 0;
  }
  request.reuses_connection = described.reuses_connections;
  request.patience = described.deadline + std::chrono::seconds(1);
  const bool is_protected = described.kind == "unsafe" || described.kind == "upload";
  oracle_.OnRequest(id, entry.name, place.host, request.target, is_protected, clock::now());
  if (account != nullptr) account_oracle_.OnRequest(id, account->key, clock::now());
  client_.Send(Address(entry.ip, kOutboundPort), std::move(request),
               [this, id, machine = entry.name](const client_response& response) {
                 oracle_.OnResponse(id, response.status, clock::now());
                 account_oracle_.OnResponse(id, response.status);
                 SearchResponse(response, secrecy_oracle_);
                 PassOn(response.headers, machine, upstream_oracle_);
               });
}

void platform_run::ScheduleRefusedRequests() {
  if (options_.refused_per_second <= 0 || accounts_.empty()) return;
  std::exponential_distribution<double> gap(options_.refused_per_second);
  RunAfter(std::chrono::microseconds(static_cast<std::int64_t>(gap(refused_random_) * 1e6)),
           [this] {
             if (is_ended_ || clock::now() >= ends_at_) return;
             SendRefusedRequest();
             ScheduleRefusedRequests();
           });
}

void platform_run::SendRefusedRequest() {
  const machine_place& entry = places_[refused_random_() % places_.size()];
  if (avoided_.contains(entry.name)) return;
  const route_place place = author_.PlaceOf(site_.classes.front().name);
  const std::string& known = accounts_[refused_random_() % accounts_.size()].key;
  const std::string id = absl::StrFormat("%016x", refused_random_());
  const std::string unknown = Concat(kUnknownKey, id);
  client_request request;
  request.target = place.prefix;
  request.headers = {{"Host", place.host}, {"Attempt-Id", id}, {"Deadline-Ms", "1000"}};
  std::string key = known;
  switch (refused_requests_++ % 7) {
    case 0:
      key = unknown;
      break;
    case 1:
      request.headers[0].second = "unknown.example";
      break;
    case 2:
      request.target = "/no-route/";
      break;
    case 3:
      // Two keys.
      request.headers.emplace_back("X-Api-Key", unknown);
      break;
    case 4:
      key += std::string(kLongField, 'x');
      break;
    case 5:
      // No field value contains a control character.
      key += '\x01';
      break;
    default:
      // The deadline is no number.
      request.headers.back().second = "soon";
      break;
  }
  request.headers.emplace_back("X-Api-Key", key);
  client_.Send(Address(entry.ip, kOutboundPort), std::move(request),
               [this](const client_response& response) {
                 ++refused_statuses_[response.status];
                 SearchResponse(response, secrecy_oracle_);
               });
}

void platform_run::SearchAdminTexts() {
  std::atomic<std::size_t> open = 0;
  RunOnLoop([this, &open] {
    const auto search = [this, &open](const std::string& address, std::string target) {
      client_request question;
      question.target = std::move(target);
      question.headers = {{"Host", "admin"}};
      ++open;
      client_.Send(address, std::move(question),
                   [this, &open, address](const client_response& response) {
                     if (response.status == kOk) ++admin_texts_;
                     secrecy_oracle_.OnOutput(address, response.body);
                     --open;
                   });
    };
    for (const machine_place& place : places_) {
      const std::string admin = Address(place.ip, kAdminPort);
      for (const char* const endpoint : {"metrics", "members", "status"}) {
        search(admin, Concat(kAdminPrefix, endpoint));
      }
      const std::string log = TextOf(LogName(place));
      secrecy_oracle_.OnOutput(LogName(place), log);
      for (const std::string& id : LastCalls(log)) {
        search(admin, Concat(kAdminPrefix, "explain?call=", id));
      }
    }
  });
  while (open > 0) std::this_thread::sleep_for(kTickPeriod);
}

void platform_run::Tick() {
  if (is_ended_) return;
  store_.Tick();
  const auto now = clock::now();
  for (const traffic_shape& from : site_.traffic) {
    double total = 0;
    for (const auto& [name, share] : from.mix) total += share;
    auto& next = next_request_.try_emplace(from.zone, now).first->second;
    while (sends_requests_ && next <= now) {
      std::exponential_distribution<double> gap(from.per_second * options_.load);
      next += std::chrono::microseconds(static_cast<std::int64_t>(gap(random_) * 1e6));
      double rest = std::uniform_real_distribution<double>(0, total)(random_);
      for (const auto& [name, share] : from.mix) {
        rest -= share;
        if (rest > 0) continue;
        if (const class_shape* const described = site_.FindClass(name)) {
          SendRequest(from, *described);
        }
        break;
      }
    }
  }
  RunAfter(kTickPeriod, [this] { Tick(); });
}

void platform_run::Play(const std::atomic<bool>& stop) {
  const auto require = [](const absl::Status& status) {
    if (!status.ok()) throw std::runtime_error(status.ToString());
  };
  for (const machine_place& place : places_) require(store_.Start(place.store));
  std::uint64_t seed = options_.seed;
  for (const machine_place& place : places_) {
    upstreams_.push_back(
        std::make_unique<platform_upstream>(site_, author_, place, client_,
                                            run_oracles{.configuration = oracle_,
                                                        .upstreams = upstream_oracle_,
                                                        .placement = placement_oracle_,
                                                        .accounts = account_oracle_},
                                            ++seed));
    require(upstreams_.back()->Start());
  }
  RunOnLoop([this] {
    ends_at_ = clock::time_point::max();
    Publish(author_.First());
  });
  StartDaemons();
  std::atomic<bool> announces = true;
  std::thread reports([&] {
    while (announces) {
      RunOnLoop([this] {
        for (const auto& upstream : upstreams_) upstream->Announce();
      });
      for (milliseconds slept{0}; slept < kReportPeriod && announces; slept += kPoll) {
        std::this_thread::sleep_for(kPoll);
      }
    }
  });
  try {
    AwaitReady(stop);
  } catch (...) {
    announces = false;
    reports.join();
    throw;
  }
  std::cout << Concat(places_.size(), " daemons are ready\n") << std::flush;
  const auto end = clock::now() + options_.length;
  RunOnLoop([this, end] {
    ends_at_ = end;
    sends_requests_ = true;
    Tick();
    ScheduleChange();
    ScheduleFault();
    ScheduleStops(options_.restart_period, SIGTERM, "restart", restart_random_);
    ScheduleStops(options_.kill_period, SIGKILL, "kill", kill_random_);
    ScheduleLimits();
    ScheduleLeaving();
    ScheduleDepartures();
    ScheduleEvacuations();
    ScheduleRefusedRequests();
  });
  while (clock::now() < end && !stop) std::this_thread::sleep_for(kPoll);
  RunOnLoop([this] { sends_requests_ = false; });
  std::this_thread::sleep_for(stop ? kPoll : milliseconds(3'000));
  // Without accounts no request carries a key.
  if (!accounts_.empty()) SearchAdminTexts();
  announces = false;
  reports.join();
}

platform_run::effect_delays platform_run::EffectDelays() const {
  effect_delays delays;
  for (const machine_place& place : places_) {
    std::ifstream log(LogName(place));
    std::vector<std::pair<std::int64_t, double>> in_effect;
    for (std::string line; std::getline(log, line);) {
      const std::size_t at = line.find("event=in_effect version=");
      if (at == std::string::npos) continue;
      in_effect.emplace_back(std::atoll(line.c_str() + at + 24),
                             1000 * std::atof(line.c_str() + line.find("ts=") + 3));
    }
    for (const auto& [number, confirmed_ms] : confirmed_) {
      const std::int64_t version = number;
      const auto found = std::ranges::find_if(
          in_effect, [&](const auto& row) { return row.first >= version; });
      if (found == in_effect.end()) {
        ++delays.missing;
        continue;
      }
      const double delay = found->second - static_cast<double>(confirmed_ms);
      delays.all.push_back(delay);
      if (oracle_.RanBeforeDue(place.name, version)) delays.steady.push_back(delay);
    }
  }
  std::ranges::sort(delays.all);
  std::ranges::sort(delays.steady);
  return delays;
}

bool platform_run::Report() const {
  const effect_delays delays = EffectDelays();
  std::cout << absl::StrFormat(
      "in effect after ms: p50 %.0f, p99 %.0f, max %.0f over %d changes and %d daemons; "
      "never: %d; store calls: %d\n",
      Percentile(delays.all, 0.5), Percentile(delays.all, 0.99), Percentile(delays.all, 1),
      confirmed_.size(), places_.size(), delays.missing, store_.calls());
  std::cout << absl::StrFormat(
      "at daemons that ran all the while: p50 %.0f, p99 %.0f, max %.0f of %d, bound %d\n",
      Percentile(delays.steady, 0.5), Percentile(delays.steady, 0.99),
      Percentile(delays.steady, 1), delays.steady.size(), site_.bounds.configuration.count());
  std::cout << "responses:";
  for (const auto& [status, count] : oracle_.statuses()) {
    std::cout << " " << status << " x " << count;
  }
  std::cout << absl::StrFormat("\nlate, excused by a fault of the store: %d\n",
                               oracle_.excused());
  std::cout << absl::StrFormat("arrivals counted against limits: %d\n",
                               upstream_oracle_.limited_arrivals());
  std::cout << absl::StrFormat("departures acknowledged: %d\n", departures_);
  std::cout << absl::StrFormat("arrivals of requests with regions: %d; at cold upstreams: %d\n",
                               placement_oracle_.limited_arrivals(),
                               placement_oracle_.cold_arrivals());
  std::cout << "requests to be refused:";
  for (const auto& [status, count] : refused_statuses_) {
    std::cout << " " << status << " x " << count;
  }
  std::cout << absl::StrFormat("\nsearched for keys: %d bytes, %d texts for operators\n",
                               secrecy_oracle_.searched_bytes(), admin_texts_);
  for (const auto& [account, counts] : account_oracle_.counts()) {
    std::cout << absl::StrFormat("%s: sent %d, ran %d, over its cap %d\n", account, counts.sent,
                                 counts.ran, counts.over_cap);
  }
  std::map<std::string, std::size_t> by_rule;
  std::vector<rule_break> breaks = oracle_.breaks();
  std::ranges::copy(upstream_oracle_.breaks(), std::back_inserter(breaks));
  std::ranges::copy(placement_oracle_.breaks(), std::back_inserter(breaks));
  std::ranges::copy(account_oracle_.breaks(), std::back_inserter(breaks));
  std::ranges::copy(secrecy_oracle_.breaks(), std::back_inserter(breaks));
  for (const rule_break& each : breaks) {
    if (++by_rule[each.rule] <= kMaxShown) std::cout << each.rule << ": " << each.text << "\n";
  }
  for (const auto& [rule, count] : by_rule) std::cout << rule << " broken: " << count << "\n";
  if (by_rule.empty()) std::cout << "no rule broken\n";
  return by_rule.empty();
}

}  // namespace bronzeroute::standin
