#pragma once

#include <absl/strings/str_replace.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace bronzeroute::standin {

/// Changes values of a configuration document as no sound operator would: to any type and size,
/// at any depth; lists are emptied, doubled and reordered, and members dropped. The version
/// stays, since a document without one is none. One seed gives one sequence of changes.
class document_changer {
 public:
  explicit document_changer(std::uint64_t seed) : random_(seed) {}

  /// Changes one value of `document`. New texts are at times those of `document` itself.
  void Change(nlohmann::json& document) {
    texts_.clear();
    Collect(document);
    nlohmann::json* parent = &document;
    nlohmann::json* node = Child(document);
    while (node->is_structured() && !node->empty() && Chance(kDescend)) {
      parent = node;
      node = Child(*node);
    }
    if (node->is_array() && !node->empty() && Chance(kChangeList)) {
      ChangeList(*node);
    } else if (Chance(kDrop)) {
      Drop(*parent, node);
    } else {
      *node = Value(kNesting);
    }
  }

  /// Adds changed copies of elements of `document`, and other values, behind those that it has,
  /// and replaces a limit of callers by one that is none or has no effect. What was there
  /// before decides as it did.
  void AddValues(nlohmann::json& document) {
    json listener = document["listeners"].at(0);
    listener["host"] = "added.example";
    for (int i = 0; i < kAdded; ++i) Change(listener);
    if (listener.contains("host")) listener["host"] = "added.example";
    document["listeners"].push_back(std::move(listener));
    document["listeners"].push_back(Number());
    json service = document["clusters"].at(0);
    service["name"] = "added";
    for (int i = 0; i < kAdded; ++i) Change(service);
    document["clusters"].push_back(std::move(service));
    if (document.contains("tenants")) {
      json account = {{"name", "added"}, {"apiKeys", {"key-added"}}, {"ratePerS", 5}};
      for (int i = 0; i < kAdded; ++i) Change(account);
      document["tenants"].push_back(std::move(account));
    }
    const std::array<const char*, 4> limits = {"maxHeaderBytes", "maxBodyBytes",
                                               "headerTimeoutMs", "idleTimeoutMs"};
    const std::array<json, 4> values = {nullptr, "text", std::numeric_limits<double>::max(),
                                        std::numeric_limits<std::uint64_t>::max()};
    document["limits"][limits[Pick(limits.size())]] = values[Pick(values.size())];
    document["added"] = Value(kNesting);
  }

  /// The text of `document`, where values that JSON can express and `nlohmann::json` cannot
  /// take the place of the largest number and of NUL.
  static std::string Text(const nlohmann::json& document) {
    return absl::StrReplaceAll(document.dump(),
                               {{"1.7976931348623157e+308", "1e999"}, {"\\u0000", "\\ud800"}});
  }

 private:
  using json = nlohmann::json;

  static constexpr double kDescend = 0.75;
  static constexpr double kChangeList = 0.5;
  static constexpr double kDrop = 0.3;
  static constexpr double kOwnText = 0.2;
  static constexpr int kNesting = 3;
  static constexpr int kAdded = 2;
  static constexpr int kDeep = 200;
  static constexpr std::size_t kLongText = 5'000;

  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }

  void Collect(const json& from) {
    if (from.is_string()) texts_.push_back(from.get<std::string>());
    if (!from.is_structured()) return;
    for (const json& each : from) Collect(each);
  }

  /// An element or a member of `from`, but no version.
  json* Child(json& from) {
    for (;;) {
      auto child = from.begin();
      std::advance(child, static_cast<std::ptrdiff_t>(Pick(from.size())));
      if (!from.is_object() || child.key() != "version") return &*child;
    }
  }

  void ChangeList(json& list) {
    switch (Pick(3)) {
      case 0:
        list = json::array();
        break;
      case 1: {
        const json copy = list;
        list.insert(list.end(), copy.begin(), copy.end());
        break;
      }
      default:
        std::shuffle(list.begin(), list.end(), random_);
    }
  }

  static void Drop(json& parent, const json* node) {
    for (auto child = parent.begin(); child != parent.end(); ++child) {
      if (&*child != node) continue;
      parent.erase(child);
      return;
    }
  }

  json Number() {
    const std::array<json, 18> numbers = {0,
                                          1,
                                          -1,
                                          7,
                                          0.5,
                                          2.0,
                                          -0.25,
                                          1e-300,
                                          1e7 + 1,
                                          86'400'001,
                                          4'294'967'296,
                                          1'099'511'627'777,
                                          9'007'199'254'740'993,
                                          std::numeric_limits<std::int64_t>::min(),
                                          std::numeric_limits<std::uint64_t>::max(),
                                          1e300,
                                          std::numeric_limits<double>::max(),
                                          std::numeric_limits<double>::lowest()};
    return numbers[Pick(numbers.size())];
  }

  json Text() {
    if (!texts_.empty() && Chance(kOwnText)) return texts_[Pick(texts_.size())];
    const std::array<std::string, 15> texts = {"",
                                               " ",
                                               "/",
                                               "a",
                                               "a/",
                                               "/a",
                                               "//",
                                               "two words",
                                               "a ",
                                               "a\r\nb: c",
                                               std::string("a\0b", 3),
                                               "\x7f",
                                               "S\u00e3o Jo\u00e3o",
                                               "\u6c37",
                                               std::string(kLongText, 'x')};
    return texts[Pick(texts.size())];
  }

  json Value(int nesting) {
    switch (Pick(nesting > 0 ? 9 : 6)) {
      case 0:
        return nullptr;
      case 1:
        return Chance(0.5);
      case 2:
      case 3:
        return Number();
      case 4:
      case 5:
        return Text();
      case 6: {
        json list = json::array();
        for (std::size_t i = Pick(4); i > 0; --i) list.push_back(Value(nesting - 1));
        return list;
      }
      case 7: {
        json members = json::object();
        for (std::size_t i = Pick(4); i > 0; --i) members["member"] = Value(nesting - 1);
        return members;
      }
      default: {
        json deep = json::array();
        for (int i = 0; i < kDeep; ++i) {
          json outer = json::array();
          outer.push_back(std::move(deep));
          deep = std::move(outer);
        }
        return deep;
      }
    }
  }

  std::mt19937_64 random_;
  std::vector<std::string> texts_;
};

}  // namespace bronzeroute::standin
