#include "src/configuration/configuration_record.h"

#include <memory>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "proto/configuration.pb.h"
#include "src/base/concat.h"
#include "src/configuration/parse_document.h"

namespace bronzeroute {

std::uint64_t DocumentDigest(std::string_view bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string DigestText(std::uint64_t digest) {
  return Concat(absl::Hex(digest, absl::kZeroPad16));
}

std::string ConfigurationStream(std::string_view environment) {
  return Concat("config.", environment);
}

std::string EncodePublication(std::string_view publication_id, std::int64_t base_version,
                              std::string_view document_bytes,
                              std::optional<std::int64_t> trial_version) {
  proto::ConfigurationRecord record;
  proto::Publication& publication = *record.mutable_publication();
  publication.set_publication_id(std::string(publication_id));
  publication.set_base_version(base_version);
  publication.set_digest(DocumentDigest(document_bytes));
  publication.set_format(kDocumentFormat);
  publication.set_document(std::string(document_bytes));
  if (trial_version) publication.set_trial_version(*trial_version);
  return record.SerializeAsString();
}

std::string EncodeSnapshot(const configuration_snapshot& snapshot,
                           std::string_view environment) {
  proto::ConfigurationRecord record;
  proto::Snapshot& message = *record.mutable_snapshot();
  message.set_as_of(snapshot.as_of);
  message.set_version(snapshot.version);
  message.set_digest(snapshot.digest);
  message.set_format(snapshot.format);
  message.set_document(snapshot.bytes);
  message.set_environment(std::string(environment));
  return record.SerializeAsString();
}

parse_result ReadTomlDocument(std::string_view bytes) {
  return ParseDocument(bytes, "document");
}

std::optional<configuration_snapshot> DecodeSnapshot(std::string_view record,
                                                     std::string_view environment,
                                                     const document_reader& read_document) {
  proto::ConfigurationRecord message;
  if (!message.ParseFromArray(record.data(), static_cast<int>(record.size())) ||
      !message.has_snapshot()) {
    return std::nullopt;
  }
  proto::Snapshot& snapshot = *message.mutable_snapshot();
  if (snapshot.environment() != environment || snapshot.version() < -1 ||
      snapshot.version() > snapshot.as_of()) {
    return std::nullopt;
  }
  configuration_snapshot result;
  result.as_of = snapshot.as_of();
  result.version = snapshot.version();
  if (result.version == -1) return result;
  result.digest = snapshot.digest();
  result.format = snapshot.format();
  result.bytes = std::move(*snapshot.mutable_document());
  if (DocumentDigest(result.bytes) != result.digest) return std::nullopt;
  if (result.format == kDocumentFormat) {
    parse_result parsed = read_document(result.bytes);
    if (!parsed.value) return std::nullopt;
    result.parsed = std::make_shared<const document>(*std::move(parsed.value));
  }
  return result;
}

}  // namespace bronzeroute
