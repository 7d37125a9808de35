#include "src/report/member_list_parser.h"

#include <cpprest/json.h>

#include "absl/status/status.h"
#include "src/base/concat.h"

namespace bronzeroute {

absl::StatusOr<member_list> ParseMemberList(const std::string& json) {
  try {
    member_list result;
    const web::json::value parsed = web::json::value::parse(json);
    for (const web::json::value& row : parsed.at("members").as_array()) {
      const std::string& state = row.at("state").as_string();
      process_source source{.from = process_source::origin::kAdmin,
                            .name = row.at("admin_address").as_string(),
                            .service = row.at("service").as_string(),
                            .region = row.at("region").as_string(),
                            .availability_zone = row.at("availability_zone").as_string()};
      if (state == "alive" || state == "suspect") {
        result.live.push_back(std::move(source));
      } else if (state == "dead" || state == "left") {
        result.absent.push_back({.name = source.name, .state = state});
      } else {
        return absl::DataLossError(
            Concat("a state in the member list is not alive, suspect, dead or left: ", state));
      }
    }
    return result;
  } catch (const web::json::json_exception& error) {
    return absl::DataLossError(Concat("the member list cannot be read: ", error.what()));
  }
}

}  // namespace bronzeroute
