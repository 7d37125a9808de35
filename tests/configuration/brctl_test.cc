#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <string>

#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_record.h"
#include "tests/configuration/log_server.h"
#include "tests/configuration/open_listener.h"
#include "tests/configuration/sample_document.h"

namespace bronzeroute {
namespace {

using testing::HasSubstr;

struct outcome {
  int code = -1;
  /// Standard output and standard error together.
  std::string text;
};

class BrctlTest : public testing::Test {
 protected:
  BrctlTest() : file_(testing::TempDir() + "brctl_test_" + server_.address() + ".toml") {
    Write(SampleDocument(1));
  }
  ~BrctlTest() override { std::remove(file_.c_str()); }

  void Write(const std::string& text) { std::ofstream(file_) << text; }

  outcome Run(const std::string& line) const {
    const std::string command = std::string(BRONZEROUTE_BIN) + "/brctl " + line + " 2>&1";
    outcome result;
    FILE* pipe = popen(command.c_str(), "r");
    std::array<char, 4096> buffer{};
    while (const std::size_t size = fread(buffer.data(), 1, buffer.size(), pipe)) {
      result.text.append(buffer.data(), size);
    }
    result.code = WEXITSTATUS(pclose(pipe));
    return result;
  }

  outcome RunOnLog(const std::string& line) const {
    return Run("--log " + server_.address() + " " + line);
  }

  configuration_snapshot InForce(const std::string& environment) {
    configuration_fold fold(environment);
    fold.Fold(server_.stream(ConfigurationStream(environment)).Read(0));
    return fold.head();
  }

  log_server server_;
  std::string file_;
};

// Guards against a promotion that changes the document or that precedes its acceptance in
// trial.
TEST_F(BrctlTest, PromotesExactlyTheBytesAcceptedInTrial) {
  EXPECT_EQ(RunOnLog("promote").code, 3);
  const outcome published = RunOnLog("publish " + file_);
  EXPECT_EQ(published.code, 0) << published.text;
  EXPECT_THAT(published.text, HasSubstr("trial: accepted as version 0"));
  EXPECT_EQ(InForce("production").version, -1);
  EXPECT_EQ(RunOnLog("promote --digest 0123456789abcdef").code, 3);
  EXPECT_EQ(InForce("production").version, -1);
  const std::string digest = DigestText(DocumentDigest(SampleDocument(1)));
  const outcome promoted = RunOnLog("promote --digest " + digest);
  EXPECT_EQ(promoted.code, 0) << promoted.text;
  EXPECT_EQ(InForce("production").bytes, SampleDocument(1));
  // Repeated commands change nothing.
  EXPECT_EQ(RunOnLog("publish " + file_).code, 0);
  EXPECT_EQ(RunOnLog("promote").code, 0);
  EXPECT_EQ(server_.stream("config.production").history.size(), 1U);
  const outcome status = RunOnLog("status");
  EXPECT_EQ(status.code, 0);
  EXPECT_THAT(status.text, HasSubstr("production: version 0, digest " + digest));
  EXPECT_THAT(RunOnLog("guarantees --environment production").text, HasSubstr("Service media"));
}

// Guards against reporting a failure for a publication that took effect although the response
// to its append was lost.
TEST_F(BrctlTest, ReportsAcceptanceWhenTheAppendResponseIsLost) {
  server_.LoseResponses(1);
  const outcome published = RunOnLog("--timeout 2 publish " + file_);
  EXPECT_EQ(published.code, 0) << published.text;
  EXPECT_EQ(InForce("trial").version, 0);
}

// Guards against reporting success to both of two operators that publish on the same base.
TEST_F(BrctlTest, RefusesAPublicationOnAStaleBase) {
  server_.InsertBeforeAppend("config.trial",
                             EncodePublication("other", -1, SampleDocument(2), std::nullopt));
  const outcome published = RunOnLog("publish " + file_);
  EXPECT_EQ(published.code, 3);
  EXPECT_THAT(published.text, HasSubstr("stale_base"));
  EXPECT_EQ(InForce("trial").bytes, SampleDocument(2));
  EXPECT_EQ(RunOnLog("publish --base -1 " + file_).code, 3);
  EXPECT_EQ(RunOnLog("publish --base 0 " + file_).code, 0);
}

// Guards against failing at once when the log refuses appends for a short time, and against a
// wrong exit code when it keeps refusing: 4 if no append can have taken effect, 5 if one may
// have.
TEST_F(BrctlTest, RetriesRefusedAppendsUntilTheTimeout) {
  server_.RefuseAppends(2, web::http::status_codes::TooManyRequests);
  EXPECT_EQ(RunOnLog("publish " + file_).code, 0);
  Write(SampleDocument(2));
  server_.RefuseAppends(1000, web::http::status_codes::TooManyRequests);
  EXPECT_EQ(RunOnLog("--timeout 1 publish " + file_).code, 4);
  server_.RefuseAppends(1000, web::http::status_codes::InternalError);
  const outcome unknown = RunOnLog("--timeout 1 publish " + file_);
  EXPECT_EQ(unknown.code, 5);
  EXPECT_THAT(unknown.text, HasSubstr("unknown whether publication"));
}

// Guards against a publication on a wrong base when the beginning of the stream has expired and
// no snapshot covers it.
TEST_F(BrctlTest, RefusesToPublishWhileTheStreamHasNoAnchor) {
  log_model& stream = server_.stream("config.trial");
  stream.Append("expired");
  stream.first = 1;
  const outcome published = RunOnLog("publish " + file_);
  EXPECT_EQ(published.code, 3);
  EXPECT_THAT(published.text, HasSubstr("no snapshot stands in for it yet"));
  EXPECT_EQ(stream.history.size(), 1U);
}

// Guards against an invalid document that reaches the log, and against reporting only its first
// error.
TEST_F(BrctlTest, RefusesAnInvalidDocument) {
  Write("format = 3\nname = \"Q\"\n");
  for (const std::string command : {"check ", "publish ", "guarantees "}) {
    const outcome result = RunOnLog(command + file_);
    EXPECT_EQ(result.code, 1);
    EXPECT_THAT(result.text, HasSubstr(file_ + ":1: format: found 3; allowed: the integer 1"));
    EXPECT_THAT(result.text, HasSubstr(file_ + ":2: name: found \"Q\""));
  }
  EXPECT_TRUE(server_.stream("config.trial").history.empty());
}

// Guards against exit codes with which a script would mistake a usage or connection error for
// another outcome.
TEST_F(BrctlTest, ExitCodeDependsOnTheKindOfError) {
  EXPECT_EQ(Run("--help").code, 0);
  EXPECT_EQ(Run("--version").code, 0);
  for (const std::string line :
       {"", "frobnicate", "--colour", "publish FILE", "check", "check /nonexistent/file",
        "drain", "check a b", "--timeout 0 check FILE",
        "--environment moon status --log 127.0.0.1:1"}) {
    EXPECT_EQ(Run(line).code, 2) << line;
  }
  EXPECT_EQ(Run("--timeout 1 --log 127.0.0.1:1 publish " + file_).code, 4);
  EXPECT_EQ(Run("--timeout 1 --admin 127.0.0.1:1 members").code, 4);
}

// Guards against output that is lost because a daemon's JSON has a different structure.
TEST_F(BrctlTest, ShowsDaemonJsonOfDifferentStructures) {
  const auto handler = [](const web::http::http_request& request) {
    const std::string path = request.relative_uri().path();
    if (path == "/status") {
      request.reply(200, web::json::value::parse(R"({"configuration": {"version": 12}})"));
    } else if (path == "/members") {
      request.reply(200, web::json::value::parse(
                             R"({"members": [{"id": "a1", "state": "alive"}, {"id": "b"}]})"));
    } else {
      request.reply(409, "already draining");
    }
  };
  const open_listener daemon = OpenListener("/.bronzeroute/v1", handler);
  const std::string admin = "--admin " + daemon.address + " ";
  EXPECT_THAT(Run(admin + "status").text, HasSubstr(daemon.address + ": version 12"));
  EXPECT_THAT(Run(admin + "members").text, HasSubstr("id  state\n  a1  alive\n  b   -\n"));
  const outcome drained = Run(admin + "drain");
  EXPECT_EQ(drained.code, 3);
  EXPECT_THAT(drained.text, HasSubstr("409: already draining"));
  daemon.listener->close().wait();
}

}  // namespace
}  // namespace bronzeroute
