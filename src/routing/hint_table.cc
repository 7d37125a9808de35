#include "src/routing/hint_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "absl/strings/str_join.h"
#include "src/base/concat.h"
#include "src/configuration/may_run_in.h"
#include "src/configuration/service_spec.h"
#include "src/membership/member_row.h"
#include "src/routing/member_subset.h"
#include "src/routing/score_function.h"

namespace bronzeroute {
namespace {

// Time constant of the moving average of service times. A single hint also reflects slowdowns
// of a few ms, which are over when a call arrives.
constexpr double kServiceTimeAveragingUs = 250'000;

// Bounds the memory for a member that sends no hints; far above the length of any queue.
constexpr std::size_t kMaxUnreportedSends = 1024;

// Time without work after which the service time of a member says nothing about the next call.
// Without this limit a member that was slow at its last work would get none again while the
// others are idle.
constexpr duration kServiceTimeValidity = std::chrono::seconds(5);

constexpr double kFailureWeight = 1.0 / 8;
constexpr double kFailureHalfLifeUs = 1e6;

// Additional delay before a long call may be the trial. The single trial would be open for the
// whole length of the call, so short calls have precedence; services without short calls use a
// long one after this time.
constexpr duration kLongTrialDelay = std::chrono::seconds(5);

/// True if recent work has measured the service time of `row`.
bool HasMeasuredServiceTime(const candidate& row, time_point now) {
  return row.worked_at + kServiceTimeValidity > now;
}

distance DistanceOf(const member_row& row, member_id own, std::string_view region,
                    std::string_view availability_zone) {
  if (row.id == own) return distance::kSameInstance;
  if (row.region != region) return distance::kOtherRegion;
  return row.availability_zone == availability_zone ? distance::kSameZone
                                                    : distance::kSameRegion;
}

double DecayedShare(double share, duration age) {
  return share * std::exp2(-static_cast<double>(age.count()) / kFailureHalfLifeUs);
}

}  // namespace

hint_table::entry* hint_table::Find(member_id member) {
  const auto found = index_.find(member);
  return found == index_.end() ? nullptr : &entries_[found->second];
}

void hint_table::OnMembers(std::span<const member_row> members, member_id own,
                           std::string_view region, std::string_view availability_zone,
                           time_point now) {
  ++updates_;
  bool changed = false;
  for (const member_row& row : members) {
    if (row.service.empty() || row.state == member_state::kDead ||
        row.state == member_state::kLeft) {
      continue;
    }
    changed = Update(row, DistanceOf(row, own, region, availability_zone)) || changed;
  }
  changed = RemoveUnnamed() || changed;
  if (changed) Regroup(own);
  // Hints are applied once the index is complete: a hint may eject a member, which depends on
  // the other members of its service.
  for (const member_row& row : members) {
    entry* item = Find(row.id);
    if (item != nullptr && row.hint.sequence > 0) {
      ApplyHint(*item, row.hint, row.hint_received, now);
    }
  }
}

std::size_t hint_table::ServiceIndex(const std::string& name) {
  const auto found = service_index_.find(name);
  if (found != service_index_.end()) return found->second;
  service_index_.emplace(name, services_.size());
  services_.emplace_back();
  return services_.size() - 1;
}

std::uint32_t hint_table::ZoneIndex(std::string_view region, std::string_view zone) {
  const auto next = static_cast<std::uint32_t>(zone_index_.size());
  return zone_index_.try_emplace(Concat(region, "/", zone), next).first->second;
}

bool hint_table::Update(const member_row& row, distance where) {
  const auto [found, is_new] = index_.try_emplace(row.id, entries_.size());
  if (is_new) entries_.emplace_back();
  entry& item = entries_[found->second];
  // The entry may have a later incarnation than `row`; see OnNewerIncarnation.
  const bool is_replaced = is_new || item.row.incarnation < row.incarnation;
  if (is_replaced) {
    item = {};
    item.row.id = row.id;
    item.row.incarnation = row.incarnation;
  }
  item.named_in = updates_;
  const std::size_t service = ServiceIndex(row.service);
  const bool evacuated = evacuated_.contains(row.availability_zone);
  const bool changed = is_replaced || item.service != service || item.row.where != where ||
                       item.draining != row.draining || item.evacuated != evacuated;
  item.row.where = where;
  item.row.zone = ZoneIndex(row.region, row.availability_zone);
  item.service = service;
  item.draining = row.draining;
  item.evacuated = evacuated;
  item.state = row.state;
  if (item.region != row.region) item.region = row.region;
  return changed;
}

bool hint_table::RemoveUnnamed() {
  const std::size_t removed =
      std::erase_if(entries_, [this](const entry& item) { return item.named_in != updates_; });
  if (removed == 0) return false;
  index_.clear();
  for (std::size_t i = 0; i < entries_.size(); ++i) index_.emplace(entries_[i].row.id, i);
  return true;
}

void hint_table::Regroup(member_id own) {
  for (service_entry& service : services_) {
    service.members.clear();
    service.preferred.clear();
  }
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    entries_[i].preferred = false;
    services_[entries_[i].service].members.push_back(i);
  }
  for (service_entry& service : services_) Prefer(service, own);
}

void hint_table::Prefer(service_entry& service, member_id own) {
  for (const distance where : {distance::kSameInstance, distance::kSameZone,
                               distance::kSameRegion, distance::kOtherRegion}) {
    std::vector<subset_member> group;
    for (const std::size_t index : service.members) {
      const entry& item = entries_[index];
      if (item.row.where == where) {
        group.push_back({item.row.id, index, item.draining || item.evacuated});
      }
    }
    SelectSubset(own, SubsetLimit(where), group);
    for (const subset_member& each : group) entries_[each.index].preferred = true;
  }
  for (const std::size_t index : service.members) {
    if (entries_[index].preferred) service.preferred.push_back(index);
  }
}

bool hint_table::IsPreferred(member_id member) const {
  const auto found = index_.find(member);
  return found != index_.end() && entries_[found->second].preferred;
}

void hint_table::OnNewerIncarnation(member_id member, incarnation_id incarnation) {
  entry* item = Find(member);
  if (item == nullptr || item->row.incarnation >= incarnation) return;
  entry replacement;
  replacement.row.id = item->row.id;
  replacement.row.incarnation = incarnation;
  replacement.row.where = item->row.where;
  replacement.row.zone = item->row.zone;
  replacement.region = item->region;
  replacement.state = item->state;
  replacement.evacuated = item->evacuated;
  replacement.service = item->service;
  replacement.preferred = item->preferred;
  replacement.named_in = item->named_in;
  *item = std::move(replacement);
}

void hint_table::OnHint(member_id member, incarnation_id incarnation, const load_hint& hint,
                        time_point now) {
  entry* item = Find(member);
  if (item != nullptr && item->row.incarnation == incarnation) ApplyHint(*item, hint, now, now);
}

void hint_table::ApplyHint(entry& item, const load_hint& hint, time_point received,
                           time_point now) {
  if (hint.sequence <= item.row.hint.sequence) return;
  const auto elapsed_us = static_cast<double>((received - item.row.hint_received).count());
  const double weight =
      item.has_hint ? 1 - std::exp(-std::max(elapsed_us, 0.0) / kServiceTimeAveragingUs) : 1;
  item.row.service_time_us += weight * (hint.service_time_us - item.row.service_time_us);
  const bool had_work = !item.has_hint || Occupancy(item.row) > 0;
  item.has_hint = true;
  item.row.hint = hint;
  item.row.hint_received = received;
  // Work of the hint before has ended since then.
  if (had_work || Occupancy(item.row) > 0) item.row.worked_at = received;
  // The owner sent the hint half a round trip ago, and it includes the attempts received by
  // then: those sent at least one round trip ago.
  const time_point included_until = received - TypicalRoundTrip(item.row.where);
  const auto first_unreported = std::ranges::upper_bound(item.unreported_sends, included_until);
  item.unreported_sends.erase(item.unreported_sends.begin(), first_unreported);
  item.row.sent_since_hint = static_cast<std::uint32_t>(item.unreported_sends.size());
  const bool clear = item.health.At(now) == ejection_state::kClear;
  if (hint.failing && clear && MayEject(item, now)) {
    item.health.Eject(now);
    item.ejected_by_owner = true;
  } else if (!hint.failing && !clear && item.ejected_by_owner) {
    item.health.Clear();
    item.ejected_by_owner = false;
  }
}

void hint_table::AddUnreportedSend(entry& item, time_point now) {
  if (item.unreported_sends.size() == kMaxUnreportedSends) {
    item.unreported_sends.erase(item.unreported_sends.begin());
  }
  item.unreported_sends.push_back(now);
  item.row.worked_at = std::max(item.row.worked_at, now);
  item.row.sent_since_hint = static_cast<std::uint32_t>(item.unreported_sends.size());
}

void hint_table::OnWorkExpected(member_id member, time_point now) {
  entry* item = Find(member);
  if (item != nullptr) AddUnreportedSend(*item, now);
}

void hint_table::OnAttemptSent(member_id member, bool is_trial, time_point now) {
  entry* item = Find(member);
  if (item == nullptr) return;
  AddUnreportedSend(*item, now);
  ++item->row.open_attempts;
  if (is_trial) item->health.BeginTrial();
}

void hint_table::OnAttemptEnded(member_id member, attempt_end outcome, bool is_trial,
                                time_point now) {
  entry* item = Find(member);
  if (item == nullptr) return;
  if (item->row.open_attempts > 0) --item->row.open_attempts;
  ejection& health = item->health;
  if (outcome == attempt_end::kCompleted || outcome == attempt_end::kErrorResponse ||
      outcome == attempt_end::kFailed) {
    const double share = DecayedShare(item->failure_share, now - item->failed_at);
    const double sample = outcome == attempt_end::kCompleted ? 0 : 1;
    item->failure_share = share + kFailureWeight * (sample - share);
    item->failed_at = now;
  }
  switch (outcome) {
    case attempt_end::kErrorResponse:
    case attempt_end::kCompleted:
      if (is_trial) {
        health.OnTrialSucceeded();
        item->ejected_by_owner = false;
      } else {
        health.OnSuccess();
      }
      break;
    case attempt_end::kFailed:
      if (is_trial) {
        health.OnTrialFailed(now);
      } else {
        health.OnFailure(MayEject(*item, now), now);
      }
      break;
    case attempt_end::kRefusedEjected:
      if (is_trial) {
        health.OnTrialFailed(now);
      } else if (health.At(now) == ejection_state::kClear && MayEject(*item, now)) {
        health.Eject(now);
        item->ejected_by_owner = true;
      }
      break;
    case attempt_end::kRefused:
    case attempt_end::kCancelled:
      if (is_trial) health.OnTrialAbandoned();
      break;
  }
}

bool hint_table::MayEject(const entry& item, time_point now) const {
  const service_entry& service = services_[item.service];
  const std::vector<std::size_t>& members =
      item.preferred ? service.preferred : service.members;
  std::size_t ejected = 1;
  for (const std::size_t index : members) {
    const entry& other = entries_[index];
    if (&other != &item && other.health.At(now) != ejection_state::kClear) ++ejected;
  }
  return ejected * 2 <= members.size();
}

ejection_state hint_table::StateOf(member_id member, time_point now) const {
  const auto found = index_.find(member);
  return found == index_.end() ? ejection_state::kClear
                               : entries_[found->second].health.At(now);
}

candidate_disposition hint_table::DispositionOf(const entry& item, const service_spec& spec,
                                                const region_limit& regions,
                                                std::span<const member_id> excluded) const {
  if (std::ranges::find(excluded, item.row.id) != excluded.end()) {
    return candidate_disposition::kExcludedByCaller;
  }
  if (!MayRunIn(spec, item.region)) return candidate_disposition::kOutsideRegions;
  if (!regions.Allows(item.region)) return candidate_disposition::kOutsideRequestRegions;
  if (item.evacuated || item.row.hint.evacuated) return candidate_disposition::kEvacuated;
  if (item.draining || item.row.hint.draining) return candidate_disposition::kDraining;
  if (item.state != member_state::kAlive) return candidate_disposition::kSuspect;
  return candidate_disposition::kNotSelected;
}

bool hint_table::IsTrialDue(const entry& item, const choice_request& request,
                            time_point now) const {
  if (!item.health.MayTry(request.is_protected, now)) return false;
  return !request.is_long || now >= item.health.until() + kLongTrialDelay;
}

void hint_table::Gather(const service_spec& spec, const choice_request& request,
                        std::span<const member_id> excluded, time_point now,
                        eligible_members& result, choice_explanation& explanation) {
  const auto service = service_index_.find(spec.name);
  if (service == service_index_.end() || services_[service->second].members.empty()) return;
  service_entry& group = services_[service->second];
  result.any_member = true;
  result.context.service = spec.name;
  result.context.request = request;
  result.context.is_further_attempt = !excluded.empty();
  result.context.now = now;
  result.context.costs = costs_;
  result.context.turn = group.turns++;

  if (request.regions.is_limited()) {
    explanation.allowed_regions = absl::StrJoin(request.regions.regions(), ", ");
  }

  std::vector<std::size_t> suspects;
  GatherFrom(group.preferred, spec, excluded, now, result, suspects, explanation);
  if (result.candidates.empty() && group.preferred.size() < group.members.size()) {
    suspects.clear();
    explanation.candidates.clear();
    GatherFrom(group.members, spec, excluded, now, result, suspects, explanation);
  }
  // Suspect members are the last resort, as the suspicion may be wrong.
  if (result.candidates.empty()) {
    for (const std::size_t index : suspects) AddCandidate(entries_[index], now, result);
  }
  ForgetOldServiceTimes(now, result);
}

void hint_table::ForgetOldServiceTimes(time_point now, eligible_members& result) {
  for (candidate& each : result.candidates) {
    if (!HasMeasuredServiceTime(each, now)) {
      each.service_time_us = result.context.mean_service_time_us;
    }
  }
}

void hint_table::AddCandidate(const entry& item, time_point now, eligible_members& result) {
  result.candidates.push_back(item.row);
  result.candidates.back().failure_share =
      DecayedShare(item.failure_share, now - item.failed_at);
}

void hint_table::GatherFrom(std::span<const std::size_t> members, const service_spec& spec,
                            std::span<const member_id> excluded, time_point now,
                            eligible_members& result, std::vector<std::size_t>& suspects,
                            choice_explanation& explanation) const {
  const region_limit& regions = result.context.request.regions;
  double hints = 0;
  double service_times = 0;
  double measured = 0;
  double measured_times = 0;
  // Members may have left or started to drain since the ejections, so the limit of one half is
  // applied again to the members that can serve.
  std::size_t serving = 0;
  std::size_t excluded_and_ejected = 0;
  for (const std::size_t index : members) {
    const entry& item = entries_[index];
    if (DispositionOf(item, spec, regions, {}) != candidate_disposition::kNotSelected) continue;
    ++serving;
    const bool is_excluded = std::ranges::find(excluded, item.row.id) != excluded.end();
    if (is_excluded && item.health.At(now) != ejection_state::kClear) ++excluded_and_ejected;
  }
  std::size_t may_stay_ejected = serving / 2 - std::min(serving / 2, excluded_and_ejected);
  explanation.candidates.reserve(members.size());
  result.context.mean_occupancy = 0;
  result.context.mean_service_time_us = 0;
  for (const std::size_t index : members) {
    const entry& item = entries_[index];
    if (item.has_hint) {
      ++hints;
      result.context.mean_occupancy += Occupancy(item.row);
      service_times += item.row.service_time_us;
      if (HasMeasuredServiceTime(item.row, now)) {
        ++measured;
        measured_times += item.row.service_time_us;
      }
    }
    candidate_disposition disposition = DispositionOf(item, spec, regions, excluded);
    if (disposition == candidate_disposition::kNotSelected && !result.trial) {
      if (IsTrialDue(item, result.context.request, now)) {
        result.candidates.clear();
        result.trial = true;
        AddCandidate(item, now, result);
      } else if (item.health.At(now) == ejection_state::kClear || may_stay_ejected == 0) {
        AddCandidate(item, now, result);
      } else {
        --may_stay_ejected;
        disposition = candidate_disposition::kEjected;
      }
    } else if (disposition == candidate_disposition::kSuspect) {
      suspects.push_back(index);
    }
    explanation.candidates.push_back(
        {.id = item.row.id, .where = item.row.where, .disposition = disposition});
  }
  if (hints > 0) {
    result.context.mean_occupancy /= hints;
    result.context.mean_service_time_us =
        measured > 0 ? measured_times / measured : service_times / hints;
  }
}

}  // namespace bronzeroute
