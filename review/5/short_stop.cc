// A daemon gets SIGTERM where the platform grants 10 s. See claim.txt.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../rig/rig.h"

namespace {

using review::head;
using review::milliseconds;
using review::socket_stream;
using review::steady;

// Bounds of the site: graceS 10; time budget and timeout of uploads 4 s.
constexpr auto kGrace = milliseconds(10'000);
constexpr auto kWork = milliseconds(3600);
constexpr auto kSentAfter = milliseconds(2300);

std::string Since(steady::time_point start) {
  const auto time = std::chrono::duration_cast<milliseconds>(steady::now() - start).count();
  return std::to_string(time) + " ms after the signal";
}

void Serve(review::record& log, steady::time_point& signal, socket_stream& stream) {
  head request;
  while (stream.ReadHead(request)) {
    std::string body;
    if (!stream.ReadBody(request, body)) return;
    const std::string id = request.Field("attempt-id");
    if (request.target.find("/up/") == 0) review::Sleep(kWork);
    const bool written =
        stream.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                     "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: "
                     "2\r\n\r\nok");
    log.Add("worker: has run " + id + ", " + Since(signal) +
            (written ? "" : ", no connection"));
    if (!written) return;
  }
}

std::string Request(const std::string& path, const std::string& id) {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody";
}

int Run(const std::string& root, const std::string& folder, review::record& log) {
  review::deployment all(root, folder, log);
  const std::size_t entry = all.AddMachine("estoque", "z-a", "r");
  const std::size_t owner = all.AddMachine("comprovantes", "z-a", "r");
  if (!all.StartStore()) return 2;
  all.the_store().Put("keyed.op", "config",
                      review::Configuration(1, {"estoque", "comprovantes"},
                                            {{"/up/", "upload", "comprovantes", 4000, 2},
                                             {"/small/", "upload", "comprovantes", 4000, 2}}));
  steady::time_point signal = steady::now();
  const review::listener worker(
      all.at(owner).ip, review::deployment::kApp,
      [&](const std::shared_ptr<socket_stream>& stream) { Serve(log, signal, *stream); });
  if (!worker.ok()) return 2;
  for (const std::size_t each : {entry, owner}) {
    if (!all.StartDaemon(each)) return 2;
  }
  const review::heartbeat beats(all, owner, "i-1", 5);
  for (const std::size_t each : {entry, owner}) {
    if (!all.AwaitReady(each, milliseconds(20000))) return 2;
  }
  review::Sleep(milliseconds(4000));
  constexpr int kClients = 3;
  std::vector<std::shared_ptr<socket_stream>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(review::Connect(all.at(entry).ip, review::deployment::kOutbound));
    clients.back()->SetReadLimit(milliseconds(12000));
    head answer;
    std::string body;
    clients.back()->Write(Request("/small/x", "first-" + std::to_string(i)));
    if (!clients.back()->ReadHead(answer) || !clients.back()->ReadBody(answer, body)) return 2;
    if (answer.status != 200) return 2;
  }
  signal = steady::now();
  if (review::HasTrouble()) {
    all.Signal(entry, SIGTERM);
    log.Add("SIGTERM to the daemon of machine 0");
  }
  review::Sleep(kSentAfter);
  int lost = 0;
  for (int i = 0; i < kClients; ++i) {
    log.Add("client: sends upload-" + std::to_string(i) + ", " + Since(signal));
    clients[i]->Write(Request("/up/x", "upload-" + std::to_string(i)));
  }
  for (int i = 0; i < kClients; ++i) {
    head answer;
    std::string body;
    const bool is_whole = clients[i]->ReadHead(answer) && clients[i]->ReadBody(answer, body);
    log.Add("client: upload-" + std::to_string(i) +
            (is_whole ? " is answered " + std::to_string(answer.status)
                      : std::string(": the connection ends without a complete answer")) +
            ", " + Since(signal));
    if (!is_whole) ++lost;
  }
  std::string how;
  while (review::HasTrouble() && steady::now() < signal + kGrace) {
    if (all.HasEnded(entry, how)) {
      log.Add("daemon of machine 0 has ended with " + how);
      break;
    }
    review::Sleep(milliseconds(100));
  }
  if (lost > 0) log.Add("RULE BROKEN: LOST: " + std::to_string(lost) + " of 3 uploads");
  review::Sleep(milliseconds(500));
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: short_stop ROOT FOLDER RECORD\n";
    return 2;
  }
  review::record log(argv[3]);
  return Run(argv[1], argv[2], log);
}
