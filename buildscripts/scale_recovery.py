"""The effects on callers when many agents die at once, and their duration.

A light open-loop load runs; some agents, or a whole failure domain with its
entry, die by SIGKILL; nothing comes back. A killed process's connections end
at once, those of a host that lost its power do not: in the silent case the
domain's agents are stopped (SIGSTOP) in place of killed. Times run from the
kill, on the host's monotonic clock, which the load's report uses too.
"""

import json
import random
import signal
import statistics
import time

import bench_path
import deployment
import load_plan
import scale_spread

AGENTS, QUICK_AGENTS = 120, 24
ENTRIES = 4
RATE = 60.0
WARM_UP_SECONDS, LOAD_SECONDS = 3, 13
KILL_AFTER_SECONDS = 4.0
ROUNDS, QUICK_ROUNDS = 3, 1
SHARES = (0.01, 0.05, 0.25)
DOMAIN = "failure domain"
SILENT_DOMAIN = "failure domain, silent"
# Requests are attributed to the kill if they take this many times as long as the
# slowest one before it.
SLOW_FACTOR = 2.0
LEAST_SLOW_MS = 100.0
MIX = load_plan.Mix(
    prompt=load_plan.Length(300, 0, 1, 4000),
    output=load_plan.Length(250, 0, 1, 1000), max_tokens_factor=1.0,
    calls_for_each_generation=0.5)


def victims(cluster, what, seed):
    """The agents to kill: drawn by `seed`, or all of a failure domain."""
    if what in (DOMAIN, SILENT_DOMAIN):
        lost = cluster.entry_domains[0]
        entries = [f"entry-{index + 1}" for index, domain
                   in enumerate(cluster.entry_domains) if domain == lost]
        return entries + [f"agent-{endpoint.id}"
                          for endpoint in cluster.endpoints
                          if endpoint.domain == lost]
    # Plain endpoints are spared: the outcome of a keyed call to a dead endpoint
    # stays unknown.
    names = [f"agent-{endpoint.id}" for endpoint in cluster.endpoints
             if endpoint.role != "plain"]
    count = max(1, round(what * len(cluster.endpoints)))
    return random.Random(seed).sample(names, count)


def kill(cluster, names, silent):
    """Kills all at once; returns the time after the last signal."""
    dying = [cluster.process(name) for name in names]
    for process in dying:
        stops = silent and process.program == "agent"
        process.popen.send_signal(signal.SIGSTOP if stops else signal.SIGKILL)
    return time.monotonic()


def bury(cluster, names):
    """Kills the stopped processes, which could not end in order."""
    for name in names:
        cluster.process(name).kill()


def last_span(timeline, killed, spoiled):
    """Seconds from the kill to the end of the last arrivals' span of which
    `spoiled(index)` holds; 0 without any."""
    step, begun = timeline["step_seconds"], timeline["begun_monotonic_seconds"]
    ends = [begun + (index + 1) * step - killed
            for index in range(len(timeline["offered"])) if spoiled(index)]
    return round(max([0.0] + [end for end in ends if end > 0]), 2)


def figures(report, killed):
    timeline = report["timeline"]
    step, begun = timeline["step_seconds"], timeline["begun_monotonic_seconds"]
    offered, slowest = timeline["offered"], timeline["slowest_ms"]
    on_time, failed = timeline["on_time"], timeline["failed"]
    at_kill = int((killed - begun) / step)
    # In the first seconds connections are opened.
    warm = int(WARM_UP_SECONDS / step)
    slow = max(LEAST_SLOW_MS,
               SLOW_FACTOR * max(slowest[warm:at_kill], default=0))
    return {
        "failed_before_kill": sum(failed[warm:at_kill - 20]),
        "failed_after_kill": sum(failed) - sum(failed[:at_kill - 20]),
        "goodput_back_s": last_span(
            timeline, killed, lambda index: on_time[index] < offered[index]),
        "last_failure_s": last_span(timeline, killed,
                                    lambda index: failed[index] > 0),
        "last_slowed_s": last_span(timeline, killed,
                                   lambda index: slowest[index] > slow),
        "slow_is_over_ms": round(slow), "slowest_ms": round(max(slowest)),
        "codes": merged_codes(report),
        "wasted_prefill_ratio": round(report["wasted_prefill_ratio"], 4),
        "violations": report["violations"],
        "violation_kinds": sorted({item["kind"] for item
                                   in report["violation_list"]})}


def merged_codes(report):
    codes = {}
    for mix in report["mixes"]:
        for code, count in mix["codes"].items():
            codes[code] = codes.get(code, 0) + count
    return codes


def one(what, agents, seed):
    with scale_spread.started(lambda: deployment.Cluster(
            scale_spread.shape(agents, ENTRIES),
            bench_path.folder("recovery"), engines_a_process=10,
            ready_seconds=scale_spread.READY_SECONDS, seed=seed)) as cluster:
        time.sleep(2)
        load = load_plan.Load(
            cluster, f"load-{seed}", mix=MIX, rate=RATE, seed=seed,
            warm_up=f"{WARM_UP_SECONDS}s", duration=f"{LOAD_SECONDS}s",
            tail="0s")
        time.sleep(WARM_UP_SECONDS + KILL_AFTER_SECONDS)
        names = victims(cluster, what, seed)
        killed = kill(cluster, names, what == SILENT_DOMAIN)
        report = load.wait(LOAD_SECONDS + 90)
        bury(cluster, names)
    return {"killed": len(names)} | figures(report, killed)


def row(what, agents, rounds):
    runs = [one(what, agents, seed + 1) for seed in range(rounds)]
    spread = {name: {"least": min(values), "greatest": max(values),
                     "median": statistics.median(values)}
              for name in ("goodput_back_s", "last_failure_s",
                           "last_slowed_s", "failed_after_kill",
                           "wasted_prefill_ratio")
              if (values := [run[name] for run in runs])}
    return {"what": what if isinstance(what, str)
            else f"{what:.0%} of the agents",
            "agents": agents, "entries": ENTRIES, "runs": runs,
            "violations": sum(run["violations"] for run in runs)} | spread


def run(quick=False):
    agents = QUICK_AGENTS if quick else AGENTS
    rows = []
    for what in SHARES + (DOMAIN, SILENT_DOMAIN):
        rows.append(row(what, agents, QUICK_ROUNDS if quick else ROUNDS))
        print(json.dumps(rows[-1]), flush=True)
    return {"command": "buildscripts/bench.sh scale",
            "generations_per_second": RATE, "rows": rows,
            "violations": sum(one["violations"] for one in rows)}
