#ifndef SHALLOTLUG_HARNESS_FAKE_NETWORK_H_
#define SHALLOTLUG_HARNESS_FAKE_NETWORK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "shallotlug/harness/process.h"
#include "shallotlug/harness/random.h"
#include "shallotlug/protocol/links.h"

namespace shallotlug::harness {

/// @brief Address at which every agent finds some entry.
inline constexpr char kBalancerAddress[] = "127.0.0.1:7000";

std::string PeerAddress(const ProcessRef& process);

enum class LinkFault {
  kCut,     ///< Nothing passes and dials fail.
  kDelay,   ///< `amount` ms more on every message.
  kLose,    ///< `amount` percent of messages break their link.
  kReplay,  ///< `amount` percent of new links repeat messages of the last one.
};

/// @brief What reached one process.
struct Arrivals {
  std::vector<LinkUp> links_up;
  std::vector<LinkDown> links_down;
  std::vector<Received> received;

  bool empty() const {
    return links_up.empty() && links_down.empty() && received.empty();
  }
};

/// @brief Links between processes. A link delivers in order or breaks;
/// different links are not ordered against one another.
class FakeNetwork {
 public:
  explicit FakeNetwork(std::uint64_t seed) : random_(seed) {}

  void Start(const ProcessRef& process);
  /// @brief Ends a process. With `silently`, its peers see no closed link.
  void Stop(Millis now, const ProcessRef& process, bool silently);
  /// @brief A frozen process finishes no handshake.
  void SetFrozen(const ProcessRef& process, bool frozen);
  /// @brief Whether the balancer sends new links to this entry.
  void SetReady(const ProcessRef& process, bool ready);

  void DialFrom(Millis now, const ProcessRef& from, const Dial& dial);
  void SendFrom(Millis now, const ProcessRef& from, const Send& send);
  void CloseFrom(Millis now, const ProcessRef& from, LinkId link);

  /// @brief Delivers everything due at `now`.
  void Tick(Millis now);
  Arrivals Take(const ProcessRef& process);
  bool HasArrivals(const ProcessRef& process) const;

  void AddFault(Millis now,
                const ProcessRef& a,
                const ProcessRef& b,
                LinkFault kind,
                int amount,
                Millis until);
  /// @brief Open links between the two never deliver again; new ones work.
  void Silence(const ProcessRef& a, const ProcessRef& b);
  /// @brief Breaks open links; what was on the way is lost.
  void Break(Millis now, const ProcessRef& a, const ProcessRef& b);
  void ClearFaults() { faults_.clear(); }
  /// @brief Whether the running lives of two processes have had a link.
  bool HaveHadLink(const ProcessRef& a, const ProcessRef& b) const;
  /// @brief Whether a cut, a delay or a loss is active between two processes.
  bool Disturbed(Millis now, const ProcessRef& a, const ProcessRef& b) const;

  /// @brief Changes a message on its way, for checks that guard against
  /// corrupted input.
  std::function<void(const ProcessRef& from, Message&)> tamper;

 private:
  struct End {
    ProcessRef process;
    std::uint64_t life = 0;
    LinkId id{};
    bool open = false;
    Millis last_delivery{};
  };
  struct Link {
    End ends[2];  ///< The dialler first.
    bool silent = false;
    std::string dialled;
  };
  enum class EventKind { kUp, kDown, kMessage, kDialFailed };
  struct Event {
    EventKind kind = EventKind::kMessage;
    std::size_t link = 0;
    int side = 0;  ///< Receiver.
    Message message;
  };
  struct Fault {
    ProcessRef a;
    ProcessRef b;
    LinkFault kind = LinkFault::kCut;
    int amount = 0;
    Millis until{};
  };
  struct Node {
    std::uint64_t life = 0;
    bool alive = false;
    bool frozen = false;
    bool ready = true;
    Arrivals arrivals;
  };

  int FaultAmount(Millis now,
                  const ProcessRef& a,
                  const ProcessRef& b,
                  LinkFault kind) const;
  Millis Delay(Millis now, const ProcessRef& a, const ProcessRef& b);
  void Schedule(Millis at, std::size_t link, int side, EventKind kind);
  void ScheduleMessage(Millis at, std::size_t link, int side, Message message);
  void BreakLink(Millis now, Link& link);
  void Deliver(const Event& event);
  bool Alive(const End& end) const;
  template <class Visit>
  void ForLinksBetween(const ProcessRef& a, const ProcessRef& b, Visit visit);

  Random random_;
  std::uint64_t next_link_ = 0;
  std::map<ProcessRef, Node> nodes_;
  std::vector<Link> links_;
  std::map<LinkId, std::pair<std::size_t, int>> by_id_;
  std::multimap<Millis, Event> events_;
  std::vector<Fault> faults_;
  std::map<std::pair<ProcessRef, ProcessRef>, std::deque<Message>> history_;
  /// Lives of two processes, the dialler first, at their last link.
  std::map<std::pair<ProcessRef, ProcessRef>,
           std::pair<std::uint64_t, std::uint64_t>>
      linked_lives_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_FAKE_NETWORK_H_
