#include "standins/common/run_until_signal.h"

#include <csignal>

namespace bronzeroute::standin {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGTERM);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void WaitForStopSignal() {
  const sigset_t set = StopSignals();
  int signal_number = 0;
  sigwait(&set, &signal_number);
}

}  // namespace bronzeroute::standin
