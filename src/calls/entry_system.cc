#include "src/calls/entry_system.h"

#include "src/calls/entry_system_impl.h"

namespace bronzeroute {

template class basic_entry_system<call_rules>;

}  // namespace bronzeroute
