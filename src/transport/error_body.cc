#include "src/transport/error_body.h"

#include <absl/strings/str_cat.h>

#include "src/base/error_response.h"
#include "src/calls/call_id_text.h"
#include "src/transport/absl_text.h"

namespace bronzeroute {

// No JSON escaping is needed: all values are names and texts from the error table, numbers and
// hexadecimal ids.
std::string ErrorBody(error_kind kind, const call_id& call, int recorded_status) {
  const error_response& row = ErrorResponseFor(kind);
  std::string body = absl::StrCat("{\"error\":\"", AbslText(row.name), "\",\"execution\":\"",
                                  AbslText(ExecutionName(row.state)), "\"");
  if (call != call_id{}) absl::StrAppend(&body, ",\"call\":\"", FormatCallId(call), "\"");
  if (recorded_status != 0) absl::StrAppend(&body, ",\"recorded_status\":", recorded_status);
  absl::StrAppend(&body, ",\"text\":\"", AbslText(row.text), "\"}\n");
  return body;
}

}  // namespace bronzeroute
