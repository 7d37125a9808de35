#include "src/ctl/parse_arguments.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <string_view>

namespace bronzeroute {
namespace {

// Operands and options that one command requires.
struct command_rule {
  std::string_view name;
  std::size_t min_operands = 0;
  std::size_t max_operands = 0;
  bool needs_log = false;
  bool needs_admin = false;
};

constexpr auto kCommands = std::to_array<command_rule>({
    {"check", 1, 1, false, false},
    {"publish", 1, 1, true, false},
    {"promote", 0, 0, true, false},
    {"status", 0, 0, false, false},
    {"guarantees", 0, 1, false, false},
    {"explain", 1, 1, false, true},
    {"drain", 0, 0, false, true},
    {"members", 0, 0, false, true},
    {"wait", 0, 0, false, false},
});

constexpr std::string_view kCommandHelp = R"(
Commands:
  check FILE        report every error in a document
  publish FILE      publish a document to the trial environment
  promote           publish the accepted trial document, unchanged, to production
  status            show what is in effect: per environment in the log (--log), and the version
                    that each daemon has (--admin)
  guarantees [FILE] show what is promised for each service, from FILE or from the log
                    (--environment)
  explain CALL      show the records of a call at a daemon (--admin)
  drain             drain the upstream beside a daemon (--admin)
  members           show the members in the member table of a daemon (--admin)
  wait              wait until every daemon (--admin) has a configuration and reports at least
                    --members ready members

Exit codes:
  0  done
  1  the document is invalid
  2  wrong usage, or a file that cannot be read
  3  refused, nothing changed: another publication came first, the digest is not the expected
     one, there is nothing to promote, or the daemon refused
  4  the log or a daemon did not respond; nothing changed
  5  unknown: the publication may or may not have taken effect; check with
     brctl status --publication ID
)";

exit_code Usage(std::string_view message) {
  std::cerr << "brctl: " << message << "; see brctl --help\n";
  return exit_code::kUsage;
}

cxxopts::Options Options() {
  cxxopts::Options options("brctl", "Operators' command line of bronzeroute.");
  options.positional_help("COMMAND [OPERAND]");
  cxxopts::OptionAdder add = options.add_options();
  add("h,help", "show this help");
  add("version", "show the version");
  add("log", "address of the log", cxxopts::value<std::string>(), "IP:PORT");
  add("admin", "admin address of a daemon; may be repeated",
      cxxopts::value<std::vector<std::string>>(), "IP:PORT");
  add("environment", "trial or production", cxxopts::value<std::string>(), "NAME");
  add("base", "publish: version that the document is based on; default: the accepted one",
      cxxopts::value<std::int64_t>(), "VERSION");
  add("digest", "promote: digest that the accepted trial document must have",
      cxxopts::value<std::string>(), "HEX");
  add("publication", "status: show the outcome of a publication", cxxopts::value<std::string>(),
      "ID");
  add("members", "wait: ready members that each daemon must report",
      cxxopts::value<int>()->default_value("1"), "COUNT");
  add("timeout",
      "time limit of each request to the log or a daemon; of the whole command for wait",
      cxxopts::value<int>()->default_value("20"), "SECONDS");
  options.add_options("internal")("command", "", cxxopts::value<std::string>())(
      "operands", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"command", "operands"});
  return options;
}

template <typename Value>
Value ValueOr(const cxxopts::ParseResult& parsed, const std::string& name, Value fallback) {
  return parsed.count(name) > 0 ? parsed[name].as<Value>() : fallback;
}

std::variant<arguments, exit_code> Check(arguments result) {
  const auto* const rule = std::ranges::find(kCommands, result.command, &command_rule::name);
  if (rule == kCommands.end()) {
    return Usage(result.command.empty() ? "no command given"
                                        : "unknown command " + result.command);
  }
  if (result.operands.size() < rule->min_operands) {
    return Usage(result.command + " needs an operand");
  }
  if (result.operands.size() > rule->max_operands) {
    return Usage("too many operands for " + result.command);
  }
  if (rule->needs_log && result.log.empty()) return Usage(result.command + " needs --log");
  if (rule->needs_admin && result.admin.size() != 1) {
    return Usage(result.command + " needs one --admin");
  }
  if (result.command == "status" && result.log.empty() && result.admin.empty()) {
    return Usage("status needs --log or --admin");
  }
  if (result.command == "wait" && result.admin.empty()) {
    return Usage("wait needs one or more --admin");
  }
  if (!result.publication.empty() && result.log.empty()) {
    return Usage("--publication needs --log");
  }
  if (!result.environment.empty() && result.environment != "trial" &&
      result.environment != "production") {
    return Usage("--environment must be trial or production");
  }
  if (result.command == "guarantees" && result.operands.empty() &&
      (result.environment.empty() || result.log.empty())) {
    return Usage("guarantees needs a file, or --environment and --log");
  }
  if (result.timeout.count() <= 0) return Usage("--timeout must be at least 1 second");
  return result;
}

}  // namespace

std::variant<arguments, exit_code> ParseArguments(int argc, const char* const* argv) {
  cxxopts::Options options = Options();
  arguments result;
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help({""}) << kCommandHelp;
      return exit_code::kOk;
    }
    if (parsed.count("version") > 0) {
      std::cout << "brctl " << BRONZEROUTE_VERSION << "\n";
      return exit_code::kOk;
    }
    result.command = ValueOr<std::string>(parsed, "command", "");
    result.operands = ValueOr<std::vector<std::string>>(parsed, "operands", {});
    result.log = ValueOr<std::string>(parsed, "log", "");
    result.admin = ValueOr<std::vector<std::string>>(parsed, "admin", {});
    result.environment = ValueOr<std::string>(parsed, "environment", "");
    if (parsed.count("base") > 0) result.base = parsed["base"].as<std::int64_t>();
    result.digest = ValueOr<std::string>(parsed, "digest", "");
    result.publication = ValueOr<std::string>(parsed, "publication", "");
    result.members = parsed["members"].as<int>();
    result.timeout = std::chrono::seconds(parsed["timeout"].as<int>());
  } catch (const cxxopts::exceptions::exception& error) {
    return Usage(error.what());
  }
  return Check(std::move(result));
}

}  // namespace bronzeroute
