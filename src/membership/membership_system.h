#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/accounts/usage_message.h"
#include "src/base/strong_id.h"
#include "src/base/time.h"
#include "src/measuring/charge_purpose.h"
#include "src/membership/evacuation_set.h"
#include "src/membership/member_row.h"
#include "src/membership/member_table.h"
#include "src/membership/member_update.h"
#include "src/membership/membership_event.h"
#include "src/membership/membership_settings.h"
#include "src/membership/merge_result.h"
#include "src/membership/upstream_announcement.h"
#include "src/membership/upstream_departure.h"
#include "src/routing/load_hint.h"

namespace bronzeroute::proto {
class MemberDatagram;
class MemberRecord;
}  // namespace bronzeroute::proto

namespace bronzeroute {

class budget_account;
class datagram_port;
class log_port;
struct log_read;

/// Tracks which daemons are alive, by failure detection over datagrams and by join and leave
/// records in the log stream `members`, and processes the announcements of the upstream beside
/// this daemon.
///
/// All functions are called on one thread with times that do not decrease.
class membership_system {
 public:
  /// `self` holds id, incarnation (start in Unix milliseconds), region, zone and addresses. The
  /// ports and the budget must outlive the system.
  membership_system(member_row self, membership_settings settings, datagram_port& datagrams,
                    log_port& log, budget_account& budget, std::uint64_t seed, time_point now);

  /// Processes a datagram from `from` ("ip:port"). Malformed ones are counted and dropped.
  void OnDatagram(std::string_view from, std::string_view payload, time_point now);
  /// Result of a read; reads of other streams are ignored.
  void OnLogRead(const log_read& read, time_point now);
  /// A read of `stream` failed.
  void OnLogFailed(std::string_view stream, time_point now);
  /// Result of the append with `token`; tokens of other systems are ignored. A failed append
  /// may still have taken effect.
  void OnAppendResult(std::uint64_t token, bool appended, time_point now);
  /// The upstream beside this daemon announced itself; expected every 2 s.
  void OnAnnouncement(upstream_announcement announcement, time_point now);

  /// An upstream beside this daemon has left. The record of this member carries the departure,
  /// so that its later incarnations learn of it from the log or from a peer. May be repeated.
  void RecordDeparture(const upstream_departure& departure, time_point now);
  /// True if the log has every departure that was passed to RecordDeparture.
  bool departures_recorded() const { return recorded_version_ >= departures_version_; }
  /// Departures that earlier incarnations of this member recorded, learned since the last call.
  std::vector<upstream_departure> TakePastDepartures();
  /// True if the log has been read, or cannot be read now.
  bool has_tried_log() const { return has_read_log_ || log_unavailable_; }

  /// Reports to peers that the owner takes no new work.
  void Drain(time_point now);
  /// Reports to peers that the owner takes work again.
  void EndDrain(time_point now);
  /// Reports to peers and to the log that this incarnation ends. Tick must be called until
  /// `leave_recorded()`.
  void Leave(time_point now);

  /// Runs everything that is due; to be called about every 10 ms. A gap above
  /// `freeze_threshold` counts as a freeze.
  void Tick(time_point now);

  /// The load hint sent on the next messages.
  void SetHint(const load_hint& hint) { hint_ = hint; }
  /// The configuration version in effect here, sent on the next messages. A higher one is
  /// pushed to some peers at once.
  void SetConfigVersion(std::int64_t version);

  /// The evacuations known here, sent on the next messages while there are any, and for some
  /// time after they end. A change is pushed to some peers at once.
  void SetEvacuations(const evacuation_set& known, time_point now);
  /// A set of evacuated zones that a peer sent.
  struct received_evacuations {
    evacuation_position position;
    std::vector<std::string> zones;
  };
  /// The set with the highest position above the own one that was received since the last call.
  std::optional<received_evacuations> TakeEvacuations();

  /// All members in the table in any state, the own daemon first. Valid until the next call of
  /// a non-const function.
  std::span<const member_row> members() const { return table_.rows(); }
  /// The row of `id`, or null. Valid as members().
  const member_row* Find(member_id id) const { return table_.Find(id); }
  const member_row& self() const { return table_.row(0); }
  /// The upstream beside this daemon, or null without a recent announcement.
  const upstream_announcement* upstream() const { return upstream_ ? &*upstream_ : nullptr; }

  /// Sends a message on usage caps to its peer; dropped if the peer is unknown. Not charged to
  /// the measuring budget, since requests of callers wait for it.
  void SendUsage(const usage_message& message);
  /// Messages on usage caps received since the last call, in the order of their arrival.
  std::vector<usage_message> TakeUsageMessages();

  /// Changes since the last call, oldest first.
  std::vector<membership_event> TakeEvents();

  /// True once this incarnation has begun to announce itself, after a random delay of up to
  /// `join_spread`.
  bool joined() const { return joined_; }
  /// True once the log has the leave record.
  bool leave_recorded() const { return leave_recorded_; }
  bool log_available() const { return has_read_log_ && !log_unavailable_; }
  std::uint64_t malformed_datagrams() const { return malformed_datagrams_; }
  std::uint64_t stale_datagrams() const { return stale_datagrams_; }

 private:
  struct probe {
    member_id target;
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    time_point indirect_at;
    time_point failed_at;
    bool indirect_sent = false;
  };
  struct relay {
    std::uint64_t sequence = 0;
    std::string origin;
    member_id origin_id;
    std::uint64_t origin_sequence = 0;
    time_point until;
  };
  struct details_request {
    /// Member that has the details, and its address.
    member_id from;
    std::string address;
    time_point request_at;
    std::uint32_t requests_sent = 0;
  };
  /// kForced is sent on credit (budget_account::ChargeAlways) if the budget refuses it; kPlain
  /// carries no piggybacked changes.
  enum class urgency : std::uint8_t { kForced, kBudgeted, kPlain };

  void Observe(time_point now);
  void OnResume(duration freeze);
  void Join(time_point now);
  void BumpIncarnation(incarnation_id above, time_point now);

  void TickProbe(time_point now);
  void StartProbe(time_point now);
  void SendIndirectProbes(time_point now);
  void TickDeadProbe(time_point now);
  void TickSeeds(time_point now);
  void SendDetailsRequests(time_point now);
  void TickPush(time_point now);
  void TickPull(time_point now);
  void TickExpiry(time_point now);
  void TickLog(time_point now);
  void TickAppend(time_point now);
  /// True if `update` is what this member has appended last.
  bool IsOwnRecord(const member_update& update) const;
  /// The log has lost the record of this member, unless it is still to be appended.
  void AppendAgain(time_point now);

  /// Replies to a datagram of an earlier incarnation. If the clock of a restarted sender was
  /// set back, this reply lets it raise its incarnation even while the log is unavailable.
  void SendNewerIncarnation(member_id sender, std::string_view from, time_point now);
  void ProcessSender(std::string_view from, const proto::MemberDatagram& message,
                     time_point now);
  void ReadEvacuations(const proto::MemberDatagram& message, time_point now);
  void OnPing(std::string_view from, const proto::MemberDatagram& message, time_point now);
  void OnPingRequest(std::string_view from, const proto::MemberDatagram& message,
                     time_point now);
  void OnPull(std::string_view from, const proto::MemberDatagram& message, time_point now);
  void AddPage(std::uint32_t mask, std::uint64_t after, proto::MemberDatagram& message,
               std::size_t& size) const;
  void OnAck(const proto::MemberDatagram& message, time_point now);
  void AddRequestedDetails(const proto::MemberDatagram& message, proto::MemberDatagram& reply,
                           std::size_t& size) const;
  /// The own record and some random live ones, with details, for a starting process that has
  /// no members yet.
  void AddIntroduction(proto::MemberDatagram& message, std::size_t& size);
  /// Confirms rows of buckets that agree; returns the buckets that differ as a bit mask.
  std::uint32_t CompareDigests(const proto::MemberDatagram& message, time_point now);
  void AddBucketRecords(std::uint32_t mask, proto::MemberDatagram& message, std::size_t& size);

  void ApplyRecord(const member_update& update, member_id sender, std::string_view from,
                   bool pass_on, time_point now);
  void ApplyOwnRecord(const member_update& update, time_point now);
  /// Takes over departures that an earlier incarnation of this member recorded.
  void LearnDepartures(const member_row& own, time_point now);
  /// Tells a member that has restarted of the departures that it recorded before, since it may
  /// not be able to read the log.
  void SendPastDepartures(member_id restarted, std::string_view address, time_point now);
  void AfterMerge(std::size_t index, const merge_result& result, bool pass_on, time_point now);
  void AfterStateChange(std::size_t index, time_point now);
  void ExpireAt(std::size_t index, time_point deadline);
  void Confirm(std::size_t index);
  void MarkChanged(std::size_t index, bool with_details, bool urgent);
  void ChangeOwnDetails(time_point now);
  void RequestDetails(member_id id, member_id from, std::string_view address, time_point now);

  /// Adds piggybacked changes, charges the budget and sends. Returns false if the budget
  /// refused. A forced message is sent on credit instead, with three records at most.
  bool Send(member_id peer, std::string_view address, proto::MemberDatagram& message,
            std::size_t size, charge_purpose purpose, urgency force, time_point now);
  void FillEvacuations(proto::MemberDatagram& message) const;
  void FillSender(proto::MemberDatagram& message, bool with_digests);
  /// Size limit of messages that carry changes, given by the capacity of the budget.
  std::size_t ChangeLimit() const;
  bool AddRecord(std::size_t index, bool with_details, proto::MemberDatagram& message,
                 std::size_t& size) const;

  /// Index of a random live peer other than `skip`, or -1.
  std::ptrdiff_t RandomPeer(member_id skip);
  std::uint64_t Random(std::uint64_t below);
  duration Jittered(duration min, duration max);
  duration SuspicionTimeout() const;
  void Report(membership_event_kind kind, std::size_t index, std::int64_t number = 0);

  membership_settings settings_;
  datagram_port& datagrams_;
  log_port& log_;
  budget_account& budget_;
  std::mt19937_64 random_;
  member_table table_;
  load_hint hint_;
  evacuation_set evacuations_;
  /// Time until which the set is sent although it is empty.
  time_point evacuations_sent_until_;
  std::optional<received_evacuations> received_evacuations_;
  std::optional<upstream_announcement> upstream_;
  std::vector<membership_event> events_;
  std::vector<usage_message> usage_messages_;
  std::vector<upstream_departure> past_departures_;

  time_point last_observed_;
  time_point join_at_;
  bool joined_ = false;

  std::uint64_t sequence_ = 0;
  std::optional<probe> probe_;
  time_point next_probe_;
  time_point forced_probe_at_;
  time_point next_dead_probe_;
  time_point next_seed_;
  duration seed_backoff_{};
  time_point next_pull_;
  /// The last member count received from a peer exceeded the own one by more than
  /// `anti_entropy_threshold`.
  bool anti_entropy_due_ = false;
  /// Highest member id of the last page; the next page starts after it.
  std::uint64_t pull_cursor_ = 0;
  /// Time from which acknowledgements on credit are within their rate limit again.
  time_point forced_acks_due_;
  time_point next_details_request_;
  time_point next_push_;
  time_point next_expiry_ = time_point::max();
  time_point unconfirmed_until_;
  std::vector<relay> relays_;
  /// Members whose last change is still to be transmitted.
  std::vector<member_id> changed_;
  bool push_due_ = false;
  /// Pushes that are still to be sent for the configuration version.
  std::uint32_t version_pushes_left_ = 0;
  /// Ordered, as the order of a hash map differs between processes and a seed must reproduce
  /// the same trace.
  std::map<std::uint64_t, details_request> details_requests_;

  bool reading_ = false;
  bool has_read_log_ = false;
  bool log_unavailable_ = false;
  std::int64_t next_offset_ = 0;
  time_point started_;
  time_point next_read_;
  time_point read_timeout_;
  duration read_backoff_{};
  duration retention_{};
  std::uint64_t token_ = 0;
  std::uint64_t pending_token_ = 0;
  bool pending_is_leave_ = false;
  /// Versions of the own details: the one of the pending append, the last one that the log has,
  /// and the first one with all recorded departures.
  std::uint32_t pending_version_ = 0;
  std::uint32_t recorded_version_ = 0;
  std::uint32_t departures_version_ = 0;
  bool append_started_ = false;
  bool leaving_ = false;
  bool leave_recorded_ = false;
  time_point next_append_ = time_point::max();
  time_point append_timeout_;
  duration append_backoff_{};

  std::int64_t highest_version_ = -1;
  std::uint64_t malformed_datagrams_ = 0;
  std::uint64_t stale_datagrams_ = 0;
};

}  // namespace bronzeroute
