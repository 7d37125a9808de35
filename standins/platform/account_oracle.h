#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "standins/platform/rule_break.h"

namespace bronzeroute::standin {

/// A client account as the operator writes it.
struct account_shape {
  std::string name;
  std::string key;
  double per_second = 0;
  double burst = 0;
};

/// Judges what is done with accounts: an upstream that gets another account or a key (UNASKED),
/// a run of a request without a known key (ROUTE), more runs of an account than its cap allows
/// (QUOTA), and a known key that is refused (DENIED). Times are of one steady clock.
class account_oracle {
 public:
  using clock = std::chrono::steady_clock;

  explicit account_oracle(std::vector<account_shape> accounts);

  /// A caller sends the request `id` with `key`; with an empty one, it needs no account.
  void OnRequest(const std::string& id, const std::string& key, clock::time_point now);
  /// The request reached an upstream with these values of the account and key fields.
  void OnArrival(const std::string& id, const std::string& account,
                 const std::string& passed_key);
  /// An upstream begins to run the request.
  void OnRun(const std::string& id, clock::time_point now);
  void OnResponse(const std::string& id, int status);

  const std::vector<rule_break>& breaks() const { return breaks_; }
  /// Requests of each account that were sent, that ran, and that were refused over its cap.
  struct account_counts {
    int sent = 0;
    int ran = 0;
    int over_cap = 0;
  };
  const std::map<std::string, account_counts>& counts() const { return counts_; }

 private:
  struct request_row {
    std::string key;
    clock::time_point sent;
  };
  struct run_row {
    clock::time_point sent;
    clock::time_point ran;
  };

  /// The account that holds `key`, or null.
  const account_shape* HolderOf(const std::string& key) const;
  void CheckCap(const account_shape& account, clock::time_point now);

  std::vector<account_shape> accounts_;
  std::map<std::string, request_row> requests_;
  /// Runs of the last window by account.
  std::map<std::string, std::deque<run_row>> runs_;
  std::map<std::string, account_counts> counts_;
  std::vector<rule_break> breaks_;
};

}  // namespace bronzeroute::standin
