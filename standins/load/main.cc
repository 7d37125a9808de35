// Open-loop load tool: sends short, protected and long calls and prints the latency percentiles
// of each class.

#include <cpprest/json.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <chrono>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "standins/common/timer.h"
#include "standins/load/load_options.h"
#include "standins/load/load_runner.h"

namespace {

namespace standin = bronzeroute::standin;

constexpr auto kPoll = std::chrono::milliseconds(20);

void WatchForEnd(const standin::load_runner& runner, std::atomic<bool>& done) {
  standin::RunAfter(kPoll, [&runner, &done] {
    if (runner.IsDone()) {
      done = true;
      return;
    }
    WatchForEnd(runner, done);
  });
}

void PrintText(const standin::load_runner& runner) {
  std::cout << "class      sent  p50_us  p99_us p999_us wrong outcomes\n";
  for (const auto kind : {standin::load_runner::kShort, standin::load_runner::kProtected,
                          standin::load_runner::kLong}) {
    const standin::class_result& result = runner.result(kind);
    if (result.sent == 0) {
      continue;
    }
    std::printf("%-9s %5lld %7lld %7lld %7lld %5lld",
                std::string(standin::load_runner::ClassName(kind)).c_str(),
                static_cast<long long>(result.sent),
                static_cast<long long>(result.Percentile(0.5)),
                static_cast<long long>(result.Percentile(0.99)),
                static_cast<long long>(result.Percentile(0.999)),
                static_cast<long long>(result.wrong_answers));
    for (const auto& [name, count] : result.outcomes) {
      std::printf(" %s=%lld", name.c_str(), static_cast<long long>(count));
    }
    std::printf("\n");
  }
}

void PrintJson(const standin::load_runner& runner) {
  web::json::value all;
  for (const auto kind : {standin::load_runner::kShort, standin::load_runner::kProtected,
                          standin::load_runner::kLong}) {
    const standin::class_result& result = runner.result(kind);
    web::json::value row;
    row["sent"] = web::json::value::number(result.sent);
    row["p50_us"] = web::json::value::number(result.Percentile(0.5));
    row["p99_us"] = web::json::value::number(result.Percentile(0.99));
    row["p999_us"] = web::json::value::number(result.Percentile(0.999));
    row["wrong_answers"] = web::json::value::number(result.wrong_answers);
    web::json::value outcomes = web::json::value::object();
    for (const auto& [name, count] : result.outcomes) {
      outcomes[name] = web::json::value::number(count);
    }
    row["outcomes"] = outcomes;
    all[std::string(standin::load_runner::ClassName(kind))] = row;
  }
  std::cout << all.serialize() << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("brload", "Open-loop load tool");
  standin::load_options load;
  // clang-format off
  options.add_options()
      ("target", "address of a daemon for callers, ip:port; repeat the option for several", cxxopts::value(load.targets)->default_value("127.0.0.1:8000"))
      ("short-path", "path of short calls", cxxopts::value(load.short_path)->default_value("/estoque/items"))
      ("protected-path", "path of protected calls", cxxopts::value(load.protected_path)->default_value("/pedidos/orders"))
      ("long-path", "path of long calls", cxxopts::value(load.long_path)->default_value("/comprovantes/photos"))
      ("short", "short calls per second", cxxopts::value(load.short_rate)->default_value("100"))
      ("protected", "protected calls per second", cxxopts::value(load.protected_rate)->default_value("0"))
      ("long", "long calls per second", cxxopts::value(load.long_rate)->default_value("0"))
      ("duration", "time during which calls are started, in seconds", cxxopts::value(load.duration_s)->default_value("10"))
      ("short-bytes", "body length of short calls in bytes; 0 sends GET", cxxopts::value(load.short_bytes)->default_value("0"))
      ("long-bytes", "body length of long calls in bytes", cxxopts::value(load.long_bytes)->default_value("2000000"))
      ("deadline-ms", "time limit of each call in milliseconds", cxxopts::value(load.deadline_ms)->default_value("2000"))
      ("keys", "source of idempotency keys: issued, own or none", cxxopts::value(load.keys)->default_value("own"))
      ("seed", "seed of start times and keys", cxxopts::value(load.seed)->default_value("1"))
      ("json", "print JSON", cxxopts::value(load.json))
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
      std::cout << "brload " << BRONZEROUTE_VERSION << "\n";
      return 0;
    }
    crossplat::threadpool::initialize_with_threads(1);
    standin::load_runner runner(load);
    std::atomic<bool> done{false};
    crossplat::threadpool::shared_instance().service().post([&runner] { runner.Start(); });
    WatchForEnd(runner, done);
    while (!done) {
      std::this_thread::sleep_for(kPoll);
    }
    load.json ? PrintJson(runner) : PrintText(runner);
    std::cout.flush();
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "brload: " << error.what() << "\n";
    return 2;
  }
}
