"""Measures the system on real processes over loopback, policy and baseline side by side.

Prints one line for each measure, then a table. The machine is shared and noisy: no figure is a check.
"""

import argparse
import signal
import sys
import tempfile
import time
from pathlib import Path

import failures
import latency
import overload
import rates
from history import Totals
from processes import Processes
from report import Report

EXPERIMENTS = {"latency": latency.measure, "surge": overload.surge, "slow": overload.slow_service,
               "rates": rates.measure, "changes": rates.changes, "failures": failures.measure}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build/src", help="folder of the built programs")
    parser.add_argument("--only", default="", help="comma-separated names of experiments: " + ", ".join(EXPERIMENTS))
    parser.add_argument("--keep", action="store_true", help="keep the settings, plans, logs and histories")
    parser.add_argument("--plots", type=Path, help="folder for the plots")
    options = parser.parse_args()
    chosen = options.only.split(",") if options.only else list(EXPERIMENTS)
    unknown = [name for name in chosen if name not in EXPERIMENTS]
    if unknown:
        parser.error(f"experiment {unknown[0]} is not known; use one of {', '.join(EXPERIMENTS)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if options.keep:
        folder = tempfile.mkdtemp(prefix="limpet-measure-")
        print(f"files are kept in {folder}")
        return run(chosen, options, folder)
    with tempfile.TemporaryDirectory(prefix="limpet-measure-") as folder:
        return run(chosen, options, folder)


def run(chosen, options, folder):
    report, totals, failed = Report(), Totals(), []
    started = time.monotonic()
    with Processes(options.programs, folder) as processes:
        for name in chosen:
            try:
                EXPERIMENTS[name](processes, report, totals, options.plots)
            except (RuntimeError, TimeoutError, OSError, LookupError, ValueError, ZeroDivisionError) as problem:
                print(f"experiment {name} failed: {problem}", flush=True)
                failed.append(name)
            finally:
                processes.end_all()
    totals.report(report)
    report.print_table()
    print(f"{time.monotonic() - started:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
