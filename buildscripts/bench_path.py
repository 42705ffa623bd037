"""The latency that the router adds, and the throughput of one entry."""

import concurrent.futures
import dataclasses
import json
import statistics
import time

import deployment
import deployment_shapes
import load_plan
import loopback
import machine

OUTPUT = loopback.BUILD / "bench/path.json"
RATE = 200.0
ROUNDS, QUICK_ROUNDS = 5, 2
ROUND_SECONDS, QUICK_ROUND_SECONDS = 8, 4
TOKENS_TARGET = 50_000
STREAMS_TARGET = 1000

# Fast engines in one failure domain, so that the latency of the router is large
# compared to that of the engines.
PATH = deployment_shapes.Deployment(
    name="path", domains=("hall-a",), one_way_us=0, entries=1,
    client_one_way="0s",
    model=deployment_shapes.ModelService(
        name="lm-review", model="review-1", prefill=6, decode=4,
        engine=deployment_shapes.EngineShape(
            prefill_tokens_per_second=2_000_000, prefill_fixed_ms=2,
            base_iteration_us=2000, stream_iteration_us=1, slots=400,
            kv_tokens=4_000_000),
        latency_class="review", first_token="2s", token_interval="100ms"),
    plain=deployment_shapes.PlainService(
        name="registry-app", count=2, service_ms=2, slots=64,
        latency_class="lookup", answer_in="500ms", times="fixed"))
# The same with very short transfers. A transfer of PATH takes 5 ms of a link that
# an engine's transfers share, where requests wait for each other with and without
# the router. This separates that wait from the latency of the router.
NO_TRANSFER = dataclasses.replace(
    PATH, name="path-no-transfer", model=dataclasses.replace(
        PATH.model, engine=dataclasses.replace(
            PATH.model.engine, transfer_setup_ms=0,
            link_bytes_per_second=1_250_000_000_000)))
SHORT = load_plan.Mix(
    prompt=load_plan.Length(300, 0, 1, 4000),
    output=load_plan.Length(16, 0, 1, 100), max_tokens_factor=1.0,
    calls_for_each_generation=1.0)

# Many engines with a token every 10 ms: the token throughput of one entry.
WIDE = dataclasses.replace(
    PATH, name="wide", model=dataclasses.replace(
        PATH.model, prefill=2, decode=6, engine=dataclasses.replace(
            PATH.model.engine, base_iteration_us=10_000)))
LONG = load_plan.Mix(
    prompt=load_plan.Length(300, 0, 1, 4000),
    output=load_plan.Length(400, 0, 1, 1000), max_tokens_factor=1.0,
    calls_for_each_generation=0.0)

# Streams of 30 s, all open at the same time.
STEADY = dataclasses.replace(
    PATH, name="steady", model=dataclasses.replace(
        PATH.model, decode=6, engine=dataclasses.replace(
            PATH.model.engine, base_iteration_us=50_000)))


def folder(name):
    return loopback.BUILD / "run" / f"bench-{name}"


def round_figures(report):
    """Added milliseconds by kind and quantile, of one interleaved run."""
    figures = {}
    for through in report["mixes"]:
        if through["direct"]:
            continue
        direct = next(mix for mix in report["mixes"] if mix["direct"] and
                      mix["name"] == through["name"])
        kind = ("first_token" if through["kind"] == "generation"
                else "call_" + through["name"])
        figures[kind] = {
            "through": through["first_token"],
            "direct": direct["first_token"],
            "added_p50_ms": through["first_token"]["p50_ms"] -
            direct["first_token"]["p50_ms"],
            "added_p99_ms": through["first_token"]["p99_ms"] -
            direct["first_token"]["p99_ms"]}
        incomplete = sum(mix["offered"] - mix["completed"]
                         for mix in (through, direct))
        figures[kind]["incomplete"] = incomplete
    return figures


def added_latency(quick):
    """The figures of PATH, of NO_TRANSFER (rounds in turn), and the memory."""
    rounds, seconds = ((QUICK_ROUNDS, QUICK_ROUND_SECONDS) if quick
                       else (ROUNDS, ROUND_SECONDS))
    with (deployment.Cluster(PATH, folder("path"),
                             engines_a_process=2) as path,
          deployment.Cluster(NO_TRANSFER, folder("path-no-transfer"),
                             engines_a_process=2) as no_transfer):
        memory = idle_memory(path)
        reports = {"path": [], "no_transfer": []}
        for number in range(rounds):
            reports["path"].append(one_round(path, number, seconds))
            reports["no_transfer"].append(
                one_round(no_transfer, number, seconds))
        memory |= {"after_load_" + name: value
                   for name, value in idle_memory(path).items()}
    return (added_summary(reports["path"]),
            added_summary(reports["no_transfer"]), memory)


def one_round(cluster, number, seconds):
    # `rate` is of generations; there is a call for each, and half of both goes
    # past the router, so the router gets RATE in all.
    return load_plan.Load(
        cluster, f"load-{number}", mix=SHORT, rate=RATE, seed=number + 1,
        warm_up="2s", duration=f"{seconds}s", tail="0s",
        direct=True).wait(seconds + 60)


def added_summary(reports):
    rounds = [round_figures(report) for report in reports]
    summary = {}
    for kind in rounds[0]:
        summary[kind] = {
            quantile: {
                "median_of_rounds": statistics.median(
                    figures[kind][quantile] for figures in rounds),
                "least": min(figures[kind][quantile] for figures in rounds),
                "greatest": max(figures[kind][quantile]
                                for figures in rounds)}
            for quantile in ("added_p50_ms", "added_p99_ms")}
    return {"requests_per_second": RATE, "rounds": rounds, "summary": summary,
            "violations": sum(report["violations"] for report in reports)}


def idle_memory(cluster):
    time.sleep(2)
    kilobytes = {"entry": 0, "agent": 0}
    for process in cluster.processes:
        if process.program in kilobytes:
            kilobytes[process.program] = max(kilobytes[process.program],
                                             process.resident_kilobytes())
    return {f"{name}_resident_mb": round(value / 1024, 1)
            for name, value in kilobytes.items()}


def run_together(cluster, count, wait_seconds, **plan):
    """`count` concurrent load processes that share the rate."""
    rate = plan.pop("rate") / count
    loads = [load_plan.Load(cluster, f"load-{index}", rate=rate,
                            seed=100 + index, **plan)
             for index in range(count)]
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return list(pool.map(lambda load: load.wait(wait_seconds), loads))


def token_rate(quick):
    seconds = 4 if quick else 8
    output_tokens = LONG.output.median
    with deployment.Cluster(WIDE, folder("wide"), engines_a_process=1,
                            entry_shards=4) as cluster:
        entry = cluster.process("entry-1")
        before = entry.processor_seconds(), time.monotonic()
        reports = run_together(
            cluster, 3, seconds + 60, mix=LONG,
            rate=1.1 * TOKENS_TARGET / output_tokens, warm_up="6s",
            duration=f"{seconds}s", tail="0s", calls=False)
        used = entry.processor_seconds() - before[0]
        lasted = time.monotonic() - before[1]
        memory = entry.resident_kilobytes() / 1024
    return {"target": TOKENS_TARGET,
            "tokens_per_second": sum(report["tokens_per_second"]
                                     for report in reports),
            "entry_shards": 4, "entry_cores_used_mean": used / lasted,
            "entry_resident_mb": round(memory, 1),
            "incomplete": incomplete(reports),
            "token_interval_p99_ms": max(
                mix["token_interval"]["p99_ms"] for report in reports
                for mix in report["mixes"]),
            "violations": sum(report["violations"] for report in reports)}


def incomplete(reports):
    return sum(report["arrived"] - report["completed"] for report in reports)


def open_streams(quick):
    """All streams open at once: 1,100 begin within 10 s and last 30 s."""
    begin_seconds = 10
    output = load_plan.Length(200 if quick else 600, 0, 1, 1000)
    mix = dataclasses.replace(LONG, output=output)
    with deployment.Cluster(STEADY, folder("steady"),
                            engines_a_process=2) as cluster:
        reports = run_together(
            cluster, 1, 120, mix=mix, rate=1.1 * STREAMS_TARGET /
            begin_seconds, warm_up="0s", duration=f"{begin_seconds}s",
            tail="0s", drain="60s", calls=False, arrivals="even")
    return {"target": STREAMS_TARGET,
            "most_open": reports[0]["most_outstanding"],
            "incomplete": incomplete(reports),
            "violations": reports[0]["violations"]}


def run(quick):
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    with machine.ProcessorWatch() as watch:
        latency, no_transfer, memory = added_latency(quick)
        tokens = token_rate(quick)
        streams = open_streams(quick)
    result = {"quick": quick, "added_latency": latency,
              "added_latency_no_transfer": no_transfer, "memory": memory,
              "token_rate": tokens, "open_streams": streams,
              "machine": watch.figures()}
    lost = sum(figures["incomplete"] for part in (latency, no_transfer)
               for figures_of_round in part["rounds"]
               for figures in figures_of_round.values())
    lost += tokens["incomplete"] + streams["incomplete"]
    OUTPUT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps({
        "added_latency": latency["summary"],
        "added_latency_no_transfer": no_transfer["summary"],
        "memory": memory, "token_rate": tokens, "open_streams": streams,
        "machine": watch.figures(), "incomplete": lost}, indent=2))
    # Without the failed requests the latencies would be too low.
    return 1 if lost else 0
