#include "src/membership/member_codec.h"

#include "proto/membership.pb.h"
#include "proto/peer.pb.h"

namespace bronzeroute {
namespace {

// Largest incarnation and refutation of a record. Both are counted up from the value of another
// record, so that there must be room above it.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;

std::string_view HostOf(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  return colon == std::string_view::npos ? address : address.substr(0, colon);
}

// The addresses of one daemon share an IP address, which is sent once.
std::string Shortened(std::string_view address, std::string_view host) {
  if (!host.empty() && HostOf(address) == host) address.remove_prefix(host.size());
  return std::string(address);
}

std::string Completed(std::string_view address, std::string_view host) {
  return address.starts_with(':') ? std::string(host).append(address) : std::string(address);
}

}  // namespace

void WriteMemberRecord(const member_update& update, proto::MemberRecord* record) {
  const member_row& row = update.row;
  record->set_id(row.id.value);
  record->set_incarnation(row.incarnation.value);
  record->set_refutation(row.refutation);
  record->set_state(static_cast<std::uint32_t>(row.state));
  record->set_draining(row.draining);
  record->set_details_version(update.details_version);
  if (!update.has_details) return;
  proto::MemberDetails* details = record->mutable_details();
  const std::string_view host = HostOf(row.peer_address);
  details->set_service(row.service);
  details->set_region(row.region);
  details->set_availability_zone(row.availability_zone);
  details->set_peer_address(row.peer_address);
  details->set_membership_address(Shortened(row.membership_address, host));
  details->set_callers_address(Shortened(row.callers_address, host));
  details->set_admin_address(Shortened(row.admin_address, host));
  for (const upstream_departure& each : row.departures) {
    proto::UpstreamDeparture* const to = details->add_departures();
    to->set_identity(each.identity);
    to->set_started_ms(each.started_ms);
    to->set_is_bound(!each.is_exact);
  }
}

std::optional<member_update> ReadMemberRecord(const proto::MemberRecord& record) {
  if (record.id() == 0 || record.state() > static_cast<std::uint32_t>(member_state::kLeft) ||
      record.incarnation() > kMaxCounter || record.refutation() > kMaxCounter) {
    return std::nullopt;
  }
  member_update update;
  member_row& row = update.row;
  row.id.value = record.id();
  row.incarnation.value = record.incarnation();
  row.refutation = record.refutation();
  row.state = static_cast<member_state>(record.state());
  row.draining = record.draining();
  update.details_version = record.details_version();
  update.has_details = record.has_details();
  if (update.has_details) {
    const proto::MemberDetails& details = record.details();
    const std::string_view host = HostOf(details.peer_address());
    row.service = details.service();
    row.region = details.region();
    row.availability_zone = details.availability_zone();
    row.peer_address = details.peer_address();
    row.membership_address = Completed(details.membership_address(), host);
    row.callers_address = Completed(details.callers_address(), host);
    row.admin_address = Completed(details.admin_address(), host);
    for (const proto::UpstreamDeparture& each : details.departures()) {
      AddDeparture(row.departures, {.identity = each.identity(),
                                    .started_ms = each.started_ms(),
                                    .is_exact = !each.is_bound()});
    }
  }
  return update;
}

void WriteLoadHint(const load_hint& hint, proto::LoadHint* out) {
  out->set_sequence(hint.sequence);
  out->set_effective_slots(hint.effective_slots);
  out->set_in_use(hint.in_use);
  out->set_running_long(hint.running_long);
  out->set_queued_short(hint.queued_short);
  out->set_queued_long(hint.queued_long);
  out->set_service_time_us(hint.service_time_us);
  out->set_max_rate(hint.max_rate);
  out->set_start_wait_us(hint.start_wait_us);
  out->set_failing(hint.failing);
  out->set_draining(hint.draining);
  out->set_evacuated(hint.evacuated);
}

load_hint ReadLoadHint(const proto::LoadHint& in) {
  load_hint hint;
  hint.sequence = in.sequence();
  hint.effective_slots = in.effective_slots();
  hint.in_use = in.in_use();
  hint.running_long = in.running_long();
  hint.queued_short = in.queued_short();
  hint.queued_long = in.queued_long();
  hint.service_time_us = in.service_time_us();
  hint.max_rate = SoundRate(in.max_rate());
  hint.start_wait_us = in.start_wait_us();
  hint.failing = in.failing();
  hint.draining = in.draining();
  hint.evacuated = in.evacuated();
  return hint;
}

std::string EncodeMemberLogRecord(const member_update& update) {
  proto::MemberLogRecord record;
  WriteMemberRecord(update, record.mutable_member());
  return record.SerializeAsString();
}

std::optional<member_update> DecodeMemberLogRecord(std::string_view data) {
  proto::MemberLogRecord record;
  if (!record.ParseFromArray(data.data(), static_cast<int>(data.size()))) return std::nullopt;
  std::optional<member_update> update = ReadMemberRecord(record.member());
  if (update && !update->has_details) return std::nullopt;
  return update;
}

}  // namespace bronzeroute
