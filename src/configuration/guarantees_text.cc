#include "src/configuration/guarantees_text.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string_view>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "src/base/concat.h"

namespace bronzeroute {
namespace {

constexpr std::size_t kColumns = 96;
constexpr std::size_t kIndent = 17;

std::string Time(duration time) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return ms >= 1000 && ms % 100 == 0 ? absl::StrFormat("%g s", static_cast<double>(ms) / 1000)
                                     : Concat(ms, " ms");
}

// Appends `label` and `text` as a paragraph with a hanging indent.
void Paragraph(std::string& out, std::string_view label, std::string_view text) {
  std::string line = absl::StrFormat("  %-15s", std::string(label));
  bool first = true;
  for (const std::string& word :
       std::vector<std::string>(absl::StrSplit(std::string(text), ' '))) {
    if (!first && line.size() + 1 + word.size() > kColumns) {
      out += Concat(line, "\n");
      line.assign(kIndent, ' ');
      first = true;
    }
    line += Concat(first ? "" : " ", word);
    first = false;
  }
  out += Concat(line, "\n");
}

void Promise(std::string& out, std::string_view promise, std::string_view cost,
             std::string_view mechanism, std::string_view not_promised,
             std::string_view proved_by) {
  Paragraph(out, "Promise:", promise);
  Paragraph(out, "Cost:", cost);
  Paragraph(out, "Kept by:", mechanism);
  Paragraph(out, "Proved by:", proved_by);
  Paragraph(out, "Not promised:", not_promised);
  out += "\n";
}

std::string RouteText(const route_spec& route) {
  return Concat(route.method == "*" ? "every method" : route.method, " ", route.prefix, ": ",
                route.is_protected ? "at most once" : "repeatable", ", ",
                route.is_long ? "long" : "short", " work, deadline ", Time(route.time_limit));
}

// Slots that long work may hold: the share rounded down, at least 1, and 1 is left for short
// work where there is more than 1.
std::uint32_t LongSlots(const service_spec& service) {
  if (service.max_slots <= 1) return 1;
  const auto share = static_cast<std::uint32_t>(
      std::floor(service.long_share * static_cast<double>(service.max_slots)));
  return std::clamp<std::uint32_t>(share, 1, service.max_slots - 1);
}

void Routes(std::string& out, const service_spec& service) {
  for (const route_spec& route : service.routes) Paragraph(out, "Route:", RouteText(route));
  Paragraph(out, "Otherwise:",
            Concat("GET, HEAD and OPTIONS on other paths are repeatable, every other "
                   "method is at most once; short work, deadline ",
                   Time(service.time_limit)));
  out += "\n";
}

void AtMostOnce(std::string& out, const service_spec& service) {
  std::size_t count = 0;
  for (const route_spec& route : service.routes) count += route.is_protected ? 1 : 0;
  Promise(
      out,
      Concat("A request on a route marked \"at most once\" (", count,
             " listed, and unlisted paths as above) runs at most once for each key, "
             "and without a key the system never repeats it."),
      "A fresh connection to the upstream for each such request (about 1 ms). Tries with "
      "one key all go to one process; if that process is lost, the response is \"unknown\" "
      "and the request is not executed again.",
      "The process that a key names as its home keeps a row for the key for 10 minutes and "
      "refuses to run it again. An attempt that may have reached an upstream is not sent "
      "to another.",
      "A second try with the caller's own key that is not marked with Bronzeroute-Try above "
      "1 may run again if another process has become the home of the key meanwhile. A "
      "second try without a key is a new request. A key is not remembered after 10 "
      "minutes: a try with an older issued key gets \"unknown\", and one with the caller's "
      "own key may run again if it is not marked. What an upstream does twice by itself is "
      "not covered.",
      "CallFuzz, FaultMatrix, KeyTable and owner_loss tests; the resend tests of the "
      "transport.");
}

void Repeatable(std::string& out) {
  Promise(
      out,
      "A request on a route marked \"repeatable\" may be run again elsewhere if its response "
      "was lost, at most 3 attempts in all.",
      "Up to 2% more work for upstreams, and up to 20% more attempts after refusals, which "
      "cause no work for upstreams.",
      "Two budgets in each process, each a share of first attempts in a sliding window.",
      "That a request is run again: with an empty budget the response is an error that states "
      "whether it ran, if known. Work on such a route may run more than once.",
      "RetryBudget and EntrySystemTest tests, CallFuzz.");
}

void Limits(std::string& out, const service_spec& service) {
  Promise(out,
          Concat("An upstream gets at most ", service.max_slots,
                 " requests at a time over "
                 "at most ",
                 service.max_connections,
                 " connections, fewer if it "
                 "announces less. At most ",
                 service.queue_limit, " short and ", service.queue_limit,
                 " long requests wait in front of it."),
          "A request is refused at once (not run) when it cannot be finished before its "
          "deadline, long work first.",
          "All work for an upstream enters through the process beside it, which counts slots, "
          "connections and queue exactly.",
          "Room for every request at a peak. Load that reaches an upstream by another way is "
          "not counted.",
          "AdmissionProperty and RuntimeFuzz tests.");
  Promise(
      out,
      Concat("Long work holds at most ", LongSlots(service), " of ", service.max_slots,
             " slots of an upstream, so that short work does not "
             "wait behind it."),
      "Long work waits or is refused while slots for short work are free.",
      "Separate slots, queues, connections and peer channels for long work. A request is "
      "long by its route, by a body above 1 MiB or of unknown length, or by observed cost.",
      service.max_slots <= 1
          ? "With 1 slot, short work does wait behind long work that is running."
          : "That short work which itself runs for a long time is kept apart: it is found only "
            "by its mean cost.",
      "admission_fixture tests of long work; policy_bench for latency.");
  if (service.warmup > duration(0)) {
    Promise(out,
            Concat("A cold upstream gets its full load only after ", Time(service.warmup), "."),
            "Less capacity in that time.", "The number of slots grows from 1 to all.",
            "That the upstream is warm by then.",
            "admission_fixture.WarmupRaisesTheSlotsFromOneToAll.");
  }
}

void Service(std::string& out, const service_spec& service) {
  out +=
      Concat("Service ", service.name, "\n", std::string(8 + service.name.size(), '-'), "\n\n");
  Routes(out, service);
  Promise(out,
          Concat("A request gets its response within ", Time(service.time_limit),
                 " of its arrival (routes as above), or within the time that the caller "
                 "names in Bronzeroute-Deadline-Ms. A refusal that says \"not-run\" means "
                 "that the request did not run."),
          "Refusals at a peak, instead of late responses.",
          "The deadline travels with the request. A request whose expected end is after it is "
          "refused at once, and one whose deadline passes in a queue is removed from it.",
          "That every request succeeds. After the deadline of work that was started, the "
          "response says \"unknown\"; the work may go on at the upstream.",
          "CallFuzz (every caller gets a response), admission_fixture tests of deadlines.");
  AtMostOnce(out, service);
  Repeatable(out);
  Limits(out, service);
  Promise(
      out,
      service.regions.empty()
          ? std::string("The service may run in every region.")
          : Concat("The service runs only in ", absl::StrJoin(service.regions, ", "), "."),
      service.regions.empty()
          ? "Requests may cross regions (24 ms a round trip, billed by volume) when nearer "
            "upstreams are busy."
          : "Requests from other regions cross to these (24 ms a round trip, billed by "
            "volume), and are refused while none of them can be reached.",
      "Upstreams elsewhere are not candidates; among candidates a farther one is taken only "
      "when the shorter wait pays for the distance.",
      "That a request is received in these regions: every process accepts requests and "
      "forwards them.",
      "whole_path.ServiceRunsOnlyInItsRegions.");
  Promise(out,
          absl::StrFormat("Service level: %g%% of requests are served within %s.",
                          service.objective * 100, Time(service.objective_latency)),
          absl::StrFormat("Error budget: %g of 1000 requests.",
                          std::round((1 - service.objective) * 1e7) / 1e4),
          "Every process counts served, late and failed requests; brreport shows how fast the "
          "budget burns.",
          "The level itself: it is a target that is measured, and nothing is refused to keep "
          "it.",
          "No test can prove it; brreport shows how it is kept.");
}

}  // namespace

std::string GuaranteesText(const document& configuration) {
  std::string out = Concat("Guarantees of configuration ", configuration.name, "\n\n");
  out += Concat("All services\n------------\n\n");
  Promise(
      out,
      Concat("Measuring upstreams costs each process at most ",
             configuration.measuring_bytes_per_second,
             " bytes/s of traffic and its "
             "upstream ",
             configuration.measuring_upstream_ms_per_second, " ms of work a second."),
      "With an empty account, failures are noticed later.",
      "One account in each process is charged before anything is sent. In ordinary work the "
      "calls themselves are the measurement.",
      "That the account suffices to notice every failure at once.",
      "BudgetAccountProperty, MembershipProperty, MeteredPeerPort and RuntimeFuzz "
      "tests.");
  Promise(out,
          "Each caller gets the whole response to its own request or can detect that it is "
          "truncated, and never gets another caller's response.",
          "A few bytes of identity on each message between processes.",
          "Every message names its call, attempt and target; one that matches no open attempt "
          "is dropped and counted.",
          "That a response arrives if the process that received the request is lost.",
          "CallFuzz, StreamingTest and upstream_fault tests.");
  Promise(
      out,
      "An upstream that is leaving gets no new work within a few seconds, and a planned stop "
      "aborts no request.",
      "A stop takes as long as the longest running request.",
      "The process beside the upstream refuses new work (not run) from that moment on and "
      "finishes what is running.",
      "Requests that run at an upstream which is killed: their outcome is \"unknown\".",
      "RuntimeFuzz, planned_stop and whole_path tests, Membership tests of drains.");
  Promise(
      out,
      "An accepted configuration is in effect everywhere within 6 s and is never replaced by "
      "an older one.",
      "One long-poll read on the log for each process.",
      "Every process folds the same records in the same order; members pass versions on "
      "while the log is unavailable.",
      "A change of the configuration while the log is unavailable, or its effect in a "
      "region that is partitioned.",
      "ConfigurationFoldProperty, ConfigurationSystemProperty, RuntimeFuzz and "
      "publication tests; the 6 s without the log are known red (docs/PROOFS.md).");
  for (const service_spec& service : configuration.services) Service(out, service);
  return out;
}

}  // namespace bronzeroute
