"""Slopes for docs/CAPACITY.md: of the aggregates in one process, and of a few
real processes on loopback, idle and under light load."""

import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time

import bench_path
import deployment
import load_plan
import loopback
import machine
import scale_recovery
import scale_spread

OUTPUT = loopback.BUILD / "bench/scale.json"
BENCH = loopback.BUILD / "src/scale/scale_bench"
PROGRAMS = ("entry", "agent", "standin", "load")
IDLE_SECONDS = 10
# Each shard of an entry has sessions of its own with every agent.
SHARDS = (2, 16)
# Interval of heartbeats; the lease of a cluster is three intervals.
INTERVALS_MS = (1000, 250)
# More agents, so that an entry sends more heartbeats.
WIDE = dataclasses.replace(
    bench_path.PATH, model=dataclasses.replace(bench_path.PATH.model,
                                               prefill=18, decode=16))
# Answers of two lengths, at the same rate: the line through both gives the
# cost of a request and that of a token.
OUTPUT_TOKENS = (16, 272)
RATE = 40.0
LOAD_SECONDS = 8


def run_seconds(process):
    """Processor time of all threads, from the scheduler's nanoseconds: the
    ticks of /proc/PID/stat are too coarse for an idle process."""
    tasks = pathlib.Path(f"/proc/{process.pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0])
               for task in tasks) / 1e9


def of_kind(cluster, program):
    return [process for process in cluster.processes
            if process.program == program]


def idle(cluster):
    time.sleep(3)
    watched = {program: of_kind(cluster, program)
               for program in ("entry", "agent")}
    before = {program: [run_seconds(process) for process in processes]
              for program, processes in watched.items()}
    time.sleep(IDLE_SECONDS)
    figures = {}
    for program, processes in watched.items():
        used = [run_seconds(process) - start for process, start
                in zip(processes, before[program])]
        figures[program] = {
            "processes": len(processes),
            "most_resident_mb": round(max(
                process.resident_kilobytes() for process in processes) / 1024,
                1),
            "mean_core_percent": round(
                100 * sum(used) / len(used) / IDLE_SECONDS, 3),
            "most_core_percent": round(100 * max(used) / IDLE_SECONDS, 3)}
    return figures


def loaded(cluster, output_tokens):
    """Processor time by program over a run, and its work."""
    before = {program: sum(map(run_seconds, of_kind(cluster, program)))
              for program in ("entry", "agent")}
    mix = dataclasses.replace(
        bench_path.SHORT, output=load_plan.Length(output_tokens, 0, 1, 1000))
    report = load_plan.Load(
        cluster, f"load-{output_tokens}", mix=mix, rate=RATE, seed=1,
        warm_up="0s", duration=f"{LOAD_SECONDS}s", tail="0s",
        calls=False).wait(LOAD_SECONDS + 60)
    return {"output_tokens": output_tokens, "arrived": report["arrived"],
            "completed": report["completed"],
            "violations": report["violations"],
            "cpu_seconds": {
                program: sum(map(run_seconds, of_kind(cluster, program))) -
                start for program, start in before.items()}}


def line(runs, program):
    """Microseconds of a request without tokens, and of a token."""
    cost = [1e6 * run["cpu_seconds"][program] / run["completed"]
            for run in runs]
    token = (cost[1] - cost[0]) / (OUTPUT_TOKENS[1] - OUTPUT_TOKENS[0])
    return {"us_a_token": round(token, 2),
            "us_a_request": round(cost[0] - token * OUTPUT_TOKENS[0], 1)}


def session_line(few, many, program, few_sessions, many_sessions):
    """The cost of one more idle session, in time per second and memory."""
    sessions = many_sessions - few_sessions
    percent = many[program]["mean_core_percent"] - \
        few[program]["mean_core_percent"]
    resident = many[program]["most_resident_mb"] - \
        few[program]["most_resident_mb"]
    return {"sessions": [few_sessions, many_sessions],
            "us_a_session_and_second": round(percent * 1e4 / sessions, 1),
            "kb_a_session": round(resident * 1024 / sessions, 1)}


def heartbeat_line(few, many, program, more_a_second):
    """The cost of one heartbeat of two sessions, including its answer: the
    two clusters differ only in their number of heartbeats."""
    percent = many[program]["mean_core_percent"] - \
        few[program]["mean_core_percent"]
    return {"more_a_second": more_a_second,
            "us_a_heartbeat": round(percent * 1e4 / more_a_second, 1)}


def cluster(shards, interval_ms=INTERVALS_MS[0], shape=bench_path.PATH):
    return deployment.Cluster(shape, bench_path.folder("scale"),
                              engines_a_process=2, entry_shards=shards,
                              renew_interval_ms=interval_ms)


def processes():
    if not all(loopback.binary(program).exists() for program in PROGRAMS):
        return {"not_run": "the programs are not built"}
    with cluster(SHARDS[1]) as running:
        many = idle(running)
    with cluster(SHARDS[0], INTERVALS_MS[1]) as running:
        fast = idle(running)
    with cluster(SHARDS[0], shape=WIDE) as running:
        wide = idle(running)
    with cluster(SHARDS[0]) as running:
        few = idle(running)
        runs = [loaded(running, tokens) for tokens in OUTPUT_TOKENS]
    agents = few["agent"]["processes"]
    return {"measured": f"processes on loopback: 1 entry, {agents} agents",
            "command": "buildscripts/bench.sh scale",
            "idle_seconds": IDLE_SECONDS,
            "idle": {f"{SHARDS[0]} shards": few, f"{SHARDS[1]} shards": many,
                     f"{SHARDS[0]} shards, a heartbeat in "
                     f"{INTERVALS_MS[1]} ms": fast,
                     f"{SHARDS[0]} shards, more agents": wide},
            "heartbeat_lines": {
                "agent": heartbeat_line(
                    few, fast, "agent",
                    1000 / INTERVALS_MS[1] - 1000 / INTERVALS_MS[0]),
                "entry": heartbeat_line(
                    few, wide, "entry",
                    wide["agent"]["processes"] - agents)},
            "idle_lines": {
                "agent": session_line(few, many, "agent", *SHARDS),
                "entry": session_line(few, many, "entry",
                                      *(agents * count for count in SHARDS))},
            "loaded": runs,
            "lines": {program: line(runs, program)
                      for program in ("entry", "agent")}}


def aggregates():
    subprocess.run([str(BENCH), str(OUTPUT) + ".rows"], check=True,
                   timeout=600)
    return json.loads(pathlib.Path(str(OUTPUT) + ".rows").read_text())


# The parts of the report. Parts that are not measured keep their earlier values.
PARTS = {
    "aggregates": lambda quick: aggregates(),
    "processes": lambda quick: {"processes": processes()},
    "in_force": lambda quick: {"in_force": scale_spread.run(quick)},
    "recovery": lambda quick: {"recovery": scale_recovery.run(quick)},
}


def run(quick=False, only=()):
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    report = json.loads(OUTPUT.read_text()) if only and OUTPUT.exists() else {}
    memory = round(os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") /
                   1e9)
    for name, measure in PARTS.items():
        if only and name not in only:
            continue
        with machine.ProcessorWatch() as watch:
            report |= measure(quick)
        report["machine"] = report.get("machine", {}) | {
            name: watch.figures() | {"memory_gb": memory}}
        OUTPUT.write_text(json.dumps(report, indent=1) + "\n")
    print(json.dumps({key: report[key] for key in ("processes", "machine")
                      if key in report}, indent=1))
    print(f"scale: {OUTPUT}", file=sys.stderr)
    return 0
