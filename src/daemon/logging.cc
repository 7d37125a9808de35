#include "src/daemon/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>
#include <string>

namespace bronzeroute {
namespace {

log4cxx::LoggerPtr Root() { return log4cxx::Logger::getRootLogger(); }

}  // namespace

void StartLogging(std::string_view level) {
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  Root()->setLevel(log4cxx::Level::toLevel(std::string(level), log4cxx::Level::getInfo()));
}

void LogInfo(std::string_view line) { LOG4CXX_INFO(Root(), std::string(line)); }
void LogWarning(std::string_view line) { LOG4CXX_WARN(Root(), std::string(line)); }
void LogError(std::string_view line) { LOG4CXX_ERROR(Root(), std::string(line)); }

}  // namespace bronzeroute
