#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/configuration/configuration_snapshot.h"
#include "src/configuration/document_reader.h"

namespace bronzeroute {

/// xxhash64 of the bytes of a document.
std::uint64_t DocumentDigest(std::string_view bytes);

/// The digest as it is shown to operators: 16 hexadecimal digits.
std::string DigestText(std::uint64_t digest);

/// Name of the log stream of `environment` ("trial" or "production").
std::string ConfigurationStream(std::string_view environment);

/// Encodes a publication record of the current format. For a publication to production,
/// `trial_version` is the version of the trial environment that it promotes.
std::string EncodePublication(std::string_view publication_id, std::int64_t base_version,
                              std::string_view document_bytes,
                              std::optional<std::int64_t> trial_version);

/// Encodes a snapshot record.
std::string EncodeSnapshot(const configuration_snapshot& snapshot,
                           std::string_view environment);

/// Decodes a snapshot record. Returns nullopt if `record` is not a snapshot, its digest is
/// wrong, its document is invalid, or it belongs to another environment. `parsed` stays null
/// for a format that this build cannot read.
std::optional<configuration_snapshot> DecodeSnapshot(
    std::string_view record, std::string_view environment,
    const document_reader& read_document = ReadTomlDocument);

}  // namespace bronzeroute
