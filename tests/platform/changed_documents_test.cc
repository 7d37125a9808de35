// Searches for values of a configuration that keep a version, or more of it than the value
// itself, from taking effect. BRONZEROUTE_DOCUMENTS and BRONZEROUTE_SEED set the number of
// documents and the seed.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/read_configuration.h"
#include "src/base/concat.h"
#include "src/base/credential_digest.h"
#include "src/base/error_response.h"
#include "src/calls/caller_request.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/configuration_system.h"
#include "src/configuration/route_index.h"
#include "src/node/route_directory_adapter.h"
#include "src/platform/log_read.h"
#include "standins/platform/document_changer.h"
#include "tests/base/number_from_environment.h"
#include "tests/configuration/mock_configuration_peers.h"
#include "tests/configuration/mock_log.h"

namespace bronzeroute::platform {
namespace {

using nlohmann::json;
using standin::document_changer;
using testing::NiceMock;
using tests::mock_configuration_peers;
using tests::mock_log;

constexpr int kChangesPerDocument = 3;
// Documents changed from one valid document.
constexpr int kPerOriginal = 20;
constexpr int kShownFailures = 3;
const std::array<std::string, 3> kRegions = {"north", "south", "west"};

/// Writes valid configurations of the users' form: with and without accounts, shares of routes,
/// home regions and cold limits.
class document_author {
 public:
  explicit document_author(std::uint64_t seed) : random_(seed) {}

  json Write() {
    number_ = 0;
    json services = json::array();
    const int clusters = 2 + Pick(2);
    const bool has_cold_limits = Pick(2) == 0;
    for (int i = 0; i < clusters; ++i) {
      json service = {{"name", Name("service")},
                      {"healthPath", "/healthz"},
                      {"maxConnections", 200 + Pick(800)},
                      {"protocol", "h1"},
                      {"tls", false}};
      if (has_cold_limits) {
        service["coldStartS"] = 3.0;
        service["coldPerS"] = 14.0;
      }
      services.push_back(std::move(service));
    }
    json listeners = json::array();
    const int hosts = 1 + Pick(4);
    for (int i = 0; i < hosts; ++i) {
      json rules = json::array();
      const int count = 1 + Pick(4);
      for (int k = 0; k < count; ++k) rules.push_back(Rule(services));
      listeners.push_back({{"host", Concat(Name("host"), ".example")}, {"routeRules", rules}});
    }
    json document = {{"version", "r1"},
                     {"baseVersion", "r0"},
                     {"limits",
                      {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 67108864},
                       {"headerTimeoutMs", 3000},
                       {"idleTimeoutMs", 15000}}},
                     {"listeners", std::move(listeners)},
                     {"clusters", std::move(services)}};
    const int accounts = std::array{0, 1, 6}[static_cast<std::size_t>(Pick(3))];
    if (accounts > 0) document["tenants"] = json::array();
    for (int i = 0; i < accounts; ++i) document["tenants"].push_back(Account());
    return document;
  }

 private:
  int Pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  std::string Name(std::string_view kind) { return Concat(kind, "-", ++number_); }

  json Rule(const json& services) {
    const std::array<const char*, 4> kinds = {"safe", "unsafe", "upload", "download"};
    json action = {{"timeoutMs", 1000 + Pick(1000)}, {"attempts", 1 + Pick(3)}};
    const auto service = [&](std::size_t i) { return services[i]["name"]; };
    if (Pick(4) == 0) {
      action["weightedClusters"] = json::array({{{"service", service(0)}, {"weight", 90}},
                                                {{"service", service(1)}, {"weight", 10}}});
    } else {
      action["service"] = service(static_cast<std::size_t>(Pick(2)));
    }
    if (Pick(3) == 0) action["allowedRegions"] = {kRegions[0], kRegions[1]};
    return {{"name", Name("rule")},
            {"routeType", kinds[static_cast<std::size_t>(Pick(4))]},
            {"targetLatencyMs", 250},
            {"priority", Pick(4)},
            {"authExempt", Pick(5) == 0},
            {"match", {{"pathPrefix", Concat("/", Name("path"), "/")}}},
            {"action", std::move(action)}};
  }

  json Account() {
    json account = {{"name", Name("account")}, {"apiKeys", json::array()},
                    {"priority", Pick(3)},     {"ratePerS", Pick(4) == 0 ? 0 : 50 + Pick(500)},
                    {"burst", Pick(100)},      {"allowedRegions", json::array()}};
    for (int i = Pick(3); i >= 0; --i) account["apiKeys"].push_back(Name("key"));
    if (Pick(4) == 0) account["allowedRegions"].push_back(kRegions[0]);
    return account;
  }

  std::mt19937_64 random_;
  int number_ = 0;
};

/// A daemon's configuration that has read one text.
class reader {
 public:
  explicit reader(const std::string& text) {
    log_read read{.stream = ConfigurationStream("trial"),
                  .next = 1,
                  .records = {{.offset = 0, .data = text}},
                  .is_newest_of_each = true};
    configuration_.OnLogRead(read, time_point{} + std::chrono::hours(1));
  }

  bool IsInEffect() const { return configuration_.version() == 1; }
  const document& current() const { return *configuration_.current(); }

  route_decision Find(const std::string& host, const std::string& path,
                      const std::optional<std::string>& key = std::nullopt) const {
    // Anew for each request, so that shares are taken from the begin of the same sequence.
    route_directory_adapter routes(configuration_, 1);
    caller_request request;
    request.method = "GET";
    request.host = host;
    request.path = path;
    if (key) request.credential = DigestCredential(*key);
    return routes.Find(request);
  }

 private:
  NiceMock<mock_log> log_;
  NiceMock<mock_configuration_peers> peers_;
  configuration_system configuration_{
      {.environment = "trial",
       .self = member_id{1},
       .form = configuration_form::kVersionedDocuments,
       .read_document = [](std::string_view bytes) { return ReadConfiguration(bytes); }},
      log_,
      peers_};
};

const json kNothing;

const json& MemberOf(const json& from, const char* key) {
  const auto found = from.is_object() ? from.find(key) : from.end();
  return from.is_object() && found != from.end() ? *found : kNothing;
}

bool Has(const json& from, const char* key) { return from.is_object() && from.contains(key); }

/// The elements of `list` if it is an array.
std::vector<const json*> ElementsOf(const json& list) {
  std::vector<const json*> elements;
  if (!list.is_array()) return elements;
  for (const json& each : list) elements.push_back(&each);
  return elements;
}

/// A rule that requests can match.
struct claim {
  std::string host;
  std::string prefix;
  bool is_as_written = true;
  const json* rule = nullptr;
};

std::vector<claim> Claims(const json& document) {
  std::vector<claim> claims;
  for (const json* listener : ElementsOf(MemberOf(document, "listeners"))) {
    const json& host = MemberOf(*listener, "host");
    if (!host.is_string() || host.get<std::string>().find('/') != std::string::npos) continue;
    for (const json* rule : ElementsOf(MemberOf(*listener, "routeRules"))) {
      const json& written = MemberOf(MemberOf(*rule, "match"), "pathPrefix");
      if (!written.is_string() || written.get<std::string>().empty()) continue;
      std::string prefix = written.get<std::string>();
      if (prefix.front() != '/') prefix.insert(0, "/");
      if (prefix.back() != '/') prefix += '/';
      claims.push_back(
          {NormalizeHost(host.get<std::string>()), prefix, written == prefix, rule});
    }
  }
  std::stable_partition(claims.begin(), claims.end(),
                        [](const claim& each) { return each.is_as_written; });
  return claims;
}

/// The claim on the requests for `path`, or null.
const claim* ClaimOn(const std::vector<claim>& claims, const std::string& host,
                     const std::string& path) {
  const claim* best = nullptr;
  for (const claim& each : claims) {
    if (each.host != host || !path.starts_with(each.prefix)) continue;
    if (best == nullptr || each.prefix.size() > best->prefix.size()) best = &each;
  }
  return best;
}

std::set<std::string> KeysOf(const json& account) {
  std::set<std::string> keys;
  for (const json* key : ElementsOf(MemberOf(account, "apiKeys"))) {
    if (key->is_string()) keys.insert(key->get<std::string>());
  }
  return keys;
}

/// Compares what a daemon decides under a changed document with the document itself, and with
/// what is decided under the original.
class judge {
 public:
  judge(const json& before, const json& after, const reader& old, const reader& current)
      : before_(before),
        after_(after),
        old_(old),
        current_(current),
        claims_before_(Claims(before)),
        claims_(Claims(after)),
        has_accounts_(Has(after, "tenants")) {
    for (const json* account : ElementsOf(MemberOf(after, "tenants"))) {
      keys_.merge(KeysOf(*account));
    }
  }

  /// What is wrong; empty if nothing is.
  std::string Judge() {
    JudgeAccounts();
    JudgeRoutes();
    return std::move(faults_);
  }

 private:
  void Expect(bool holds, std::string_view what, std::string_view where) {
    if (!holds) faults_ += Concat(what, " at ", where, "; ");
  }

  static int StatusOf(const route_decision& decision) {
    return decision.error == error_kind::kNone ? 200
                                               : ErrorResponseFor(decision.error).http_status;
  }

  void JudgeAccounts() {
    std::set<std::string> names;
    for (const json* account : ElementsOf(MemberOf(before_, "tenants"))) {
      const std::string name = account->at("name");
      if (IsUntouched(*account)) {
        untouched_key_ = account->at("apiKeys").at(0);
        const account_spec* const was = old_.current().FindAccountByName(name);
        const account_spec* const is = current_.current().FindAccountByName(name);
        Expect(is != nullptr && was->rate_per_s == is->rate_per_s && was->burst == is->burst,
               "cap of an untouched account", name);
        for (const std::string& key : KeysOf(*account)) JudgeUntouchedKey(key);
      }
      for (const std::string& key : KeysOf(*account)) JudgeKey(key);
    }
    JudgeKey("key-of-nobody");
    for (const json* account : ElementsOf(MemberOf(after_, "tenants"))) JudgeCap(*account);
  }

  bool IsUntouched(const json& account) const {
    int same = 0;
    for (const json* other : ElementsOf(MemberOf(after_, "tenants"))) {
      if (*other == account) {
        ++same;
        continue;
      }
      if (MemberOf(*other, "name") == account.at("name")) return false;
      for (const std::string& key : KeysOf(account)) {
        if (KeysOf(*other).contains(key)) return false;
      }
    }
    return same == 1;
  }

  // Under a claim that stands in both documents as it was, so that only the account counts.
  void JudgeUntouchedKey(const std::string& key) {
    for (const claim& each : claims_) {
      if (!IsServedAsBefore(each)) continue;
      const std::string path = each.prefix + "x";
      const route_decision was = old_.Find(each.host, path, key);
      const route_decision is = current_.Find(each.host, path, key);
      Expect(is.account == was.account && is.account_priority == was.account_priority &&
                 is.regions == was.regions,
             "untouched account", Concat(each.host, path, " ", key));
      return;
    }
  }

  void JudgeKey(const std::string& key) {
    for (const claim& each : claims_) {
      const std::string path = each.prefix + "x";
      if (ClaimOn(claims_, each.host, path) != &each) continue;
      const bool is_exempt = MemberOf(*each.rule, "authExempt") == true;
      const int status = StatusOf(current_.Find(each.host, path, key));
      if (!has_accounts_ || is_exempt || keys_.contains(key)) {
        Expect(status != 401, "401 though the key is there", Concat(each.host, path, " ", key));
      } else {
        Expect(status == 401, "key that the version does not hold",
               Concat(each.host, path, " ", key));
      }
    }
  }

  static double PositiveOr(const json& number, double otherwise) {
    const double found = number.is_number() ? number.get<double>() : 0;
    return found > 0 ? found : otherwise;
  }

  void JudgeCap(const json& account) {
    const json& name = MemberOf(account, "name");
    const account_spec* const spec =
        name.is_string() ? current_.current().FindAccountByName(name.get<std::string>())
                         : nullptr;
    if (spec == nullptr || !Has(account, "ratePerS")) return;
    const json& rate = MemberOf(account, "ratePerS");
    if (rate == 0) return;
    const double most = PositiveOr(rate, 1);
    Expect(spec->rate_per_s > 0 && spec->rate_per_s <= most, "cap", spec->name);
  }

  void JudgeRoutes() {
    for (const claim& was : claims_before_) {
      const std::string path = was.prefix + "x";
      const claim* const is = ClaimOn(claims_, was.host, path);
      if (is == nullptr) {
        Expect(StatusOf(current_.Find(was.host, path, untouched_key_)) == 404,
               "route that the version does not hold", Concat(was.host, path));
      } else if (*is->rule == *was.rule) {
        JudgeUntouchedRoute(was, path);
      }
    }
    for (const claim& each : claims_) {
      if (ClaimOn(claims_, each.host, each.prefix + "x") == &each) JudgeClaim(each);
    }
  }

  bool HasServicesOf(const json& rule) const {
    std::set<std::string> services;
    for (const json* service : ElementsOf(MemberOf(after_, "clusters"))) {
      if (MemberOf(*service, "name").is_string()) services.insert(service->at("name"));
    }
    const json& action = rule.at("action");
    if (action.contains("service")) return services.contains(action.at("service"));
    return std::ranges::all_of(action.at("weightedClusters"), [&](const json& part) {
      return services.contains(part.at("service"));
    });
  }

  /// True if a rule that both documents contain matches the same requests and may be served.
  bool IsServedAsBefore(const claim& is) const {
    const std::string path = is.prefix + "x";
    if (ClaimOn(claims_, is.host, path) != &is) return false;
    const claim* const was = ClaimOn(claims_before_, is.host, path);
    return was != nullptr && *was->rule == *is.rule && HasServicesOf(*is.rule);
  }

  void JudgeUntouchedRoute(const claim& was, const std::string& path) {
    const bool needs_key = has_accounts_ && was.rule->at("authExempt") == false;
    if (needs_key && !untouched_key_) return;
    const auto key = needs_key ? untouched_key_ : std::nullopt;
    const route_decision old = old_.Find(was.host, path, key);
    const route_decision now = current_.Find(was.host, path, key);
    const std::string where = Concat(was.host, path);
    if (!HasServicesOf(*was.rule)) {
      const int status = StatusOf(now);
      Expect(status == 503 ||
                 (was.rule->at("action").contains("weightedClusters") && status == 200),
             "route without a service", where);
      return;
    }
    // An account of the original document may be none in the changed one.
    if (old.error != error_kind::kNone) return;
    Expect(now.error == error_kind::kNone && now.service == old.service &&
               now.is_protected == old.is_protected && now.time_limit == old.time_limit &&
               now.objective_latency == old.objective_latency &&
               now.max_attempts == old.max_attempts && now.priority == old.priority &&
               (has_accounts_ != Has(before_, "tenants") || now.regions == old.regions),
           "untouched route", where);
  }

  // What holds for every rule, whatever its values are.
  void JudgeClaim(const claim& is) {
    const std::string path = is.prefix + "x";
    const std::string where = Concat(is.host, path);
    const route_decision open = current_.Find(is.host, path);
    const json& action = MemberOf(*is.rule, "action");
    if (has_accounts_ && MemberOf(*is.rule, "authExempt") != true) {
      Expect(open.error == error_kind::kUnknownCredential, "exemption that is not granted",
             where);
    }
    const route_decision decision =
        has_accounts_ && untouched_key_ ? current_.Find(is.host, path, untouched_key_) : open;
    if (decision.error != error_kind::kNone) return;
    const json& kind = MemberOf(*is.rule, "routeType");
    Expect(decision.is_protected || kind == "safe" || kind == "download",
           "second run of work of another kind", where);
    Expect(Names(action, decision.service), "service that the rule does not name", where);
    const json& attempts = MemberOf(action, "attempts");
    const double most = std::max(1.0, PositiveOr(attempts, 1));
    Expect(decision.max_attempts >= 1 && decision.max_attempts <= most, "attempts", where);
    const json& regions = MemberOf(action, "allowedRegions");
    if (!Has(action, "allowedRegions") || (regions.is_array() && regions.empty())) return;
    for (const std::string& region : kRegions) {
      const auto listed = ElementsOf(regions);
      const bool is_listed =
          std::ranges::any_of(listed, [&](const json* each) { return *each == region; });
      Expect(!decision.regions.Allows(region) || is_listed, "region that is not granted",
             where);
    }
  }

  static bool Names(const json& action, const std::string& service) {
    if (MemberOf(action, "service") == service) return true;
    const auto parts = ElementsOf(MemberOf(action, "weightedClusters"));
    return std::ranges::any_of(
        parts, [&](const json* part) { return MemberOf(*part, "service") == service; });
  }

  const json& before_;
  const json& after_;
  const reader& old_;
  const reader& current_;
  std::vector<claim> claims_before_;
  std::vector<claim> claims_;
  bool has_accounts_ = false;
  std::set<std::string> keys_;
  std::optional<std::string> untouched_key_;
  std::string faults_;
};

// Guards against a value that keeps a version from taking effect anywhere, so that withdrawn
// keys and routes stay in use, and against a substitute that reaches beyond its field or allows
// more than the version does.
TEST(ChangedDocuments, EachIsInEffectButForWhatCannotBeUsed) {
  const std::uint64_t seed = tests::NumberFromEnvironment("BRONZEROUTE_SEED", 20261207);
  const std::uint64_t documents = tests::NumberFromEnvironment("BRONZEROUTE_DOCUMENTS", 10'000);
  document_author author(seed);
  document_changer changer(seed + 1);
  std::mt19937_64 random(seed + 2);
  std::uint64_t not_in_effect = 0;
  std::uint64_t faulty = 0;
  json before;
  std::optional<reader> old;
  for (std::uint64_t i = 0; i < documents; ++i) {
    if (i % kPerOriginal == 0) {
      before = author.Write();
      old.emplace(before.dump());
      ASSERT_TRUE(old->IsInEffect()) << before;
    }
    json after = before;
    const int changes = std::uniform_int_distribution<int>(1, kChangesPerDocument)(random);
    for (int k = 0; k < changes; ++k) changer.Change(after);
    const std::string text = document_changer::Text(after);
    const reader current(text);
    if (!current.IsInEffect()) {
      if (++not_in_effect <= kShownFailures) {
        ADD_FAILURE() << "not in effect: " << i << " " << text;
      }
      continue;
    }
    const std::string faults = judge(before, after, *old, current).Judge();
    if (!faults.empty() && ++faulty <= kShownFailures) {
      ADD_FAILURE() << faults << "document " << i << "\n" << before << "\n" << text;
    }
  }
  EXPECT_EQ(not_in_effect, 0U) << "of " << documents << ", seed " << seed;
  EXPECT_EQ(faulty, 0U) << "of " << documents << ", seed " << seed;
}

}  // namespace
}  // namespace bronzeroute::platform
