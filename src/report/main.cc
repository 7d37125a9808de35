// Reports how fast services burn their error budgets, from the metrics of the daemons.

#include <pplx/threadpool.h>

#include <chrono>
#include <cstddef>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/report/aggregate.h"
#include "src/report/html_renderer.h"
#include "src/report/json_renderer.h"
#include "src/report/metrics_reader.h"
#include "src/report/text_renderer.h"

namespace {

using bronzeroute::burn_report;
using bronzeroute::member_list;
using bronzeroute::process_source;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitIncomplete = 3;
constexpr int kExitPage = 4;
constexpr int kMaxTimeoutMs = 600'000;
// The thread pool only transfers data. By default, cpprestsdk would start 40 threads.
constexpr std::size_t kThreads = 2;

using names = std::vector<std::string>;

// Sources in the order given, without duplicates, so that no process is counted twice.
class source_list {
 public:
  void Add(const process_source& source) {
    // Members without an address cannot be distinguished, so each of them is kept and reported.
    if (source.name.empty() || known_.emplace(source.from, source.name).second) {
      sources_.push_back(source);
    }
  }
  void Add(process_source::origin from, const names& all) {
    for (const std::string& name : all) {
      process_source source;
      source.from = from;
      source.name = name;
      Add(source);
    }
  }
  const std::vector<process_source>& sources() const { return sources_; }

 private:
  std::set<std::pair<process_source::origin, std::string>> known_;
  std::vector<process_source> sources_;
};

names Values(const cxxopts::ParseResult& parsed, const std::string& name) {
  return parsed.count(name) == 0 ? names() : parsed[name].as<names>();
}

int ExitCode(const burn_report& report) {
  if (report.readable() == 0) return kExitFailed;
  for (const burn_report::service& each : report.services) {
    if (each.assessment.level == bronzeroute::service_assessment::severity::kPage) {
      return kExitPage;
    }
  }
  return report.complete() ? kExitOk : kExitIncomplete;
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream output(path, std::ios::binary | std::ios::trunc);
  output << text;
  output.close();
  if (!output) std::cerr << "brreport: cannot write " << path << "\n";
  return !output.fail();
}

int Run(const cxxopts::ParseResult& parsed, int timeout_ms) {
  crossplat::threadpool::initialize_with_threads(kThreads);
  const bronzeroute::metrics_reader reader{std::chrono::milliseconds(timeout_ms)};
  source_list sources;
  std::vector<member_list::absent_member> absent;
  if (parsed.count("discover") != 0) {
    const auto from = parsed["discover"].as<std::string>();
    const auto members = reader.Members(from);
    if (!members.ok()) {
      std::cerr << "brreport: cannot read the members from " << from << ": "
                << members.status().message() << "\n";
      return kExitFailed;
    }
    for (const process_source& each : members->live) sources.Add(each);
    absent = members->absent;
  }
  sources.Add(process_source::origin::kAdmin, Values(parsed, "admin"));
  sources.Add(process_source::origin::kFile, Values(parsed, "file"));

  const burn_report report =
      bronzeroute::MakeReport(reader.Read(sources.sources()), std::move(absent));
  bool written = true;
  if (parsed.count("html") != 0) {
    written = WriteFile(parsed["html"].as<std::string>(), bronzeroute::HtmlReport(report));
  }
  if (parsed.count("json") != 0) {
    std::cout << bronzeroute::JsonReport(report);
  } else {
    std::cout << bronzeroute::TextReport(report);
  }
  std::cout.flush();
  return written && std::cout ? ExitCode(report) : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("brreport", "A report on service-level burn over several daemons");
  // clang-format off
  options.add_options()
      ("admin", "admin address of a daemon (ip:port); repeatable", cxxopts::value<names>())
      ("discover", "admin address of a daemon; reads every live member in its member table",
       cxxopts::value<std::string>())
      ("file", "file with saved metrics of a daemon; repeatable", cxxopts::value<names>())
      ("json", "print JSON instead of text")
      ("html", "also write an HTML page to this file", cxxopts::value<std::string>())
      ("timeout-ms", "time limit of each request to a daemon",
       cxxopts::value<int>()->default_value("5000"))
      ("h,help", "print this help")
      ("version", "print the version");
  // clang-format on
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout
          << options.help()
          << "\nExit codes: 0 all processes read and no service to page for, 1 no process "
             "could be read or the\noutput could not be written, 2 wrong usage, 3 some "
             "processes could not be read, 4 a service\nburns fast enough to page "
             "(whether or not all processes were read).\n";
      return kExitOk;
    }
    if (parsed.count("version") != 0) {
      std::cout << "brreport " << BRONZEROUTE_VERSION << "\n";
      return kExitOk;
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << "brreport: unexpected argument " << parsed.unmatched().front()
                << "; see --help\n";
      return kExitUsage;
    }
    if (parsed.count("admin") + parsed.count("discover") + parsed.count("file") == 0) {
      std::cerr << "brreport: --admin, --discover or --file is required; see --help\n";
      return kExitUsage;
    }
    const int timeout_ms = parsed["timeout-ms"].as<int>();
    if (timeout_ms < 1 || timeout_ms > kMaxTimeoutMs) {
      std::cerr << "brreport: --timeout-ms is out of range; allowed: 1 to " << kMaxTimeoutMs
                << "\n";
      return kExitUsage;
    }
    return Run(parsed, timeout_ms);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "brreport: " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "brreport: " << error.what() << "\n";
    return kExitFailed;
  }
}
