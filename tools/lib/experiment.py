"""One load run under one fault; see tools/experiment."""

import json
import signal
import subprocess
import sys
import time

from evidence import starts_by_client
from installation import Installation, call

FAULTS = ("none", "kill-entry", "kill-agent", "freeze-agent", "log-outage", "fail-worker")


def inject(trial, fault):
    if fault == "kill-entry":
        trial.kill("entry-1")
    elif fault == "kill-agent":
        trial.kill("worker-1")
    elif fault == "freeze-agent":
        trial.processes["worker-1"].send_signal(signal.SIGSTOP)
        time.sleep(4)
        trial.processes["worker-1"].send_signal(signal.SIGCONT)
    elif fault == "log-outage":
        call(trial.log_control, "POST", "/control", {"outage": "hang"})
    elif fault == "fail-worker":
        call(trial.backends["worker-1"], "POST", "/control", {"fail_all": True})


def run(build, fault, rate, seconds, html):
    with Installation(build) as trial:
        trial.start_two_racks()
        code, output = trial.operator("target", "set", "match", "--customer=fargekort",
                                      "--kind=live", "--finish_within=2s")
        if code != 0:
            raise SystemExit("experiment: " + output)
        time.sleep(1)
        entries = ",".join(it["callers"] for it in trial.entries.values())
        command = [build + "/packages/standin/shallotlug-standin-load", "--entries=" + entries,
                   "--rate=%s" % rate, "--duration=%ss" % seconds]
        if html:
            command.append("--html=" + html)
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as load:
            time.sleep(float(seconds) / 3)
            inject(trial, fault)
            result = json.loads(load.communicate()[0])
        starts = starts_by_client(trial.histories(), "caller")
        result["doubled"] = sum(1 for n in starts.values() if n > 1)
        result["fault"] = fault
        print(json.dumps(result), flush=True)
        return result["doubled"] == 0 and "mixed_up" not in result["results"]


def main():
    words = [it for it in sys.argv[2:] if not it.startswith("--")]
    flags = dict(it[2:].split("=", 1) for it in sys.argv[2:] if it.startswith("--"))
    fault = words[0] if words else "none"
    faults = FAULTS if fault == "all" else (fault,)
    if any(it not in FAULTS for it in faults):
        raise SystemExit("experiment: unknown fault; known are " + ", ".join(FAULTS))
    good = [run(sys.argv[1], it, flags.get("rate", "50"), flags.get("seconds", "9"),
                flags.get("html", "")) for it in faults]
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
