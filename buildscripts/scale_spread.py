"""Time until a published manifest is active in every process.

From the append's acknowledgement to the line that each process logs when it
puts that offset in force; all clocks are this host's wall clock, and nothing
is asked of the processes meanwhile.
"""

import contextlib
import dataclasses
import datetime
import json
import random
import statistics
import sys
import threading
import time

import bench_path
import deployment
import loopback
import publication

AGENTS, QUICK_AGENTS = (20, 60, 120, 240), (20,)
ENTRIES, QUICK_ENTRIES = (1, 2, 4), (2,)
CHANGES, QUICK_CHANGES = 6, 2
PATIENCE_SECONDS = 20.0
READ_INTERVAL_SECONDS = 0.2
READY_SECONDS = 90
STARTS = 4
OUTAGE_SECONDS = 3.0
LOSS = 0.1
DOMAINS = ("hall-a", "hall-b", "lozenets", "mladost")
# The log event of an active manifest, by program.
EVENTS = {"entry": "manifest_taken", "agent": "manifest_in_force"}


def shape(agents, entries):
    """A deployment with `agents` agents, a quarter of them for prefills."""
    prefill = agents // 4
    return dataclasses.replace(
        bench_path.PATH, name="spread", domains=DOMAINS, entries=entries,
        model=dataclasses.replace(bench_path.PATH.model, prefill=prefill,
                                  decode=agents - prefill - 4),
        plain=dataclasses.replace(bench_path.PATH.plain, count=4))


class InForce:
    """Reads from the logs of processes when each activated which manifest."""

    def __init__(self, cluster):
        self.watched = [process for process in cluster.processes
                        if process.program in EVENTS]
        self.read_to = {process.name: 0 for process in self.watched}
        self.taken = {process.name: [] for process in self.watched}

    def read(self):
        for process in self.watched:
            with open(process.log, "rb") as log:
                log.seek(self.read_to[process.name])
                text = log.read()
            whole = text[:text.rfind(b"\n") + 1]
            self.read_to[process.name] += len(whole)
            self.taken[process.name] += [
                (line["offset"], at(line["ts"]))
                for line in map(json.loads, whole.splitlines())
                if line.get("event") == EVENTS[process.program]]

    def reached(self, name, offset):
        """The time at which `name` had `offset` or a newer one, or None."""
        return next((when for found, when in self.taken[name]
                     if found >= offset), None)

    def wait(self, offset):
        """Seconds since the epoch by process; None if it timed out."""
        ends = time.time() + PATIENCE_SECONDS
        while True:
            self.read()
            times = {name: self.reached(name, offset) for name in self.taken}
            if None not in times.values() or time.time() > ends:
                return times
            time.sleep(READ_INTERVAL_SECONDS)

    def reversions(self):
        return sum(later[0] <= earlier[0] for taken in self.taken.values()
                   for earlier, later in zip(taken, taken[1:]))


def at(text):
    """Seconds since the epoch of a log line's `ts`."""
    return datetime.datetime.fromisoformat(
        text.replace("Z", "+00:00")).timestamp()


def healthy(cluster, publish):
    return publish()


def messages_lost(cluster, publish):
    control(cluster, {"lose_requests": LOSS, "lose_answers": LOSS})
    return publish()


@contextlib.contextmanager
def outage(cluster):
    control(cluster, {"refuse": True})
    end = threading.Timer(OUTAGE_SECONDS, control,
                          (cluster, {"refuse": False}))
    end.start()
    yield
    end.join()


def log_out_before(cluster, publish):
    """An outage of some seconds, followed at once by the publication."""
    with outage(cluster):
        return publish()


def log_out_after(cluster, publish):
    """An outage from the acknowledgement on: later reads fail."""
    known = publish()
    with outage(cluster):
        return known


FAULTS = (healthy, messages_lost, log_out_before, log_out_after)


def control(cluster, keys):
    status, _ = loopback.post(cluster.log_port, "/control", keys)
    if status != 200:
        raise RuntimeError(f"the log took no control: {status}")


def mend(cluster):
    control(cluster, {"refuse": False, "lose_requests": 0, "lose_answers": 0})


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def change(cluster, in_force, fault, newest, number):
    """One change: (its offset, seconds by program, processes too late)."""
    # Renewals have a phase of their own: a change must not meet the same one.
    time.sleep(random.uniform(0.5, 1.5))
    text = cluster.manifest_text(number=number, replaces=newest)
    offset, known = fault(cluster, lambda: publication.publish(
        cluster.log_port, text, newest, PATIENCE_SECONDS))
    times = in_force.wait(offset)
    mend(cluster)
    seconds = {program: [when - known for name, when in times.items()
                         if when and name.startswith(program)]
               for program in EVENTS}
    late = sorted(name for name, when in times.items() if when is None)
    return offset, seconds, late


def summary(rounds):
    """Quantiles over all processes and changes, and the spread of changes."""
    merged = [value for seconds, _ in rounds for values in seconds.values()
              for value in values]
    p99s = [quantile(sum(seconds.values(), []), 0.99) for seconds, _ in rounds]
    by_program = {
        program: {"p50_ms": round(1e3 * quantile(values, 0.5)),
                  "p99_ms": round(1e3 * quantile(values, 0.99))}
        for program in EVENTS
        if (values := [value for seconds, _ in rounds
                       for value in seconds[program]])}
    return {"changes": len(rounds), "samples": len(merged),
            "p50_ms": round(1e3 * quantile(merged, 0.5)),
            "p99_ms": round(1e3 * quantile(merged, 0.99)),
            "longest_ms": round(1e3 * max(merged)),
            "p99_of_a_change_ms": {
                "least": round(1e3 * min(p99s)),
                "median": round(1e3 * statistics.median(p99s)),
                "greatest": round(1e3 * max(p99s))},
            "by_program": by_program,
            "never_within_patience": sorted(
                {name for _, late in rounds for name in late})}


@contextlib.contextmanager
def started(make):
    """A cluster that has started; another one if its ports were taken in the
    meantime, which is likely with hundreds of them on a shared machine."""
    for left in reversed(range(STARTS)):
        cluster = make()
        try:
            cluster.start()
            break
        except RuntimeError as error:
            cluster.stop()
            if left == 0:
                raise
            print(f"scale: starting again: {error}", file=sys.stderr)
    try:
        yield cluster
    finally:
        cluster.stop()


def cell(agents, entries, faults, changes):
    with started(lambda: deployment.Cluster(
            shape(agents, entries), bench_path.folder("spread"),
            engines_a_process=40, log_level="info", from_log=True,
            ready_seconds=READY_SECONDS)) as cluster:
        in_force = InForce(cluster)
        newest, number = 1, 1
        in_force.wait(newest)
        time.sleep(2)
        rows = []
        for fault in faults:
            rounds = []
            for _ in range(changes):
                number += 1
                newest, seconds, late = change(cluster, in_force, fault,
                                               newest, number)
                rounds.append((seconds, late))
            rows.append({"agents": agents, "entries": entries,
                         "fault": fault.__name__} | summary(rounds))
        resident = [process.resident_kilobytes()
                    for process in in_force.watched]
    return rows, {"agents": agents, "entries": entries,
                  "processes": len(cluster.endpoints) + entries,
                  "resident_mb": round(sum(resident) / 1024),
                  "reversions": in_force.reversions()}


def run(quick=False):
    rows, clusters = [], []
    for agents in QUICK_AGENTS if quick else AGENTS:
        for entries in QUICK_ENTRIES if quick else ENTRIES:
            # The faults at one number of entries: each change then takes
            # seconds.
            faults = FAULTS if entries == 2 else FAULTS[:1]
            cell_rows, cell_figures = cell(
                agents, entries, faults, QUICK_CHANGES if quick else CHANGES)
            rows += cell_rows
            clusters.append(cell_figures)
            for row in cell_rows:
                print(json.dumps(row), flush=True)
            print(json.dumps(cell_figures), flush=True)
    return {"command": "buildscripts/bench.sh scale",
            "from": "the append acknowledged", "to": "in force, by log line",
            "loss": LOSS, "outage_seconds": OUTAGE_SECONDS,
            "rows": rows, "clusters": clusters,
            "reversions": sum(one["reversions"] for one in clusters)}
