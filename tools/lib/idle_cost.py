"""Processor time, memory and traffic of idle processes at several sizes; see tools/idle-cost."""

import os
import sys
import time

from installation import Installation

SECONDS = 20
TICKS = os.sysconf("SC_CLK_TCK")


def usage(process):
    """(processor seconds, resident kilobytes) of a process."""
    with open("/proc/%d/stat" % process.pid, encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open("/proc/%d/status" % process.pid, encoding="ascii") as file:
        rss = next(line.split()[1] for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS, int(rss)


def measure(build, entries, workers):
    with Installation(build) as trial:
        trial.start_log()
        for n in range(entries):
            trial.start_entry("entry-%d" % n, "bergen")
        for n in range(workers):
            trial.start_worker("worker-%d" % n, "bergen", "rack-%d" % (n // 3))
        trial.wait_until("all workers", lambda: all(
            trial.ready(it) and trial.live_workers(it) == workers for it in trial.entries))
        time.sleep(3)
        before = {name: usage(it) for name, it in trial.processes.items()}
        time.sleep(SECONDS)
        after = {name: usage(it) for name, it in trial.processes.items()}

    def mean(prefix, value):
        names = [it for it in before if it.startswith(prefix) and not it.endswith("backend")]
        return sum(value(it) for it in names) / len(names)

    for role in ("entry", "worker"):
        cpu = mean(role, lambda it: (after[it][0] - before[it][0]) / SECONDS * 100)
        rss = mean(role, lambda it: after[it][1] / 1024)
        print("entries=%d workers=%d role=%s cpu=%.2f%% rss=%.1fMB"
              % (entries, workers, "agent" if role == "worker" else role, cpu, rss), flush=True)


def main():
    for entries, workers in ((1, 4), (1, 16), (1, 40), (3, 16)):
        measure(sys.argv[1], entries, workers)


if __name__ == "__main__":
    main()
