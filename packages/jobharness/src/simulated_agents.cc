// Agents of the simulation, and their calls to workers.
#include <variant>

#include "job_simulation_impl.h"

namespace shallotlug::jobharness {

using detail::kCallTimeout;
using detail::SimulatedAgent;

namespace {

constexpr Millis kHeartbeat{500};
constexpr Millis kPollInterval{50};

}  // namespace

template <class Result, class Call, class Answer>
void JobSimulation::Impl::CallWorker(std::size_t n, Call call, Answer answer) {
  const std::uint64_t life = agents[n].life;
  if (agents[n].worker_partitioned || fleet.IsDown(agents[n].machine)) {
    After(kCallTimeout, [this, n, life, answer] {
      Result result;
      result.status = executor::OrderStatus::kNotReached;
      DeliverAnswer(n, life, answer, result);
    });
    return;
  }
  const bool lost = Chance(options.lost_orders);
  const Millis late = lost ? Millis(std::uniform_int_distribution<std::int64_t>(
                                 0, options.late_by.count())(random))
                           : Delay();
  // Calls name the worker and not its life.
  const workload::WorkerLife meant = fleet.Facts(agents[n].machine).life;
  After(late, [this, n, life, call, answer, lost, meant] {
    if (lost && !options.late_calls_reach_new_lives &&
        fleet.Facts(agents[n].machine).life != meant) {
      return;
    }
    if (fleet.IsDown(agents[n].machine)) {
      // The worker has crashed since the call was sent.
      if (!lost) {
        AnswerAfterTimeout<Result>(n, life, answer);
      }
      return;
    }
    const Result result = call();
    if (!lost) {
      After(AnswerDelay(), [this, n, life, answer, result] {
        DeliverAnswer(n, life, answer, result);
      });
    }
  });
  if (lost) {
    AnswerAfterTimeout<Result>(n, life, answer);
  }
}

template <class Result, class Answer>
void JobSimulation::Impl::AnswerAfterTimeout(std::size_t n,
                                             std::uint64_t life,
                                             Answer answer) {
  After(kCallTimeout, [this, n, life, answer] {
    Result result;
    result.status = executor::OrderStatus::kNoAnswer;
    DeliverAnswer(n, life, answer, result);
  });
}

// An agent that goes on after a freeze finds the answer and the call's timeout
// at the same time.
template <class Result, class Answer>
void JobSimulation::Impl::DeliverAnswer(std::size_t n,
                                        std::uint64_t life,
                                        Answer answer,
                                        const Result& result) {
  Deliver(n, life, [this, answer, result, arrived = now] {
    Result seen = result;
    if (now - arrived >= kCallTimeout && Chance(0.5)) {
      seen = {};
      seen.status = executor::OrderStatus::kNoAnswer;
    }
    answer(seen);
  });
}

void JobSimulation::Impl::Register(std::size_t n) {
  SimulatedAgent& agent = agents[n];
  agent.registered = true;
  workload::AgentAddress address;
  address.agent = AgentName(agent.machine);
  // The simulation finds agents by their names.
  address.address = "127.0.0.1:1";
  address.incarnation = Incarnation{agent.life};
  const auto result =
      store.Append(agent.machine, {workload::Encode(address)}, {});
  agent.registered = result.status == joblog::AppendStatus::kDone;
}

void JobSimulation::Impl::StepAgent(std::size_t n) {
  SimulatedAgent& agent = agents[n];
  if (!agent.registered) {
    Register(n);
  }
  if (now >= agent.next_heartbeat && !agent.worker_partitioned &&
      !fleet.IsDown(agent.machine)) {
    agent.next_heartbeat = now + kHeartbeat;
    workload::WorkerFacts facts = fleet.Facts(agent.machine);
    facts.draining = agent.draining;
    agent.executor->OnHeartbeat(facts, fleet.NextSequence(agent.machine),
                                AgentClock(n));
  }
  for (const executor::Action& it :
       agent.executor->TakeActions(AgentClock(n))) {
    SendAction(n, it);
  }
  if (const auto quick = agent.executor->QuickCall(AgentClock(n))) {
    QueryWorker(n, *quick);
  } else if (now >= agent.next_poll) {
    agent.next_poll = now + kPollInterval;
    QueryWorker(n, agent.executor->WatchCall(AgentClock(n)));
  }
  Trace(agent.machine, agent.executor->TakeLog());
}

void JobSimulation::Impl::QueryWorker(std::size_t n,
                                      const executor::WorkerQuery& query) {
  const std::string machine = agents[n].machine;
  CallWorker<executor::WorkerView>(
      n,
      [this, machine, query] {
        return fleet.Look(machine, query.context, query.noted_ends, now);
      },
      [this, n, query](const executor::WorkerView& view) {
        agents[n].executor->OnView(query.number, view, AgentClock(n));
      });
}

void JobSimulation::Impl::SendAction(std::size_t n,
                                     const executor::Action& action) {
  SimulatedAgent& agent = agents[n];
  const std::string machine = agent.machine;
  const executor::OrderContext context = agent.executor->Context();
  if (const auto* start = std::get_if<executor::StartAction>(&action)) {
    CallWorker<executor::OrderResult>(
        n,
        [this, machine, context, order = start->order] {
          return fleet.Start(machine, context, order, now);
        },
        [this, n, run = start->order.run](const executor::OrderResult& it) {
          agents[n].executor->OnStartResult(run, it, AgentClock(n));
        });
  } else if (const auto* stop = std::get_if<executor::StopAction>(&action)) {
    CallWorker<executor::OrderResult>(
        n,
        [this, machine, context, run = stop->run] {
          return fleet.Stop(machine, context, run, now);
        },
        [this, n, run = stop->run](const executor::OrderResult& it) {
          agents[n].executor->OnStopResult(run, it, AgentClock(n));
        });
  }
}

}  // namespace shallotlug::jobharness
