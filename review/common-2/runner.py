"""A stand-in of a runner, as a process of its own: runner.py OPTIONS (JSON).

The process that is started holds the listening socket and a worker. With
`respawn_s` it starts another worker so many seconds after one was killed, as
supervisors do, under the same id and with a newer `born`; else it ends with it.
What happens is written to `log`, one JSON object a line.

Options: id, service, zone, store, address, log, stage (null: an application
service), slots, memory (tokens), framed (whether answers have a length or
chunks), drops (whether a run ends when its caller's connection closes), events
(of a stream), id_step and pause_ms (between two events), tokens_per_ms (of a
prefill), work_ms, parts and part_ms (a plain answer is sent in so many parts),
streams (whether an application service answers with events), records (whether
the answer is a text of records), spoil_every (of so many streams one gets an
unreadable piece; 0: none), leave (a file: when it exists, the runner reports
`draining`, serves on for serve_s and ends).
"""

import asyncio
import hashlib
import json
import os
import signal
import socket
import sys
import time

import wire

HEARTBEAT_S = 1.2
ROLE_SWITCH_S = 6.0
REPORT_AGE_S = 0.2
STEP_S = 0.01


def seal_of(request):
    return hashlib.sha256(request.encode()).hexdigest()[:24]


def event_of(request, number):
    text = hashlib.sha256(f"{request}/{number}".encode()).hexdigest()[:16]
    return f"id: {number}\ndata: {text}\n\n".encode()


def records_of(request):
    """A plain text: records of titles, the best match first."""
    numbers = hashlib.sha256(request.encode()).digest()[:8]
    return "\n\n".join(f"id: {number}\ntitle: {seal_of(str(number))}"
                       for number in numbers).encode()


def body_of(request):
    return (hashlib.sha256(f"{request}/body".encode()).hexdigest() * 13)[:800]


class Runner:
    def __init__(self, options):
        self.options = options
        self.id, self.stage = options["id"], options["stage"]
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.holds = {}  # Tokens, by name.
        self.handles = set()
        self.used = 0
        self.runs = {}  # Events made, by request.
        self.report_runs = []  # What a report says: a little old.
        self.switching = False
        self.streams = 0
        self.named = 0
        self.log_file = open(options["log"], "a", encoding="utf-8",
                             buffering=1)

    def log(self, event, request="", **more):
        self.log_file.write(json.dumps(
            {"t": round(time.monotonic(), 4), "runner": self.id,
             "event": event, "request": request, **more}) + "\n")

    def name(self):
        self.named += 1
        return hashlib.sha256(
            f"{self.id}/{self.born}/{self.named}".encode()).hexdigest()[:12]

    async def renew(self, state):
        self.sequence += 1
        record = {"id": self.id, "service": self.options["service"],
                  "address": self.options["address"],
                  "zone": self.options["zone"], "version": "v1",
                  "slots": self.options["slots"], "state": state,
                  "cold-remaining-ms": 0, "sequence": self.sequence,
                  "born": self.born}
        if self.stage:
            record["stage"] = self.stage
            record["models"] = [{"name": "m", "version": 1, "adapters": []}]
        try:
            await wire.call(self.options["store"], "POST", "/standin/renew",
                            body=json.dumps(record).encode())
        except (OSError, wire.Broken):
            self.log("not renewed")

    async def keep_registered(self):
        leave, left_at = self.options.get("leave"), None
        renewed_at = 0.0
        while True:
            now = time.monotonic()
            if left_at is None and leave and os.path.exists(leave):
                left_at, self.state = now, "draining"
                await self.renew("draining")
                self.log("draining", accepted=round(time.monotonic(), 4))
                renewed_at = now
            elif left_at and now - left_at > self.options["serve_s"]:
                await self.renew("gone")
                self.log("left")
                os._exit(0)
            elif now - renewed_at >= HEARTBEAT_S:
                renewed_at = now
                await self.renew(self.state)
            self.report_runs = [[request, 1, made, 5]
                                for request, made in self.runs.items()]
            await asyncio.sleep(REPORT_AGE_S)

    async def handle(self, line, headers, body, reader, writer):
        method, target, _ = line.split(" ")
        request = headers.get("x-acacialug-attempt-id")
        echo = {} if request is None else {"X-Acacialug-Attempt-Id": request}
        expected = headers.get("x-acacialug-expect-instance")
        if expected not in (None, self.id):
            wire.write_answer(writer, 421, headers={
                **echo, "X-Acacialug-Instance-Id": self.id})
        elif target == "/healthz":
            ready = self.state == "ready"
            wire.write_answer(writer, 200 if ready else 503, headers={
                "X-Acacialug-Instance-Id": self.id})
        elif target == "/v1/report":
            wire.write_answer(writer, 200, self.report(),
                              {"Content-Type": "application/json"})
        elif target == "/v1/hold-take":
            self.take_hold(json.loads(body), writer)
        elif target == "/v1/order":
            self.order(json.loads(body), writer)
        elif method == "DELETE":
            name = target.rsplit("/", 1)[1]
            self.handles.discard(name)
            self.used -= self.holds.pop(name, 0)
            wire.write_answer(writer, 200)
        elif request is None:
            wire.write_answer(writer, 400, headers={
                "X-Acacialug-Not-Executed": "1"})
        else:
            await self.work(headers, echo, reader, writer)

    def report(self):
        return json.dumps(
            {"stage": self.stage, "born": self.born, "busy": self.switching,
             "models": [{"name": "m", "version": 1, "adapters": []}],
             "sequence": self.orders, "queued": 0,
             "running": len(self.report_runs), "kv-used": self.used,
             "kv-total": self.options["memory"],
             "kv-handles": len(self.handles), "state": self.state,
             "runs": self.report_runs}).encode()

    def take_hold(self, wish, writer):
        if self.stage != "decode" or self.switching or (
                self.used + wish["tokens"] > self.options["memory"]):
            wire.write_answer(writer, 503, headers={
                "X-Acacialug-Not-Executed": "1"})
            return
        name = self.name()
        self.used += wish["tokens"]
        self.holds[name] = wish["tokens"]
        asyncio.get_running_loop().call_later(
            min(wish["ttl-ms"], 2000) / 1000, self.lapse, name)
        self.log("hold", name=name)
        wire.write_answer(writer, 200, json.dumps({"hold": name}).encode(),
                          {"Content-Type": "application/json"})

    def lapse(self, name):
        self.used -= self.holds.pop(name, 0)

    def order(self, wish, writer):
        self.log("order", stage=wish.get("stage"), holder=wish.get("holder"),
                 fence=wish.get("fencing-token"), expect=wish.get("expect"))
        if wish.get("operation") != "stage" or "fencing-token" not in wish:
            wire.write_answer(writer, 400)
        elif self.switching or wish.get("expect", self.orders) != self.orders:
            wire.write_answer(writer, 409)
        elif wish["stage"] == self.stage:
            wire.write_answer(writer, 200)
        else:
            self.orders += 1
            asyncio.create_task(self.switch(wish["stage"]))
            wire.write_answer(writer, 202)

    async def switch(self, stage):
        self.switching = True
        while self.runs:
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(self.options.get("switch_s", ROLE_SWITCH_S))
        self.stage, self.switching = stage, False
        await self.renew(self.state)

    async def work(self, headers, echo, reader, writer):
        request = headers["x-acacialug-attempt-id"]
        prefill = headers.get("x-acacialug-stage") == "prefill"
        self.log("arrival", request, prefill=prefill, state=self.state)
        if bool(prefill) != (self.stage == "prefill"):
            wire.write_answer(writer, 421, headers=echo)
            return
        full = len(self.runs) >= self.options["slots"] or self.switching
        tokens = sum(map(int, headers.get(
            "x-acacialug-token-counts", "0,0").split(",")))
        hold = self.holds.pop(headers.get("x-acacialug-kv-hold"), None)
        if hold is None and not prefill:
            full = full or self.used + tokens > self.options["memory"]
            self.used += 0 if full else tokens
        if full:
            wire.write_answer(writer, 503, headers={
                **echo, "X-Acacialug-Not-Executed": "1"})
            return
        if prefill:
            await self.prefill(headers, echo, writer)
            return
        held = tokens if hold is None else hold
        self.runs[request] = 0
        self.log("run", request)
        try:
            own = {**echo, "X-Acacialug-Server-Seal": seal_of(request)}
            if self.options.get("records"):
                wire.write_answer(writer, 200, records_of(request), {
                    **own, "Content-Type": "text/plain"})
            elif self.stage == "decode" or self.options.get("streams"):
                await self.stream(request, headers, own, reader, writer)
            else:
                await self.answer(request, own, writer)
            self.log("end", request)
        except (wire.Broken, ConnectionError):
            self.log("stopped", request, made=self.runs[request])
            raise
        finally:
            del self.runs[request]
            self.used -= held

    async def prefill(self, headers, echo, writer):
        prompt = int(headers["x-acacialug-token-counts"].split(",")[0])
        await asyncio.sleep(prompt / self.options["tokens_per_ms"] / 1000)
        name = self.name()
        self.handles.add(name)
        asyncio.get_running_loop().call_later(
            0.5, self.handles.discard, name)
        self.log("prefilled", headers["x-acacialug-attempt-id"])
        wire.write_answer(writer, 200, json.dumps(
            {"kv-handle": name, "tokens": prompt, "version": 1}).encode(),
            {**echo, "Content-Type": "application/json"})

    async def answer(self, request, own, writer):
        await asyncio.sleep(self.options["work_ms"] / 1000)
        body = body_of(request).encode()
        length = ({"Content-Length": len(body)} if self.options["framed"]
                  else {"Connection": "close"})
        wire.write_head(writer, "HTTP/1.1 200 S", {**own, **length})
        parts = self.options["parts"]
        size = -(-len(body) // parts)
        for part in range(parts):
            if part:
                await asyncio.sleep(self.options["part_ms"] / 1000)
            writer.write(body[part * size:(part + 1) * size])
            await writer.drain()
        if not self.options["framed"]:
            writer.close()

    async def stream(self, request, headers, own, reader, writer):
        first = int(headers.get("last-event-id", 0)) + 1
        framed = self.options["framed"]
        self.streams += 1
        every = self.options["spoil_every"]
        spoiled = self.options["events"] // 3 if (
            every and self.streams % every == 0) else None
        wire.write_head(writer, "HTTP/1.1 200 S", {
            **own, "Content-Type": "text/event-stream",
            **({"Transfer-Encoding": "chunked"} if framed
               else {"Connection": "close"})})
        cut = False
        step = self.options.get("id_step", 1)
        for number in range(first, self.options["events"] * step + 1, step):
            event = event_of(request, number)
            if not cut:
                if number == spoiled:
                    self.log("spoils", request, number=number)
                    writer.write(b"zz\r\n" + event + b"\r\n")
                elif framed:
                    writer.write(f"{len(event):x}\r\n".encode() + event +
                                 b"\r\n")
                else:
                    writer.write(event)
            self.runs[request] = number
            due = time.monotonic() + self.options["pause_ms"] / 1000
            while time.monotonic() < due:
                await asyncio.sleep(min(STEP_S, due - time.monotonic()))
                gone = reader.at_eof() or writer.is_closing()
                if gone and self.options["drops"]:
                    raise wire.Broken("the caller has left")
                if gone and not cut:
                    cut = True
                    self.log("caller left", request)
        if cut:
            raise wire.Broken("worked to the end for nobody")
        if framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        if not framed:
            writer.close()


async def work(options, sock):
    runner = Runner(options)
    server = await wire.serve(runner.handle, sock)
    runner.log("born", pid=os.getpid(), born=runner.born)
    await runner.keep_registered()
    server.close()


def main():
    options = json.loads(sys.argv[1])
    ip, _, port = options["address"].rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, int(port)))
    sock.listen(256)
    while True:
        worker = os.fork()
        if worker == 0:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            asyncio.run(work(options, sock))
            os._exit(0)
        signal.signal(signal.SIGTERM, lambda *_: (os.kill(worker, 9),
                                                  os._exit(0)))
        _, status = os.waitpid(worker, 0)
        if os.WIFEXITED(status) or "respawn_s" not in options:
            return
        time.sleep(options["respawn_s"])


if __name__ == "__main__":
    main()
