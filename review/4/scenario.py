"""A route of plain requests moves to a service that has model runners."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

import case as common  # noqa: E402
from runner import records_of  # noqa: E402


def search_in(service):
    return common.route("/search/", "idempotent", service, 300, 4000)


async def scenario(case):
    await case.start_store()
    services = [common.plain_service("app"), common.engine_service("lm")]
    case.configure(7, [search_in("app")], services)
    for number in range(3):
        case.start_runner(f"app-{number}", "app", slots=6, records=True)
    for number in range(2):
        case.start_runner(f"prefill-{number}", "lm", stage="prefill")
    for number in range(3):
        case.start_runner(f"decode-{number}", "lm", stage="decode",
                          records=True)
    for number in range(2):
        case.start_gateway(f"front-{number}")
    await case.await_ready()
    await asyncio.sleep(common.CONTACT_MS / 1000 + 0.5)

    async def one(number):
        return await case.ask(
            case.gateways[number % 2], "/search/1", 4000,
            {"X-Acacialug-Model": "m", "X-Acacialug-Token-Counts": "300,60",
             "X-Acacialug-Prompt-Prefix": f"{number:08x}:300"})

    async def move():
        await asyncio.sleep(6)
        case.configure(9, [search_in("lm")], services)
        case.note("the store has accepted version 9: /search/ goes to lm")

    tasks = [case.ask_often(18, 8, one)]
    if common.TROUBLE:
        tasks.append(move())
    answers = (await asyncio.gather(*tasks))[0]
    case.note_all(answers)
    cut = sum(answer.end != "whole" for answer in answers)
    case.note("answers that were cut off:", cut)
    return [f"{answer.request}: success with {len(answer.body)} bytes of "
            f"{len(records_of(answer.request))}, and its end is complete"
            for answer in answers
            if answer.success and answer.end == "whole" and
            answer.body != records_of(answer.request)]


common.run(HERE, scenario)
