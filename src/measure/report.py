"""Collects figures and prints them."""

from dataclasses import dataclass


@dataclass
class Figure:
    name: str
    value: float
    unit: str
    baseline: float
    target: float


def text(value):
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)


class Report:
    def __init__(self):
        self.figures = []

    def add(self, name, value, unit, baseline=None, target=None):
        figure = Figure(name, value, unit, baseline, target)
        self.figures.append(figure)
        print(f"measure {name} value={text(value)} unit={unit} baseline={text(baseline)} target={text(target)}",
              flush=True)

    def print_table(self):
        print("\nThe machine is shared with other work, so the figures are noisy; none is a check.")
        rows = [("measure", "value", "unit", "baseline", "target")]
        rows += [(each.name, text(each.value), each.unit, text(each.baseline), text(each.target))
                 for each in self.figures]
        widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
        for row in rows:
            print("  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip())
