"""A route moves for a while to runners that number their events by tokens."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

import case as common  # noqa: E402

EVENTS = 40
STRIDE = 13  # Tokens in an event, as the configuration says.
DEADLINE_MS = 14_000
CONFIG_APPLY_S = 2.0
AWAY_S = 2.5  # Between the version that moves the route and the one after it.
# By the rule: so many times as often as at other times, and not for a request
# that has used this share of its time.
TIMES_AS_OFTEN, USED_SHARE = 3, 0.7


def review_by(service):
    return common.route("/review/", "streaming", service, 900, DEADLINE_MS)


def engine_of(service):
    traits = common.engine_service(service)
    traits["engine"]["stride"] = STRIDE
    return traits


async def scenario(case):
    await case.start_store()
    services = [engine_of("lm"), engine_of("lm-new")]
    case.configure(7, [review_by("lm")], services)
    for name, step in (("lm", 1), ("lm-new", STRIDE)):
        case.start_runner(f"{name}-prefill", name, stage="prefill")
        for number in range(3):
            case.start_runner(f"{name}-decode-{number}", name, stage="decode",
                              events=EVENTS, id_step=step)
    for number in range(2):
        case.start_gateway(f"front-{number}")
    await case.await_ready()
    await asyncio.sleep(common.CONTACT_MS / 1000 + 0.5)
    windows = []

    async def one(number):
        gateway = case.gateways[number % 2]
        answer = await case.ask(
            gateway, "/review/1", DEADLINE_MS,
            {"X-Acacialug-Model": "m",
             "X-Acacialug-Token-Counts": f"3200,{EVENTS * STRIDE}",
             "X-Acacialug-Prompt-Prefix": f"{number:08x}:3200"})
        return gateway["name"], answer

    async def move():
        await asyncio.sleep(8)
        for version, service in ((9, "lm-new"), (12, "lm")):
            case.configure(version, [review_by(service)], services)
            windows.append((case.now(), case.now() + CONFIG_APPLY_S + 1))
            case.note(f"the store has accepted version {version}: {service}")
            await asyncio.sleep(AWAY_S)

    tasks = [case.ask_often(22, 6, one)]
    if common.TROUBLE:
        tasks.append(move())
    results = (await asyncio.gather(*tasks))[0]
    case.note_all([answer for _, answer in results])
    passed_on = {event["request"] for event in case.runner_events()
                 if event["event"] == "run"}
    breaches = []
    for gateway in case.gateways:
        breaches += cut_beside_configurations(
            case, gateway["name"], windows, passed_on,
            [answer for name, answer in results if name == gateway["name"]])
    return breaches


def cut_beside_configurations(case, name, windows, passed_on, answers):
    def beside(answer):
        return any(begin <= answer.sent_at and answer.ended_at <= end
                   for begin, end in windows)

    def cut(answer):
        used = (answer.ended_at - answer.sent_at) * 1000 / DEADLINE_MS
        return (answer.end != "whole" and answer.request in passed_on and
                used < USED_SHARE)
    near = [answer for answer in answers if beside(answer)]
    far = [answer for answer in answers if not beside(answer)]
    lost, lost_far = list(filter(cut, near)), list(filter(cut, far))
    case.note(f"{name}: cut beside configurations: {len(lost)} of {len(near)}, "
              f"at other times: {len(lost_far)} of {len(far)}")
    if len(lost) * len(far) <= TIMES_AS_OFTEN * len(lost_far) * len(near):
        return []
    return [f"{answer.request} was passed on and ended without a complete "
            "answer" for answer in lost]


common.run(HERE, scenario)
