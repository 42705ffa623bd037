"""Stand-ins for the platform, and the processes of a small deployment.

The store keeps topics with one partition and answers appends, reads and
`log-newest` at once. The operator writes the configuration there, and the
runners their entries. Gateways run by the command of deploy/system.toml, with
settings of the form of deploy/gateway.toml.template.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # Exit codes.


def own_ip():
    """A loopback address of this run's own, so that no port is another's."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16 & 63)}.{pid >> 8 & 255}.{pid & 255 or 1}"


IP = own_ip()


def free_port(kind=socket.SOCK_STREAM, taken=set()):
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((IP, 0))
            port = probe.getsockname()[1]
        if port not in taken:
            taken.add(port)
            return port


class Record:
    """Writes a case's record.txt: what was sent, answered and run."""

    def __init__(self, path):
        # By lines, so that a run that is stopped leaves its record too.
        # pylint: disable=consider-using-with
        self.file = open(path, "w", buffering=1, encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, what):
        print(f"{time.monotonic() - self.begun:9.3f} {what}", file=self.file)

    def tell(self, what):
        self.write(what)
        print(what, flush=True)


class Spells:
    """A disruption that comes in spells: `length` seconds of each `period`."""

    def __init__(self, length, period):
        self.length, self.period, self.begun = length, period, None

    def begin(self):
        self.begun = time.monotonic()

    def on(self):
        return (TROUBLE and self.begun is not None and
                (time.monotonic() - self.begun) % self.period < self.length)


class Store:
    """The platform's store: topics of keyed records, one partition each."""

    ANSWER_S = 0.004

    def __init__(self):
        self.topics = {}
        self.slowness = 1  # Factor on the time of an answer.
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await wire.serve(self._handle, IP)
        return wire.port_of(self.server)

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records) - 1

    def put_json(self, topic, key, value):
        return self.append(topic, key, json.dumps(value).encode())

    async def _handle(self, connection, line, _headers, body):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.topics.setdefault(query["topic"], [])
        write = connection["writer"].write
        await asyncio.sleep(self.slowness * self.ANSWER_S)
        if url.path == "/v1/log-append" and method == "POST":
            if "at" in query and int(query["at"]) != len(records):
                write(wire.answer(412, {}, json.dumps(
                    {"end-offset": len(records)}).encode()))
                return
            size = body[4]
            offset = self.append(query["topic"], body[5:5 + size].decode(),
                                 body[5 + size:])
            write(wire.answer(200, {}, json.dumps(
                {"offset": offset, "end-offset": offset + 1}).encode()))
        elif url.path == "/v1/log-newest":
            newest = {key: (offset, value)
                      for offset, (key, value) in enumerate(records)}
            items = [{"key": key, "offset": offset,
                      "value": base64.b64encode(value).decode()}
                     for key, (offset, value) in newest.items() if value]
            write(wire.answer(200, {"Content-Type": "application/json"},
                              json.dumps({"items": items, "has-more": False,
                                          "end-offset": len(records)}
                                         ).encode()))
        else:
            source = int(query["source"])
            if source == len(records) and "wait-ms" in query:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           int(query["wait-ms"]) / 1000)
                except asyncio.TimeoutError:
                    pass
            records = self.topics[query["topic"]]
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[source:]:
                content = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            write(wire.answer(200, {}, data))


def route(path, kind, service, timeout_ms, objective_ms, **more):
    return {"name": path.strip("/"), "host": "desk.example",
            "path-prefix": path, "route-kind": kind, "service": service,
            "timeout-ms": timeout_ms, "target-latency-ms": objective_ms,
            "priority": 1, "max-attempts": 2, **more}


def engine(**more):
    return {"slots": 64, "kv-capacity-tokens": 38173, "kv-bytes": 18432,
            "link-mbps": 280000.0, "moves": True, "backups": True,
            "stride": 13, "most": 12, "handle-ttl-s": 0.5,
            "role-switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0,
            "models": [{"name": "m"}], **more}


def service(name, connections, **more):
    return {"name": name, "health-path": "/healthz", "protocol": "h1",
            "tls": False, "max-connections": connections, **more}


LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 4194304,
          "header-timeout-ms": 3000, "idle-timeout-ms": 15000}


class Gateway:
    """One gateway process. The platform restarts it when it ends by itself."""

    def __init__(self, name, zone, folder, store_port, record, restarts=True):
        self.name, self.zone, self.record = name, zone, record
        self.port, self.ready_port, self.metrics_port = (
            free_port() for _ in range(3))
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.restarts, self.process, self.watch = restarts, None, None
        self.own_ends = []  # Exit codes of ends by itself.
        self.started = []
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""[gateway]
id = "{name}"
domain = "{zone}"
listen = "{IP}:{self.port}"
readiness_listen = "{IP}:{self.ready_port}"
readiness_path = "/v1/readyz"
peer_listen = "{IP}:{self.peer_port}"
operations_listen = "{IP}:{self.metrics_port}"
drain_grace = "8s"

[repeats]
share = 0.2
extra = 58
window = "10s"

[quotas]

[store]
address = "{IP}:{store_port}"
""")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["gateway"]["run"].split()
        command = [self.settings if word.endswith(".toml") else word
                   for word in run]
        with open(self.log, "a", encoding="utf-8") as log:
            # pylint: disable=consider-using-with
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log,
                                            stderr=log)
        self.started.append(time.monotonic())
        self.record.write(f"{self.name} started, pid {self.process.pid}")
        if self.watch is None and self.restarts:
            self.watch = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self):
        while True:
            await asyncio.sleep(0.01)
            code = self.process.poll()
            if code is not None:
                self.own_ends.append(code)
                self.record.tell(f"{self.name} ended by itself, code {code}")
                await asyncio.sleep(0.3)
                self.start()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    IP, self.ready_port)
                writer.write(wire.message("GET /v1/readyz HTTP/1.1",
                                          {"Host": self.name}))
                line, _ = await wire.read_head(reader)
                writer.close()
                if " 200 " in line:
                    return True
            except (OSError, wire.Broken):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record.tell(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        if self.watch is not None:
            self.watch.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self, *words):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file
                    if any(word in line for word in words)]


async def _until_told(playing):
    """Runs the case; SIGTERM ends it, so that it stops its processes."""
    task = asyncio.ensure_future(playing)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return NOT_RUN


def run_case(record_path, play):
    """Runs `play(folder_for_files, record)`, which returns an exit code."""
    record = Record(record_path)
    record.tell(f"TROUBLE={int(TROUBLE)}, addresses at {IP}")
    files = tempfile.mkdtemp(prefix="review-")
    code = NOT_RUN
    try:
        code = asyncio.run(_until_told(play(files, record)))
    except Exception as error:  # pylint: disable=broad-except
        record.tell(f"the case could not run: {error!r}")
    finally:
        shutil.rmtree(files, ignore_errors=True)
    record.tell(f"exit {code}: " + {HELD: "the rule held",
                                    BROKEN: "the rule was broken",
                                    NOT_RUN: "could not run"}[code])
    record.file.close()
    sys.exit(code)
