"""Starts a whole installation on loopback: log stand-in, backend stand-ins, agents, entries."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

SHARED_KEY = "demo-shared-key-0123456789"
OPERATOR_TOKEN = "demo-operator-token-0123"


def free_addresses(count):
    """Draws free loopback ports; all are held until all are drawn."""
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind(("127.0.0.1", 0))
    addresses = ["127.0.0.1:%d" % it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return addresses


def call(address, method, target, body=None, timeout=10.0):
    """Returns (status, body bytes, headers); status 0 when there was no whole answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request("http://" + address + target, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    request.add_header("Authorization", "Bearer " + OPERATOR_TOKEN)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read(), response.headers
    except urllib.error.HTTPError as error:
        return error.code, error.read(), error.headers
    except (OSError, ValueError):
        return 0, b"", {}


class Installation:
    """Processes of one trial. Use as a context manager: all of them end with it."""

    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="shallotlug-demo-")
        self.processes = {}
        self.entries = {}
        self.backends = {}
        self.log_control = ""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in self.processes.values():
            if it.poll() is None:
                it.kill()
        for it in self.processes.values():
            it.wait()

    def start(self, name, program, *arguments):
        with open(os.path.join(self.folder, name + ".log"), "wb") as log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(self.build, program), *arguments], stdout=log, stderr=log)

    def settings(self, name, values):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(values, out, indent=1)
        return path

    def start_log(self):
        self.log, self.log_control = free_addresses(2)
        self.start("log", "packages/standin/shallotlug-standin-log",
                   "--listen=" + self.log, "--control=" + self.log_control)

    def start_entry(self, name, data_centre):
        callers, operators, peers, metrics = free_addresses(4)
        self.entries[name] = {"callers": callers, "operators": operators, "peers": peers,
                              "metrics": metrics}
        path = self.settings(name, {
            "name": name, "data_centre": data_centre, "callers_listen": callers,
            "operators_listen": operators, "peers_listen": peers, "metrics_listen": metrics,
            "log_service": self.log, "operator_token": OPERATOR_TOKEN, "shared_key": SHARED_KEY})
        self.start(name, "apps/shallotlug", "serve", "--settings=" + path)

    def start_worker(self, name, data_centre, rack, checkpoint_ms=1000):
        backend, peers, metrics = free_addresses(3)
        self.backends[name] = backend
        self.start(name + "-backend", "packages/standin/shallotlug-standin-backend",
                   "--listen=" + backend, "--checkpoint_ms=%d" % checkpoint_ms)
        path = self.settings(name, {
            "name": name, "data_centre": data_centre, "rack": rack, "peers_listen": peers,
            "metrics_listen": metrics, "backend_server": backend,
            "entry_seeds": [it["peers"] for it in self.entries.values()],
            "shared_key": SHARED_KEY})
        self.start(name, "apps/shallotlug-agent", "--settings=" + path)

    def start_two_racks(self):
        """Starts two entries and four workers in two racks, and waits until all know each other."""
        self.start_log()
        self.start_entry("entry-1", "bergen")
        self.start_entry("entry-2", "bergen")
        for n in range(4):
            self.start_worker("worker-%d" % (n + 1), "bergen", "rack-%d" % (n // 2 + 1))
        self.wait_until("four workers at both entries", lambda: all(
            self.ready(it) and self.live_workers(it) == 4 for it in self.entries))

    def kill(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def wait_until(self, what, condition, limit=30.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise SystemExit("demo: gave up waiting for %s; logs are in %s" % (what, self.folder))

    def ready(self, entry):
        return call(self.entries[entry]["metrics"], "GET", "/readyz")[0] == 200

    def live_workers(self, entry):
        status, body, _ = call(self.entries[entry]["operators"], "GET", "/v1/status")
        if status != 200:
            return 0
        return sum(1 for it in json.loads(body)["workers"] if it["alive"])

    def operator(self, *words):
        """Runs an operator's command; returns its exit code and output."""
        addresses = ",".join(it["operators"] for it in self.entries.values())
        result = subprocess.run(
            [os.path.join(self.build, "apps/shallotlug"), *words, "--operators=" + addresses],
            env={**os.environ, "SHALLOTLUG_TOKEN": OPERATOR_TOKEN}, capture_output=True, text=True,
            check=False)
        return result.returncode, result.stdout + result.stderr

    def histories(self):
        """What each backend server did to tasks, by worker name."""
        return {name: json.loads(call(address, "GET", "/history")[1])["history"]
                for name, address in self.backends.items()}
