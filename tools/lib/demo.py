"""The demonstration that tools/demo runs; see there."""

import json
import sys
import threading
import time

from evidence import partial_gangs, spans, starts_by_client
from installation import Installation, call

CLIENTS = 240
CLIENT_THREADS = 12
ARCHIVE_JOBS = 40
GANG = "reconstruction-1"


def say(text):
    print("%5.1f s  %s" % (time.monotonic() - STARTED, text), flush=True)


STARTED = time.monotonic()


def set_targets(trial):
    say("An operator sets targets. No weights, no addresses.")
    for words in (
            ["target", "set", "match", "--customer=fargekort", "--kind=live",
             "--finish_within=2s", "--objective=0.99"],
            ["target", "set", "archive", "--customer=fargekort", "--kind=batch",
             "--finish_within=12h", "--objective=0.95"],
            ["target", "set", "reconstruction", "--customer=authority", "--kind=batch",
             "--finish_within=1h", "--objective=0.95", "--guarantee=1x16@rack"]):
        code, output = trial.operator(*words)
        while "not heard from all workers" in output:
            time.sleep(0.3)  # An entry checks guarantees only once it knows the workers.
            code, output = trial.operator(*words)
        say("  shallotlug " + " ".join(words[:3]) + " ...: " + output.strip())
        if code != 0:
            raise SystemExit("demo: a target was refused")
    code, output = trial.operator("target", "set", "greedy", "--customer=authority",
                                  "--kind=batch", "--finish_within=1h", "--guarantee=9x8@worker")
    say("  A guarantee beyond what exists is refused: " + output.strip().splitlines()[0])
    if code != 2:
        raise SystemExit("demo: an impossible guarantee was accepted")


def submit(trial, key, job_class, customer, tasks, accelerators, run_ms, body):
    job = {"key": key, "customer": customer, "class": job_class, "tasks": tasks,
           "accelerators_per_task": accelerators, "adjacency": "rack" if tasks > 1 else "any",
           "declared_run_time_ms": run_ms, "repeatable": True, "checkpointable": True,
           "body": json.dumps({"run_ms": run_ms, **body})}
    for entry in trial.entries.values():
        status, reply, _ = call(entry["callers"], "POST", "/v1/jobs", job)
        if status in (200, 201):
            return json.loads(reply)["id"]
    raise SystemExit("demo: job %s was not accepted: %s" % (key, reply.decode()))


def job_state(trial, job):
    for entry in trial.entries.values():
        status, reply, _ = call(entry["callers"], "GET", "/v1/jobs/" + job, timeout=2)
        if status == 200:
            return json.loads(reply)["state"]
    return "unreachable"


def gang_start(trial):
    """When the first member of the gang began, on this machine's monotonic clock in seconds."""
    starts = [it[5] for it in spans(trial.histories()) if "gang" in json.loads(it[2] or "{}")]
    return min(starts) / 1000 if starts else None


class Clients:
    """Salons: each mints an id and repeats it through any entry until it has its answer."""

    def __init__(self, trial):
        self.trial = trial
        self.next = iter(range(CLIENTS))
        self.lock = threading.Lock()
        self.answered = {}
        self.not_run = set()
        self.slowest = 0.0
        self.threads = [threading.Thread(target=self.run) for _ in range(CLIENT_THREADS)]
        for it in self.threads:
            it.start()

    def run(self):
        while True:
            with self.lock:
                n = next(self.next, None)
            if n is None:
                return
            self.serve("salon-%03d" % n, n)

    def addresses(self, n):
        known = [it["callers"] for it in self.trial.entries.values()]
        return known[n % len(known):] + known[:n % len(known)]

    def mint(self, n):
        for address in self.addresses(n) * 20:
            status, reply, _ = call(address, "POST", "/v1/requests:mint",
                                    {"customer": "fargekort", "class": "match"}, timeout=3)
            if status == 201:
                return json.loads(reply)["id"]
            time.sleep(0.1)
        return None

    def serve(self, client, n):
        begin = time.monotonic()
        request = {"customer": "fargekort", "class": "match",
                   "body": json.dumps({"run_ms": 40, "client": client})}
        for _ in range(10):
            request_id = self.mint(n)
            if request_id is None:
                continue
            if self.send(client, n, request_id, request):
                break
        with self.lock:
            self.slowest = max(self.slowest, time.monotonic() - begin)
        time.sleep(0.15)

    def send(self, client, n, request_id, request):
        """Whether the client is served; after a proven not_run it mints again."""
        for attempt in range(40):
            addresses = self.addresses(n + attempt)
            status, reply, _ = call(addresses[0], "POST", "/v1/requests/" + request_id, request,
                                    timeout=5)
            if status == 200:
                with self.lock:
                    self.answered[client] = json.loads(reply)["task"]
                return True
            if status == 503 and json.loads(reply)["error"] == "not_run":
                return False
            time.sleep(0.1)
        return True

    def join(self):
        for it in self.threads:
            it.join()


def judge(trial, clients):
    histories = trial.histories()
    starts = starts_by_client(histories)
    bodies = {task: body for _, task, body, *_ in spans(histories)}
    lost = CLIENTS - len(clients.answered)
    mixed = sum(1 for client, task in clients.answered.items()
                if json.loads(bodies.get(task, "{}")).get("client") != client)
    doubled = sum(1 for n in starts.values() if n > 1)
    partial = partial_gangs(histories, GANG, 2)
    if mixed:
        say("%d answers belong to another client" % mixed)
    return len(clients.answered), lost, doubled, partial, mixed


def run(trial):
    say("Starting the log stand-in, two entries, four workers in two racks.")
    trial.start_two_racks()
    set_targets(trial)

    say("Archive work fills all 32 accelerators (%d jobs of one)." % ARCHIVE_JOBS)
    archive = [submit(trial, "archive-%d" % n, "archive", "fargekort", 1, 1, 5000,
                      {"archive": n}) for n in range(ARCHIVE_JOBS)]
    trial.wait_until("a full installation", lambda: sum(
        it[6] == float("inf") for it in spans(trial.histories())) >= 30)

    say("%d salons ask for shade matches while the archive runs." % CLIENTS)
    clients = Clients(trial)
    time.sleep(1)

    say("The authority asks its guaranteed shape back: a gang of 16 over two workers of a rack.")
    asked = time.monotonic()
    gang = submit(trial, GANG, "reconstruction", "authority", 2, 8, 2000, {"gang": GANG})
    trial.wait_until("the gang", lambda: gang_start(trial) is not None)
    say("  It began %.1f s after it was asked for; checkpoints take 1 s here."
        % (gang_start(trial) - asked))

    say("Entry 1 is killed in the middle of it (SIGKILL).")
    trial.kill("entry-1")
    trial.entries.pop("entry-1")
    clients.join()
    say("  All salons are served; the slowest waited %.1f s." % clients.slowest)
    trial.wait_until("the end of the gang", lambda: job_state(trial, gang) == "finished")
    say("  The gang has finished.")
    trial.wait_until("the end of the archive work", lambda: all(
        job_state(trial, it) == "finished" for it in archive), limit=60)
    say("  All %d archive jobs have finished, the checkpointed ones too." % ARCHIVE_JOBS)

    say("shallotlug report burn:")
    print(trial.operator("report", "burn")[1])
    answered, lost, doubled, partial, mixed = judge(trial, clients)
    print("demo: %d answered, %d lost, %d doubled, %d partial gangs"
          % (answered, lost, doubled, partial))
    return 0 if lost == doubled == partial == mixed == 0 else 1


def main():
    with Installation(sys.argv[1]) as trial:
        return run(trial)


if __name__ == "__main__":
    sys.exit(main())
