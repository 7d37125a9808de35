#include "src/report/metrics_reader.h"

#include <gtest/gtest.h>

// After GoogleTest, whose names its macro U would replace.
#include <cpprest/http_listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "src/base/concat.h"
#include "tests/report/report_fixture.h"

namespace bronzeroute {
namespace {

using web::http::http_request;
using web::http::status_codes;

int FreePort() {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool bound = bind(listener, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
                     getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  close(listener);
  if (!bound) throw std::runtime_error("no free port");
  return ntohs(address.sin_port);
}

// A fake of a daemon's admin endpoint with fixed responses.
class admin_stand_in {
 public:
  admin_stand_in(std::string metrics, std::string members)
      : address_(Concat("127.0.0.1:", FreePort())),
        metrics_(std::move(metrics)),
        members_(std::move(members)),
        listener_(Concat("http://", address_)) {
    listener_.support([this](const http_request& request) { Respond(request); });
    listener_.open().get();
  }
  ~admin_stand_in() { listener_.close().get(); }
  admin_stand_in(const admin_stand_in&) = delete;
  admin_stand_in& operator=(const admin_stand_in&) = delete;

  const std::string& address() const { return address_; }

 private:
  void Respond(const http_request& request) const {
    const std::string path = request.request_uri().path();
    if (path == "/.bronzeroute/v1/metrics" && !metrics_.empty()) {
      request.reply(status_codes::OK, metrics_, "text/plain; version=0.0.4");
    } else if (path == "/.bronzeroute/v1/members") {
      request.reply(status_codes::OK, members_, "application/json");
    } else {
      request.reply(status_codes::NotFound);
    }
  }

  std::string address_;
  std::string metrics_;
  std::string members_;
  web::http::experimental::listener::http_listener listener_;
};

std::string MemberJson(const std::string& state, const std::string& address) {
  return R"({"state":")" + state + R"(","admin_address":")" + address +
         R"(","service":"estoque","region":"recife","availability_zone":"a"})";
}

std::string EstoqueExposition() {
  service_metrics metrics = StartedMetrics();
  metrics.SetObjective("estoque", 0.99);
  RecordMany(metrics, "estoque", request_class::kShort, request_result::kServedInTime, 4,
             kStart + std::chrono::hours(2));
  return Exposition(metrics, kStart + std::chrono::hours(2));
}

std::vector<process_source> Sources(process_source::origin from,
                                    const std::vector<std::string>& names) {
  std::vector<process_source> sources(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    sources[i].from = from;
    sources[i].name = names[i];
  }
  return sources;
}

// Guards against readings that are lost, reordered or attributed to another process when some
// daemons respond, one responds with an error, one with an unrelated page and one not at all.
TEST(MetricsReader, GivesOneReadingForEachDaemon) {
  const admin_stand_in good(EstoqueExposition(), "");
  const admin_stand_in missing("", "");
  const admin_stand_in foreign("<html>welcome</html>", "");
  const std::string closed = Concat("127.0.0.1:", FreePort());
  // More than are read in parallel.
  std::vector<std::string> names(20, good.address());
  names.insert(names.begin(), {closed, missing.address(), foreign.address(), "", "no address"});
  const metrics_reader reader(std::chrono::seconds(30));
  const std::vector<process_reading> readings =
      reader.Read(Sources(process_source::origin::kAdmin, names));
  ASSERT_EQ(readings.size(), names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    EXPECT_EQ(readings[i].source.name, names[i]);
    EXPECT_EQ(readings[i].metrics.ok(), i >= 5) << i << readings[i].metrics.status();
  }
}

// Guards against counting a file that is empty or cannot be read as a process without requests.
TEST(MetricsReader, ReadsFiles) {
  const std::string path = ::testing::TempDir() + Concat("brreport_", getpid(), ".txt");
  const std::string empty = path + ".empty";
  std::ofstream(path) << EstoqueExposition();
  std::ofstream(empty) << "";
  const std::vector<process_reading> readings =
      metrics_reader(std::chrono::seconds(30))
          .Read(Sources(process_source::origin::kFile,
                        {path, empty, path + ".absent", ::testing::TempDir()}));
  std::remove(path.c_str());
  std::remove(empty.c_str());
  ASSERT_EQ(readings.size(), 4U);
  EXPECT_TRUE(readings[0].metrics.ok());
  for (std::size_t i = 1; i < readings.size(); ++i) EXPECT_FALSE(readings[i].metrics.ok()) << i;
}

// Runs brreport and returns its exit code.
int RunProgram(const std::string& arguments) {
  const std::string command =
      Concat(BRONZEROUTE_BIN, "/brreport ", arguments, " >/dev/null 2>&1");
  return WEXITSTATUS(std::system(command.c_str()));
}

// Guards against exit codes that differ from the help text, also if a discovered member cannot
// be read.
TEST(Program, ExitCodesAreAsDocumented) {
  const std::string closed = Concat("127.0.0.1:", FreePort());
  service_metrics burning = StartedMetrics();
  burning.SetObjective("estoque", 0.99);
  RecordMany(burning, "estoque", request_class::kShort, request_result::kRefused, 9, kStart);
  const admin_stand_in page(Exposition(burning, kStart), "");
  const admin_stand_in good(EstoqueExposition(), "");
  const auto members = [&](const std::string& rows) { return R"({"members":[)" + rows + "]}"; };
  const admin_stand_in whole(
      "", members(MemberJson("alive", good.address()) + "," + MemberJson("dead", closed)));
  const admin_stand_in partial(
      "", members(MemberJson("alive", good.address()) + "," + MemberJson("suspect", closed)));

  EXPECT_EQ(RunProgram("--help"), 0);
  EXPECT_EQ(RunProgram("--version"), 0);
  EXPECT_EQ(RunProgram("--admin " + good.address()), 0);
  EXPECT_EQ(RunProgram("--discover " + whole.address()), 0);
  EXPECT_EQ(RunProgram("--admin " + closed), 1);
  EXPECT_EQ(RunProgram("--discover " + closed), 1);
  EXPECT_EQ(RunProgram("--html /nonexistent/r.html --admin " + good.address()), 1);
  EXPECT_EQ(RunProgram(""), 2);
  EXPECT_EQ(RunProgram("--unknown"), 2);
  EXPECT_EQ(RunProgram("stray --admin " + good.address()), 2);
  EXPECT_EQ(RunProgram("--timeout-ms 0 --admin " + good.address()), 2);
  EXPECT_EQ(RunProgram("--timeout-ms soon --admin " + good.address()), 2);
  EXPECT_EQ(RunProgram("--discover " + partial.address()), 3);
  EXPECT_EQ(RunProgram("--json --admin " + page.address() + " --admin " + closed), 4);
}

}  // namespace
}  // namespace bronzeroute
