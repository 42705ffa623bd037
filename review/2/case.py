"""A second copy of a rejection, taken for the answer to the request's next send.

A plain service of two runners is asked for more than it takes, by callers of
requests that may run once. One of the runners also sends a second answer after 3
of 100 answers, late: where the next answer on the connection is expected. It does
so in spells, and without trouble not at all.
"""

import asyncio
import collections
import os
import random
import time

import platform_standin as platform
import wire

SECONDS = 100
GATEWAYS = 2
CALLERS = 24  # Each sends one request after another.
RUNNERS = 2
ONE_WAY_S = 0.0002  # Between a gateway and a runner of its zone.
SLOTS, QUEUE = 6, 2
WORK_S = (0.0075, 0.0225)
# `garble` with `extra late`: share = 0.6, x = 0.03, for_s = 5.0 in the site file.
SHARE, X, SPELL_S, PERIOD_S = 0.6, 0.03, 5.0, 6.0
DEADLINE_MS = 2500
PROMISES = ("408", "421", "429", "503")


class Runner:
    """A plain runner: `slots` requests at a time, and a short queue."""

    def __init__(self, name, book, record, spells):
        self.name, self.book, self.record = name, book, record
        self.spells = spells  # In which it sends answers a second time, or None.
        self.random = random.Random(name)
        self.slots = asyncio.Semaphore(SLOTS)
        self.present = 0
        self.copies = 0
        self.server = None

    async def start(self):
        self.server = await wire.serve(self._handle, platform.IP)
        return wire.port_of(self.server)

    async def _handle(self, connection, line, headers, body):
        await asyncio.sleep(ONE_WAY_S)
        write = connection["writer"].write
        late = connection.pop("late", None)
        if late is not None:
            copied, bytes_of_copy = late
            self.copies += 1
            self.record.write(f"{self.name} sends the second answer to "
                              f"{copied}")
            write(bytes_of_copy)
            await connection["writer"].drain()
        request = headers.get("x-acacialug-attempt-id")
        if line.split(" ")[1] == "/healthz" or request is None:
            write(wire.answer(200, {"X-Acacialug-Instance-Id": self.name}))
            return
        own = {"X-Acacialug-Attempt-Id": request}
        if headers.get("x-acacialug-expect-instance", self.name) != self.name:
            answer = wire.answer(421, {**own,
                                       "X-Acacialug-Instance-Id": self.name})
        elif self.present >= SLOTS + QUEUE:
            self.record.write(f"{self.name} rejects {request}")
            answer = wire.answer(503, {**own, "X-Acacialug-Not-Executed": "1"})
        else:
            self.present += 1
            try:
                async with self.slots:
                    self.book[request].append(self.name)
                    self.record.write(f"{self.name} runs {request}")
                    await asyncio.sleep(self.random.uniform(*WORK_S))
            finally:
                self.present -= 1
            answer = wire.answer(200, {
                **own, "X-Acacialug-Server-Seal": f"{self.name}.{request}"},
                b"receipt of " + body)
        await asyncio.sleep(ONE_WAY_S)
        write(answer)
        if self.spells and self.spells.on() and self.random.random() < X:
            connection["late"] = (request, answer)


class Caller:
    """Sends one request after another on a kept connection."""

    def __init__(self, number, gateway, record, answers, end):
        self.number, self.gateway, self.record = number, gateway, record
        self.answers, self.end = answers, end
        self.random = random.Random(number)
        self.stream = None

    async def run(self):
        count = 0
        while time.monotonic() < self.end:
            count += 1
            request = f"{self.number:02x}{count:014x}"
            status, pause = await self._ask(request)
            self.answers[request] = status
            self.record.write(f"caller gets {status} for {request}")
            await asyncio.sleep(pause or self.random.uniform(0.0, 0.02))
        if self.stream is not None:
            self.stream[1].close()

    async def _ask(self, request):
        """Returns the status, or why there is none, and the time to wait."""
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection(
                    platform.IP, self.gateway.port)
            reader, writer = self.stream
            self.record.write(f"caller sends {request} to {self.gateway.name}")
            writer.write(wire.message(
                "POST /receipt/2f HTTP/1.1",
                {"Host": "desk.example", "X-Acacialug-Attempt-Id": request,
                 "X-Acacialug-Deadline-Ms": str(DEADLINE_MS)},
                request.encode()))
            line, headers = await wire.read_head(reader)
            await wire.read_body(reader, headers)
            if headers.get("connection", "").lower() == "close":
                self._drop()
            return line.split(" ")[1], float(headers.get("retry-after", 0))
        except (OSError, wire.Broken):
            self._drop()
            return "closed", 0.1

    def _drop(self):
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def play(files, record):
    store = platform.Store()
    store_port = await store.start()
    book = collections.defaultdict(list)
    answers = {}
    spells = platform.Spells(SPELL_S, PERIOD_S)
    faulty = int(SHARE * RUNNERS)
    runners = [Runner(f"i-desk{number}", book, record,
                      spells if number < faulty else None)
               for number in range(RUNNERS)]
    store.put_json("keyed.op", "config", {
        "version": 1, "limits": platform.LIMITS,
        "route-list": [platform.route("/receipt/", "non_idempotent", "desk",
                                      DEADLINE_MS, 150)],
        "services": [platform.service("desk", 110)]})
    for number, runner in enumerate(runners):
        port = await runner.start()
        store.put_json("keyed.servers", runner.name, {
            "service": "desk", "address": f"{platform.IP}:{port}",
            "zone": "hall-a", "version": "v1", "slots": SLOTS,
            "state": "ready", "cold-remaining-ms": 0, "sequence": number + 1})
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
        await asyncio.sleep(3)
        spells.begin()
        end = time.monotonic() + SECONDS
        callers = [Caller(number, gateways[number % GATEWAYS], record, answers,
                          end) for number in range(CALLERS)]
        await asyncio.gather(*(caller.run() for caller in callers))
        await asyncio.sleep(3)  # What was accepted ends.
    finally:
        for gateway in gateways:
            gateway.stop()
    refused = [request for request, status in answers.items()
               if status in PROMISES and book[request]]
    twice = [request for request, runs in book.items() if len(runs) > 1]
    for request in refused:
        record.tell(f"REFUSED: {request} was answered {answers[request]} and "
                    f"ran at {', '.join(book[request])}")
    for request in twice:
        record.tell(f"TWICE: {request} ran at {', '.join(book[request])}, was "
                    f"answered {answers.get(request)}")
    counts = collections.Counter(answers.values())
    record.tell(f"{len(answers)} requests, answered {dict(counts)}; "
                f"{sum(map(len, book.values()))} runs; "
                f"{sum(runner.copies for runner in runners)} second answers; "
                f"{len(refused)} refused that ran, {len(twice)} ran twice")
    if not counts["200"]:
        return platform.NOT_RUN
    return platform.BROKEN if refused else platform.HELD


if __name__ == "__main__":
    folder = os.path.dirname(os.path.abspath(__file__))
    platform.run_case(os.path.join(folder, "record.txt"), play)
