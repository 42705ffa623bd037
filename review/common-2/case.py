"""What all scripts share: one small deployment on a loopback address.

The store runs in the script's own process; runners and gateways are processes
of their own. The gateway is started with the command of deploy/system.toml and
settings rendered from the template that it names. `TROUBLE=0` in the
environment: the same without the disruption.
"""

import asyncio
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

import wire
from store import Store

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
SETTINGS_PATH = "/etc/acacialug/local.toml"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_S = 15.0
LONGEST_S = 105.0
# As on the sheet of the smallest deployment.
BOUNDS = {"grace-s": 8, "retry-budget-ratio": 0.2, "retry-budget-extra": 58,
          "budget-window-s": 10}
DRAIN_MS = 2000
CONTACT_MS = 3000


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


def render(template, values):
    """The part of the platform's template language that the template uses."""
    def section(match):
        value = values.get(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))
    text = re.sub(r"{{#([^}]+)}}(.*?){{/\1}}", section, template, flags=re.S)
    return re.sub(r"{{([^}]+)}}", lambda m: str(values.get(m[1], "")), text)


class Answer:
    """What a client saw of one request."""

    def __init__(self, request):
        self.request = request
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.status = None
        self.headers = {}
        self.body = b""
        # "whole": the end that the answer's framing asks for; an answer
        # without length or chunks ends with its connection, if that is not
        # reset. "cut": anything else.
        self.end = None

    @property
    def sealed(self):
        return "x-acacialug-server-seal" in self.headers

    @property
    def success(self):
        return self.status is not None and 200 <= self.status < 300


class Case:
    def __init__(self, folder):
        self.folder = os.path.abspath(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        pid = os.getpid()
        self.ip = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
        self.next_port = 21000
        self.store = Store()
        self.processes = []
        self.gateways = []
        self.runner_log = os.path.join(self.temp, "runners.log")
        self.record = open(os.path.join(self.folder, "record.txt"), "w",
                           encoding="utf-8")
        self.started_at = time.monotonic()
        self.requests = 0

    @staticmethod
    def now():
        return time.monotonic()

    def note(self, *what):
        print(f"{time.monotonic() - self.started_at:8.3f}", *what,
              file=self.record, flush=True)

    def port(self):
        while True:
            self.next_port += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((self.ip, self.next_port))
                    return self.next_port
                except OSError:
                    continue

    async def start_store(self):
        sock = socket.socket()
        sock.bind((self.ip, self.port()))
        self.store_address = f"{self.ip}:{sock.getsockname()[1]}"
        await self.store.start(sock)

    def configure(self, version, routes, services):
        self.store.append("keyed.op", "config", json.dumps({
            "version": version, "route-list": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
        }).encode())

    def start_runner(self, name, service, **options):
        given = {"id": name, "service": service, "zone": "z",
                 "store": self.store_address, "log": self.runner_log,
                 "address": f"{self.ip}:{self.port()}", "stage": None,
                 "slots": 64, "memory": 42786, "framed": True, "drops": True,
                 "events": 60, "pause_ms": 15, "tokens_per_ms": 33.3333,
                 "work_ms": 30, "parts": 1, "part_ms": 0, "spoil_every": 0,
                 "serve_s": 8.0, "leave": os.path.join(self.temp, name),
                 **options}
        process = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "runner.py"),
             json.dumps(given)], stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, start_new_session=True)
        self.processes.append(process)
        return given

    def tell_to_leave(self, name):
        with open(os.path.join(self.temp, name), "w", encoding="ascii"):
            pass

    def start_gateway(self, name):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        listen, ready = self.port(), self.port()
        values = {
            "node-name": name, "zone": "z", "ip": self.ip,
            "listen.frontend": f"{self.ip}:{listen}",
            "listen.readiness": f"{self.ip}:{ready}",
            "internal-ports.0": self.port(), "internal-ports.1": self.port(),
            "limits.memory-mb": 110, "platform.address": self.store_address,
            **{f"bounds.{key}": value for key, value in BOUNDS.items()}}
        settings = os.path.join(self.temp, name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(template, values))
        words = [settings if word == SETTINGS_PATH else word
                 for word in role["run"].split()]
        words[0] = os.path.join(ROOT, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun(f"{role['run'].split()[0]} is not built")
        log = open(os.path.join(self.temp, name + ".log"), "w",
                   encoding="utf-8")
        process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        self.processes.append(process)
        gateway = {"name": name, "address": f"{self.ip}:{listen}",
                   "readiness": f"{self.ip}:{ready}", "process": process}
        self.gateways.append(gateway)
        return gateway

    async def await_ready(self):
        end = time.monotonic() + READY_S
        for gateway in self.gateways:
            while True:
                try:
                    status, _ = await wire.call(gateway["readiness"], "GET",
                                                "/v1/readyz")
                except (OSError, wire.Broken):
                    status = None
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{gateway['name']} is not ready")
                await asyncio.sleep(0.1)
        self.note("all gateways are ready")

    def new_request(self):
        self.requests += 1
        return hashlib.sha256(
            f"{os.getpid()}/{self.requests}/{time.time()}".encode()
        ).hexdigest()[:16]

    async def ask(self, gateway, path, deadline_ms, headers=None,
                  body=b"{}"):
        """One request on a connection of its own, as a client sends it."""
        answer = Answer(self.new_request())
        ip, _, port = gateway["address"].rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(ip, int(port))
                wire.write_head(writer, f"POST {path} HTTP/1.1", {
                    "Host": "api.example",
                    "X-Acacialug-Attempt-Id": answer.request,
                    "X-Acacialug-Deadline-Ms": deadline_ms,
                    "Content-Length": len(body), **(headers or {})})
                writer.write(body)
                line, answer.headers = await wire.read_head(reader)
                answer.status = int(line.split()[1])
                await self._read_answer(reader, answer)
        except (wire.Broken, OSError, TimeoutError, ValueError) as error:
            answer.end = "cut"
            answer.body += getattr(error, "partial", b"")
        finally:
            if writer is not None:
                writer.close()
        answer.ended_at = time.monotonic()
        return answer

    @staticmethod
    async def _read_answer(reader, answer):
        headers = answer.headers
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).strip() or b"x", 16)
                    part = await reader.readexactly(size)
                    await reader.readexactly(2)
                    if size == 0:
                        break
                    answer.body += part
            elif "content-length" in headers:
                answer.body = await reader.readexactly(
                    int(headers["content-length"]))
            else:
                while part := await reader.read(65536):
                    answer.body += part
            answer.end = "whole"
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            answer.end = "cut"

    async def ask_often(self, seconds, rate, one):
        """Starts `one(number)` at a steady rate; returns all results."""
        tasks, begun = [], time.monotonic()
        while (at := len(tasks) / rate) < seconds:
            await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
            tasks.append(asyncio.create_task(one(len(tasks))))
        return await asyncio.gather(*tasks)

    def runner_events(self):
        events = []
        if os.path.exists(self.runner_log):
            with open(self.runner_log, encoding="utf-8") as file:
                for line in file:
                    try:
                        events.append(json.loads(line))
                    except ValueError:
                        pass  # A worker was killed in the middle of it.
        return sorted(events, key=lambda event: event["t"])

    def worker_of(self, name):
        """The process id of the runner's newest worker."""
        born = [event for event in self.runner_events()
                if event["event"] == "born" and event["runner"] == name]
        if not born:
            raise CannotRun(f"{name} did not start")
        return born[-1]["pid"]

    def note_all(self, answers, with_runners=True):
        """Writes what was sent, answered and run to the record."""
        for answer in answers:
            self.note(
                f"sent at {answer.sent_at - self.started_at:.3f}",
                answer.request, "status", answer.status, "end", answer.end,
                "sealed" if answer.sealed else "not sealed", "bytes",
                len(answer.body), "at",
                f"{answer.ended_at - self.started_at:.3f}")
        for event in self.runner_events() if with_runners else ():
            at = event.pop("t") - self.started_at
            self.note(f"runner at {at:.3f}", json.dumps(event))

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        time.sleep(0.3)
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            try:
                # Runners lead a process group of their own, in which a worker
                # may have outlived its parent.
                if os.getpgid(process.pid) == process.pid:
                    os.killpg(process.pid, signal.SIGKILL)
            except OSError:
                pass
            process.wait()
        for event in self.runner_events():
            if event["event"] == "born":
                self._end_worker(event["pid"])
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    @staticmethod
    def _end_worker(pid):
        try:
            with open(f"/proc/{pid}/cmdline", "rb") as file:
                if b"runner.py" in file.read():
                    os.kill(pid, signal.SIGKILL)
        except OSError:
            pass


def route(path, kind, service, objective_ms, timeout_ms, resumable=False):
    made = {"name": path.strip("/"), "host": "api.example",
            "path-prefix": path, "service": service, "route-kind": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": objective_ms,
            "max-attempts": 2, "priority": 0}
    if kind == "streaming":
        made.update({"resumable": resumable, "sticky": True,
                     "gap-target-ms": 300})
    return made


def engine_service(name, memory=42786):
    return {"name": name, "health-path": "/healthz", "max-connections": 370,
            "engine": {"slots": 64, "kv-capacity-tokens": memory, "stride": 1,
                       "handle-ttl-s": 0.5, "role-switch-s": 6.0}}


def plain_service(name):
    return {"name": name, "health-path": "/healthz", "max-connections": 110}


def give_up(case):
    case.note("could not run: it takes too long")
    case.stop()
    os._exit(2)


def run(folder, scenario):
    """Runs `scenario(case)`, which returns the breaches; exits as asked."""
    case = Case(folder)
    code = 2
    watchdog = threading.Timer(LONGEST_S, give_up, [case])
    watchdog.daemon = True
    watchdog.start()
    try:
        # Not asyncio.run, which awaits the end of what it cancels.
        breaches = asyncio.new_event_loop().run_until_complete(scenario(case))
        for breach in breaches:
            case.note("BREACH", breach)
        case.note("breaches:", len(breaches),
                  "with the disruption" if TROUBLE else "without it")
        print(f"{len(breaches)} breaches")
        code = 1 if breaches else 0
    except CannotRun as error:
        case.note("could not run:", error)
        print("could not run:", error)
    except Exception:
        traceback.print_exc()
        case.note("could not run:", traceback.format_exc())
    finally:
        watchdog.cancel()
        case.stop()
        case.record.close()
    sys.stdout.flush()
    os._exit(code)
