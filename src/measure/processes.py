"""Starts the processes of one fleet on loopback addresses and ends them by their ids."""

import ctypes
import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

FLEET_SECRET = "5" * 64
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")

POLICY = {"admission": "adaptive", "retry": "budget", "routing": "balanced", "rates": "shared"}
BASELINE = {"admission": "unlimited", "retry": "none", "routing": "random", "rates": "static"}


def end_with_parent():
    """Runs in the child: the kernel ends it when the script dies without cleaning up."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def now():
    """Returns the monotonic clock in microseconds, the origin of all histories."""
    return time.monotonic_ns() // 1000


def fetch(url, method="GET", body=None, timeout=5):
    request = urllib.request.Request(url, method=method, data=body)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=timeout) as answer:
        return answer.read().decode()


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, urllib.error.URLError, ValueError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{what} took longer than {seconds} s")


class Processes:
    """All processes that the script started. Use as a context manager."""

    def __init__(self, programs, folder):
        self.programs = Path(programs)
        self.folder = Path(folder)
        self.started = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end_all()

    def end_all(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        self.started.clear()

    def program(self, name):
        return str(self.programs / name / name)

    def start(self, name, arguments, label, output=None):
        log = open(self.folder / f"{label}.log", "wb")
        process = subprocess.Popen(
            [self.program(name), *arguments],
            stdout=output or log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            preexec_fn=end_with_parent,
        )
        log.close()
        self.started.append(process)
        return process

    def run(self, name, arguments, timeout=120):
        """Runs a program to its end and returns its output."""
        done = subprocess.run(
            [self.program(name), *arguments], capture_output=True, text=True, timeout=timeout, check=False,
            preexec_fn=end_with_parent,
        )
        if done.returncode != 0:
            raise RuntimeError(f"{name} {' '.join(arguments)}: {done.stderr.strip() or done.stdout.strip()}")
        return done.stdout


def cpu_seconds(process):
    """Returns user and system time of a process."""
    stat = Path(f"/proc/{process.pid}/stat").read_text()
    fields = stat[stat.rindex(")") + 2:].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


@dataclass
class Node:
    name: str
    service: str
    ip: str
    region: str
    zone: str
    slots: int
    process: subprocess.Popen = None

    @property
    def caller(self):
        return f"{self.ip}:7000"

    @property
    def backend(self):
        return f"{self.ip}:7001"

    @property
    def link(self):
        return f"{self.ip}:7002"

    @property
    def admin(self):
        return f"{self.ip}:7003"

    @property
    def server(self):
        return f"{self.ip}:7004"

    def status(self):
        return json.loads(fetch(f"http://{self.admin}/admin/status"))


@dataclass
class Service:
    name: str
    nodes: int
    slots: int = 10
    region: str = "r1"


@dataclass
class Fleet:
    """A store, backend servers and a node beside each of them."""

    processes: Processes
    label: str
    network: int  # second byte of the addresses: fleets that run at once have different ones
    services: list
    rules: str
    teams: tuple  # that get a key
    policy: dict
    service_time: str = "20ms"
    distribution: str = "exponential"
    queue: int = 1000
    calls: list = field(default_factory=list)
    nodes: list = field(default_factory=list)
    keys: dict = field(default_factory=dict)  # team -> id and key

    def start(self):
        self.folder = self.processes.folder / self.label
        self.folder.mkdir()
        self.store = f"127.{self.network}.255.1:2379"
        for service in self.services:
            for number in range(service.nodes):
                index = len(self.nodes) + 1
                self.nodes.append(Node(f"{service.name}-{number + 1}", service.name, f"127.{self.network}.{index}.1",
                                       service.region, service.region + "a", service.slots))
        self.store_process = self.processes.start("limpetstore", [f"--listen={self.store}"], f"{self.label}/store")
        wait_until(lambda: fetch(f"http://{self.store}/admin/counters"), 10, "the start of the store")
        self.write_configuration()
        self.start_servers()
        for node in self.nodes:
            self.start_node(node)
        wait_until(self.ready, 30, f"the start of fleet {self.label}")
        return self

    def control(self, *words):
        """Runs limpetctl and returns its JSON document."""
        return json.loads(self.processes.run(
            "limpetctl", [*words, f"--store={self.store}", "--who=measure", "--json"]))

    def write_configuration(self):
        file = self.folder / "rules"
        file.write_text(self.rules)
        self.control("apply", str(file))
        for team in self.teams:
            issued = self.control("key", "issue", team)
            self.keys[team] = {"id": issued["key_id"], "key": issued["key"]}

    def start_servers(self):
        arguments = [f"--service-time={self.service_time}", f"--distribution={self.distribution}",
                     f"--queue={self.queue}", f"--record={self.folder}/runs.jsonl"]
        for node in self.nodes:
            arguments += [f"--listen={node.server}", f"--service={node.service}", f"--slots={node.slots}",
                          f"--node={node.backend}"]
        arguments += [f"--calls={call}" for call in self.calls]
        self.servers = self.processes.start("limpetbackend", arguments, f"{self.label}/backend")

    def start_node(self, node):
        settings = {
            "name": node.name, "region": node.region, "availability_zone": node.zone,
            "regions": sorted({each.region for each in self.nodes}), "service": node.service,
            "caller_address": node.caller, "backend_address": node.backend, "link_address": node.link,
            "admin_address": node.admin, "store_address": self.store,
            "seeds": [{"node": each.name, "address": each.link} for each in self.nodes[:3]],
            "fleet_keys": [{"id": "measure", "secret": FLEET_SECRET}],
            "limits": {"max_connections": 5000},
            "policy": self.policy,
        }
        file = self.folder / f"{node.name}.json"
        file.write_text(json.dumps(settings, indent=1))
        node.process = self.processes.start("limpetd", ["--settings", str(file)], f"{self.label}/{node.name}")

    def ready(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                log = self.folder / f"{node.name}.log"
                raise RuntimeError(f"{node.name} ended; another run may use its addresses: {log.read_text()[-300:]}")
            status = node.status()
            seen = [each for each in status["nodes"] if each["state"] == "alive" and each["slots"] > 0]
            in_force = status["in_force_here"] >= 1 + len(self.teams) and status["keyed_calls_allowed"]
            if not in_force or len(seen) < len(self.nodes):
                return False
        return True

    def of(self, service):
        return [node for node in self.nodes if node.service == service]

    def load(self, plan, label, seed=1):
        """Starts a load; finish with wait_load."""
        file = self.folder / f"{label}.plan"
        file.write_text(json.dumps(plan, indent=1))
        output = open(self.folder / f"{label}.txt", "wb")
        process = self.processes.start(
            "limpetload", [f"--history={self.folder}/{label}.jsonl", f"--seed={seed}", f"--name={label}", str(file)],
            f"{self.label}/{label}", output)
        output.close()
        return process

    def history(self, label):
        return [json.loads(line) for line in (self.folder / f"{label}.jsonl").read_text().splitlines()]

    def stop(self):
        """Ends the processes of this fleet, so that later experiments have the machine for themselves."""
        for process in [node.process for node in self.nodes] + [self.servers, self.store_process]:
            if process.poll() is None:
                process.kill()
            process.wait()
