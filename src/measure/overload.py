"""Goodput and recovery under a demand surge and a slow service deep in the call graph."""

import time
from dataclasses import dataclass, field

from history import Events
from plot import write_plot
from processes import BASELINE, POLICY, Fleet, Service, fetch, now

SLOTS = 10
SURGE_LOADS = 4
TEAMS = ("planners", "shipping")
LIMITS = """team planners rate 20000/s burst 60000  # requested by measure
team shipping rate 20000/s burst 60000  # requested by measure
"""
SURGE_RULES = LIMITS + """route GET /plans/ service stock priority 8 deadline 800ms worth 2  # requested by measure
route GET /stock/ service stock priority 5 deadline 800ms  # requested by measure
route GET /checks/ service stock priority 1 deadline 800ms worth 0.2  # requested by measure
"""
CHAIN_RULES = LIMITS + """route GET /orders/ service front priority 5 deadline 1s  # requested by measure
route GET /middle/ service middle priority 5 deadline 1s  # requested by measure
route GET /deep/ service deep priority 5 deadline 1s  # requested by measure
"""


@dataclass
class Outcome:
    """What one fleet did."""

    verdict: dict
    window: tuple  # of the trigger, in seconds since the origin of the verdict
    goodput: float
    roots: int
    attempts: int
    late: int = 0
    seconds: dict = field(default_factory=dict)


def steps(*pairs):
    return [{"from": f"{seconds}s", "rate": rate} for seconds, rate in pairs]


def stream(fleet, name, team, path, rate, priority, deadline, repeats):
    return {"name": name, "team": team, "key": fleet.keys[team]["key"],
            "key_id": fleet.keys[team]["id"], "path": path, "rate": rate, "priority": priority, "deadline": deadline,
            "patience": "1s", "repeat": "at-once", "repeats": repeats}


def finish(fleet, events, loads, begin, end, settle):
    """Judges one fleet after its load has ended. The window leaves out the time in which queues build up."""
    for load in loads:
        load.wait()
    labels = [f"load{number}" for number in range(len(loads))]
    verdict = events.judge(labels, (begin + settle * 1_000_000, end))
    roots = sum(event["event"] == "request-sent" for label in labels for event in fleet.history(label))
    attempts = sum(status["first_attempts"] + status["extra_attempts"]
                   for status in (node.status() for node in fleet.nodes))
    origin = verdict["origin"]
    fleet.stop()
    return Outcome(verdict, ((begin - origin) / 1e6, (end - origin) / 1e6), verdict["goodput"], roots, attempts)


def describe(fleet, service):
    """Prints the state of the nodes of a service, to explain a figure."""
    for node in fleet.of(service):
        status = node.status()
        print(f"  {fleet.label} {node.name}: concurrency limit {status['concurrency_limit']}, "
              f"in flight {status['backend_in_flight']}, queue {status['backend_queue']}, "
              f"calls {status['calls_in_flight']}, refused {status['refused']}")


def sleep_until(moment):
    time.sleep(max(0, (moment - now()) / 1e6))


def surge(processes, report, totals, docs):
    """Three times the capacity for 20 s, with callers that repeat at once."""
    # The GLib loop of the load tool visits all its sources every time: with 1500 requests in flight one process was up
    # to 1.5 s late, so several share the load.
    nodes, service_time = 2, 0.08
    capacity = nodes * SLOTS / service_time
    before, length, after = 6, 20, 14
    fleets = []
    for label, network, policy in (("surge-policy", 60, POLICY), ("surge-baseline", 61, BASELINE)):
        fleet = Fleet(processes, label, network, [Service("stock", nodes, SLOTS)], SURGE_RULES, TEAMS, policy,
                      service_time="80ms").start()
        events = Events(fleet)
        part = capacity / SURGE_LOADS
        demand = lambda share: steps((0, 0.6 * part * share), (before, 3 * part * share),
                                     (before + length, 0.6 * part * share))
        streams = [stream(fleet, "plans", "planners", "/plans/{n}", demand(0.2), 8, "800ms", 2),
                   stream(fleet, "stock", "shipping", "/stock/{n}", demand(0.6), 5, "800ms", 2),
                   stream(fleet, "checks", "planners", "/checks/{n}", demand(0.2), 1, "800ms", 2)]
        plan = {"targets": [node.caller for node in fleet.nodes], "length": f"{before + length + after}s",
                "max_in_flight": 400, "streams": streams}
        loads = [fleet.load(plan, f"load{number}", seed=number + 1) for number in range(SURGE_LOADS)]
        fleets.append((fleet, events, loads, now()))
    for seconds, ended in ((before, False), (before + length, True)):
        for fleet, events, _, started in fleets:
            sleep_until(started + seconds * 1_000_000)
            describe(fleet, "stock")
            events.trigger("surge", ended)
    policy, baseline = [finish(fleet, events, loads, started + before * 1_000_000,
                               started + (before + length) * 1_000_000, 2)
                        for fleet, events, loads, started in fleets]
    totals.add("surge", policy.verdict, True)
    totals.add("surge", baseline.verdict, False)
    report.add("surge_goodput", policy.goodput / capacity, "fraction of capacity", baseline.goodput / capacity, 0.9)
    report.add("surge_recovery", policy.verdict["recovery"], "s", baseline.verdict["recovery"], 5)
    worth = [each.verdict["worth"]["answered"] / each.verdict["worth"]["sent"] for each in (policy, baseline)]
    report.add("weighted_worth", worth[0], "fraction of the offered", worth[1])
    report.add("surge_attempts_per_request", policy.attempts / policy.roots, "attempts",
               baseline.attempts / baseline.roots)
    draw(docs, "surge", "Goodput in a surge of 3x capacity", policy, baseline,
         [(0, before + length + after, capacity)])


def slow_service(processes, report, totals, docs):
    """The service at the third place of the call graph becomes ten times slower and recovers."""
    factor, before, length, after, rate = 10, 6, 15, 12, 200
    reduced = 2 * SLOTS / (0.02 * factor)
    fleets = []
    for label, network, policy in (("slow-policy", 62, POLICY), ("slow-baseline", 63, BASELINE)):
        services = [Service("front", 2, 40), Service("middle", 2, 40), Service("deep", 2, SLOTS)]
        fleet = Fleet(processes, label, network, services, CHAIN_RULES, TEAMS, policy,
                      calls=["front: GET /middle/1", "middle: GET /deep/1"]).start()
        events = Events(fleet)
        plan = {"targets": [node.caller for node in fleet.of("front")], "length": f"{before + length + after}s",
                "streams": [stream(fleet, "orders", "planners", "/orders/{n}", rate, 5, "1s", 2)]}
        fleets.append((fleet, events, [fleet.load(plan, "load0")], now()))
    for seconds, slow in ((before, factor), (before + length, 1)):
        for fleet, events, _, started in fleets:
            sleep_until(started + seconds * 1_000_000)
            for service in services:
                describe(fleet, service.name)
            for node in fleet.of("deep"):
                fetch(f"http://{node.server}/control/slow?factor={slow}", "POST", b"")
            events.trigger("slow service", slow == 1)
    policy, baseline = [finish(fleet, events, loads, started + before * 1_000_000,
                               started + (before + length) * 1_000_000, 2)
                        for fleet, events, loads, started in fleets]
    totals.add("slow service", policy.verdict, True)
    totals.add("slow service", baseline.verdict, False)
    report.add("slow_service_goodput", policy.goodput / reduced, "fraction of capacity", baseline.goodput / reduced,
               0.9)
    report.add("slow_service_recovery", policy.verdict["recovery"], "s", baseline.verdict["recovery"], 5)
    report.add("retry_amplification", policy.attempts / policy.roots / 3, "attempts per call of the tree",
               baseline.attempts / baseline.roots / 3)
    draw(docs, "slow_service", "Goodput while the third service of the call graph is 10x slower", policy, baseline,
         [(before, before + length, reduced)])


def draw(docs, name, title, policy, baseline, capacity):
    if not docs:
        return
    series = {"policy": policy.verdict["goodput_over_time"], "baseline": baseline.verdict["goodput_over_time"]}
    write_plot(docs / f"{name}.svg", title, series, policy.window, capacity)
