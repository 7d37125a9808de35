#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/configuration/region_limit.h"
#include "src/membership/member_state.h"
#include "src/routing/attempt_end.h"
#include "src/routing/candidate.h"
#include "src/routing/choice_context.h"
#include "src/routing/choice_result.h"
#include "src/routing/ejection.h"

namespace bronzeroute {

struct member_row;
struct service_spec;

/// Load and health of the members of each service as seen by this process: last hints received,
/// own open attempts and ejections. Members are indexed by service.
class hint_table {
 public:
  explicit hint_table(transfer_cost costs = {}) : costs_(costs) {}

  /// Replaces the members. Rows of members with an unchanged incarnation keep their hints,
  /// counts and ejections.
  void OnMembers(std::span<const member_row> members, member_id own, std::string_view region,
                 std::string_view availability_zone, time_point now);

  /// The availability zones whose members must get no work. Takes effect with the next
  /// `OnMembers`.
  void SetEvacuated(const std::set<std::string, std::less<>>& zones) { evacuated_ = zones; }

  /// True if `member` is in the subset that this entry chooses from. The number of such members
  /// is bounded for each service, however many serve it; `Gather` uses the others only while
  /// none of the subset is eligible.
  bool IsPreferred(member_id member) const;

  /// Ignores hints of unknown members and earlier incarnations, and hints that are not newer
  /// than the last one. Sequence 0 marks a message without a hint.
  void OnHint(member_id member, incarnation_id incarnation, const load_hint& hint,
              time_point now);

  /// Resets hints, counts and ejection of `member`, whose reply had a later incarnation than
  /// its entry. OnMembers passes the new row later.
  void OnNewerIncarnation(member_id member, incarnation_id incarnation);

  /// Counts expected work like a sent attempt until a hint can include it.
  void OnWorkExpected(member_id member, time_point now);
  void OnAttemptSent(member_id member, bool is_trial, time_point now);
  void OnAttemptEnded(member_id member, attempt_end outcome, bool is_trial, time_point now);

  /// Result of Gather. If `trial` is set, the only candidate is a trial and is chosen without
  /// the policy.
  struct eligible_members {
    std::vector<candidate> candidates;
    choice_context context;
    bool trial = false;
    bool any_member = false;
  };
  void Gather(const service_spec& spec, const choice_request& request,
              std::span<const member_id> excluded, time_point now, eligible_members& result,
              choice_explanation& explanation);

  /// The state of `member` for tests and the status page; kClear if it is unknown.
  ejection_state StateOf(member_id member, time_point now) const;

 private:
  struct entry {
    candidate row;
    std::string region;
    member_state state = member_state::kAlive;
    bool draining = false;
    bool evacuated = false;
    bool ejected_by_owner = false;
    bool has_hint = false;
    std::size_t service = 0;
    bool preferred = false;
    /// Number of the call of OnMembers that last named the member.
    std::uint64_t named_in = 0;
    ejection health;
    /// Times at which the attempts counted in candidate::sent_since_hint were sent, oldest
    /// first.
    std::vector<time_point> unreported_sends;
    /// candidate::failure_share at `failed_at`; it halves every second from then on.
    double failure_share = 0;
    time_point failed_at;
  };
  struct service_entry {
    std::vector<std::size_t> members;
    std::vector<std::size_t> preferred;
    std::uint64_t turns = 0;
  };

  entry* Find(member_id member);
  std::size_t ServiceIndex(const std::string& name);
  std::uint32_t ZoneIndex(std::string_view region, std::string_view zone);
  /// Adds or updates the entry of `row`; true if its group or its place in it changed.
  bool Update(const member_row& row, distance where);
  /// Removes entries that the current call of OnMembers did not name; true if there were any.
  bool RemoveUnnamed();
  /// Builds the groups of services and chooses the preferred members of each.
  void Regroup(member_id own);
  void Prefer(service_entry& service, member_id own);
  static void AddUnreportedSend(entry& item, time_point now);
  void ApplyHint(entry& item, const load_hint& hint, time_point received, time_point now);
  /// Replaces the service times of candidates that had no work for a while by the mean of the
  /// others, since nothing has measured them since.
  static void ForgetOldServiceTimes(time_point now, eligible_members& result);
  /// True if `item` may be ejected, so that at most half of the members that this entry chooses
  /// from are.
  bool MayEject(const entry& item, time_point now) const;
  candidate_disposition DispositionOf(const entry& item, const service_spec& spec,
                                      const region_limit& regions,
                                      std::span<const member_id> excluded) const;
  bool IsTrialDue(const entry& item, const choice_request& request, time_point now) const;
  /// `Gather` among `members`, but for suspect ones, which are added to `suspects`.
  void GatherFrom(std::span<const std::size_t> members, const service_spec& spec,
                  std::span<const member_id> excluded, time_point now, eligible_members& result,
                  std::vector<std::size_t>& suspects, choice_explanation& explanation) const;
  static void AddCandidate(const entry& item, time_point now, eligible_members& result);

  transfer_cost costs_;
  std::set<std::string, std::less<>> evacuated_;
  std::uint64_t updates_ = 0;
  std::vector<entry> entries_;
  absl::flat_hash_map<member_id, std::size_t> index_;
  std::vector<service_entry> services_;
  absl::flat_hash_map<std::string, std::size_t> service_index_;
  absl::flat_hash_map<std::string, std::uint32_t> zone_index_;
};

}  // namespace bronzeroute
