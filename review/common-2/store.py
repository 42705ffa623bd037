"""A stand-in of the platform's store: keyed topics of one partition each.

Runners register by a call of the stand-ins' own (POST /standin/renew), which
writes what a runner would write; the entry of one that renews nothing for three
heartbeat intervals is removed. `acknowledged` has the time at which the store
accepted each change of a runner's state, by runner and state.
"""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import wire

HEARTBEAT_S = 1.2
READ_BYTES = 1_024_000
PAGE_RECORDS = 500


class Store:
    def __init__(self):
        self.topics = {}  # Lists of (key, value).
        self.changed = asyncio.Event()
        self.renewed = {}  # Runner: time of its last renewal.
        self.states = {}  # Runner: its last state.
        self.acknowledged = {}  # (runner, state): time.
        self.tasks = set()

    async def start(self, sock):
        self.server = await wire.serve(self._handle, sock)
        self.tasks.add(asyncio.create_task(self._expire()))

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def note_state(self, runner, state):
        if self.states.get(runner) != state:
            self.states[runner] = state
            self.acknowledged[runner, state] = time.monotonic()

    def remove(self, runner):
        self.renewed.pop(runner, None)
        self.append("keyed.servers", runner, b"")
        self.note_state(runner, "gone")

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for runner, at in list(self.renewed.items()):
                if now - at > 3 * HEARTBEAT_S:
                    self.remove(runner)

    async def _handle(self, line, _headers, body, _reader, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path == "/standin/renew":
            record = json.loads(body)
            runner = record.pop("id")
            if record["state"] == "gone":
                self.remove(runner)
            else:
                self.renewed[runner] = time.monotonic()
                self.append("keyed.servers", runner, json.dumps(record).encode())
                self.note_state(runner, record["state"])
            wire.write_answer(writer, 200)
            return
        records = self.topics.setdefault(query["topic"], [])
        if path == "/v1/log-append":
            if "at" in query and int(query["at"]) != len(records):
                wire.write_answer(writer, 412, json.dumps(
                    {"end-offset": len(records)}).encode())
                return
            size = body[4]
            offset = self.append(query["topic"], body[5:5 + size].decode(),
                                 body[5 + size:])
            wire.write_answer(writer, 200, json.dumps(
                {"offset": offset, "end-offset": offset + 1}).encode())
        elif path == "/v1/log-newest":
            wire.write_answer(writer, 200, json.dumps(
                self._page(records, query.get("after", ""))).encode())
        elif path == "/v1/log-read":
            await self._read(query, writer)
        else:
            wire.write_answer(writer, 404)

    @staticmethod
    def _page(records, after):
        newest = {key: (offset, value)
                  for offset, (key, value) in enumerate(records)}
        rows = [{"key": key, "offset": newest[key][0],
                 "value": base64.b64encode(newest[key][1]).decode()}
                for key in sorted(newest)
                if newest[key][1] and key > after]
        return {"items": rows[:PAGE_RECORDS],
                "has-more": len(rows) > PAGE_RECORDS,
                "end-offset": len(records)}

    async def _read(self, query, writer):
        source = int(query["source"])
        if source == len(self.topics[query["topic"]]) and "wait-ms" in query:
            end = time.monotonic() + int(query["wait-ms"]) / 1000
            while (source == len(self.topics[query["topic"]]) and
                   time.monotonic() < end):
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        records = self.topics[query["topic"]]
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[source:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
            if len(data) > READ_BYTES:
                break
        wire.write_answer(writer, 200, data,
                          {"Content-Type": "application/octet-stream"})
