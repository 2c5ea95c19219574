"""Writes the script's own events of a history and calls limpetcheck."""

import json

from processes import now


class Events:
    """Events that only the script knows: limits, routes, keys, triggers, states of nodes."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.file = fleet.folder / "events.jsonl"
        self.file.write_text("")
        self.started = now()
        for words in (line.split("#")[0].split() for line in fleet.rules.splitlines()):
            if words[:1] == ["team"]:
                self.add("team-limit", team=words[1], ratePerSecond=float(words[3].removesuffix("/s")),
                         burst=float(words[5]))
            elif words[:1] == ["route"]:
                self.add_route(words)
        for team, key in fleet.keys.items():
            self.add("key-changed", team=team, keyId=key["id"], withdrawn=False)
        for node in fleet.nodes:
            self.add("node-changed", node=node.name, state="up", entry=node.caller, server=node.server)

    def add_route(self, words):
        after = lambda name, otherwise: words[words.index(name) + 1] if name in words else otherwise
        self.add("route-known", method=words[1], pathPrefix=words[2], service=after("service", ""),
                 importance=int(after("priority", "0")), idempotent="non-idempotent" not in words,
                 openToAll="open" in words, publicWorth=float(after("worth", "1")))

    def add(self, event, **members):
        line = json.dumps({"event": event, "time": now(), **members})
        with open(self.file, "a", encoding="utf-8") as file:
            file.write(line + "\n")

    def trigger(self, name, ended=False):
        self.add("trigger-changed", trigger=name, ended=ended)

    def judge(self, loads, window=None, bucket=0.5):
        """Returns the verdict of limpetcheck on the joined histories. The window is in microseconds since boot."""
        folder = self.fleet.folder
        arguments = [f"--bucket={bucket}"]
        if window:
            arguments += [f"--from={(window[0] - self.started) / 1e6}", f"--to={(window[1] - self.started) / 1e6}"]
        files = [str(self.file), str(folder / "runs.jsonl"), *[str(folder / f"{load}.jsonl") for load in loads]]
        return json.loads(self.fleet.processes.run("limpetcheck", arguments + files))


class Totals:
    """Violations over all experiments, apart for policy and baseline."""

    COUNTED = {"over_rate_windows": "I6", "doubled_requests": "I9", "false_not_run": "I8", "mixed_answers": "I7",
               "key_leaks": "I4", "foreign_key_runs": "I3", "shed_order_inversions": "I2", "unbounded_retries": "I1"}

    def __init__(self):
        self.policy = {}
        self.baseline = {}
        self.examples = []

    def add(self, label, verdict, is_policy):
        totals = self.policy if is_policy else self.baseline
        for invariant, found in verdict["violations"].items():
            totals[invariant] = totals.get(invariant, 0) + found["count"]
            if is_policy and found["count"]:
                self.examples.append((label, invariant, found["count"], found["examples"][0]["what"]))

    def report(self, report):
        for name, invariant in self.COUNTED.items():
            report.add(name, self.policy.get(invariant, 0), "count", self.baseline.get(invariant, 0), 0)
        for label, invariant, count, example in self.examples:
            print(f"{label}: {count} violations of {invariant}, such as: {example}")
