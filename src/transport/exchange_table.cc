#include "src/transport/exchange_table.h"

namespace bronzeroute {

void exchange_table::Add(const std::shared_ptr<exchange>& row) {
  row->id = exchange_id{++last_id_};
  rows_.emplace(row->id, row);
}

std::shared_ptr<exchange> exchange_table::Find(exchange_id id) const {
  const auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : found->second;
}

}  // namespace bronzeroute
