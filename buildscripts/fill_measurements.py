#!/usr/bin/env python3
"""Puts the bench's tables between the markers of docs/MEASUREMENTS.md.

    fill_measurements.py [path] [decisions]

Reads build/bench/path.json and decisions.json; without names, whichever is
there. A quick run's figures are trials and are refused.
"""

import json
import sys

import loopback
import plot

PAGE = loopback.ROOT / "docs/MEASUREMENTS.md"
DRAWING = loopback.ROOT / "docs/decisions.svg"
FOLDER = loopback.BUILD / "bench"


def read(name):
    figures = json.loads((FOLDER / f"{name}.json").read_text())
    if figures["quick"]:
        raise ValueError(f"{name}.json is of a quick run")
    return figures


def machine_line(machine):
    return (f"{machine['cores']} cores, {machine['mean_busy']:.0%} busy on the "
            f"mean and {machine['most_busy']:.0%} at most meanwhile (this "
            "bench and whatever else ran).")


def added_rows(added, remark):
    rows = []
    for kind, summary in added["summary"].items():
        cells = [f"{quantile['median_of_rounds']:.2f} "
                 f"({quantile['least']:.2f}, {quantile['greatest']:.2f})"
                 for quantile in (summary["added_p50_ms"],
                                  summary["added_p99_ms"])]
        rows.append(f"| {kind}{remark} | {cells[0]} | {cells[1]} |")
    return rows


def path_text(figures):
    lines = ["| added by entry and agent, ms | p50 (least, greatest round) | "
             "p99 (least, greatest round) |", "| --- | --- | --- |"]
    no_transfer = figures["added_latency_no_transfer"]
    lines += added_rows(figures["added_latency"], "")
    lines += added_rows(no_transfer, ", transfers of no length")
    memory, tokens = figures["memory"], figures["token_rate"]
    streams = figures["open_streams"]
    lines += [
        "", "| what | measured | target |", "| --- | --- | --- |",
        f"| idle entry, MB resident | {memory['entry_resident_mb']} | 32 |",
        f"| idle agent, MB resident | {memory['agent_resident_mb']} | 32 |",
        f"| tokens a second through one entry | "
        f"{tokens['tokens_per_second']:.0f}, {tokens['incomplete']} "
        f"incomplete, {tokens['entry_cores_used_mean']:.2f} cores | "
        f"{tokens['target']} |",
        f"| streams open at once | {streams['most_open']}, "
        f"{streams['incomplete']} incomplete | {streams['target']} |",
        f"| violations | {figures['added_latency']['violations']} + "
        f"{no_transfer['violations']} + {tokens['violations']} + "
        f"{streams['violations']} | 0 |",
        "", machine_line(figures["machine"])]
    return "\n".join(lines) + "\n"


def decisions_text(figures):
    bounds = [f"{name}: {limit['whole']:.1f} (prefill {limit['prefill']:.1f}, "
              f"decode {limit['decode']:.1f}, links {limit['links']:.1f})"
              for name, limit in figures["capacity_formula"].items()]
    failed = [cell["cell"] for cell in figures["failed_cells"]]
    return "\n".join([
        "Capacity of the mix's own means, requests a second: " +
        "; ".join(bounds) + ".",
        f"{figures['entry_shards']} shards an entry; "
        f"{figures['parallel']} deployments at once; " +
        machine_line(figures["machine"]),
        "Cells that could not be run: " +
        (", ".join(failed) if failed else "none") + ".", "",
        plot.table(plot.summed_rows(figures["rows"])),
        "![goodput and wasted prefill](decisions.svg)", ""])


def put(page, marker, text):
    begin, end = f"<!-- {marker}: begin -->\n", f"<!-- {marker}: end -->"
    head, rest = page.split(begin, 1)
    return head + begin + text + end + rest.split(end, 1)[1]


def main(names):
    wanted = names or [name for name in ("path", "decisions")
                       if (FOLDER / f"{name}.json").exists()]
    page = PAGE.read_text()
    for name in wanted:
        figures = read(name)
        if name == "path":
            page = put(page, "path.json", path_text(figures))
        else:
            page = put(page, "decisions.md", decisions_text(figures))
            DRAWING.write_text(plot.drawing(plot.summed_rows(
                figures["rows"])))
    PAGE.write_text(page)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
