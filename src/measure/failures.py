"""A node that is killed and a node that is paused under load."""

import signal
import time

from history import Events
from processes import BASELINE, POLICY, Fleet, Service

NODES = 4
TEAMS = ("planners",)
RULES = """team planners rate 20000/s burst 60000  # requested by measure
route GET /stock/ service stock priority 5 deadline 2s  # requested by measure
route POST /orders service stock priority 8 deadline 2s non-idempotent  # requested by measure
"""


def stream(fleet, method, path, rate, targets):
    key = fleet.keys["planners"]
    return {"name": f"{method}{targets[0]}", "team": "planners", "key": key["key"], "key_id": key["id"],
            "method": method, "path": path, "rate": rate, "deadline": "2s", "targets": targets}


def one_fleet(processes, label, network, policy):
    fleet = Fleet(processes, label, network, [Service("stock", NODES, 20)], RULES, TEAMS, policy).start()
    events = Events(fleet)
    # Callers of the last node, which fails, lose their connection in any case; the others are the ones to look at.
    streams = []
    for targets, share in ((list(range(NODES - 1)), 1), ([NODES - 1], 1 / 3)):
        streams.append(stream(fleet, "GET", "/stock/{n}", 150 * share, targets))
        streams.append(stream(fleet, "POST", "/orders", 60 * share, targets))
    plan = {"targets": [node.caller for node in fleet.nodes], "length": "18s", "streams": streams}
    return fleet, events, fleet.load(plan, "load")


def outcomes(fleet, method):
    """Counts what the callers of the surviving nodes got."""
    names = {event["request"]: event for event in fleet.history("load")
             if event["event"] == "request-sent" and event["method"] == method
             and event["entry"] != fleet.nodes[-1].caller}
    answers = {event["request"]: event for event in fleet.history("load") if event["event"] == "request-answered"}
    counts = {"sent": len(names), "no_answer": 0, "refused_not_run": 0, "refused_unknown": 0}
    for name in names:
        answer = answers.get(name)
        if not answer or answer["status"] == 0:
            counts["no_answer"] += 1
        elif answer["status"] >= 300:
            counts["refused_not_run" if answer["run"] == "no" else "refused_unknown"] += 1
    return counts


def measure(processes, report, totals, _docs):
    """Pauses a node for 4 s, then kills it."""
    fleets = [one_fleet(processes, "failures-policy", 67, POLICY),
              one_fleet(processes, "failures-baseline", 68, BASELINE)]
    time.sleep(3)
    for number in (signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL):
        for fleet, events, _ in fleets:
            fleet.nodes[-1].process.send_signal(number)
            state = "up" if number == signal.SIGCONT else "cut-off" if number == signal.SIGSTOP else "down"
            events.add("node-changed", node=fleet.nodes[-1].name, state=state, entry=fleet.nodes[-1].caller,
                       server=fleet.nodes[-1].server)
        time.sleep(4)
    for fleet, _, load in fleets:
        load.wait()
    verdicts = [events.judge(["load"]) for _, events, _ in fleets]
    totals.add("failures", verdicts[0], True)
    totals.add("failures", verdicts[1], False)
    for method in ("GET", "POST"):
        policy, baseline = [outcomes(fleet, method) for fleet, _, _ in fleets]
        for name in ("no_answer", "refused_not_run", "refused_unknown"):
            report.add(f"failed_node_{method.lower()}_{name}", policy[name] / policy["sent"], "fraction of requests",
                       baseline[name] / baseline["sent"])
    report.add("failed_node_doubled", verdicts[0]["violations"]["I9"]["count"], "count",
               verdicts[1]["violations"]["I9"]["count"], 0)
