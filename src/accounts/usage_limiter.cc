#include "src/accounts/usage_limiter.h"

#include "src/accounts/usage_limiter_impl.h"

namespace bronzeroute {

template class basic_usage_limiter<usage_rules>;

}  // namespace bronzeroute
