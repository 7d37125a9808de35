#include "standins/platform/configuration_oracle.h"

#include <algorithm>

#include "src/base/concat.h"
#include "standins/platform/upstream_oracle.h"

namespace bronzeroute::standin {
namespace {

constexpr int kNoResponse = 0;
constexpr int kNotFound = 404;

bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

bool IsDenial(int status) { return status >= 300 && status < 500 && !IsPromise(status); }

bool Allows(const authored_route* route, std::string_view service) {
  return route != nullptr && std::ranges::any_of(route->targets, [&](const auto& target) {
           return target.first == service && target.second > 0;
         });
}

}  // namespace

void configuration_oracle::OnSent(const authored_version& version, clock::time_point now) {
  versions_.push_back({version, now});
}

void configuration_oracle::OnConfirmed(std::int64_t version, clock::time_point now) {
  for (version_row& row : versions_) {
    if (row.version.number == version) row.confirmed = now;
  }
}

void configuration_oracle::OnStoreFault(clock::time_point from, clock::time_point until) {
  faults_.push_back({"", from, until});
}

void configuration_oracle::OnDaemonFault(const std::string& entry, clock::time_point from,
                                         clock::time_point until) {
  faults_.push_back({entry, from, until});
}

void configuration_oracle::OnDaemonStarted(const std::string& entry, clock::time_point now) {
  for (fault_row& fault : faults_) {
    if (fault.entry == entry) fault.until = std::min(fault.until, now);
  }
}

bool configuration_oracle::HadFault(const std::string& entry, clock::time_point at) const {
  return std::ranges::any_of(faults_, [&](const fault_row& fault) {
    return fault.entry == entry && fault.from <= at && at < fault.until + bounds_.stability;
  });
}

bool configuration_oracle::IsInTouch(const std::string& entry, clock::time_point sent) const {
  return !HadFault("", sent) && !HadFault(entry, sent);
}

bool configuration_oracle::RanBeforeDue(const std::string& entry, std::int64_t version) const {
  const auto row = std::ranges::find_if(
      versions_, [version](const version_row& each) { return each.version.number == version; });
  return row != versions_.end() && !HadFault(entry, row->confirmed + bounds_.configuration);
}

void configuration_oracle::OnRequest(const std::string& id, const std::string& entry,
                                     const std::string& host, const std::string& path,
                                     bool is_protected, clock::time_point now) {
  requests_[id] = {entry, host, path, is_protected, now};
}

std::vector<const configuration_oracle::version_row*> configuration_oracle::InEffect(
    clock::time_point sent, clock::time_point now) const {
  std::vector<const version_row*> result;
  for (const version_row& row : versions_) {
    if (row.sent > now) break;
    const bool is_due = row.confirmed != clock::time_point::max() &&
                        row.confirmed + bounds_.configuration <= sent;
    if (is_due) result.clear();
    result.push_back(&row);
  }
  return result;
}

std::int64_t configuration_oracle::Newest(clock::time_point sent) const {
  std::int64_t newest = -1;
  for (const version_row& row : versions_) {
    if (row.confirmed <= sent) newest = row.version.number;
  }
  return newest;
}

void configuration_oracle::Break(std::string rule, const std::string& id,
                                 const request_row& row, const std::string& text) {
  if (rule == "CONFIG" && !IsInTouch(row.entry, row.sent)) {
    ++excused_;
    return;
  }
  breaks_.push_back(
      {std::move(rule),
       Concat("id ", id, " ", row.host, row.path, " at ", row.entry,
              ", newest version confirmed when sent: ", Newest(row.sent), "; ", text)});
}

void configuration_oracle::OnArrival(const std::string& id, const std::string& upstream,
                                     upstream_oracle& upstreams, clock::time_point now) const {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  upstreams.OnArrival(upstream, found->second.entry, id, found->second.sent, now);
}

void configuration_oracle::OnRun(const std::string& id, const std::string& service,
                                 clock::time_point now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    breaks_.push_back(
        {"UNASKED", Concat("id ", id, " ran at ", service, ", no caller sent it")});
    return;
  }
  request_row& row = found->second;
  ++row.runs;
  if (row.is_protected && row.runs > 1) Break("TWICE", id, row, Concat("runs: ", row.runs));
  if (row.is_protected && IsPromise(row.status)) {
    Break("REFUSED", id, row, Concat("ran after the response ", row.status));
  }
  const auto in_effect = InEffect(row.sent, now);
  const auto allows = [&](const version_row* version) {
    return Allows(version->version.Find(row.host, row.path), service);
  };
  if (std::ranges::any_of(in_effect, allows)) return;
  std::int64_t older = -1;
  for (const version_row& version : versions_) {
    if (allows(&version)) older = version.version.number;
  }
  if (older < 0) {
    Break("ROUTE", id, row, Concat("ran at ", service, ", which no version allows"));
  } else {
    Break(
        "CONFIG", id, row,
        Concat("ran at ", service, ", which only version ", older, " or an older one allows"));
  }
}

void configuration_oracle::OnResponse(const std::string& id, int status,
                                      clock::time_point now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  request_row& row = found->second;
  row.status = status;
  ++statuses_[status == kNoResponse ? "none" : std::to_string(status)];
  if (row.is_protected && IsPromise(status) && row.runs > 0) {
    Break("REFUSED", id, row, Concat("ran before the response ", status));
  }
  if (!IsDenial(status)) return;
  const auto in_effect = InEffect(row.sent, now);
  const bool is_allowed = std::ranges::all_of(in_effect, [&](const version_row* version) {
    return version->version.Find(row.host, row.path) != nullptr;
  });
  if (!is_allowed || in_effect.empty()) return;
  const std::int64_t due = in_effect.front()->version.number;
  const bool is_superseded = std::ranges::any_of(versions_, [&](const version_row& version) {
    return version.version.number < due && version.version.Find(row.host, row.path) == nullptr;
  });
  Break(status == kNotFound && is_superseded ? "CONFIG" : "DENIED", id, row,
        Concat("response ", status, " though every version in effect allows it"));
}

}  // namespace bronzeroute::standin
