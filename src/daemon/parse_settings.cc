#include "src/daemon/parse_settings.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <string>

#include "src/configuration/toml_reader.h"
#include "src/transport/http_address.h"

namespace bronzeroute {
namespace internal {
namespace {

constexpr auto kRootKeys = std::to_array<std::string_view>(
    {"environment", "region", "availability_zone", "service", "addresses", "log", "seeds",
     "membership", "admission", "routing", "stop", "logging"});
constexpr auto kAddressKeys = std::to_array<std::string_view>(
    {"callers", "peers", "membership", "admin", "announcements", "ready"});
constexpr auto kLogKeys =
    std::to_array<std::string_view>({"address", "wait_ms", "read_pause_ms"});
constexpr auto kMembershipKeys =
    std::to_array<std::string_view>({"join_spread_ms", "read_pause_ms"});
constexpr auto kAdmissionKeys =
    std::to_array<std::string_view>({"slot_share", "eject_on_error_answers"});
constexpr auto kRoutingKeys = std::to_array<std::string_view>(
    {"zone_us_per_byte", "region_us_per_byte", "refusal_share", "arrival_share"});
constexpr double kMaxUsPerByte = 1000;
constexpr auto kStopKeys = std::to_array<std::string_view>({"linger_ms"});
// Largest value of a setting in milliseconds: ten minutes.
constexpr std::int64_t kMaxMs = 600'000;
constexpr auto kLoggingKeys = std::to_array<std::string_view>({"level", "bytes_per_second"});
constexpr std::int64_t kMinLogBytes = 1'000;
constexpr std::int64_t kMaxLogBytes = 10'000'000;
constexpr auto kEnvironments = std::to_array<std::string_view>({"trial", "production"});
constexpr auto kLevels = std::to_array<std::string_view>({"debug", "info", "warn", "error"});
constexpr std::string_view kAddressRule = "an IP address and port, for example \"10.0.0.1:80\"";

class settings_reader : public toml_reader {
 public:
  using toml_reader::toml_reader;

  settings Read(const toml::table& root) {
    CheckKeys(root, "", kRootKeys);
    settings result;
    result.environment = OneOf(root, "", "environment", true, kEnvironments);
    result.region = Name(root, "", "region");
    result.availability_zone = Name(root, "", "availability_zone");
    static const toml::table kEmpty;
    const toml::table* addresses = Section(root, "addresses", kEmpty);
    CheckKeys(*addresses, "addresses.", kAddressKeys);
    result.callers_address = Address(*addresses, "addresses.", "callers");
    result.peers_address = Address(*addresses, "addresses.", "peers");
    result.membership_address = Address(*addresses, "addresses.", "membership");
    result.admin_address = Address(*addresses, "addresses.", "admin");
    result.announcements_address = OptionalAddress(*addresses, "announcements");
    result.ready_address = OptionalAddress(*addresses, "ready");
    result.service = Text(root, "", "service", false, "the name of a service");
    // Membership uses UDP, so its port may equal one of the TCP ports.
    CheckDistinct(*addresses, {"callers", "peers", "admin", "announcements", "ready"});
    const toml::table* log = Section(root, "log", kEmpty);
    CheckKeys(*log, "log.", kLogKeys);
    result.log_address = Address(*log, "log.", "address");
    result.log_wait = Milliseconds(*log, "log.", "wait_ms", result.log_wait);
    result.configuration_read_pause =
        Milliseconds(*log, "log.", "read_pause_ms", result.configuration_read_pause);
    const toml::table* membership = Section(root, "membership", kEmpty);
    CheckKeys(*membership, "membership.", kMembershipKeys);
    result.join_spread =
        Milliseconds(*membership, "membership.", "join_spread_ms", result.join_spread);
    result.member_read_pause =
        Milliseconds(*membership, "membership.", "read_pause_ms", result.member_read_pause);
    const toml::table* admission = Section(root, "admission", kEmpty);
    CheckKeys(*admission, "admission.", kAdmissionKeys);
    result.slot_share =
        Fraction(*admission, "admission.", "slot_share", 0.1, 1, result.slot_share);
    if (admission->contains("eject_on_error_answers")) {
      result.eject_on_error_answers = Flag(*admission, "admission.", "eject_on_error_answers");
    }
    const toml::table* routing = Section(root, "routing", kEmpty);
    CheckKeys(*routing, "routing.", kRoutingKeys);
    result.costs.between_zones_us = Fraction(*routing, "routing.", "zone_us_per_byte", 0,
                                             kMaxUsPerByte, result.costs.between_zones_us);
    result.costs.between_regions_us = Fraction(*routing, "routing.", "region_us_per_byte", 0,
                                               kMaxUsPerByte, result.costs.between_regions_us);
    result.retries.after_refusal =
        Fraction(*routing, "routing.", "refusal_share", 0, 2, result.retries.after_refusal);
    result.retries.after_arrival =
        Fraction(*routing, "routing.", "arrival_share", 0, 1, result.retries.after_arrival);
    const toml::table* stop = Section(root, "stop", kEmpty);
    CheckKeys(*stop, "stop.", kStopKeys);
    result.stop_linger = Milliseconds(*stop, "stop.", "linger_ms", result.stop_linger);
    ReadSeeds(root, result);
    const toml::table* logging = Section(root, "logging", kEmpty);
    CheckKeys(*logging, "logging.", kLoggingKeys);
    // Accepted for compatibility with earlier settings files, but without effect: lines of all
    // levels are written, within the byte budget.
    OneOf(*logging, "logging.", "level", false, kLevels);
    result.log_bytes_per_second = static_cast<std::size_t>(
        Integer(*logging, "logging.", "bytes_per_second", kMinLogBytes, kMaxLogBytes,
                static_cast<std::int64_t>(result.log_bytes_per_second)));
    return result;
  }

 private:
  const toml::table* Section(const toml::table& root, std::string_view key,
                             const toml::table& empty) {
    const toml::table* found = Table(root, key);
    return found == nullptr ? &empty : found;
  }

  std::string OneOf(const toml::table& table, std::string_view path, std::string_view key,
                    bool required, std::span<const std::string_view> allowed) {
    const std::string rule = Concat("one of ", Join(allowed));
    std::string text = Text(table, path, key, required, rule);
    const toml::node* node = table.get(key);
    if (node != nullptr && node->is_string() &&
        std::ranges::find(allowed, text) == allowed.end()) {
      AddAt(*node, Concat(path, key), Describe(*node), rule);
    }
    return text;
  }

  std::string Address(const toml::table& table, std::string_view path, std::string_view key) {
    std::string text = Text(table, path, key, true, kAddressRule);
    const toml::node* node = table.get(key);
    if (node != nullptr && node->is_string() && !ParseAddress(text).ok()) {
      AddAt(*node, Concat(path, key), Describe(*node), std::string(kAddressRule));
    }
    return text;
  }

  std::string OptionalAddress(const toml::table& table, std::string_view key) {
    return table.contains(key) ? Address(table, "addresses.", key) : std::string();
  }

  duration Milliseconds(const toml::table& table, std::string_view path, std::string_view key,
                        duration fallback) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(Integer(table, path, key, 0, kMaxMs, count));
  }

  void CheckDistinct(const toml::table& addresses,
                     std::initializer_list<std::string_view> keys) {
    std::map<std::string, std::string_view> seen;
    for (const std::string_view key : keys) {
      const toml::node* node = addresses.get(key);
      const auto* text = node == nullptr ? nullptr : node->as_string();
      if (text != nullptr && !seen.emplace(text->get(), key).second) {
        AddAt(*node, Concat("addresses.", key), Describe(*node),
              Concat("an address other than that of ", seen[text->get()]));
      }
    }
  }

  void ReadSeeds(const toml::table& root, settings& result) {
    constexpr std::string_view kAllowed = "an array of membership addresses";
    const toml::node* node = root.get("seeds");
    if (node == nullptr) return;
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      AddAt(*node, "seeds", Describe(*node), std::string(kAllowed));
      return;
    }
    for (const toml::node& element : *array) {
      const auto* text = element.as_string();
      if (text == nullptr || !ParseAddress(text->get()).ok()) {
        AddAt(element, "seeds", Describe(element), std::string(kAddressRule));
        continue;
      }
      result.seeds.push_back(text->get());
    }
  }
};

}  // namespace
}  // namespace internal

settings_result ParseSettings(std::string_view text, std::string_view file) {
  internal::settings_reader reader(file);
  settings_result result;
  internal::ReadToml(reader, text, file, result);
  return result;
}

}  // namespace bronzeroute
