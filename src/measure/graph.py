"""Draws the series that mesh_graph_bench writes: whole answers per second, tree-aware and baseline."""

import csv
import pathlib
import sys

from plot import write_plot

TROUBLE = (4, 12)  # seconds, as in mesh_graph_test.h


def main():
    source, target = map(pathlib.Path, sys.argv[1:3])
    series = {"policy": [], "baseline": []}
    with source.open() as file:
        for row in csv.DictReader(file):
            series[row["variant"]].append((int(row["second"]), float(row["answers"])))
    title = "Call trees of depth 3 while the deepest service rejects 55 % of its calls"
    write_plot(target, title, series, TROUBLE, [])


if __name__ == "__main__":
    main()
