#include "src/calls/owner_system.h"

#include "src/calls/owner_system_impl.h"

namespace bronzeroute {

template class basic_owner_system<call_rules>;

}  // namespace bronzeroute
