"""Goodput and wasted prefill of the real binaries, by policy, load and fault.

Each cell starts a deployment of its own, loads it open-loop and stops it.
Cells of different policies stand next to each other in time (interleaved), so
that what the machine does meanwhile meets all of them alike.
"""

import concurrent.futures
import dataclasses
import json
import threading
import time

import capacity
import deployment
import deployment_shapes
import load_plan
import loopback
import machine
import plot

OUTPUT = loopback.BUILD / "bench/decisions.json"
SEEDS = (1, 2, 3)
LOADS = (0.5, 0.8, 0.95, 1.1, 1.3)
PEAK = 0.95
TRIES = 2
# Each shard decides and learns on its own; at a few requests a second more
# than one would learn its prediction margin too slowly (decisions/0005).
ENTRY_SHARDS = 1


@dataclasses.dataclass(frozen=True)
class Policy:
    reservation: str
    order: str
    agent_order: str = "arrival"
    placement: str = "predicted"
    counts_queue: bool = True


# The two baselines: no reservation with round robin, and reservation with
# deadline order under a test that forgets the work queued ahead.
POLICIES = {
    "hold/newest": Policy("hold", "newest"),
    "hold/arrival": Policy("hold", "arrival"),
    "promise/arrival": Policy("promise", "arrival"),
    "hold/deadline": Policy("hold", "deadline", "deadline",
                            counts_queue=False),
    "none/arrival/round_robin": Policy(
        "none", "arrival", placement="round_robin", counts_queue=False),
}
FAULT_POLICIES = ("hold/newest", "hold/arrival")


@dataclasses.dataclass(frozen=True)
class Bench:
    """The mix of one deployment, and the durations of a cell."""

    deployment: deployment_shapes.Deployment
    mix: load_plan.Mix
    warm_up: float
    duration: float
    tail: float


BENCHES = {
    # Short prompts with long answers.
    "agency": Bench(
        deployment_shapes.AGENCY,
        load_plan.Mix(prompt=load_plan.Length(1000, 0.35, 600, 2000),
                      output=load_plan.Length(150, 0.25, 60, 300),
                      shared_prefix_share=0.3, shared_prefixes=16,
                      shared_prefix_tokens=512),
        warm_up=8, duration=12, tail=3),
    # Long prompts with short answers.
    "bellerive": Bench(
        deployment_shapes.BELLERIVE,
        load_plan.Mix(prompt=load_plan.Length(13000, 0.35, 8000, 24000),
                      output=load_plan.Length(60, 0.25, 20, 120),
                      shared_prefix_share=0.3, shared_prefixes=6,
                      shared_prefix_tokens=4096),
        warm_up=12, duration=12, tail=3),
}


@dataclasses.dataclass(frozen=True)
class Cell:
    deployment: str
    load: float
    policy: str
    fault: str
    seed: int

    @property
    def name(self):
        return (f"{self.deployment}/{self.load}/{self.policy}/{self.fault}/"
                f"{self.seed}")


# ---- faults: each gets the cluster and runs at peak, in the measured time ----

FAULT_SECONDS = 3.0
FAULT_AFTER_SECONDS = 2.0  # into the measured time


def agent_killed(cluster):
    """A decode endpoint's agent dies; a new one starts in its place."""
    name = f"agent-{cluster.engines('decode')[0].id}"
    cluster.process(name).kill()
    time.sleep(FAULT_SECONDS)
    cluster.restart(name)


def entry_killed(cluster):
    """An entry dies; the balancer avoids it until its successor runs."""
    cluster.process("entry-2").kill()
    time.sleep(FAULT_SECONDS)
    cluster.restart("entry-2")


def engine_stalled(cluster):
    """A decode engine stalls: its connections stay open without data."""
    port = cluster.engines("decode")[0].engine_port
    loopback.post(port, "/control", {
        "stall": True, "stall_ms": int(FAULT_SECONDS * 1000)})


def log_out(cluster):
    """The platform's log refuses everything."""
    loopback.post(cluster.log_port, "/control", {"refuse": True})
    time.sleep(2 * FAULT_SECONDS)
    loopback.post(cluster.log_port, "/control", {"refuse": False})


FAULTS = {fault.__name__: fault for fault in (agent_killed, entry_killed,
                                              engine_stalled, log_out)}


def cells(quick):
    """All cells; cells that differ only in the policy are adjacent."""
    wanted = []
    seeds = SEEDS[:1] if quick else SEEDS
    loads = (0.8, 1.3) if quick else LOADS
    for seed in seeds:
        for load in loads:
            for name in BENCHES:
                wanted += [Cell(name, load, policy, "none", seed)
                           for policy in POLICIES]
        for fault in FAULTS:
            for name in BENCHES:
                wanted += [Cell(name, PEAK, policy, fault, seed)
                           for policy in (FAULT_POLICIES[:1] if quick
                                          else FAULT_POLICIES)]
    return wanted


def run_cell(cell):
    bench, policy = BENCHES[cell.deployment], POLICIES[cell.policy]
    expected = capacity.capacity(
        bench.deployment, capacity.means_of_mix(bench.mix))["whole"]
    folder = loopback.BUILD / "run/decisions" / cell.name
    with deployment.Cluster(
            bench.deployment, folder, reservation=policy.reservation,
            order=policy.order, agent_order=policy.agent_order,
            placement=policy.placement, counts_queue=policy.counts_queue,
            seed=cell.seed, entry_shards=ENTRY_SHARDS) as cluster:
        load = load_plan.Load(
            cluster, "load", mix=bench.mix, rate=cell.load * expected,
            seed=cell.seed, warm_up=f"{bench.warm_up}s",
            duration=f"{bench.duration}s", tail=f"{bench.tail}s",
            drain="30s")
        if cell.fault != "none":
            time.sleep(bench.warm_up + FAULT_AFTER_SECONDS)
            FAULTS[cell.fault](cluster)
        report = load.wait(bench.warm_up + bench.duration + bench.tail + 60)
    return row(cell, report)


def row(cell, report):
    bench = BENCHES[cell.deployment]
    if not report["stand_ins"]["known"]:
        raise RuntimeError("a stand-in did not tell its figures")
    if any(mix["rejected"] for mix in report["mixes"]):
        raise RuntimeError("an entry found a request wrong: " + str(
            [mix["codes"] for mix in report["mixes"]]))
    mix = next(mix for mix in report["mixes"] if mix["kind"] == "generation")
    calls = [mix for mix in report["mixes"] if mix["kind"] == "call"]
    offered = mix["offered_per_second"]
    # Of what was drawn: a dozen seconds' mean differs from the mix's by some
    # per cent.
    allowed = capacity.capacity(bench.deployment, capacity.means_of_report(
        mix, bench.mix))["whole"]
    seconds = report["measured_seconds"]
    return {
        "deployment": cell.deployment, "load": cell.load,
        "policy": cell.policy, "fault": cell.fault, "seed": cell.seed,
        "offered": offered, "capacity": allowed,
        "completed": mix["completed"] / seconds,
        "goodput": mix["goodput_per_second"],
        "share": mix["goodput_per_second"] / min(offered, allowed),
        "wasted_prefill_ratio": report["wasted_prefill_ratio"],
        # Counts of the whole run, which noise of the machine moves little.
        "arrived": report["arrived"],
        "completed_prefill_tokens": report["completed_prefill_tokens"],
        "stand_ins": report["stand_ins"],
        "ttft_p95_ms": mix["first_token"]["p95_ms"],
        "tpot_p95_ms": mix["token_interval"]["p95_ms"],
        "refused_not_run": mix["refused_not_run"],
        "unknown": mix["unknown"], "rejected": mix["rejected"],
        "violations": report["violations"],
        "violation_list": report["violation_list"][:10],
        "codes": mix["codes"],
        "calls_offered": sum(call["offered"] for call in calls),
        "calls_on_time": sum(call["on_time"] for call in calls),
        "calls_refused_not_run": sum(call["refused_not_run"]
                                     for call in calls),
        "calls_unknown": sum(call["unknown"] for call in calls),
        "calls_rejected": sum(call["rejected"] for call in calls),
        "held_after": report["stand_ins"]["held_after"],
        "latest_send_ms": report["latest_send_ms"]}


def waste_floors(bench):
    means = capacity.means_of_mix(bench.mix)
    rate = PEAK * capacity.capacity(bench.deployment, means)["whole"]
    return capacity.waste_floors(
        bench.deployment, means, rate,
        bench.warm_up + bench.duration + bench.tail)


class Runner:
    """Runs cells, several deployments at once, and keeps their rows."""

    def __init__(self, parallel):
        self.parallel = parallel
        self.rows, self.failed = [], []
        self.lock = threading.Lock()
        self.done = 0

    def run(self, wanted):
        with concurrent.futures.ThreadPoolExecutor(self.parallel) as pool:
            list(pool.map(lambda cell: self._run(cell, len(wanted)), wanted))

    def _run(self, cell, whole):
        problem = None
        for _ in range(TRIES):
            try:
                result = run_cell(cell)
                break
            except (RuntimeError, OSError, ValueError) as error:
                problem = f"{type(error).__name__}: {error}"
        else:
            result = None
        with self.lock:
            self.done += 1
            if result is None:
                self.failed.append({"cell": cell.name, "problem": problem})
                words = f"failed: {problem}"
            else:
                self.rows.append(result)
                words = (f"share {result['share']:.3f} wasted "
                         f"{result['wasted_prefill_ratio']:.4f} violations "
                         f"{result['violations']}")
            print(f"[{self.done}/{whole}] {cell.name}: {words}", flush=True)


def run(quick, parallel, only):
    wanted = [cell for cell in cells(quick)
              if not only or any(word in cell.name for word in only)]
    runner = Runner(parallel)
    with machine.ProcessorWatch() as watch:
        runner.run(wanted)
    result = {
        "quick": quick, "parallel": parallel, "entry_shards": ENTRY_SHARDS,
        "capacity_formula": {
            name: capacity.capacity(bench.deployment,
                                    capacity.means_of_mix(bench.mix))
            for name, bench in BENCHES.items()},
        "waste_floors": {name: waste_floors(bench)
                         for name, bench in BENCHES.items()},
        "settings": {name: dataclasses.asdict(bench)
                     for name, bench in BENCHES.items()},
        "machine": watch.figures(), "failed_cells": runner.failed,
        "rows": runner.rows}
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=1) + "\n")
    if runner.rows:
        plot.write(OUTPUT)
        print(OUTPUT.with_suffix(".md").read_text())
    print(json.dumps({"machine": result["machine"],
                      "failed_cells": runner.failed}, indent=1))
    return 1 if runner.failed else 0


