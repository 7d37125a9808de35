#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standins/platform/account_oracle.h"
#include "standins/platform/caller_client.h"
#include "standins/platform/configuration_author.h"
#include "standins/platform/configuration_oracle.h"
#include "standins/platform/daemon_process.h"
#include "standins/platform/document_changer.h"
#include "standins/platform/placement_oracle.h"
#include "standins/platform/platform_store.h"
#include "standins/platform/platform_upstream.h"
#include "standins/platform/run_options.h"
#include "standins/platform/secrecy_oracle.h"
#include "standins/platform/upstream_oracle.h"

namespace bronzeroute::standin {

/// One run: a deployment of real daemons with stand-ins of the platform, upstreams and callers
/// around them. Everything but the daemons runs on the event loop of this process.
class platform_run {
 public:
  platform_run(const site_shape& site, const run_options& options);
  ~platform_run();
  platform_run(const platform_run&) = delete;
  platform_run& operator=(const platform_run&) = delete;

  /// Plays the run; `stop` ends it early. Throws std::runtime_error if a part cannot start.
  void Play(const std::atomic<bool>& stop);
  /// Writes what was found to standard output; true if no rule was broken.
  bool Report() const;

 private:
  using clock = std::chrono::steady_clock;

  void PlaceMachines();
  void StartDaemons();
  void StartDaemon(std::size_t machine);
  void AwaitReady(const std::atomic<bool>& stop);
  std::string Settings(const machine_place& place) const;
  std::string LogName(const machine_place& place) const;
  void Publish(const authored_version& version);
  void ScheduleChange();
  void ScheduleFault();
  /// Addresses of the store for the machines that a fault hits; empty for all.
  std::set<std::string> PickFaulty();
  /// Stops daemons with `signal`, one each `period` on average, and starts them again.
  void ScheduleStops(std::chrono::milliseconds period, int signal, std::string_view what,
                     std::mt19937_64& random);
  /// Stops the daemon of `machine` and starts it again; false if that is in progress already.
  bool StopAndStart(std::size_t machine, int signal, std::string_view what);
  void StartAgain(std::size_t machine);
  /// Sends a request on the route added last to each daemon once the version is due, as the
  /// platform does.
  void AskDaemons();
  void SendRequest(const machine_place& entry, const class_shape& described,
                   const route_place& place);
  /// Lets some upstreams name a limit, and later no limit again.
  void ScheduleLimits();
  void ScheduleLeaving();
  void ScheduleDepartures();
  void OnDepartureAcknowledged(std::size_t machine);
  void ScheduleEvacuations();
  void EndEvacuation(const std::string& zone);
  std::vector<account_shape> MakeAccounts();
  /// Departures that were acknowledged.
  int departures_ = 0;
  /// The account that sends the next request, or null if there are none.
  const account_shape* PickAccount();
  void Tick();
  void SendRequest(const traffic_shape& from, const class_shape& described);
  /// Sends requests that daemons have to refuse, each with a key.
  void ScheduleRefusedRequests();
  void SendRefusedRequest();
  /// Searches what operators can read of each daemon for keys: its log, metrics, lists and the
  /// explanations of its last calls.
  void SearchAdminTexts();
  struct effect_delays {
    /// Milliseconds from the confirmation of each version to the line with which a daemon puts
    /// it, or a later one, in effect.
    std::vector<double> all;
    /// Those at daemons that ran for the stability window before the version was due.
    std::vector<double> steady;
    /// Versions that are missing at a daemon.
    std::size_t missing = 0;
  };
  effect_delays EffectDelays() const;

  const site_shape& site_;
  run_options options_;
  /// Requests.
  std::mt19937_64 random_;
  /// Times and kinds of changes and faults, which do not depend on the requests sent so far.
  std::mt19937_64 change_random_;
  std::mt19937_64 fault_random_;
  std::mt19937_64 restart_random_;
  std::mt19937_64 upstream_random_;
  std::mt19937_64 refused_random_;
  std::mt19937_64 share_random_;
  std::mt19937_64 kill_random_;
  configuration_author author_;
  document_changer changer_;
  configuration_oracle oracle_;
  upstream_oracle upstream_oracle_;
  placement_oracle placement_oracle_;
  std::vector<account_shape> accounts_;
  account_oracle account_oracle_;
  secrecy_oracle secrecy_oracle_;
  platform_store store_;
  caller_client client_;
  std::deque<machine_place> places_;
  std::map<std::string, std::vector<const machine_place*>> by_zone_;
  std::vector<std::unique_ptr<platform_upstream>> upstreams_;
  std::vector<std::unique_ptr<daemon_process>> daemons_;
  /// Version with the Unix milliseconds of its confirmation.
  std::vector<std::pair<std::int64_t, std::int64_t>> confirmed_;
  /// Machines whose daemon is being started again, and those that callers avoid meanwhile.
  std::set<std::string> restarting_;
  std::set<std::string> avoided_;
  std::map<std::string, clock::time_point> next_request_;
  clock::time_point ends_at_;
  bool sends_requests_ = false;
  bool is_ended_ = false;
  std::uint64_t requests_ = 0;
  /// Requests that daemons have to refuse, by the status of the response.
  std::map<int, int> refused_statuses_;
  std::uint64_t refused_requests_ = 0;
  /// Responses with status 200 of the endpoints for operators.
  int admin_texts_ = 0;
};

}  // namespace bronzeroute::standin
