#pragma once

namespace bronzeroute {

/// HTTP/2 flow control window of one stream: bytes that a peer may send before the receiver
/// reads them. It bounds the memory of a stalled stream, and limits one stream between regions
/// (24 ms round trip) to about 20 MB/s. gRPC's own bandwidth probing would grow the window to
/// several MB.
inline constexpr int kWindowBytes = 512 * 1024;

}  // namespace bronzeroute
