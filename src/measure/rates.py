"""Fleet-wide rates: the worst-served team, wrongful refusals, withdrawn keys and the spread of a configuration."""

import json
import time

from history import Events
from processes import BASELINE, POLICY, Fleet, Service, fetch, now

RATE, BURST, NODES = 100, 200, 4
TEAMS = ("mild", "moving", "steady", "greedy")
ROUTE = "route GET /stock/ service stock priority 5 deadline 1s  # requested by measure\n"
RULES = "".join(f"team {team} rate {RATE}/s burst {BURST}  # requested by measure\n" for team in TEAMS) + ROUTE


def stream(fleet, team, rate, targets=None):
    key = fleet.keys[team]
    return {"name": team, "team": team, "key": key["key"], "key_id": key["id"], "path": "/stock/{n}", "rate": rate,
            "priority": 5, "deadline": "1s", "targets": targets or []}


def streams(fleet, seconds):
    """One team sends five times its rate; the demand of another moves from node to node."""
    moving = []
    for node in range(NODES):
        steps = [{"from": "0s", "rate": 0}] if node else []
        begin = int(node * seconds * 1000 / NODES)
        steps.append({"from": f"{begin}ms" if begin else "0s", "rate": 0.8 * RATE})
        if node + 1 < NODES:
            steps.append({"from": f"{int((node + 1) * seconds * 1000 / NODES)}ms", "rate": 0})
        moving.append({**stream(fleet, "moving", steps, [node]), "name": f"moving{node}"})
    return [stream(fleet, "mild", 0.5 * RATE), stream(fleet, "steady", 0.8 * RATE),
            stream(fleet, "greedy", 5 * RATE), *moving]


def start(processes, label, network, policy):
    fleet = Fleet(processes, label, network, [Service("stock", NODES, 20)], RULES, TEAMS, policy,
                  service_time="20ms").start()
    return fleet, Events(fleet)


def load(fleet, label, seconds):
    plan = {"targets": [node.caller for node in fleet.nodes], "length": f"{seconds}s",
            "streams": streams(fleet, seconds)}
    return fleet.load(plan, label)


def refused_teams_inside(fleet, label):
    """Returns the share of requests refused as over the rate among the teams that stay inside theirs."""
    history = fleet.history(label)
    inside = {event["request"] for event in history if event["event"] == "request-sent" and event["team"] != "greedy"}
    refused = sum(event["event"] == "request-answered" and event["request"] in inside
                  and event["reason"] == "rate-exceeded" for event in history)
    return refused / len(inside)


def wrongful(verdict):
    """Returns the share of requests that an exact token bucket admits, those of the greedy team included."""
    return verdict["wrongful"]["refused"] / max(1, verdict["wrongful"]["inside_rate"])


def measure(processes, report, totals, _docs):
    seconds = 16
    fleets = [start(processes, "rates-policy", 64, POLICY), start(processes, "rates-baseline", 65, BASELINE)]
    verdicts = {}
    for label in ("present", "away"):
        if label == "away":
            for fleet, _ in fleets:
                fetch(f"http://{fleet.store}/admin/fault", "POST", json.dumps({"down": True}).encode())
            time.sleep(6)  # the last grants from before have expired, and attestations say that the store is away
        begin = now()
        loads = [load(fleet, label, seconds) for fleet, _ in fleets]
        for process in loads:
            process.wait()
        verdicts[label] = [events.judge([label], (begin + 2_000_000, begin + seconds * 1_000_000))
                           for _, events in fleets]
    for (fleet, events), is_policy in zip(fleets, (True, False)):
        totals.add("rates", events.judge(["present", "away"]), is_policy)

    def figures(label):
        return (refused_teams_inside(fleets[0][0], label), "fraction of requests",
                refused_teams_inside(fleets[1][0], label))

    present, away = verdicts["present"], verdicts["away"]
    report.add("worst_team_share", present[0]["shares"][0]["ratio"], "fraction of the fair share",
               present[1]["shares"][0]["ratio"], 0.9)
    report.add("wrongful_refusals", wrongful(present[0]), "fraction of requests", wrongful(present[1]), 0.001)
    report.add("refusals_of_teams_inside_rate", *figures("present"), 0.001)
    report.add("refusals_of_teams_inside_rate_store_away", *figures("away"), 0.01)
    report.add("wrongful_refusals_store_away", wrongful(away[0]), "fraction of requests", wrongful(away[1]), 0.01)
    for fleet, _ in fleets:
        fetch(f"http://{fleet.store}/admin/fault", "POST", json.dumps({"down": False}).encode())


def changes(processes, report, _totals, _docs):
    """Time from the start of a change until every node has it, seen from outside."""
    fleet, _ = start(processes, "changes", 66, POLICY)
    times = []
    for burst in (210, 220, 230):
        file = fleet.folder / f"rules-{burst}"
        file.write_text(RULES.replace(f"burst {BURST}", f"burst {burst}"))
        begin = time.monotonic()
        fleet.control("apply", str(file))
        revision = 1 + len(TEAMS) + len(times) + 1
        while not all(node.status()["in_force_here"] >= revision for node in fleet.nodes):
            if time.monotonic() - begin > 20:
                raise TimeoutError(f"revision {revision} is not in force after 20 s")
            time.sleep(0.01)
        times.append(time.monotonic() - begin)
    report.add("configuration_in_force", max(times), "s", None, 6)
    seconds, withdraw_after = 10, 3
    plan = {"targets": [node.caller for node in fleet.nodes], "length": f"{seconds}s",
            "streams": [stream(fleet, "mild", 80)]}
    process = fleet.load(plan, "load")
    time.sleep(withdraw_after)
    fleet.control("key", "withdraw", fleet.keys["mild"]["id"])
    withdrawn = now()
    process.wait()
    history = fleet.history("load")
    sent = {event["request"]: event["time"] for event in history if event["event"] == "request-sent"}
    last = max(sent[event["request"]] for event in history
               if event["event"] == "request-answered" and event["status"] == 200)
    report.add("key_withdrawal", max(0.0, (last - withdrawn) / 1e6), "s", None, 5)
