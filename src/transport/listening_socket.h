#pragma once

#include <string_view>

namespace bronzeroute {

/// Ends listening on `address` ("ip:port") in this process; later connects are refused. The
/// HTTP library offers no way to do so while it goes on serving open connections. Returns false
/// if a connection waits to be accepted: call it again after the event loop ran. Returns true
/// if nothing listens there any more.
bool EndListening(std::string_view address);

}  // namespace bronzeroute
