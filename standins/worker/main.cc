// Stand-in for an upstream: takes a random service time for each request, records the requests
// it ran, and announces itself to the daemon beside it.

#include <pplx/threadpool.h>

#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "standins/common/run_until_signal.h"
#include "standins/worker/worker_options.h"
#include "standins/worker/worker_service.h"

int main(int argc, char** argv) {
  namespace standin = bronzeroute::standin;
  cxxopts::Options options("brstandin_worker", "Stand-in for an upstream");
  standin::worker_options worker;
  // clang-format off
  options.add_options()
      ("listen", "own address, ip:port", cxxopts::value(worker.listen)->default_value("127.0.0.1:9000"))
      ("daemon", "admin address of the daemon beside it", cxxopts::value(worker.daemon)->default_value(""))
      ("service", "service name", cxxopts::value(worker.service)->default_value("estoque"))
      ("announce-as", "address to announce, ip:port", cxxopts::value(worker.announced))
      ("slots", "number of requests that may run at the same time", cxxopts::value(worker.slots)->default_value("6"))
      ("connections", "number of connections that may be open at the same time", cxxopts::value(worker.connections)->default_value("260"))
      ("service-us", "mean service time of short requests in microseconds", cxxopts::value(worker.service_us)->default_value("2000"))
      ("seed", "seed of the random service times", cxxopts::value(worker.seed)->default_value("1"))
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
      std::cout << "brstandin_worker " << BRONZEROUTE_VERSION << "\n";
      return 0;
    }
    standin::BlockStopSignals();
    crossplat::threadpool::initialize_with_threads(1);
    standin::worker_service service(worker);
    service.Open();
    std::cout << "worker: listening on " << worker.listen << std::endl;
    standin::WaitForStopSignal();
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "brstandin_worker: " << error.what() << "\n";
    return 2;
  }
}
