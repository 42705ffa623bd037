"""Runners spoil answers, and some work on when the connection closes."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

import case as common  # noqa: E402

EVENTS = 69
SPOILED_ONE_IN = 50  # Answers of half of the decode runners.
OVERLAP_S = 0.4


async def scenario(case):
    await case.start_store()
    case.configure(7, [common.route("/review/", "streaming", "lm", 900, 14000,
                                    resumable=True)],
                   [common.engine_service("lm")])
    for number in range(2):
        case.start_runner(f"prefill-{number}", "lm", stage="prefill")
    for number in range(4):
        case.start_runner(
            f"decode-{number}", "lm", stage="decode", events=EVENTS,
            pause_ms=15, drops=number >= 2,
            spoil_every=SPOILED_ONE_IN if common.TROUBLE and number < 2 else 0)
    for number in range(2):
        case.start_gateway(f"front-{number}")
    await case.await_ready()
    await asyncio.sleep(common.CONTACT_MS / 1000 + 0.5)

    async def one(number):
        return await case.ask(
            case.gateways[number % 2], "/review/1", 14000,
            {"X-Acacialug-Model": "m",
             "X-Acacialug-Token-Counts": f"3200,{EVENTS}",
             "X-Acacialug-Prompt-Prefix": f"{number:08x}:3200"})

    answers = await case.ask_often(50, 12, one)
    await asyncio.sleep(2)
    case.note_all(answers)
    return overlaps(case)


def overlaps(case):
    runs = {}  # Rows of runner, begin and end, by request.
    for event in case.runner_events():
        rows = runs.setdefault(event["request"], [])
        if event["event"] == "run":
            rows.append([event["runner"], event["t"], float("inf")])
        elif event["event"] in ("end", "stopped"):
            for row in rows:
                if row[0] == event["runner"] and row[2] == float("inf"):
                    row[2] = event["t"]
    breaches = []
    for request, rows in runs.items():
        for before, after in zip(rows, rows[1:]):
            over = min(before[2], after[2]) - after[1]
            if before[0] != after[0] and over > OVERLAP_S:
                breaches.append(f"{request} goes on at {after[0]}, and "
                                f"{before[0]} works on it {over * 1000:.0f} ms "
                                "more")
    return breaches


common.run(HERE, scenario)
