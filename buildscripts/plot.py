#!/usr/bin/env python3
"""Turns build/bench/decisions.json into a Markdown table and an SVG plot.

    plot.py [DECISIONS.json]

Writes decisions.md and decisions.svg beside it. Points are means over the
seeds, whiskers reach from the least to the greatest.
"""

import collections
import html
import json
import pathlib
import statistics
import sys

COLOURS = ("#1b6ca8", "#d1495b", "#2e8b57", "#b8860b", "#7b52ab", "#4d4d4d",
           "#e07a1f", "#008b8b")
PANEL_WIDTH, PANEL_HEIGHT = 420, 260
MARGIN_LEFT, MARGIN_TOP, GAP = 60, 50, 70
LEGEND_LINE = 18

COLUMNS = (
    ("deployment", "deployment", "{}"), ("load", "load", "{:.2f}"),
    ("policy", "policy", "{}"), ("fault", "fault", "{}"),
    ("seeds", "seeds", "{}"), ("offered", "offered/s", "{:.1f}"),
    ("capacity", "capacity/s", "{:.1f}"), ("goodput", "goodput/s", "{:.1f}"),
    ("share", "share", "{:.3f}"), ("share_low", "least share", "{:.3f}"),
    ("wasted_prefill_ratio", "wasted prefill", "{:.4f}"),
    ("ttft_p95_ms", "TTFT p95 ms", "{:.0f}"),
    ("tpot_p95_ms", "TPOT p95 ms", "{:.1f}"),
    ("refused_not_run", "refused", "{:.1f}"), ("unknown", "unknown", "{:.1f}"),
    ("violations", "violations", "{}"))


def summed_rows(rows):
    """One row for each deployment, policy, fault and load, over the seeds."""
    groups = collections.defaultdict(list)
    for row in rows:
        key = (row["deployment"], row["fault"], row["load"], row["policy"])
        groups[key].append(row)
    summed = []
    for (deployment, fault, load, policy), members in groups.items():
        line = {"deployment": deployment, "fault": fault, "load": load,
                "policy": policy, "seeds": len(members),
                "share_low": min(row["share"] for row in members),
                "share_high": max(row["share"] for row in members),
                "violations": sum(row["violations"] for row in members)}
        for name in ("offered", "capacity", "goodput", "share",
                     "wasted_prefill_ratio", "ttft_p95_ms", "tpot_p95_ms",
                     "refused_not_run", "unknown"):
            line[name] = statistics.mean(row[name] for row in members)
        line["waste_low"] = min(row["wasted_prefill_ratio"] for row in members)
        line["waste_high"] = max(row["wasted_prefill_ratio"] for row in members)
        summed.append(line)
    summed.sort(key=lambda line: (line["deployment"], line["fault"] != "none",
                                  line["fault"], line["load"],
                                  line["policy"]))
    return summed


def table(summed):
    lines = ["| " + " | ".join(title for _, title, _ in COLUMNS) + " |",
             "|" + " --- |" * len(COLUMNS)]
    for line in summed:
        cells = (form.format(line[name]) for name, _, form in COLUMNS)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


class Panel:
    """One set of axes; `left` and `top` are its position in the drawing."""

    def __init__(self, left, top, title, loads, top_value):
        self.left, self.top, self.title = left, top, title
        self.low, self.high = min(loads) - 0.05, max(loads) + 0.05
        self.loads = loads
        self.top_value = top_value
        self.parts = []

    def x(self, load):
        return self.left + PANEL_WIDTH * (load - self.low) / (
            self.high - self.low)

    def y(self, value):
        return self.top + PANEL_HEIGHT * (1 - min(value / self.top_value, 1))

    def text(self, x, y, words, anchor="middle", size=11):
        self.parts.append(
            f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" '
            f'font-size="{size}">{html.escape(words)}</text>')

    def line(self, x1, y1, x2, y2, colour="#cccccc", width=1):
        self.parts.append(
            f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
            f'stroke="{colour}" stroke-width="{width}"/>')

    def axes(self):
        self.text(self.left + PANEL_WIDTH / 2, self.top - 12, self.title,
                  size=13)
        for step in range(6):
            value = self.top_value * step / 5
            self.line(self.left, self.y(value), self.left + PANEL_WIDTH,
                      self.y(value))
            self.text(self.left - 6, self.y(value) + 4, f"{value:.2f}", "end")
        for load in self.loads:
            self.text(self.x(load), self.top + PANEL_HEIGHT + 16, f"{load:g}")
        self.text(self.left + PANEL_WIDTH / 2, self.top + PANEL_HEIGHT + 34,
                  "offered load / capacity")

    def series(self, points, colour):
        """`points`: (load, mean, least, greatest)."""
        path = " ".join(f"{self.x(load):.1f},{self.y(mean):.1f}"
                        for load, mean, _, _ in points)
        self.parts.append(f'<polyline points="{path}" fill="none" '
                          f'stroke="{colour}" stroke-width="2"/>')
        for load, mean, least, greatest in points:
            self.line(self.x(load), self.y(least), self.x(load),
                      self.y(greatest), colour)
            self.parts.append(
                f'<circle cx="{self.x(load):.1f}" cy="{self.y(mean):.1f}" '
                f'r="3" fill="{colour}"/>')


MEASURES = (("goodput / min(offered, capacity)",
             ("share", "share_low", "share_high")),
            ("wasted prefill / prefill",
             ("wasted_prefill_ratio", "waste_low", "waste_high")))


def drawing(summed):
    plain = [line for line in summed if line["fault"] == "none"]
    deployments = sorted({line["deployment"] for line in plain})
    policies = sorted({line["policy"] for line in plain})
    colours = {policy: COLOURS[index % len(COLOURS)]
               for index, policy in enumerate(policies)}
    parts = []
    for column, deployment in enumerate(deployments):
        own = [line for line in plain if line["deployment"] == deployment]
        loads = sorted({line["load"] for line in own})
        for place, (title, names) in enumerate(MEASURES):
            greatest = max(line[names[2]] for line in own)
            panel = Panel(
                MARGIN_LEFT + column * (PANEL_WIDTH + GAP),
                MARGIN_TOP + place * (PANEL_HEIGHT + GAP),
                f"{deployment}: {title}", loads, max(1.05, greatest)
                if place == 0 else max(0.05, greatest))
            panel.axes()
            for policy in policies:
                points = [(line["load"],) + tuple(line[name] for name in names)
                          for line in own if line["policy"] == policy]
                panel.series(points, colours[policy])
            parts += panel.parts
    bottom = MARGIN_TOP + len(MEASURES) * (PANEL_HEIGHT + GAP)
    for index, policy in enumerate(policies):
        y = bottom + index * LEGEND_LINE
        parts.append(f'<rect x="{MARGIN_LEFT}" y="{y - 9}" width="18" '
                     f'height="4" fill="{colours[policy]}"/>')
        parts.append(f'<text x="{MARGIN_LEFT + 26}" y="{y - 3}" '
                     f'font-size="12">{html.escape(policy)}</text>')
    width = MARGIN_LEFT + len(deployments) * (PANEL_WIDTH + GAP)
    height = bottom + len(policies) * LEGEND_LINE + 10
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
            f'height="{height}" font-family="sans-serif">'
            f'<rect width="100%" height="100%" fill="white"/>'
            + "".join(parts) + "</svg>\n")


def write(decisions):
    path = pathlib.Path(decisions)
    rows = json.loads(path.read_text())["rows"]
    summed = summed_rows(rows)
    path.with_suffix(".md").write_text(table(summed))
    path.with_suffix(".svg").write_text(drawing(summed))


if __name__ == "__main__":
    write(sys.argv[1] if len(sys.argv) > 1 else
          pathlib.Path(__file__).resolve().parent.parent /
          "build/bench/decisions.json")
