#include "src/transport/transport.h"

#include <utility>

namespace bronzeroute {

transport::transport(transport_events& events, http_dialect dialect)
    : dialect_(std::move(dialect)),
      callers_(exchanges_, events, caller_endpoints_, dialect_),
      upstream_(exchanges_, events, dialect_),
      peers_(exchanges_, events),
      datagrams_(events),
      admin_(admin_endpoints_) {
  callers_.SetDepthSource(
      [this](std::string_view request_id) { return upstream_.DepthOfCall(request_id); });
}

absl::Status transport::Start(const listen_addresses& addresses) {
  absl::Status status = peers_.server().Start(addresses.peers);
  if (status.ok()) status = datagrams_.Start(addresses.membership);
  if (status.ok()) status = admin_.Start(addresses.admin);
  if (status.ok()) status = callers_.Start(addresses.callers);
  if (status.ok()) peers_.client().Start();
  return status;
}

// The servers stop first, so that no new requests arrive while the rest stops.
void transport::Stop() {
  callers_.Stop();
  admin_.Stop();
  peers_.client().Stop();
  peers_.server().Stop();
  upstream_.Stop();
  datagrams_.Stop();
}

void transport::Tick(time_point now) {
  callers_.server().Tick(now);
  admin_.Tick(now);
  upstream_.Tick(now);
}

}  // namespace bronzeroute
