#ifndef SHALLOTLUG_AGENT_SRC_TEST_CLUSTER_H_
#define SHALLOTLUG_AGENT_SRC_TEST_CLUSTER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "state.h"

/// Agents with fake backend servers, links and clocks, for tests.
namespace shallotlug::agent {

/// @brief A backend server whose tasks run until a test ends them.
struct FakeBackend {
  struct Entry {
    StartTask start;
    bool throttled = false;
  };

  bool reachable = true;
  bool leaving = false;
  std::uint64_t incarnation = 1;
  Millis clock_offset{};
  std::map<TaskId, Entry> running;
  std::vector<StartTask> started;  ///< Of all time.
  std::vector<TaskEvent> events;   ///< For the next report.

  void Apply(const BackendCommand& command) {
    if (const auto* start = std::get_if<StartTask>(&command)) {
      running[start->task] = {*start};
      started.push_back(*start);
      events.push_back({start->task, TaskEventKind::kStarted, "", 0, ""});
    } else if (const auto* renew = std::get_if<RenewLease>(&command)) {
      if (const auto it = running.find(renew->task); it != running.end()) {
        it->second.start.lease_until = renew->lease_until;
      }
    } else {
      Control(std::get<ControlTask>(command));
    }
  }

  void Control(const ControlTask& command) {
    if (!running.contains(command.task)) {
      return;
    }
    switch (command.action) {
      case TaskAction::kCheckpoint:
        End(command.task, TaskEventKind::kCheckpointed, "saved");
        return;
      case TaskAction::kStop:
        End(command.task, TaskEventKind::kStopped);
        return;
      default:
        running[command.task].throttled =
            command.action == TaskAction::kThrottle;
    }
  }

  // By value: callers pass keys of `running`.
  void End(TaskId task, TaskEventKind kind, const std::string& answer = "") {
    running.erase(task);
    events.push_back({std::move(task), kind, answer, answer.size(), ""});
  }

  void EndAll(TaskEventKind kind, const std::string& answer = "") {
    while (!running.empty()) {
      End(running.begin()->first, kind, answer);
    }
  }

  void Restart() {
    ++incarnation;
    running.clear();
    events.clear();
  }

  PeerTime Clock(TimePoint now) const { return AsPeerTime(now) + clock_offset; }

  void Lapse(TimePoint now) {
    std::vector<TaskId> lapsed;
    for (const auto& [id, it] : running) {
      if (it.start.lease_until <= Clock(now)) {
        lapsed.push_back(id);
      }
    }
    for (const TaskId& id : lapsed) {
      End(id, TaskEventKind::kLapsed);
    }
  }

  BackendReport Report(TimePoint now) {
    BackendReport report{Clock(now), incarnation, leaving, {}, {}};
    for (const auto& [id, it] : running) {
      report.usage.push_back({id, it.start.accelerators, it.throttled, 0.5});
    }
    report.events = std::exchange(events, {});
    return report;
  }
};

/// @brief Several agents on one fake network. Link 1 of each agent leads to the
/// test, which plays an entry.
class TestCluster {
 public:
  struct Node {
    Options options;
    StatePtr state;
    FakeBackend backend;
    Millis clock_offset{};
    bool paused = false;
    bool dead = false;
    Inbox next;
    Outbox last;
    std::map<LinkId, std::pair<std::size_t, LinkId>> links;
    std::vector<Message> to_entry;  ///< Since the last Take.
  };

  static constexpr LinkId kEntryLink{1};

  explicit TestCluster(std::size_t size) : nodes(size) {
    for (std::size_t i = 0; i < size; ++i) {
      Options& options = nodes[i].options;
      options.self = {AgentName("a" + std::to_string(i)), Incarnation{100 + i}};
      options.peer_address = Address(i);
      nodes[i].clock_offset = Millis{1000 * static_cast<int>(i)};
      nodes[i].backend.clock_offset = Millis{77'000};
    }
  }

  static std::string Address(std::size_t i) {
    return "127.0.0.1:" + std::to_string(9000 + i);
  }

  TimePoint NodeNow(std::size_t i) const { return now + nodes[i].clock_offset; }

  /// @brief Makes the states and connects the test's entry link.
  void Start() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      nodes[i].state = MakeState(nodes[i].options, NodeNow(i));
      ConnectEntry(i);
    }
    Run(Millis{100});
  }

  void ConnectEntry(std::size_t i) {
    nodes[i].next.links_up.push_back({kEntryLink, PeerRole::kEntry, ""});
    SendTo(i, EntryHello{{EntryName("e"), Incarnation{1}}, {}, 0, {}});
  }

  void SendTo(std::size_t i, Message message) {
    nodes[i].next.received.push_back({kEntryLink, std::move(message)});
  }

  void Tick(Millis step = Millis{50}) {
    now += step;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      StepNode(i);
    }
    if (after_tick) {
      after_tick();
    }
  }

  void Run(Millis duration) {
    for (Millis t{}; t < duration; t += Millis{50}) {
      Tick();
    }
  }

  /// @brief Messages of one kind to the entry since the last call, in order.
  template <class Kind>
  std::vector<Kind> Take(std::size_t i) {
    std::vector<Kind> taken;
    std::erase_if(nodes[i].to_entry, [&](const Message& message) {
      const auto* it = std::get_if<Kind>(&message);
      if (it != nullptr) {
        taken.push_back(*it);
      }
      return it != nullptr;
    });
    return taken;
  }

  void BreakLinks(std::size_t i) {
    while (!nodes[i].links.empty()) {
      const auto [id, far] = *nodes[i].links.begin();
      nodes[i].next.links_down.push_back({id, ""});
      CloseBothEnds(i, id);
    }
  }

  /// @brief Replaces an agent and its backend server by new incarnations whose
  /// clocks differ by `step`.
  void LosePower(std::size_t i, Millis step) {
    BreakLinks(i);
    Node& node = nodes[i];
    Options& options = node.options;
    options.self.incarnation =
        Incarnation{static_cast<std::uint64_t>(options.self.incarnation) + 100};
    node.clock_offset += step;
    node.next = {};
    node.backend.Restart();
    node.state = MakeState(options, NodeNow(i));
    ConnectEntry(i);
  }

  std::vector<Node> nodes;
  TimePoint now{Millis{1'000'000}};
  /// Whether a message between agents is lost.
  std::function<bool(std::size_t from, std::size_t to, const Message&)> drop;
  std::function<void()> after_tick;

 private:
  void StepNode(std::size_t i) {
    Node& node = nodes[i];
    if (node.dead) {
      return;
    }
    node.backend.Lapse(NodeNow(i));
    if (node.paused) {
      return;
    }
    Inbox inbox = std::exchange(node.next, {});
    if (node.backend.reachable) {
      inbox.backend_reports.push_back(node.backend.Report(NodeNow(i)));
    } else {
      inbox.backend_unreachable = true;
    }
    inbox.received.push_back({kEntryLink, EntryHeartbeat{}});
    node.last = Step(*node.state, inbox, NodeNow(i));
    Deliver(i);
  }

  void Deliver(std::size_t i) {
    Node& node = nodes[i];
    for (const AddressedCommand& it : node.last.backend_commands) {
      if (node.backend.reachable &&
          it.incarnation == node.backend.incarnation) {
        node.backend.Apply(it.command);
      }
    }
    for (const Dial& dial : node.last.dials) {
      Connect(i, dial);
    }
    for (const Send& send : node.last.sends) {
      Route(i, send);
    }
    for (const CloseLink& close : node.last.closes) {
      CloseBothEnds(i, close.link);
    }
  }

  void Connect(std::size_t i, const Dial& dial) {
    for (std::size_t j = 0; j < nodes.size(); ++j) {
      if (Address(j) != dial.address || nodes[j].dead) {
        continue;
      }
      const LinkId near{++last_link_};
      const LinkId far{++last_link_};
      nodes[i].links[near] = {j, far};
      nodes[j].links[far] = {i, near};
      nodes[i].next.links_up.push_back({near, PeerRole::kAgent, dial.address});
      nodes[j].next.links_up.push_back({far, PeerRole::kAgent, ""});
      return;
    }
    nodes[i].next.links_down.push_back({LinkId{}, dial.address});
  }

  void Route(std::size_t i, const Send& send) {
    if (send.link == kEntryLink) {
      nodes[i].to_entry.push_back(send.message);
      return;
    }
    const auto it = nodes[i].links.find(send.link);
    if (it == nodes[i].links.end() ||
        (drop && drop(i, it->second.first, send.message))) {
      return;
    }
    nodes[it->second.first].next.received.push_back(
        {it->second.second, send.message});
  }

  void CloseBothEnds(std::size_t i, LinkId link) {
    const auto it = nodes[i].links.find(link);
    if (it == nodes[i].links.end()) {
      return;
    }
    const auto [j, far] = it->second;
    nodes[i].links.erase(it);
    nodes[j].links.erase(far);
    nodes[j].next.links_down.push_back({far, ""});
  }

  std::uint64_t last_link_ = 100;
};

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_TEST_CLUSTER_H_
