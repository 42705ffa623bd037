"""A stand-in for a model runner: prompts, memory leases, streams, orders."""

import asyncio
import json
import random
import time

import platform_standin as platform
import wire

PREFILL_TOKENS_PER_S = 33000
TOKEN_S = 0.003
STRIDE = 13  # Tokens of one event.
SWITCH_S = 6.0  # `role-switch-s`
HANDLE_S = 0.5  # `handle-ttl-s`


def sizes(headers):
    prompt, output = headers.get("x-acacialug-token-counts", "0,13").split(",")
    return int(prompt), int(output)


def event(request, number):
    return f"id: {number}\ndata: {request}/{number}\n\n".encode()


def events_of(output):
    return -(-output // STRIDE)


class ModelRunner:
    """Has a stage, takes orders, and keeps its entry in the store up to date.

    `spoil(headers, body)` may change the body of an answer to a prompt.
    """

    def __init__(self, name, stage, store, book, record, zone="hall-a",
                 service="lm"):
        self.name, self.stage, self.zone = name, stage, zone
        self.service = service
        self.store, self.book, self.record = store, book, record
        self.random = random.Random(name)
        self.sequence, self.accepted, self.running = 0, 0, 0
        self.switching = False
        self.state = "ready"
        self.memory, self.used = 38173, 0
        self.holds, self.handles = {}, {}
        self.spoil = lambda headers, body: body
        self.slowness = 1.0
        self.on_arrival = lambda runner, headers: None
        self.on_order = lambda runner, order: None
        self.address, self.server = None, None
        self.prefilling = asyncio.Lock()

    async def start(self):
        self.server = await wire.serve(self._handle, platform.IP)
        self.address = f"{platform.IP}:{wire.port_of(self.server)}"
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        self.store.put_json("keyed.servers", self.name, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 64,
            "state": self.state, "cold-remaining-ms": 0, "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence})

    async def _handle(self, connection, line, headers, body):
        method, target, _ = line.split(" ")
        write = connection["writer"].write
        if headers.get("x-acacialug-expect-instance", self.name) != self.name:
            write(wire.answer(421, {"X-Acacialug-Instance-Id": self.name}))
        elif method == "DELETE":
            name = target.rsplit("/", 1)[1]
            self.used -= self.holds.pop(name, 0)
            self.handles.pop(name, None)
            write(wire.answer(200))
        elif target == "/v1/hold-take":
            write(self._hold(json.loads(body)))
        elif target == "/v1/report":
            write(wire.answer(200, {"Content-Type": "application/json"},
                              json.dumps(self._report()).encode()))
        elif target == "/v1/order":
            write(wire.answer(self._order(json.loads(body))))
        elif "x-acacialug-attempt-id" not in headers:
            write(wire.answer(400, {"X-Acacialug-Not-Executed": "1"}))
        else:
            await self._work(connection, headers)

    def _report(self):
        return {"stage": self.stage, "models": [{"name": "m", "version": 1}],
                "busy": self.switching, "sequence": self.accepted,
                "queued": 0, "running": self.running, "kv-used": self.used,
                "kv-total": self.memory, "kv-handles": len(self.handles),
                "pinned": 0, "held": sum(self.holds.values())}

    def _hold(self, wish):
        if (self.switching or self.stage != "decode"
                or self.used + wish["tokens"] > self.memory):
            return wire.answer(503, {"X-Acacialug-Not-Executed": "1"})
        name = f"h{self.random.getrandbits(48):012x}"
        self.used += wish["tokens"]
        self.holds[name] = wish["tokens"]
        asyncio.get_running_loop().call_later(
            min(wish["ttl-ms"], 2000) / 1000,
            lambda: self._free(name))
        return wire.answer(200, {"Content-Type": "application/json"},
                           json.dumps({"hold": name}).encode())

    def _free(self, name):
        self.used -= self.holds.pop(name, 0)

    def _order(self, order):
        self.on_order(self, order)
        if "expect" in order and order["expect"] != self.accepted:
            return 409
        if self.switching:
            return 409
        if order["stage"] == self.stage:
            return 200
        self.accepted += 1
        self.switching = True
        asyncio.get_running_loop().create_task(self._switch(order["stage"]))
        return 202

    async def _switch(self, stage):
        while self.running > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SWITCH_S)
        self.stage, self.switching = stage, False
        self.write_entry()

    async def _work(self, connection, headers):
        write = connection["writer"].write
        request = headers["x-acacialug-attempt-id"]
        prefill = headers.get("x-acacialug-stage") == "prefill"
        own = {"X-Acacialug-Attempt-Id": request}
        self.on_arrival(self, headers)
        if self.switching:
            write(wire.answer(503, {**own, "X-Acacialug-Not-Executed": "1"}))
        elif prefill != (self.stage == "prefill"):
            write(wire.answer(421, {**own,
                                    "X-Acacialug-Instance-Id": self.name}))
        elif prefill:
            await self._prefill(write, request, headers, own)
        else:
            await self._stream(connection, request, headers, own)

    async def _prefill(self, write, request, headers, own):
        prompt, _ = sizes(headers)
        self.record.write(f"{self.name} reads the prompt of {request}")
        async with self.prefilling:
            await asyncio.sleep(self.slowness * prompt / PREFILL_TOKENS_PER_S)
        name = f"{self.random.getrandbits(48):012x}"
        self.handles[name] = request
        asyncio.get_running_loop().call_later(
            HANDLE_S, lambda: self.handles.pop(name, None))
        body = self.spoil(headers, json.dumps(
            {"kv-handle": name, "tokens": prompt, "version": 1},
            separators=(",", ":")).encode())
        write(wire.answer(200, {**own, "Content-Type": "application/json"},
                          body))

    async def _stream(self, connection, request, headers, own):
        writer = connection["writer"]
        prompt, output = sizes(headers)
        held = self.holds.pop(headers.get("x-acacialug-kv-hold"), 0)
        self.running += 1
        self.book.setdefault(request, []).append((self.name, time.monotonic()))
        self.record.write(f"{self.name} runs {request}")
        try:
            if "x-acacialug-kv-source" not in headers:
                await asyncio.sleep(2 * prompt / PREFILL_TOKENS_PER_S)
            first = int(headers.get("last-event-id", -1)) + 1
            lines = ["HTTP/1.1 200 S", "Content-Type: text/event-stream",
                     *(f"{name}: {value}" for name, value in own.items()),
                     f"X-Acacialug-Server-Seal: {self.name}.{request}",
                     "X-Acacialug-Weight-Versions: 1",
                     "Transfer-Encoding: chunked"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(first, events_of(output)):
                await asyncio.sleep(self.slowness * TOKEN_S * STRIDE)
                data = event(request, number)
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                if writer.is_closing():
                    raise wire.Broken("the gateway closed")
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
            self.used -= held
