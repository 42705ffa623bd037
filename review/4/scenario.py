"""A runner of an application service is killed in the middle of answers."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

import case as common  # noqa: E402
from runner import body_of  # noqa: E402

CRASHES = (1, 2)  # One of the four at a time.
DARK_S = 4.0


async def scenario(case):
    await case.start_store()
    case.configure(7, [
        common.route("/receipt/", "non_idempotent", "app", 300, 4000),
        common.route("/lookup/", "idempotent", "app", 300, 4000)],
        [common.plain_service("app")])
    options = {"slots": 6, "framed": False, "work_ms": 30, "parts": 8,
               "part_ms": 30}
    for number in range(4):
        case.start_runner(f"app-{number}", "app", **options)
    for number in range(2):
        case.start_gateway(f"front-{number}")
    await case.await_ready()
    await asyncio.sleep(common.CONTACT_MS / 1000 + 0.5)

    async def one(number):
        path = ("/receipt/1", "/lookup/1")[number % 2]
        return await case.ask(case.gateways[number // 2 % 2], path, 4000)

    async def crash():
        for number in CRASHES:
            await asyncio.sleep(4)
            name = f"app-{number}"
            os.kill(case.worker_of(name), signal.SIGKILL)
            case.note("killed", name)
            await asyncio.sleep(DARK_S)
            case.start_runner(f"app-{number}-again", "app", **options)

    tasks = [case.ask_often(20, 60, one)]
    if common.TROUBLE:
        tasks.append(crash())
    answers = (await asyncio.gather(*tasks))[0]
    case.note_all(answers)
    return [f"{answer.request}: success with {len(answer.body)} bytes of "
            f"{len(body_of(answer.request))}, and its end looks complete"
            for answer in answers
            if answer.success and answer.end == "whole" and
            answer.body != body_of(answer.request).encode()]


common.run(HERE, scenario)
