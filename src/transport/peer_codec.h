#pragma once

#include "proto/peer.pb.h"
#include "src/base/attempt_id.h"
#include "src/base/time.h"
#include "src/transport/header_list.h"
#include "src/transport/owner_report.h"

namespace bronzeroute {

struct attempt_head;
struct exchange;

proto::AttemptId ToProto(const attempt_id& id);
attempt_id FromProto(const proto::AttemptId& id);
proto::LoadHint ToProto(const load_hint& hint);
load_hint FromProto(const proto::LoadHint& hint);
/// Writes `hint` into `frame`. A hint with sequence 0 is empty and omitted to save bytes.
void SetHint(const load_hint& hint, proto::AnswerFrame& frame);
owner_report ReportOf(const proto::AnswerFrame& frame);

/// Fills the head of an attempt's first frame from the attempt and its request.
void WriteHead(const attempt_head& head, const exchange& row, time_point now,
               proto::AttemptHead& to);
/// Fills `head` and the request fields of `row` from an attempt's first frame. The remaining
/// time in the frame becomes a deadline on this process's clock.
void ReadHead(const proto::AttemptFrame& frame, time_point now, attempt_head& head,
              exchange& row);

template <typename Message>
void WriteHeaders(const header_list& from, Message& to) {
  for (const auto& [name, value] : from) {
    proto::Header* const field = to.add_headers();
    field->set_name(name);
    field->set_value(value);
  }
}

template <typename Message>
header_list ReadHeaders(const Message& from) {
  header_list result;
  result.reserve(static_cast<std::size_t>(from.headers_size()));
  for (const proto::Header& field : from.headers()) {
    result.emplace_back(field.name(), field.value());
  }
  return result;
}

}  // namespace bronzeroute
