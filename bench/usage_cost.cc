// Measures what usage caps cost: messages and bytes of one daemon per second, and the share of
// requests that are refused although their account is below its cap. Each daemon takes 12
// requests per second; accounts are as unequal as in docs/design/usage-caps.md. The variants
// "one message a request" (a lender that is asked for each request) and "fixed share" are the
// alternatives in one run.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "proto/membership.pb.h"
#include "src/accounts/usage_limiter.h"
#include "src/accounts/usage_message.h"
#include "src/base/concat.h"
#include "src/membership/usage_codec.h"

namespace bronzeroute {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kAccounts = 73;
constexpr double kRequestsPerDaemon = 12;
constexpr double kCapOverDemand = 1.6;
// IP and UDP headers.
constexpr std::size_t kHeaderBytes = 28;

struct account_load {
  usage_cap cap;
  double demand_per_s = 0;
};

// The largest account has 30% of the traffic, the smallest at least one request per second.
std::vector<account_load> Accounts(double total_per_s, bool has_burst) {
  std::vector<account_load> accounts;
  double weights = 0;
  for (std::uint32_t i = 1; i < kAccounts; ++i) weights += std::pow(0.94, i);
  for (std::uint32_t i = 0; i < kAccounts; ++i) {
    const double share = i == 0 ? 0.3 : 0.7 * std::pow(0.94, i) / weights;
    const double demand = std::max(1.0, share * total_per_s);
    const double rate = demand * kCapOverDemand;
    accounts.push_back({{Concat("account-", i), rate, has_burst ? rate : 0}, demand});
  }
  return accounts;
}

member_id Id(std::uint32_t at) { return member_id{0x9E3779B97F4A7C15 * (at + 1)}; }

std::size_t BytesOf(const usage_message& message) {
  proto::MemberDatagram datagram;
  WriteUsageMessage(message, &datagram);
  datagram.set_sender(Id(1).value);
  datagram.set_sender_incarnation(1'790'000'000'000);
  datagram.set_config_version(400);
  return datagram.ByteSizeLong() + kHeaderBytes;
}

struct in_flight {
  time_point at;
  std::uint64_t number = 0;
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  usage_message message;
  bool operator<(const in_flight& other) const {
    return at != other.at ? at > other.at : number > other.number;
  }
};

struct cost {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  std::uint64_t waited = 0;
  std::uint64_t messages = 0;
  std::uint64_t delegations = 0;
  std::uint64_t bytes = 0;
  std::uint64_t most_received = 0;
  double cpu_us = 0;
};

class crowd {
 public:
  crowd(std::uint32_t daemons, const std::vector<account_load>& accounts)
      : accounts_(accounts), now_(seconds(100)), received_(daemons, 0) {
    std::vector<usage_cap> caps;
    caps.reserve(accounts.size());
    for (const account_load& each : accounts) caps.push_back(each.cap);
    std::vector<member_id> live;
    for (std::uint32_t i = 0; i < daemons; ++i) {
      live.push_back(Id(i));
      index_[Id(i)] = i;
    }
    std::ranges::sort(live);
    for (std::uint32_t i = 0; i < daemons; ++i) {
      limiters_.push_back(std::make_unique<usage_limiter>(Id(i), 1, now_));
      limiters_.back()->SetCaps(caps, now_);
      limiters_.back()->SetMembers(live, daemons, false, now_);
    }
  }

  cost Run(duration time, double load, std::uint32_t clump) {
    for (std::uint64_t& each : received_) each = 0;
    total_ = {};
    const time_point end = now_ + time;
    const auto start = std::chrono::steady_clock::now();
    while (now_ < end) Step(load, clump);
    total_.cpu_us =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
            .count();
    total_.most_received = *std::ranges::max_element(received_);
    return total_;
  }

 private:
  void Step(double load, std::uint32_t clump) {
    now_ += milliseconds(10);
    while (!network_.empty() && network_.top().at <= now_) {
      const in_flight next = network_.top();
      network_.pop();
      ++received_[next.to];
      limiters_[next.to]->OnMessage(next.message, now_);
      Collect(next.to);
    }
    std::uniform_int_distribution<std::uint32_t> daemon(
        0, static_cast<std::uint32_t>(limiters_.size()) - 1);
    for (const account_load& each : accounts_) {
      std::poisson_distribution<int> due(each.demand_per_s * load / 100 / clump);
      for (int i = due(random_); i > 0; --i) {
        const std::uint32_t at = daemon(random_);
        for (std::uint32_t r = 0; r < clump; ++r) Request(at, each.cap.account);
      }
    }
    for (std::uint32_t i = 0; i < limiters_.size(); ++i) {
      limiters_[i]->Tick(now_);
      Collect(i);
    }
  }
  void Request(std::uint32_t at, const std::string& account) {
    ++total_.requests;
    const usage_decision decision =
        limiters_[at]->Acquire(account, ++waiter_, now_ + milliseconds(150), now_);
    if (decision.state == usage_state::kDenied) ++total_.refused;
    if (decision.state == usage_state::kPending) ++total_.waited;
    Collect(at);
  }
  void Collect(std::uint32_t at) {
    for (const auto& each : limiters_[at]->TakeResults()) {
      if (each.decision.state == usage_state::kDenied) ++total_.refused;
    }
    for (usage_message& message : limiters_[at]->TakeMessages()) {
      ++total_.messages;
      if (message.type == usage_message::kind::kDelegation) ++total_.delegations;
      total_.bytes += BytesOf(message);
      const std::uint32_t to = index_.at(message.peer);
      message.peer = Id(at);
      // Two thirds of the daemons are in another region.
      const auto delay = (at % 3 == to % 3) ? milliseconds(1) : milliseconds(10);
      network_.push({now_ + delay, ++number_, at, to, std::move(message)});
    }
  }

  const std::vector<account_load>& accounts_;
  time_point now_;
  std::mt19937_64 random_{5};
  std::vector<std::unique_ptr<usage_limiter>> limiters_;
  std::map<member_id, std::uint32_t> index_;
  std::vector<std::uint64_t> received_;
  std::priority_queue<in_flight> network_;
  std::uint64_t number_ = 0;
  std::uint64_t waiter_ = 0;
  cost total_;
};

// Share refused if each daemon had the reciprocal of the daemons as a fixed bucket.
double RefusedWithFixedShares(std::uint32_t daemons, const std::vector<account_load>& accounts,
                              std::uint32_t clump) {
  constexpr double kTime = 30;
  std::mt19937_64 random(5);
  double sent = 0;
  double refused = 0;
  for (const account_load& each : accounts) {
    const double rate = each.cap.rate_per_s / daemons;
    // At least one token, or no request would ever run.
    const double depth = std::max(1.0, each.cap.burst / daemons);
    for (std::uint32_t at = 0; at < daemons; ++at) {
      std::exponential_distribution<double> next(each.demand_per_s / daemons / clump);
      double level = depth;
      for (double time = 0, gap = next(random); time + gap < kTime; gap = next(random)) {
        time += gap;
        level = std::min(depth, level + rate * gap);
        for (std::uint32_t r = 0; r < clump; ++r) {
          sent += 1;
          if (level >= 1) {
            level -= 1;
          } else {
            refused += 1;
          }
        }
      }
    }
  }
  return refused / sent;
}

void Measure(std::uint32_t daemons, bool has_burst, double load, std::uint32_t clump) {
  const std::vector<account_load> accounts = Accounts(kRequestsPerDaemon * daemons, has_burst);
  crowd all(daemons, accounts);
  all.Run(seconds(8), load, clump);
  constexpr double kTime = 10;
  const cost row = all.Run(seconds(10), load, clump);
  const double per_daemon = kTime * daemons;
  const auto per = [](auto value, double by) { return static_cast<double>(value) / by; };
  std::printf("%7u %5s %5.1f %5u %8.2f %8.2f %8.2f %9.0f %9.1f %9.2f %8.3f %8.3f %8.1f\n",
              daemons, has_burst ? "1 s" : "0", load, clump, per(row.requests, per_daemon),
              per(row.messages, per_daemon), per(row.delegations, per_daemon),
              per(row.bytes, per_daemon), per(row.most_received, kTime),
              per(row.messages - row.delegations, static_cast<double>(row.requests) * 2),
              100 * per(row.refused, static_cast<double>(row.requests)),
              100 * RefusedWithFixedShares(daemons, accounts, clump), row.cpu_us / per_daemon);
}

}  // namespace
}  // namespace bronzeroute

int main() {
  std::printf(
      "%u accounts, cap 1.6 times the usual demand; per daemon and second, except:\n"
      "  most: messages received per second by the daemon that receives most\n"
      "  asked: requests for tokens per request of a caller (1 if the lender were asked for "
      "each)\n"
      "  refused %%: now, and with a fixed share at each daemon\n"
      "  us: processor time in microseconds, encoding and network excluded\n",
      bronzeroute::kAccounts);
  std::printf("%7s %5s %5s %5s %8s %8s %8s %9s %9s %9s %8s %8s %8s\n", "daemons", "burst",
              "load", "clump", "requests", "messages", "of deleg", "bytes", "most", "asked",
              "refused", "fixed", "us");
  for (const std::uint32_t daemons : {60U, 300U, 540U}) {
    bronzeroute::Measure(daemons, true, 1, 1);
    bronzeroute::Measure(daemons, false, 1, 1);
    bronzeroute::Measure(daemons, false, 1, 4);
  }
  bronzeroute::Measure(60, true, 7, 1);
  return 0;
}
