"""Latency and processor time that two nodes add to a call."""

from processes import BASELINE, POLICY, Fleet, Service, cpu_seconds

TARGET_MS = 0.74
RULES = """team planners rate 100000/s burst 200000  # requested by measure
route GET /stock/ service stock priority 5 deadline 2s  # requested by measure
route GET /entry/ service entry priority 5 deadline 2s  # requested by measure
"""
TEAMS = ("planners",)


def quantile(values, share):
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]


def latencies(history, stream):
    """Returns the latencies of the answered requests of a stream, in milliseconds."""
    return [event["latency"] / 1000 for event in history
            if event["event"] == "request-answered" and event["status"] == 200
            and event["request"].split("-")[2] == stream]


def stream(fleet, name, rate, targets):
    return {"name": name, "team": "planners", "key": fleet.keys["planners"]["key"], "path": "/stock/{n}", "rate": rate,
            "deadline": "2s", "targets": targets}


def one_fleet(processes, label, network, policy, seconds):
    """Calls the backend server directly and through entry node and serving node, interleaved in one run."""
    fleet = Fleet(processes, label, network, [Service("entry", 1, 200), Service("stock", 1, 200)], RULES, TEAMS, policy,
                  service_time="2ms", distribution="fixed").start()
    entry, serving = fleet.of("entry")[0], fleet.of("stock")[0]
    targets = [serving.server, entry.caller]
    warm = fleet.load({"targets": targets, "length": "2s",
                       "streams": [stream(fleet, "direct", 100, [0]), stream(fleet, "nodes", 100, [1])]}, "warm")
    warm.wait()
    before = [cpu_seconds(node.process) for node in (entry, serving)]
    streams = [stream(fleet, "direct", 300, [0]), stream(fleet, "nodes", 300, [1])]
    load = fleet.load({"targets": targets, "length": f"{seconds}s", "streams": streams}, "load", seed=2)
    load.wait()
    spent = [cpu_seconds(node.process) - start for node, start in zip((entry, serving), before)]
    history = fleet.history("load")
    direct, nodes = latencies(history, "direct"), latencies(history, "nodes")
    result = {"entry_us": spent[0] * 1e6 / len(nodes), "serving_us": spent[1] * 1e6 / len(nodes), "calls": len(nodes),
              "refused": sum(event["event"] == "request-answered" and event["status"] != 200 for event in history)}
    for share in (0.5, 0.9, 0.99):
        result[share] = quantile(nodes, share) - quantile(direct, share)
        result["direct", share] = quantile(direct, share)
    fleet.stop()
    return result


def measure(processes, report, _totals, _docs, seconds=10):
    policy = one_fleet(processes, "latency-policy", 50, POLICY, seconds)
    baseline = one_fleet(processes, "latency-baseline", 50, BASELINE, seconds)
    report.add("added_latency_p50", policy[0.5], "ms", baseline[0.5])
    report.add("added_latency_p90", policy[0.9], "ms", baseline[0.9])
    report.add("added_latency_p99", policy[0.99], "ms", baseline[0.99], TARGET_MS)
    report.add("direct_latency_p99", policy["direct", 0.99], "ms", baseline["direct", 0.99])
    report.add("node_cpu_per_call", policy["entry_us"] + policy["serving_us"], "us",
               baseline["entry_us"] + baseline["serving_us"])
    report.add("entry_node_cpu_per_call", policy["entry_us"], "us", baseline["entry_us"])
    report.add("latency_calls_refused", policy["refused"], "requests", baseline["refused"], 0)
