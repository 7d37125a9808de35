#include "src/node/node.h"

namespace bronzeroute {

template class basic_node<call_rules>;

}  // namespace bronzeroute
