"""Workers of a model runner are killed and started again under its id."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

import case as common  # noqa: E402
from runner import event_of  # noqa: E402

EVENTS = 60
CRASHES = (0, 1, 2)  # One of the six runners at a time.
RESPAWN_S = 0.3


async def scenario(case):
    await case.start_store()
    case.configure(7, [common.route("/review/", "streaming", "lm", 900, 14000,
                                    resumable=True)],
                   [common.engine_service("lm")])
    for number in range(2):
        case.start_runner(f"prefill-{number}", "lm", stage="prefill")
    for number in range(4):
        case.start_runner(f"decode-{number}", "lm", stage="decode",
                          framed=False, events=EVENTS, respawn_s=RESPAWN_S)
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

    async def crash():
        for number in CRASHES:
            await asyncio.sleep(4)
            name = f"decode-{number}"
            os.kill(case.worker_of(name), signal.SIGKILL)
            case.note("killed the worker of", name)

    tasks = [case.ask_often(16, 8, one)]
    if common.TROUBLE:
        tasks.append(crash())
    answers = (await asyncio.gather(*tasks))[0]
    case.note_all(answers)
    return short_streams(answers)


def short_streams(answers):
    breaches = []
    for answer in answers:
        if not (answer.success and answer.end == "whole"):
            continue
        whole = b"".join(event_of(answer.request, number)
                         for number in range(1, EVENTS + 1))
        if answer.body != whole:
            breaches.append(
                f"{answer.request}: {answer.body.count(b'id: ')} of {EVENTS} "
                "pieces, and its end looks complete")
    return breaches


common.run(HERE, scenario)
