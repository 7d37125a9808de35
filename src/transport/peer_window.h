#pragma once

namespace bronzeroute {

/// Bytes that a peer may send on one stream before the receiver takes them. It bounds the
/// memory of a stalled stream, and the rate of one stream between regions (24 ms round trip) to
/// about 20 MB/s. gRPC's own probing lets the window grow to several MB.
inline constexpr int kWindowBytes = 512 * 1024;

}  // namespace bronzeroute
