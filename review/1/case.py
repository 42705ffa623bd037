"""A prompt's answer with wrong bytes ends the gateway that receives it.

Two gateways, a prefill runner and three decode runners, and a plain service of
three sound runners. The prefill runner spoils 2 of 100 of its answers, in spells: the
number in the field `tokens` is overwritten by `null`. Without trouble it does
not.
"""

import asyncio
import collections
import os
import random
import time

import model_runner
import platform_standin as platform
import wire

SECONDS = 60
GATEWAYS = 2
STREAMS_PER_S = 8
CALLERS = 16  # of plain requests, each on a kept connection
PAUSE_S = 0.05  # between two requests of a caller
WORK_S = (0.02, 0.04)
# `garble`: share = 0.35, x = 0.02, for_s = 5.5 in the site file; one of the four
# model runners is 0.25.
X, SPELL_S, PERIOD_S = 0.02, 5.5, 7.0
ALLOWED = 3  # "more than three times" breaks the rule.


class PlainRunner:
    """A sound runner of the plain service."""

    def __init__(self, name, book, record):
        self.name, self.book, self.record = name, book, record
        self.random = random.Random(name)
        self.slots = asyncio.Semaphore(6)

    async def start(self):
        server = await wire.serve(self._handle, platform.IP)
        return wire.port_of(server)

    async def _handle(self, connection, _line, headers, body):
        write = connection["writer"].write
        request = headers.get("x-acacialug-attempt-id")
        if request is None:
            write(wire.answer(200, {"X-Acacialug-Instance-Id": self.name}))
            return
        own = {"X-Acacialug-Attempt-Id": request}
        if headers.get("x-acacialug-expect-instance", self.name) != self.name:
            write(wire.answer(421, {**own,
                                    "X-Acacialug-Instance-Id": self.name}))
            return
        async with self.slots:
            self.book[request] = self.name
            self.record.write(f"{self.name} runs {request}")
            await asyncio.sleep(self.random.uniform(*WORK_S))
        write(wire.answer(200, {
            **own, "X-Acacialug-Server-Seal": f"{self.name}.{request}"},
            b"receipt of " + body))


async def call(number, gateway, record, end, results):
    """Sends one plain request after another on a kept connection."""
    stream, kept, count = None, 0, 0
    while time.monotonic() < end:
        count += 1
        request = f"c{number:02x}{count:013x}"
        try:
            if stream is None:
                stream = await asyncio.open_connection(platform.IP,
                                                       gateway.port)
                kept = 0
            reader, writer = stream
            writer.write(wire.message(
                "POST /receipt/2f HTTP/1.1",
                {"Host": "desk.example", "X-Acacialug-Attempt-Id": request,
                 "X-Acacialug-Deadline-Ms": "2500"}, request.encode()))
            record.write(f"caller sends {request} to {gateway.name}, "
                         f"request {kept + 1} of its connection")
            line, headers = await wire.read_head(reader)
            await wire.read_body(reader, headers)
            kept += 1
            results[request] = (line.split(" ")[1], kept > 1)
            if headers.get("connection", "").lower() == "close":
                writer.close()
                stream = None
        except (OSError, wire.Broken):
            results[request] = ("closed", kept > 0)
            if stream is not None:
                stream[1].close()
            stream = None
            await asyncio.sleep(0.2)
        record.write(f"caller gets {results[request][0]} for {request}")
        await asyncio.sleep(PAUSE_S)


async def ask_stream(request, gateway, record, ends):
    """Asks for one stream, on a connection of its own."""
    try:
        reader, writer = await asyncio.open_connection(platform.IP,
                                                       gateway.port)
        record.write(f"caller sends {request} to {gateway.name}")
        writer.write(wire.message(
            "POST /draft/2f HTTP/1.1",
            {"Host": "desk.example", "X-Acacialug-Attempt-Id": request,
             "X-Acacialug-Model": "m", "X-Acacialug-Token-Counts": "3200,68",
             "X-Acacialug-Prompt-Prefix": f"5c1e07a2:200,{request[-8:]}:3000",
             "X-Acacialug-Deadline-Ms": "14000"}, request.encode()))
        line, headers = await wire.read_head(reader)
        await wire.read_body(reader, headers)
        how = line.split(" ")[1]
        writer.close()
    except (OSError, wire.Broken):
        how = "broken off"
    ends[how] += 1
    record.write(f"caller gets {how} for {request}")


async def play(files, record):
    store = platform.Store()
    store_port = await store.start()
    stream_book, book, results = {}, {}, {}
    ends = collections.Counter()
    spoiled = []
    chance = random.Random(1)
    spells = platform.Spells(SPELL_S, PERIOD_S)

    def spoil(headers, body):
        if spells.on() and chance.random() < X:
            request = headers["x-acacialug-attempt-id"]
            spoiled.append(request)
            body = body.replace(b'"tokens":3200', b'"tokens":null')
            record.tell(f"i-lm0 answers the prompt of {request} with {body!r}")
        return body

    store.put_json("keyed.op", "config", {
        "version": 1, "limits": platform.LIMITS,
        "route-list": [
            platform.route("/receipt/", "non_idempotent", "desk", 2500, 150),
            platform.route("/draft/", "streaming", "lm", 14000, 900,
                           resumable=True, sticky=True,
                           **{"gap-target-ms": 300})],
        "services": [platform.service("desk", 110),
                     platform.service("lm", 370, engine=platform.engine())]})
    for number in range(4):
        runner = model_runner.ModelRunner(
            f"i-lm{number}", "decode" if number else "prefill", store,
            stream_book, record)
        runner.spoil = spoil
        await runner.start()
    for number in range(3):
        runner = PlainRunner(f"i-desk{number}", book, record)
        port = await runner.start()
        store.put_json("keyed.servers", runner.name, {
            "service": "desk", "address": f"{platform.IP}:{port}",
            "zone": "hall-a", "version": "v1", "slots": 6, "state": "ready",
            "cold-remaining-ms": 0, "sequence": 1})
    gateways = [platform.Gateway(f"frontend-{number}", "hall-a", files,
                                 store_port, record)
                for number in range(GATEWAYS)]
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            if not await gateway.wait_ready():
                record.tell(f"{gateway.name} is not ready")
                return platform.NOT_RUN
        await asyncio.sleep(2)
        spells.begin()
        end = time.monotonic() + SECONDS
        tasks = [asyncio.create_task(call(number, gateways[number % GATEWAYS],
                                          record, end, results))
                 for number in range(CALLERS)]
        number = 0
        while time.monotonic() < end:
            number += 1
            tasks.append(asyncio.create_task(ask_stream(
                f"5{number:015x}", gateways[number % GATEWAYS], record, ends)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*tasks)
        ended = sum(len(gateway.own_ends) for gateway in gateways)
        for gateway in gateways:
            for line in gateway.log_lines("terminate", "what()")[:2]:
                record.tell(f"{gateway.name} wrote: {line}")
    finally:
        for gateway in gateways:
            gateway.stop()
    lost = [request for request, (status, kept) in results.items()
            if status == "closed" and kept and request in book]
    for request in lost:
        record.write(f"LOST: {request} ran at the sound runner "
                     f"{book[request]}; its kept connection was closed "
                     "without an answer")
    counts = collections.Counter(status for status, _ in results.values())
    record.tell(f"plain requests: {dict(counts)}; streams: {dict(ends)}; "
                f"{len(spoiled)} spoiled answers; gateways ended by themselves "
                f"{ended} times; {len(lost)} lost of requests on kept "
                f"connections, {ALLOWED} allowed")
    if not counts["200"] or not ends["200"]:
        return platform.NOT_RUN
    return platform.BROKEN if len(lost) > ALLOWED else platform.HELD


if __name__ == "__main__":
    folder = os.path.dirname(os.path.abspath(__file__))
    platform.run_case(os.path.join(folder, "record.txt"), play)
