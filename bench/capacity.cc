// Measures the slopes from which docs/CAPACITY.md is worked out: bytes,
// processor time and memory per agent, job, task and record. Prints `name value
// unit`, one figure a line.
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "processor_time.h"
#include "shallotlug/agent/agent.h"
#include "shallotlug/decision/plan.h"
#include "shallotlug/entry/entry.h"
#include "shallotlug/protocol/codec.h"
#include "shallotlug/stream/config_fold.h"
#include "shallotlug/stream/job_fold.h"

namespace shallotlug::bench {
namespace {

constexpr int kAccelerators = 8;
// 240,000 tasks on 14,000 workers.
constexpr int kTasksPerWorker = 17;

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void Print(const char* name, double value, const char* unit) {
  std::printf("%-44s %14.2f %s\n", name, value, unit);
}

std::string Id(const char* prefix, std::size_t n) {
  return prefix + std::to_string(n);
}

JobSpec MakeSpec(std::size_t n, int tasks) {
  JobSpec spec;
  spec.id = JobId(Id("j0123456789abcdef", n));
  spec.customer = CustomerName("team-017");
  spec.job_class = ClassName("team-017-render");
  spec.shape = {tasks, kAccelerators, Adjacency::kRack};
  spec.declared_run_time = std::chrono::hours(3);
  spec.checkpointable = true;
  spec.body = std::string(500, 'x');
  return spec;
}

std::vector<GangMember> MakeMembers(int count) {
  std::vector<GangMember> members;
  for (int n = 0; n < count; ++n) {
    members.push_back(
        {{AgentName(Id("worker-0000", n)), Incarnation{0x123456789abcdefU}},
         "10.20.30.40:7101",
         {0xff}});
  }
  return members;
}

AgentReport MakeReport(std::size_t round) {
  AgentReport report;
  report.now = PeerTime(Millis(1'000'000 + static_cast<int>(round) * 1000));
  report.config_revision = 5;
  report.accelerators.assign(kAccelerators, AcceleratorUse::kGang);
  report.free_slots = 1;
  report.linked_entries = {EntryName("entry-1"), EntryName("entry-2"),
                           EntryName("entry-3")};
  return report;
}

RunningAttempt MakeAttempt(std::size_t n, bool coordinator) {
  RunningAttempt it;
  it.attempt = {MakeSpec(n, 1).id, 1};
  it.coordinator = coordinator;
  it.phase = JobPhase::kRunning;
  it.accelerators = 0xff;
  if (coordinator) {
    it.spec = MakeSpec(n, 1);
    it.members = MakeMembers(1);
  }
  return it;
}

ClassTarget MakeTarget(std::size_t n) {
  ClassTarget target;
  target.name = ClassName(Id("team-017-class-", n));
  target.customer = CustomerName(Id("team-", n));
  target.finish_within = std::chrono::hours(6);
  target.guarantee = {2, 8, Adjacency::kRack};
  return target;
}

double SizeOf(const Message& message) {
  return static_cast<double>(Encode(message).size());
}

void MeasureWire() {
  AgentReport report = MakeReport(1);
  Print("wire.agent_report", SizeOf(report), "B");
  report.has_attempts = true;
  for (int n = 0; n < kTasksPerWorker; ++n) {
    report.attempts.push_back(MakeAttempt(n, false));
  }
  Print("wire.agent_report_17_members", SizeOf(report), "B");
  for (RunningAttempt& it : report.attempts) {
    it = MakeAttempt(1, true);
  }
  Print("wire.agent_report_17_coordinated", SizeOf(report), "B");
  EntryHeartbeat heartbeat{5, std::vector<std::string>(3, "10.20.30.40:7001")};
  Print("wire.entry_heartbeat", SizeOf(heartbeat), "B");
  Print("wire.renew",
        SizeOf(Renew{{MakeSpec(1, 1).id, 1},
                     MakeMembers(1)[0].agent,
                     7,
                     {MakeMembers(1)[0].agent.incarnation,
                      PeerTime(Millis(1'000'000))}}),
        "B");
  MemberStatus status;
  status.attempt = {MakeSpec(1, 1).id, 1};
  status.member = MakeMembers(1)[0].agent;
  Print("wire.member_status", SizeOf(status), "B");
  ConfigUpdate update{4, 5, {{MakeTarget(1), 5, false}}};
  Print("wire.config_update_one_class", SizeOf(update), "B");
  ConfigUpdate whole;
  for (int n = 0; n < 510; ++n) {
    whole.entries.push_back({MakeTarget(n), 5, false});
  }
  Print("wire.config_whole_510_classes", SizeOf(whole), "B");
  ProposeJob proposal;
  proposal.attempt = {MakeSpec(1, 32).id, 1};
  proposal.spec = MakeSpec(1, 32);
  proposal.members = MakeMembers(32);
  Print("wire.propose_job_32_members", SizeOf(proposal), "B");
  Print(
      "protocol.encode_report",
      [&report] {
        const double begin = ProcessorMicros();
        for (int n = 0; n < 10'000; ++n) {
          (void)Encode(MakeReport(n));
        }
        return (ProcessorMicros() - begin) / 10'000;
      }(),
      "us");
}

// An agent with links to `entries` entries and live requests in its table.
agent::StatePtr MakeAgent(int entries, TimePoint now) {
  agent::Options options;
  options.self = {AgentName("worker-00001"), Incarnation{1}};
  options.inventory.slots = 24;
  agent::StatePtr state = agent::MakeState(options, now);
  agent::Inbox inbox;
  for (int n = 0; n < entries; ++n) {
    const LinkId link{static_cast<std::uint64_t>(n + 1)};
    inbox.links_up.push_back({link, PeerRole::kEntry, Id("10.0.0.1:", n)});
    inbox.received.push_back(
        {link, EntryHello{{EntryName(Id("entry-", n)), Incarnation{9}},
                          DataCentreName("dc"),
                          0,
                          {}}});
  }
  agent::BackendReport report;
  report.incarnation = 1;
  inbox.backend_reports.push_back(report);
  agent::Step(*state, inbox, now);
  return state;
}

void MeasureAgent() {
  for (const int entries : {3, 12}) {
    TimePoint now(Millis(1'000'000));
    const agent::StatePtr state = MakeAgent(entries, now);
    const double begin = ProcessorMicros();
    constexpr int kSeconds = 600;
    double sent = 0;
    for (int n = 0; n < kSeconds * 20; ++n) {
      now += Millis(50);
      agent::Inbox inbox;
      if (n % 20 == 0) {
        for (int i = 0; i < entries; ++i) {
          inbox.received.push_back(
              {LinkId{static_cast<std::uint64_t>(i + 1)}, EntryHeartbeat{}});
        }
        agent::BackendReport report;
        report.incarnation = 1;
        report.now = PeerTime(now.time_since_epoch());
        inbox.backend_reports.push_back(report);
      }
      for (const Send& it : agent::Step(*state, inbox, now).sends) {
        sent += SizeOf(it.message);
      }
    }
    Print(Id("agent.cpu_per_second_entries_", entries).c_str(),
          (ProcessorMicros() - begin) / kSeconds, "us");
    Print(Id("agent.bytes_per_second_entries_", entries).c_str(),
          sent / kSeconds, "B");
  }
  TimePoint now(Millis(1'000'000));
  const agent::StatePtr state = MakeAgent(1, now);
  const double before = HeapBytes();
  constexpr int kRequests = 10'000;
  for (int n = 0; n < kRequests; ++n) {
    StartRequest start;
    start.id.agent = {AgentName("worker-00001"), Incarnation{1}};
    start.id.expires = PeerTime(Millis(2'000'000));
    start.id.random = {1, static_cast<std::uint64_t>(n)};
    start.customer = CustomerName("c");
    start.request_class = ClassName("match");
    start.start_before = start.finish_before = PeerTime(Millis(1'500'000));
    start.accelerators = 99;  // Refused and remembered.
    agent::Inbox inbox;
    inbox.received.push_back({LinkId{1}, start});
    agent::Step(*state, inbox, now);
  }
  Print("agent.bytes_per_known_request", (HeapBytes() - before) / kRequests,
        "B");
}

struct EntryUnderLoad {
  entry::StatePtr state;
  TimePoint now{Millis(1'000'000)};
  std::size_t agents = 0;
};

void AnswerLog(EntryUnderLoad& it, entry::Outbox out) {
  for (int n = 0; n < 10; ++n) {
    entry::Inbox inbox;
    for (const stream::LogRead& read : out.log_reads) {
      stream::LogReadResult result;
      result.stream = read.stream;
      result.ok = true;
      result.end = read.from;
      inbox.log_reads.push_back(result);
    }
    if (inbox.log_reads.empty()) {
      return;
    }
    out = entry::Step(*it.state, inbox, it.now);
    out.log_reads.clear();
  }
}

EntryUnderLoad MakeEntry(std::size_t agents) {
  EntryUnderLoad it;
  entry::Options options;
  options.self = {EntryName("entry-1"), Incarnation{1}};
  options.data_centre = DataCentreName("dc");
  it.state = entry::MakeState(options, it.now);
  it.agents = agents;
  AnswerLog(it, entry::Step(*it.state, {}, it.now));
  for (std::size_t n = 0; n < agents; ++n) {
    entry::Inbox inbox;
    const LinkId link{n + 1};
    inbox.links_up.push_back({link, PeerRole::kAgent, ""});
    AgentHello hello;
    hello.agent = {AgentName(Id("worker-", n)), Incarnation{n + 1}};
    hello.inventory.rack = RackName(Id("rack-", n / 12));
    hello.inventory.data_centre = DataCentreName("dc");
    hello.inventory.slots = 24;
    inbox.received.push_back({link, hello});
    AgentReport report = MakeReport(0);
    report.has_attempts = true;
    for (int k = 0; k < kTasksPerWorker; ++k) {
      report.attempts.push_back(MakeAttempt(n * 100 + k, k == 0));
    }
    inbox.received.push_back({link, std::move(report)});
    (void)entry::Step(*it.state, inbox, it.now);
  }
  return it;
}

void MeasureEntryAt(std::size_t agents) {
  const double before = HeapBytes();
  EntryUnderLoad it = MakeEntry(agents);
  const std::string suffix = "_agents_" + std::to_string(agents);
  Print(("entry.bytes_per_agent" + suffix).c_str(),
        (HeapBytes() - before) / static_cast<double>(agents), "B");
  constexpr int kRounds = 10;
  const double begin = ProcessorMicros();
  double sent = 0;
  for (int round = 1; round <= kRounds; ++round) {
    for (std::size_t n = 0; n < agents; ++n) {
      it.now = TimePoint(Millis(1'000'000 + round * 1000 +
                                static_cast<int>(n * 1000 / agents)));
      entry::Inbox inbox;
      inbox.received.push_back({LinkId{n + 1}, MakeReport(round)});
      entry::Outbox out = entry::Step(*it.state, inbox, it.now);
      for (const Send& send : out.sends) {
        sent += SizeOf(send.message);
      }
      AnswerLog(it, std::move(out));
    }
  }
  Print(("entry.cpu_per_report" + suffix).c_str(),
        (ProcessorMicros() - begin) / (kRounds * static_cast<double>(agents)),
        "us");
  Print(("entry.bytes_sent_per_agent_second" + suffix).c_str(),
        sent / (kRounds * static_cast<double>(agents)), "B");
}

void MeasureConfigFold() {
  stream::ConfigFold fold;
  constexpr int kChanges = 7'200;
  std::vector<stream::LogReadResult> reads;
  double bytes = 0;
  for (int n = 0; n < kChanges; ++n) {
    stream::TargetChangeRecord record;
    record.change_id = Id("change-", n);
    record.target = MakeTarget(n % 510);
    record.target.guarantee = {};
    record.base_version = n < 510 ? 0 : n - 510 + 1;
    stream::LogReadResult read;
    read.ok = true;
    read.end = n + 1;
    read.records.push_back(
        {static_cast<std::uint64_t>(n), record.change_id, Format(record)});
    bytes += static_cast<double>(read.records[0].data.size());
    reads.push_back(std::move(read));
  }
  const double heap = HeapBytes();
  const double begin = ProcessorMicros();
  for (const auto& it : reads) {
    stream::Apply(fold, it);
  }
  Print("config.cpu_per_change", (ProcessorMicros() - begin) / kChanges, "us");
  Print("config.record_bytes", bytes / kChanges, "B");
  Print("config.heap_after_a_day", HeapBytes() - heap, "B");
  Print("config.accepted",
        static_cast<double>(
            std::count_if(fold.changes.begin(), fold.changes.end(),
                          [](const auto& it) { return it.second.accepted; })),
        "changes");
  Print("config.snapshot_bytes",
        static_cast<double>(Format(stream::MakeSnapshot(fold)).size()), "B");
}

void MeasureJobFold() {
  stream::JobFold fold;
  constexpr int kJobs = 19'000;
  std::vector<stream::LogRecord> records;
  double bytes = 0;
  const auto add = [&](const std::string& data) {
    records.push_back({records.size(), Id("r", records.size()), data});
    bytes += static_cast<double>(data.size());
  };
  for (int n = 0; n < kJobs; ++n) {
    const JobSpec spec = MakeSpec(n, 13);
    const Attempt attempt{spec.id, 1};
    const std::vector<GangMember> members = MakeMembers(13);
    add(Format(stream::JobSubmitted{spec, Id("key", n)}));
    add(Format(stream::JobClaimed{attempt, members[0].agent, members}));
    stream::JobAttemptEnded ended;
    ended.attempt = attempt;
    ended.end = stream::AttemptEnd::kFinished;
    ended.text = std::string(100, 'r');
    add(Format(ended));
  }
  const double heap = HeapBytes();
  const double begin = ProcessorMicros();
  stream::LogReadResult read;
  read.ok = true;
  read.end = records.size();
  read.records = std::move(records);
  stream::Apply(fold, read);
  Print("jobs.cpu_per_record", (ProcessorMicros() - begin) / (3.0 * kJobs),
        "us");
  Print("jobs.log_bytes_per_job", bytes / kJobs, "B");
  Print("jobs.heap_per_final_job", (HeapBytes() - heap) / kJobs, "B");
}

void Measure() {
  MeasureWire();
  MeasureAgent();
  MeasureConfigFold();
  MeasureJobFold();
  for (const std::size_t agents : {45U, 360U, 1440U}) {
    MeasureEntryAt(agents);
  }
}

}  // namespace
}  // namespace shallotlug::bench

int main() {
  shallotlug::bench::Measure();
}
