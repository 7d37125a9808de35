#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <utility>

#include "tests/process/example_document.h"

namespace bronzeroute::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kSlots = 6;
constexpr std::size_t kCallersPerEntry = 2;
constexpr std::size_t kFaultKinds = 7;
// Time that a daemon needs to serve after a restart; requests that fail until then are not
// reported.
constexpr auto kStartTime = milliseconds(500);
// Largest number of runs of a repeatable request: an entry makes up to three attempts, each of
// which may be executed.
constexpr std::int64_t kMaxRuns = 3;

std::string Document(int number) {
  return ExampleDocument() +
         "[[service]]\nname = \"lookups\"\ndeadline_ms = " + std::to_string(4000 + number) +
         "\nslots = 6\nconnections = 260\nqueue_limit = 32\nlong_share = 0.5\n"
         "objective = 0.99\n";
}

}  // namespace

soak_run::soak_run(std::uint64_t seed, std::size_t services, std::chrono::seconds faults_for)
    : seed_(seed), random_(seed), services_(services), faults_for_(faults_for) {}

soak_run::~soak_run() {
  stop_ = true;
  for (std::thread& caller : callers_) caller.join();
}

int soak_run::Draw(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

void soak_run::AddViolation(const std::string& text) { violations_ += text + "\n"; }

bool soak_run::Deploy() {
  deployment_.StartLog();
  log_link_ = std::make_unique<loopback_proxy>(deployment_.log_address());
  deployment_.RouteLogThrough(log_link_->address());
  deployment_.RouteUpstreamsThrough([this](const std::string& upstream) {
    upstream_links_.push_back(std::make_unique<loopback_proxy>(upstream));
    return upstream_links_.back()->address();
  });
  for (std::size_t i = 0; i < services_; ++i) {
    deployment_.AddPair("orders", "north", i % 2 == 0 ? "north-a" : "north-b", kSlots);
  }
  deployment_.AddPair("lookups", "north", "north-a");
  versions_.assign(deployment_.size(), -1);
  pids_.assign(deployment_.size(), 0);
  return deployment::WaitFor([this] { return deployment_.Publish(Document(0)) == 0; }) &&
         deployment_.WaitReady(deployment_.size());
}

void soak_run::Load(std::size_t entry, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  keep_alive_caller caller(deployment_.pair(entry).callers);
  for (int number = 0; !stop_; ++number) {
    sent_request sent;
    sent.entry = entry;
    sent.is_protected = random() % 2 == 0;
    sent.mark = (sent.is_protected ? "p" : "r") + std::to_string(seed % 1'000'000) + "-" +
                std::to_string(number);
    const std::string work = "?work_us=" + std::to_string(2000 + random() % 60'000);
    sent.begin = clock::now();
    sent.response = sent.is_protected
                        ? caller.Send("POST", "/orders/new" + work, sent.mark, "2000")
                        : caller.Send("GET", "/orders/1" + work, sent.mark, "2000");
    sent.end = clock::now();
    const bool is_unreachable = !sent.response.complete;
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(std::move(sent));
    }
    std::this_thread::sleep_for(milliseconds(is_unreachable ? 20 : 1 + random() % 10));
  }
}

void soak_run::Add(int at_ms, std::string text, std::function<void()> act) {
  events_.push_back({milliseconds(at_ms), std::move(text), std::move(act)});
}

void soak_run::AddSignal(std::size_t daemon, int at_ms, int length_ms, bool is_kill) {
  const std::string name = " daemon " + std::to_string(daemon);
  Add(at_ms, (is_kill ? "kill" : "pause") + name, [this, daemon, is_kill, length_ms] {
    disruptions_.push_back({.daemon = daemon,
                            .begin = clock::now(),
                            .end = clock::now() + milliseconds(length_ms) + kStartTime});
    deployment_.pair(daemon).daemon->Signal(is_kill ? SIGKILL : SIGSTOP);
  });
  Add(at_ms + length_ms, (is_kill ? "start" : "continue") + name, [this, daemon, is_kill] {
    child_process& process = *deployment_.pair(daemon).daemon;
    if (!is_kill) {
      process.Signal(SIGCONT);
    } else if (!process.IsRunning()) {
      deployment_.StartDaemon(daemon);
    }
  });
}

void soak_run::AddStop(std::size_t daemon, int at_ms) {
  const std::string name = " daemon " + std::to_string(daemon);
  Add(at_ms, "stop" + name,
      [this, daemon] { deployment_.pair(daemon).daemon->Signal(SIGTERM); });
  // A stop takes as long as the work in flight, so the test polls and restarts the daemon once
  // it has exited.
  for (int look_ms = 500; look_ms <= 8000; look_ms += 500) {
    Add(at_ms + look_ms, "look" + name, [this, daemon] {
      if (!deployment_.pair(daemon).daemon->IsRunning()) deployment_.StartDaemon(daemon);
    });
  }
}

void soak_run::AddLinkFault(loopback_proxy& link, const std::string& name, int at_ms,
                            int length_ms) {
  const int kind = Draw(0, 4);
  if (kind == 0) {
    Add(at_ms, "reset " + name, [&link] { link.Reset(); });
    return;
  }
  const auto fault = static_cast<link_fault>(kind);
  const int delay_ms = Draw(5, 300);
  Add(at_ms, "fault " + std::to_string(kind) + " of " + name, [&link, fault, delay_ms] {
    link.SetDelay(milliseconds(delay_ms));
    link.SetFault(fault);
  });
  Add(at_ms + length_ms, "no fault of " + name, [&link] {
    link.SetFault(link_fault::kNone);
    // Dropped bytes leave the stream corrupted, so the connection is reset; a real partition
    // also ends in a reset.
    link.Reset();
  });
}

void soak_run::AddUpstreamFault(std::size_t daemon, int at_ms, int length_ms) {
  static constexpr const char* kFaults[] = {"fail_fast", "shed"};
  const std::string fault = kFaults[Draw(0, 1)];
  const auto set = [this, daemon, fault](const char* value) {
    deployment_.PutJson(deployment_.pair(daemon).upstream, "/standin/faults",
                        "{\"" + fault + "\":" + value + "}");
  };
  Add(at_ms, fault + " upstream " + std::to_string(daemon), [set] { set("true"); });
  Add(at_ms + length_ms, "no fault of upstream " + std::to_string(daemon),
      [set] { set("false"); });
}

void soak_run::AddFault(std::size_t kind, int at_ms) {
  const auto daemon =
      static_cast<std::size_t>(Draw(0, static_cast<int>(deployment_.size()) - 1));
  const auto upstream = static_cast<std::size_t>(Draw(0, static_cast<int>(services_) - 1));
  const int length_ms = Draw(50, 3000);
  switch (kind) {
    case 0:
      AddSignal(daemon, at_ms, Draw(10, 800), true);
      break;
    case 1:
      AddSignal(daemon, at_ms, length_ms, false);
      break;
    case 2:
      AddStop(daemon, at_ms);
      break;
    case 3:
      AddLinkFault(*log_link_, "the log's link", at_ms, length_ms);
      break;
    case 4:
      AddLinkFault(*upstream_links_[upstream],
                   "the link of upstream " + std::to_string(upstream), at_ms, length_ms);
      break;
    case 5:
      AddUpstreamFault(upstream, at_ms, length_ms);
      break;
    default:
      Add(at_ms, "publish", [this] { deployment_.Publish(Document(++documents_)); });
  }
}

void soak_run::Plan() {
  const int length_ms = static_cast<int>(faults_for_.count());
  for (int at_ms = 200; at_ms < length_ms; at_ms += Draw(50, 900)) {
    const auto kind = static_cast<std::size_t>(Draw(0, kFaultKinds - 1));
    // One fault in five is repeated three times.
    const int times = Draw(0, 4) == 0 ? 3 : 1;
    for (int i = 0; i < times; ++i) AddFault(kind, at_ms + i * Draw(10, 400));
  }
  std::ranges::stable_sort(events_, {}, &event::at);
}

void soak_run::WatchVersions() {
  for (std::size_t i = 0; i < deployment_.size(); ++i) {
    const pid_t pid = deployment_.pair(i).daemon->pid();
    const std::int64_t version = deployment_.Status(i, "config_version");
    if (pid == pids_[i] && version >= 0 && version < versions_[i]) {
      AddViolation("daemon " + std::to_string(i) + ": version fell from " +
                   std::to_string(versions_[i]) + " to " + std::to_string(version));
    }
    versions_[i] = pid == pids_[i] ? std::max(versions_[i], version) : version;
    pids_[i] = pid;
  }
}

std::string soak_run::Run() {
  if (!Deploy()) return "the deployment did not start within 30 s: " + deployment_.ctl_output();
  for (std::size_t entry = 0; entry < deployment_.size(); ++entry) {
    for (std::size_t i = 0; i < kCallersPerEntry; ++i) {
      callers_.emplace_back([this, entry, seed = random_()] { Load(entry, seed); });
    }
  }
  Plan();
  start_ = clock::now();
  for (const event& next : events_) {
    std::this_thread::sleep_until(start_ + next.at);
    next.act();
    timeline_ += std::to_string(next.at.count()) + " ms: " + next.text + "\n";
  }
  CheckEnd();
  stop_ = true;
  for (std::thread& caller : callers_) caller.join();
  callers_.clear();
  CheckRequests();
  return violations_.empty() ? ""
                             : "seed " + std::to_string(seed_) + "\n" + violations_ + timeline_;
}

void soak_run::CheckEnd() {
  for (std::size_t i = 0; i < deployment_.size(); ++i) {
    const bool is_back = deployment::WaitFor([this, i] {
      if (!deployment_.pair(i).daemon->IsRunning()) deployment_.StartDaemon(i);
      return deployment_.Call(i, "GET", "/orders/1", "", "", "2000").status == 200;
    });
    if (!is_back) {
      AddViolation("entry " + std::to_string(i) +
                   " does not serve 30 s after the faults ended");
    }
  }
  WatchVersions();
  deployment_.Publish(Document(++documents_));
  const bool has_spread = deployment::WaitFor([this] {
    WatchVersions();
    return std::ranges::all_of(versions_,
                               [this](std::int64_t each) { return each == versions_[0]; });
  });
  if (!has_spread) {
    AddViolation("the daemons do not have the same version 30 s after the faults ended");
  }
}

bool soak_run::WasDisrupted(const sent_request& request) {
  return std::ranges::any_of(disruptions_, [&](const disruption& one) {
    return one.daemon == request.entry && one.begin < request.end && request.begin < one.end;
  });
}

void soak_run::CheckRequests() {
  std::map<std::string, std::int64_t> runs;
  for (std::size_t i = 0; i < deployment_.size(); ++i) {
    const auto record = deployment_.GetJson(deployment_.pair(i).upstream, "/standin/runs");
    if (!record.has_field("marks")) {
      AddViolation("upstream " + std::to_string(i) + " returned no run record");
      continue;
    }
    for (const auto& [mark, count] : record.at("marks").as_object()) {
      runs[mark] += count.as_number().to_int64();
    }
    if (record.at("max_in_use").as_number().to_int64() > kSlots + 1) {
      timeline_ += "upstream " + std::to_string(i) + " had max_in_use " +
                   std::to_string(record.at("max_in_use").as_number().to_int64()) + "\n";
    }
  }
  std::map<int, int> statuses;
  for (const sent_request& request : requests_) {
    const keep_alive_response& response = request.response;
    const std::int64_t ran = runs[request.mark];
    ++statuses[response.complete ? response.status : 0];
    const auto report = [&](const std::string& text) {
      AddViolation(request.mark + " at entry " + std::to_string(request.entry) + ": " + text +
                   "; reported " + std::to_string(response.status) + " " + response.execution +
                   ", runs " + std::to_string(ran));
    };
    if (ran > (request.is_protected ? 1 : kMaxRuns)) report("ran more often than allowed");
    if (!response.complete) {
      // The connection was closed although the request had been executed.
      if (ran > 0 && !WasDisrupted(request)) {
        report("no complete response although its entry was running, " + response.error +
               ", after " + std::to_string((request.end - request.begin) / milliseconds(1)) +
               " ms, sent " + std::to_string((request.begin - start_) / milliseconds(1)) +
               " ms in");
      }
      continue;
    }
    if (response.execution == "not-run" && ran != 0) report("ran although reported as not-run");
    if (response.status == 200 && ran == 0) report("status 200 although it never ran");
    if (response.status == 200 && response.echo != request.mark) {
      report("got the response of another request");
    }
    if (response.status != 200 && response.execution.empty()) {
      report("error without an execution state");
    }
  }
  timeline_ += std::to_string(requests_.size()) + " requests;";
  for (const auto& [status, count] : statuses) {
    timeline_ += " " + std::to_string(status) + ": " + std::to_string(count);
  }
  timeline_ += "\n";
}

}  // namespace bronzeroute::testing
