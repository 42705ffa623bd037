"""Processes and ports on loopback, for the demo and the bench."""

import contextlib
import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import threading

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
# Below the system's range for the ports of outgoing connections, where a chosen
# port may be in use before its owner listens.
PORT_RANGE = range(11000, 31000)
# A port is chosen long before its owner listens on it, so that two concurrent
# scripts could choose the same. Each script reserves a slice of the range by
# listening on the slice's first port.
SLICE_PORTS = 2000
_ports_lock = threading.Lock()
_ports_given = set()
_slice_owner = None


def _own_slice():
    """The ports of this script's slice; call with the lock held."""
    global _slice_owner
    if _slice_owner is None:
        for first in PORT_RANGE[::SLICE_PORTS]:
            probe = socket.socket()
            try:
                probe.bind(("127.0.0.1", first))
                probe.listen()
            except OSError:
                probe.close()
                continue
            _slice_owner = probe
            break
        else:
            raise RuntimeError("every slice of the port range is taken")
    first = _slice_owner.getsockname()[1]
    return range(first + 1, first + SLICE_PORTS)


def free_port():
    """A port on which nothing listens, and that was not returned before."""
    with _ports_lock:
        ports = _own_slice()
        for _ in range(1000):
            port = random.choice(ports)
            if port in _ports_given:
                continue
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            _ports_given.add(port)
            return port
    raise RuntimeError("no free port")


def give_back(ports):
    with _ports_lock:
        _ports_given.difference_update(ports)


def binary(program):
    return BUILD / "src/app" / program / f"acacialug-{program}"


class Process:
    """A process that this script started, and its log."""

    def __init__(self, name, program, config, folder):
        self.name = name
        self.program = program
        self.config = config
        self.log = folder / f"{name}.log"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                [str(binary(program)), "--config", str(config)],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=folder,
                # The script handles an interrupt from the terminal, and ends
                # its processes in order.
                start_new_session=True)

    @property
    def pid(self):
        return self.popen.pid

    def alive(self):
        return self.popen.poll() is None

    def kill(self):
        """Kills the process at once, as if its host had failed."""
        self.popen.kill()
        self.popen.wait()

    def terminate(self):
        if self.alive():
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, seconds):
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.popen.wait(seconds)
        return not self.alive()

    def resident_kilobytes(self):
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])

    def processor_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        after_name = fields.rsplit(")", 1)[1].split()
        return (int(after_name[11]) + int(after_name[12])) / 100


def get(port, path, seconds=1.0):
    """(status, body) of a GET on loopback; (0, b"") if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=seconds)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def post(port, path, body, seconds=2.0):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=seconds)
    try:
        connection.request("POST", path, json.dumps(body),
                           {"Content-Type": "application/json"})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()
