#!/usr/bin/env python3
"""Starts a whole deployment on loopback for the demo and the bench.

A Cluster writes the settings of every process into one folder, starts the
stand-ins, the agents and the entries, waits until each says that it is ready,
and ends by process id what it started. Usage as a program:

    deployment.py check DEPLOYMENT     start it, tell the addresses, stop it
"""

import dataclasses
import pathlib
import sys
import time

import publication
from deployment_shapes import DEPLOYMENTS
from loopback import BUILD, Process, free_port, get, give_back
from settings_file import settings_text

READY_SECONDS = 20
STOP_SECONDS = 15


@dataclasses.dataclass
class Endpoint:
    """One runner: the engine or service and the agent beside it."""

    id: str
    domain: str
    service: str
    role: str
    engine_port: int
    agent_port: int
    operations_port: int


class Cluster:
    """A deployment on loopback ports; use it as a context manager.

    The policies have the settings' own names; `order` is the entries', of the
    requests that wait for a place, `agent_order` that of admitted prefills. Engines of one process share its thread: `engines_a_process`
    bounds how many. `from_log`: the manifest comes from the platform's log
    in place of a file.
    """

    def __init__(self, deployment, folder, reservation="hold",
                 order="arrival", agent_order="arrival",
                 placement="predicted", counts_queue=True,
                 engines_a_process=8, entry_shards=2, log_level="warning",
                 seed=1, renew_interval_ms=1000, from_log=False,
                 ready_seconds=READY_SECONDS):
        self.deployment = deployment
        self.from_log = from_log
        self.ready_seconds = ready_seconds
        self.folder = pathlib.Path(folder)
        self.policy = {"reservation": reservation,
                       "feasibility_counts_queue": counts_queue}
        self.order, self.agent_order = order, agent_order
        self.placement = placement
        self.engines_a_process = engines_a_process
        self.entry_shards = entry_shards
        self.renew_interval_ms = renew_interval_ms
        self.log_level = log_level
        self.seed = seed
        self.processes = []
        self.ports = []
        self.endpoints = self._endpoints()
        self.log_port, self.hosts_port, self.weights_port = (
            self._port(), self._port(), self._port())
        self.entry_domains = [
            deployment.domains[index % len(deployment.domains)]
            for index in range(deployment.entries)]
        self.entry_ports = [self._port() for _ in self.entry_domains]
        self.entry_operations = [self._port() for _ in self.entry_domains]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _port(self):
        port = free_port()
        self.ports.append(port)
        return port

    def _endpoints(self):
        model, plain = self.deployment.model, self.deployment.plain
        kinds = ([("prefill", model.name)] * model.prefill +
                 [("decode", model.name)] * model.decode +
                 [("plain", plain.name)] * plain.count)
        endpoints = []
        numbers = {}
        for role, service in kinds:
            number = numbers[role] = numbers.get(role, 0) + 1
            # Each role is spread over all failure domains.
            domain = self.deployment.domains[
                (number - 1) % len(self.deployment.domains)]
            endpoints.append(Endpoint(
                f"{service}-{role}-{number}", domain, service, role,
                self._port(), self._port(), self._port()))
        return endpoints

    def engines(self, role):
        return [endpoint for endpoint in self.endpoints
                if endpoint.role == role]

    def addresses(self, role):
        return [f"127.0.0.1:{endpoint.engine_port}"
                for endpoint in self.engines(role)]

    # ---- settings ----

    def manifest_text(self, number=1, replaces=0):
        deployment, model = self.deployment, self.deployment.model
        plain, shape = deployment.plain, deployment.model.engine
        sections = [("", {"version": f"{deployment.name}.{number}",
                          "replaces": replaces,
                          "domains": list(deployment.domains),
                          "require_known_callers": False})]
        for index, one in enumerate(deployment.domains):
            for other in deployment.domains[index + 1:]:
                sections.append(("[[distance]]", {
                    "from": one, "to": other,
                    "one_way": f"{deployment.one_way_us}us"}))
        sections += [
            ("[[service]]", {
                "name": model.name, "kind": "model", "models": [model.model],
                "model_version": "1", "context_tokens": model.context_tokens,
                "kv_bytes_per_token": shape.kv_bytes_per_token}),
            ("[[service.class]]", {
                "name": model.latency_class, "first_token": model.first_token,
                "token_interval": model.token_interval,
                "patience": model.patience}),
            ("[[service]]", {"name": plain.name, "kind": "plain"}),
            ("[[service.class]]", {
                "name": plain.latency_class, "first_token": plain.answer_in}),
            ("[[service.idempotency]]", {
                "method": "POST", "path": "/lookup", "idempotent": True}),
        ]
        for endpoint in self.endpoints:
            sections.append(("[[endpoint]]", self._endpoint_record(endpoint)))
        return settings_text(sections)

    def _endpoint_record(self, endpoint):
        shape = self.deployment.model.engine
        record = {"id": endpoint.id, "host": f"host-{endpoint.id}",
                  "domain": endpoint.domain, "service": endpoint.service,
                  "role": endpoint.role,
                  "agent": f"127.0.0.1:{endpoint.agent_port}",
                  "slots": 1, "checks_fencing": True}
        if endpoint.role == "decode":
            record |= {"slots": shape.slots, "kv_tokens": shape.kv_tokens,
                       "link_bytes_per_second": shape.link_bytes_per_second}
        elif endpoint.role == "plain":
            record["slots"] = self.deployment.plain.slots
        return record

    def _delay_us(self, domain):
        """Mean one-way delay between the entries and a failure domain."""
        crossing = sum(entry != domain for entry in self.entry_domains)
        return round(self.deployment.one_way_us * crossing /
                     len(self.entry_domains))

    def _stand_in_record(self, endpoint):
        shape, plain = self.deployment.model.engine, self.deployment.plain
        record = {"id": endpoint.id,
                  "listen": f"127.0.0.1:{endpoint.engine_port}",
                  "one_way_delay": f"{self._delay_us(endpoint.domain)}us",
                  "seed": self.seed * 1000 + endpoint.engine_port % 1000}
        if endpoint.role == "plain":
            return ("[[service]]", record | {
                "mean_time": f"{plain.service_ms}ms", "times": plain.times,
                "concurrency": plain.slots})
        return ("[[engine]]", record | {
            "role": endpoint.role, "model": self.deployment.model.model,
            "version": "1",
            "base_iteration": f"{shape.base_iteration_us}us",
            "stream_iteration": f"{shape.stream_iteration_us}us",
            "calibration_context": shape.calibration_context,
            "slots": shape.slots, "kv_tokens": shape.kv_tokens
            if endpoint.role == "decode" else 0,
            "context_tokens": self.deployment.model.context_tokens,
            "prefill_tokens_per_second": shape.prefill_tokens_per_second,
            "prefill_fixed": f"{shape.prefill_fixed_ms}ms",
            "export_lifetime": f"{shape.export_lifetime_ms}ms",
            "kv_bytes_per_token": shape.kv_bytes_per_token,
            "link_bytes_per_second": shape.link_bytes_per_second,
            "transfer_setup": f"{shape.transfer_setup_ms}ms",
            "load_lag": f"{shape.load_lag_ms}ms"})

    def _manifest_keys(self):
        return {} if self.from_log else {
            "file": str(self.folder / "manifest.toml")}

    def _peer_keys(self):
        return {"peers": [f"127.0.0.1:{port}"
                          for port in self.entry_operations]
                } if self.from_log else {}

    def _agent_text(self, endpoint):
        engine = self.deployment.model.engine
        return settings_text([
            ("[agent]", {
                "endpoint": endpoint.id, "domain": endpoint.domain,
                "listen": f"127.0.0.1:{endpoint.agent_port}",
                "operations_listen":
                    f"127.0.0.1:{endpoint.operations_port}"}),
            ("[engine]", {
                "address": f"127.0.0.1:{endpoint.engine_port}",
                "kind": "plain" if endpoint.role == "plain" else "openai"}),
            ("[manifest]", self._manifest_keys()),
            ("[platform]", {"log": f"127.0.0.1:{self.log_port}"} |
             self._peer_keys()),
            ("[policy]", self.policy | {
                "session_lease": f"{3 * self.renew_interval_ms}ms",
                "order": self.agent_order, "export_lifetime": f"{engine.export_lifetime_ms}ms"}),
            ("[log]", {"level": self.log_level})])

    def _entry_text(self, index):
        return settings_text([
            ("[entry]", {
                "id": f"entry-{index + 1}",
                "domain": self.entry_domains[index],
                "listen": f"127.0.0.1:{self.entry_ports[index]}",
                "operations_listen":
                    f"127.0.0.1:{self.entry_operations[index]}",
                "shards": self.entry_shards}),
            ("[manifest]", self._manifest_keys()),
            ("[platform]", {"log": f"127.0.0.1:{self.log_port}",
                            "hosts": f"127.0.0.1:{self.hosts_port}"} |
             self._peer_keys()),
            ("[policy]", self.policy | {
                "renew_interval": f"{self.renew_interval_ms}ms",
                "order": self.order, "placement": self.placement}),
            ("[log]", {"level": self.log_level})])

    def _platform_text(self):
        return settings_text([
            ("[log]", {"listen": f"127.0.0.1:{self.log_port}"}),
            ("[hosts]", {
                "listen": f"127.0.0.1:{self.hosts_port}",
                "live": [f"host-{endpoint.id}"
                         for endpoint in self.endpoints]}),
            ("[weights]", {"listen": f"127.0.0.1:{self.weights_port}"})])

    def _write(self, name, text):
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    # ---- processes ----

    def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.glob("*.log"):
            old.unlink()
        self._write("manifest", self.manifest_text())
        self._spawn("platform", "standin", self._platform_text())
        records = [self._stand_in_record(endpoint)
                   for endpoint in self.endpoints]
        for first in range(0, len(records), self.engines_a_process):
            self._spawn(
                f"standin-{first // self.engines_a_process + 1}", "standin",
                settings_text(records[first:first + self.engines_a_process]))
        self._await("/health", [endpoint.engine_port
                                for endpoint in self.endpoints])
        if self.from_log:
            publication.publish(self.log_port, self.manifest_text())
        for endpoint in self.endpoints:
            self._spawn(f"agent-{endpoint.id}", "agent",
                        self._agent_text(endpoint))
        self._await("/healthz", [endpoint.operations_port
                                 for endpoint in self.endpoints])
        for index in range(len(self.entry_ports)):
            self._spawn(f"entry-{index + 1}", "entry",
                        self._entry_text(index))
        self._await("/readyz", self.entry_operations)

    def _spawn(self, name, program, text):
        config = self._write(name, text)
        self.processes.append(Process(name, program, config, self.folder))

    def restart(self, name):
        """Restarts a process that died, with the same settings."""
        old = self.process(name)
        self.processes[self.processes.index(old)] = Process(
            name, old.program, old.config, self.folder)

    def process(self, name):
        return next(process for process in self.processes
                    if process.name == name)

    def _await(self, path, ports):
        deadline = time.monotonic() + self.ready_seconds
        waiting = list(ports)
        while waiting:
            waiting = [port for port in waiting if get(port, path)[0] != 200]
            if not waiting:
                return
            dead = [process for process in self.processes
                    if not process.alive()]
            if dead:
                raise RuntimeError(
                    f"{dead[0].name} ended: " +
                    dead[0].log.read_text(errors="replace")[-2000:])
            if time.monotonic() > deadline:
                raise RuntimeError(f"ports {waiting} are not ready ({path}) "
                                   f"after {self.ready_seconds} s; logs in "
                                   f"{self.folder}")
            time.sleep(0.05)

    def stop(self):
        """Ends every process; entries first, so that agents see them leave.

        Returns the names of those that had to be killed.
        """
        stubborn = []
        for kind in ("entry", "agent", "standin", "platform"):
            own = [process for process in self.processes
                   if process.name.startswith(kind)]
            for process in own:
                process.terminate()
            deadline = time.monotonic() + STOP_SECONDS
            for process in own:
                if not process.wait(max(0, deadline - time.monotonic())):
                    process.kill()
                    stubborn.append(process.name)
        self.processes = []
        give_back(self.ports)
        return stubborn


def main(arguments):
    if len(arguments) != 2 or arguments[0] != "check" or (
            arguments[1] not in DEPLOYMENTS):
        print(__doc__, file=sys.stderr)
        return 2
    deployment = DEPLOYMENTS[arguments[1]]
    cluster = Cluster(deployment, BUILD / "run" / deployment.name)
    with cluster:
        for index, port in enumerate(cluster.entry_ports):
            print(f"entry {index + 1}: http://127.0.0.1:{port}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
