// Expresses a local deadline on the clock of another process, so that a late
// message can only shorten the lease.
#include <iostream>

#include "shallotlug/base/clock.h"

int main() {
  using namespace shallotlug;
  const PeerClockSample sample{PeerTime(Millis(50'000)),
                               TimePoint(Millis(1'000))};
  const TimePoint lease_end(Millis(7'000));
  const PeerTime on_peer =
      ToPeerTime(sample, lease_end - LeaseMargin(Millis(6'000)));
  std::cout << "the peer stops at " << on_peer.time_since_epoch().count()
            << " ms on its clock\n";
}
