// Stand-in for the platform's append-only log: serves HTTP, keeps records in memory, and
// simulates faults on request.

#include <pplx/threadpool.h>

#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "standins/common/run_until_signal.h"
#include "standins/log/log_service.h"

int main(int argc, char** argv) {
  namespace standin = bronzeroute::standin;
  cxxopts::Options options("brstandin_log", "Stand-in for the platform's append-only log");
  standin::log_faults faults;
  // clang-format off
  options.add_options()
      ("listen", "address, ip:port", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))
      ("retention-ms", "retention of records in milliseconds", cxxopts::value<std::int64_t>(faults.retention_ms))
      ("appends-per-second", "largest rate of appends over all streams", cxxopts::value<std::int64_t>(faults.appends_per_second))
      ("h,help", "print this help")
      ("version", "print the version");
  // clang-format on
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "brstandin_log " << BRONZEROUTE_VERSION << "\n";
      return 0;
    }
    standin::BlockStopSignals();
    crossplat::threadpool::initialize_with_threads(1);
    standin::log_service service(parsed["listen"].as<std::string>(), faults);
    service.Open();
    std::cout << "log: listening on " << parsed["listen"].as<std::string>() << std::endl;
    standin::WaitForStopSignal();
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "brstandin_log: " << error.what() << "\n";
    return 2;
  }
}
