// A worker begins its answer to an upload before it has read the whole body, keeps the
// connection and reads on. See claim.txt.

#include <cstdlib>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

#include "../rig/rig.h"

namespace {

using review::head;
using review::milliseconds;
using review::socket_stream;

// The longest upload, the time budget and the timeout of the site.
constexpr std::size_t kBodyBytes = 360'000;
constexpr int kBudgetMs = 1200;
constexpr std::size_t kEarlyBytes = 100'000;
constexpr std::size_t kPieceBytes = 10'000;
constexpr auto kPiecePause = milliseconds(10);
/// Bytes of each of the two chunks of an answer, 3e8 in hexadecimal digits.
constexpr std::size_t kAnswerBytes = 1000;
constexpr char kBodyLetter = 'b';

/// What the worker has seen of the bodies of uploads.
struct worker_state {
  explicit worker_state(review::record& to) : log(to) {}
  void Broken(const std::string& line) {
    log.Add("worker: RULE BROKEN: " + line);
    const std::scoped_lock lock(mutex);
    ++broken;
  }
  review::record& log;
  std::mutex mutex;
  int broken = 0;
  int uploads = 0;
  int lookups = 0;
};

std::string AnswerHead(const head& request) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Field("attempt-id") +
         "\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=10\r\n";
}

std::string Chunk() { return "3e8\r\n" + std::string(kAnswerBytes, 'a') + "\r\n"; }

// Reads the rest of a body; false if the connection ends before it is complete.
bool ReadUpload(socket_stream& stream, const head& request, std::string& body) {
  const bool is_complete = stream.ReadBody(request, body);
  if (!is_complete) body += stream.buffer();
  return is_complete;
}

void Judge(worker_state& state, const head& request, const std::string& body,
           bool is_complete) {
  const std::size_t other = body.find_first_not_of(kBodyLetter);
  const std::string id = request.Field("attempt-id");
  if (other != std::string::npos) {
    state.Broken(
        id + ": other bytes at " + std::to_string(other) +
        " where the rest of the body is due: " + review::Printable(body.substr(other)));
  } else if (is_complete && body.size() != kBodyBytes) {
    state.Broken(id + ": the body is complete by its framing, but has " +
                 std::to_string(body.size()) + " bytes instead of the " +
                 std::to_string(kBodyBytes) + " that the client sent");
  } else {
    state.log.Add("worker: " + id + ": " + std::to_string(body.size()) + " bytes, " +
                  (is_complete ? "complete" : "broken off") + ", as the client sent them");
  }
}

void ServeUpload(worker_state& state, socket_stream& stream, const head& request) {
  state.log.Add("worker: runs upload " + request.Field("attempt-id"));
  std::string body;
  bool is_complete = true;
  const std::string answer = AnswerHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
  if (review::HasTrouble()) {
    // The answer begins when the first part of the body is in, and goes on while the rest
    // arrives.
    while (stream.buffer().size() < kEarlyBytes && stream.Fill()) {
    }
    stream.Write(answer + Chunk());
    state.log.Add("worker: begins its answer to " + request.Field("attempt-id"));
    std::thread rest([&stream] {
      review::Sleep(milliseconds(600));
      stream.Write(Chunk() + "0\r\n\r\n");
    });
    stream.SetReadLimit(milliseconds(3000));
    is_complete = ReadUpload(stream, request, body);
    rest.join();
  } else {
    is_complete = ReadUpload(stream, request, body);
    if (is_complete) stream.Write(answer + Chunk() + Chunk() + "0\r\n\r\n");
  }
  Judge(state, request, body, is_complete);
  if (!is_complete) stream.Close();
}

void Serve(worker_state& state, socket_stream& stream) {
  head request;
  while (stream.ReadHead(request)) {
    if (request.method == "POST") {
      ServeUpload(state, stream, request);
    } else {
      state.log.Add("worker: runs lookup " + request.Field("attempt-id"));
      stream.Write(AnswerHead(request) + "Content-Length: 2\r\n\r\nok");
    }
    if (!stream.is_open()) return;
  }
}

std::string RequestHead(const std::string& start, const std::string& id) {
  return start + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline-Ms: " + std::to_string(kBudgetMs) + "\r\n";
}

void Upload(review::record& log, const std::string& ip, const std::string& id,
            bool is_chunked) {
  const auto stream = review::Connect(ip, review::deployment::kOutbound);
  stream->SetReadLimit(milliseconds(4000));
  log.Add("client: sends upload " + id + " of " + std::to_string(kBodyBytes) + " bytes " +
          (is_chunked ? "in chunks" : "with a length"));
  stream->Write(RequestHead("POST /up/" + id, id) +
                (is_chunked ? std::string("Transfer-Encoding: chunked")
                            : "Content-Length: " + std::to_string(kBodyBytes)) +
                "\r\n\r\n");
  const std::string piece(kPieceBytes, kBodyLetter);
  for (std::size_t sent = 0; sent < kBodyBytes; sent += kPieceBytes) {
    const std::string framed = is_chunked ? "2710\r\n" + piece + "\r\n" : piece;
    if (!stream->Write(framed)) {
      log.Add("client: the connection of " + id + " ended after " + std::to_string(sent) +
              " bytes");
      break;
    }
    review::Sleep(kPiecePause);
  }
  if (is_chunked) stream->Write("0\r\n\r\n");
  head answer;
  std::string body;
  const bool has_head = stream->ReadHead(answer);
  const bool is_whole = has_head && stream->ReadBody(answer, body);
  log.Add("client: upload " + id + " is answered " + std::to_string(answer.status) + " with " +
          std::to_string(body.size()) + " bytes, " + (is_whole ? "whole" : "not whole"));
}

void LookUp(review::record& log, const std::string& ip, const std::string& id) {
  const auto stream = review::Connect(ip, review::deployment::kOutbound);
  stream->SetReadLimit(milliseconds(4000));
  log.Add("client: sends lookup " + id);
  stream->Write(RequestHead("GET /look/" + id, id) + "\r\n");
  head answer;
  const bool has_head = stream->ReadHead(answer);
  log.Add("client: lookup " + id + " is answered " +
          (has_head ? std::to_string(answer.status) : std::string("by the end")));
}

int Run(const std::string& root, const std::string& folder, review::record& log) {
  review::deployment all(root, folder, log);
  worker_state state(log);
  const std::size_t entry = all.AddMachine("entries", "z-a", "r");
  const std::size_t owner = all.AddMachine("media", "z-a", "r");
  if (!all.StartStore()) return 2;
  all.the_store().Put("keyed.op", "config",
                      review::Configuration(1, {"entries", "media"},
                                            {{"/up/", "upload", "media", kBudgetMs, 2},
                                             {"/look/", "safe", "media", kBudgetMs, 1}}));
  const review::listener worker(
      all.at(owner).ip, review::deployment::kApp,
      [&state](const std::shared_ptr<socket_stream>& stream) { Serve(state, *stream); });
  if (!worker.ok()) return 2;
  for (const std::size_t each : {entry, owner}) {
    if (!all.StartDaemon(each)) return 2;
  }
  const review::heartbeat beats(all, owner, "i-1", 9);
  for (const std::size_t each : {entry, owner}) {
    if (!all.AwaitReady(each, milliseconds(20000))) return 2;
  }
  review::Sleep(milliseconds(4000));
  // From the machine of the worker, and from another one.
  int number = 0;
  for (const std::size_t from : {owner, entry}) {
    for (const bool is_chunked : {false, true}) {
      const std::string id = std::to_string(++number);
      Upload(log, all.at(from).ip, "upload-" + id, is_chunked);
      review::Sleep(milliseconds(300));
      for (const char part : {'a', 'b', 'c'}) {
        std::string lookup = "lookup-" + id;
        lookup += part;
        LookUp(log, all.at(from).ip, lookup);
      }
    }
  }
  review::Sleep(milliseconds(500));
  const std::scoped_lock lock(state.mutex);
  log.Add(std::to_string(state.broken) + " of " + std::to_string(number) +
          " uploads broke the rule");
  return state.broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: early_answer ROOT FOLDER RECORD\n";
    return 2;
  }
  review::record log(argv[3]);
  return Run(argv[1], argv[2], log);
}
