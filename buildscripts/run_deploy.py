#!/usr/bin/env python3
"""Starts a ready deployment from its own files, and breaks it.

    run_deploy.py agency|bellerive

Every process has the settings of deploy/NAME, but for addresses, which become
ports of loopback that the system chose, and for keys, which are made for the
run. The engines and the platform are stand-ins. Each step holds the answers and
what the engines did against a promise. Closes with `N passed, N failed`.
"""

import itertools
import json
import os
import pathlib
import shutil
import subprocess
import sys
import time

import deploy_files
from answers import (Difference, engine_answer, expect, open_stream, request,
                     rest_of_stream, streamed_answer)
from deployment import Cluster
from deployment_shapes import DEPLOYMENTS
from loopback import BUILD, ROOT, binary, get, post

# Much longer than any wait: it only ends a run that hangs.
HANG_SECONDS = 60
LONG_ANSWER_TOKENS = 150


def await_that(holds, words):
    """Waits until `holds()`; reports its last value if it never does."""
    deadline = time.monotonic() + HANG_SECONDS
    while not (last := holds()):
        expect(time.monotonic() < deadline, f"waited in vain: {words} ({last})")
        time.sleep(0.05)
    return last


def new_key():
    """A UUID of version 7 (RFC 9562)."""
    milliseconds = time.time_ns() // 1_000_000
    bits = (milliseconds << 80) | (7 << 76) | (
        int.from_bytes(os.urandom(2), "big") % 4096 << 64) | (2 << 62) | (
        int.from_bytes(os.urandom(8), "big") >> 2)
    text = f"{bits:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20],
                     text[20:]))


class Keys:
    """Certificates of an authority that is created for one run."""

    def __init__(self, folder):
        self.folder = folder
        self._openssl("req", "-x509", "-newkey", "rsa:2048", "-nodes",
                      "-keyout", "authority.key", "-out", "authority.pem",
                      "-subj", "/CN=authority", "-days", "2")
        for side in ("entry", "agent"):
            self._openssl("req", "-newkey", "rsa:2048", "-nodes", "-keyout",
                          f"{side}.key", "-out", f"{side}.csr", "-subj",
                          f"/CN={side}")
            self._openssl("x509", "-req", "-in", f"{side}.csr", "-CA",
                          "authority.pem", "-CAkey", "authority.key",
                          "-CAcreateserial", "-out", f"{side}.pem", "-days",
                          "2")

    def _openssl(self, *arguments):
        done = subprocess.run(["openssl", *arguments], cwd=self.folder,
                              capture_output=True, text=True, check=False)
        expect(done.returncode == 0, f"openssl: {done.stderr}")


class Deployed(Cluster):
    """A cluster whose settings are the files of deploy/NAME."""

    def __init__(self, deployment, folder):
        super().__init__(deployment, folder)
        self.files = ROOT / "deploy" / deployment.name
        platform = ((deploy_files.LOG, self.log_port),
                    (deploy_files.HOSTS, self.hosts_port),
                    (deploy_files.WEIGHTS, self.weights_port))
        self.ports_of = dict(platform)
        for index, port in enumerate(self.entry_ports):
            number = deploy_files.FIRST_ENTRY + index
            self.ports_of[deploy_files.address(number, 8080)] = port
            self.ports_of[deploy_files.address(number, 8081)] = (
                self.entry_operations[index])
        for row, endpoint in zip(deploy_files.endpoints(deployment),
                                 self.endpoints, strict=True):
            self.ports_of[deploy_files.address(row[4], 7000)] = (
                endpoint.agent_port)
            self.ports_of[deploy_files.address(row[4], 7100)] = (
                endpoint.operations_port)

    def _text(self, name, engine_port=None):
        text = (self.files / f"{name}.toml").read_text()
        for address, port in self.ports_of.items():
            text = text.replace(f'"{address}"', f'"127.0.0.1:{port}"')
        text = text.replace(deploy_files.TLS, str(self.folder))
        if engine_port is not None:
            text = text.replace('"127.0.0.1:8000"',
                                f'"127.0.0.1:{engine_port}"')
        expect("192.0.2." not in text, f"{name}: an address has no port here")
        return text

    def manifest_text(self):
        return self._text("manifest")

    def _agent_text(self, endpoint):
        return self._text(f"agent-{endpoint.id}", endpoint.engine_port)

    def _entry_text(self, index):
        return self._text(f"entry-{index + 1}")

    def _await(self, path, ports):
        # Entries are ready only with a manifest, which is published last.
        super()._await("/healthz" if path == "/readyz" else path, ports)

    def start(self):
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        Keys(self.folder)
        super().start()

    # ---- queries of the steps ----

    @property
    def nodes(self):
        return self.entry_operations + [
            endpoint.operations_port for endpoint in self.endpoints]

    def ctl(self, *arguments):
        nodes = ",".join(f"127.0.0.1:{port}" for port in self.nodes)
        return subprocess.Popen(
            [str(binary("ctl").parent / "acacialugctl"),
             f"--log=127.0.0.1:{self.log_port}", f"--nodes={nodes}",
             f"--timeout={HANG_SECONDS}s", "--json", *arguments],
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def run_ctl(self, *arguments):
        """(exit code, output)."""
        process = self.ctl(*arguments)
        output = process.communicate(timeout=2 * HANG_SECONDS)[0]
        return process.returncode, output

    def publish(self, text):
        """Publishes, and waits until the manifest is active on every node."""
        path = self._write("published", text)
        code, output = self.run_ctl("manifest", "publish", str(path))
        expect(code == 0, f"publish: {code}: {output}")
        self.await_in_force()

    def current(self):
        code, output = self.run_ctl("manifest", "show")
        expect(code == 0, f"show: {code}: {output}")
        return json.loads(output)

    def await_in_force(self):
        offset = self.current()["offset"]
        code, output = self.run_ctl("manifest", "wait", str(offset))
        expect(code == 0, f"wait {offset}: {code}: {output}")

    def successor(self, version, change=lambda text: text):
        """The text of a manifest that replaces the current one."""
        offset = self.current()["offset"]
        text = self.manifest_text()
        name = self.deployment.name
        text = text.replace(f'"{name}.1"', f'"{version}"')
        text = text.replace("replaces = 0", f"replaces = {offset}")
        return change(text)

    def holders(self):
        """Endpoints whose engine holds something, decode ones first."""
        return [endpoint
                for endpoint in self.engines("decode") + self.engines("prefill")
                if json.loads(get(endpoint.engine_port, "/requests")[1])
                ["requests"]]

    def await_nothing_held(self):
        await_that(lambda: not self.holders(), "engines hold nothing")

    def executions(self, marker):
        """How often a call ran, by endpoint."""
        counts = {}
        for endpoint in self.engines("plain"):
            ran = json.loads(get(endpoint.engine_port, "/executions")[1])
            counts[endpoint.id] = ran.get(marker, 0)
        return counts

    def await_ready(self, index):
        await_that(lambda: get(self.entry_operations[index],
                               "/readyz")[0] == 200, "the entry is ready")


def prompt_of(words, tokens=LONG_ANSWER_TOKENS):
    return f"{words} " * 200 + f"\n[answer-tokens={tokens}]"


class Steps:
    """The steps, in order."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.model = cluster.deployment.model.model
        self.service = cluster.deployment.plain.name

    def stream(self, entry, prompt):
        """(connection, lines) of a stream, after its first event."""
        connection, answer = open_stream(self.cluster.entry_ports[entry],
                                         self.model, prompt)
        first = answer.readline()
        expect(self.cluster.holders(), "nothing runs")
        return connection, itertools.chain([first], answer)

    def expect_whole(self, lines, prompt):
        text, reason, usage, _ = rest_of_stream(lines)
        port = self.cluster.engines("decode")[-1].engine_port
        produced = engine_answer(port, self.model, prompt)
        expect(text == produced, f"{text[:80]!r} in place of "
                                 f"{produced[:80]!r}")
        expect(reason == "stop", f"finish reason {reason}")
        expect(usage["completion_tokens"] == LONG_ANSWER_TOKENS, f"{usage}")

    def call(self, entry, marker, headers=None, path="issue"):
        """(status, headers, body)."""
        connection, answer = request(
            self.cluster.entry_ports[entry],
            f"/services/{self.service}/{path}",
            json.dumps({"marker": marker}), headers)
        body = answer.read()
        connection.close()
        return answer.status, answer.headers, body

    def refused(self, entry, marker, number, headers=None):
        status, told, body = self.call(entry, marker, headers)
        expect(status >= 400, f"answered {status}")
        expect(json.loads(body)["error"]["number"] == number, f"{body}")
        expect(told["X-Outcome"] == "not_run", f"{told['X-Outcome']}")
        self.expect_runs(marker, 0)

    def expect_runs(self, marker, times):
        ran = self.cluster.executions(marker)
        expect(sum(ran.values()) == times, f"it ran {ran}")

    # ---- the steps ----

    def waits_for_its_manifest(self):
        for port in self.cluster.entry_operations:
            expect(get(port, "/readyz")[0] == 503, "ready without a manifest")
        self.cluster.publish(self.cluster.manifest_text())
        for index in range(len(self.cluster.entry_ports)):
            self.cluster.await_ready(index)

    def streams_a_document(self):
        prompt = prompt_of("a title sheet")
        text, reason, _, pieces = streamed_answer(
            self.cluster.entry_ports[0], self.model, prompt)
        produced = engine_answer(
            self.cluster.engines("decode")[0].engine_port, self.model, prompt)
        expect(text == produced and reason == "stop", "the answer differs")
        expect(pieces > 1, "the answer came in one piece")
        self.cluster.await_nothing_held()

    def answers_a_lookup(self):
        status, told, _ = self.call(0, "a-lookup", path="lookup")
        expect(status == 200 and told["X-Outcome"] == "completed",
               f"{status} {told['X-Outcome']}")
        self.expect_runs("a-lookup", 1)

    def refuses_what_names_no_key(self):
        self.refused(0, "without-key", 4001)

    def runs_a_key_once(self):
        key = {"Idempotency-Key": new_key()}
        first = self.call(0, "with-key", key)
        expect(first[0] == 200, f"{first}")
        for entry in range(len(self.cluster.entry_ports)):
            status, told, body = self.call(entry, "with-key", key)
            expect((status, body) == (200, first[2]), f"{status} {body}")
            expect(told["X-Replayed"] == "true", "not told as kept")
        self.expect_runs("with-key", 1)

    def goes_on_by_tickets_while_the_log_is_out(self):
        post(self.cluster.log_port, "/control", {"refuse": True})
        try:
            self.refused(0, "log-out", 2011, {"Idempotency-Key": new_key()})
            connection, answer = request(self.cluster.entry_ports[0],
                                         f"/tickets/{self.service}", "")
            ticket = json.loads(answer.read())["ticket"]
            connection.close()
            answers = [self.call(entry, "by-ticket", {"X-Ticket": ticket})
                       for entry in range(2)]
        finally:
            post(self.cluster.log_port, "/control", {"refuse": False})
        expect([row[0] for row in answers] == [200, 200], f"{answers}")
        expect(answers[0][2] == answers[1][2], "two answers differ")
        self.expect_runs("by-ticket", 1)

    def frees_what_a_gone_caller_held(self):
        connection, _ = self.stream(0, prompt_of("leaves early", 2000))
        connection.close()
        self.cluster.await_nothing_held()

    def frees_what_a_killed_entry_held(self):
        connection, _ = self.stream(0, prompt_of("entry dies", 2000))
        self.cluster.process("entry-1").kill()
        self.cluster.await_nothing_held()
        connection.close()
        self.cluster.restart("entry-1")
        self.cluster.await_ready(0)

    def resumes_a_stream_whose_agent_is_killed(self):
        prompt = prompt_of("agent dies")
        connection, lines = self.stream(1, prompt)
        holder = self.cluster.holders()[0].id
        self.cluster.process(f"agent-{holder}").kill()
        self.expect_whole(lines, prompt)
        connection.close()
        self.cluster.restart(f"agent-{holder}")
        self.cluster.await_nothing_held()

    def lets_one_of_two_publishers_win(self):
        texts = [self.cluster.successor(f"race.{side}") for side in "ab"]
        paths = [self.cluster._write(f"race-{index}", text)
                 for index, text in enumerate(texts)]
        racing = [self.cluster.ctl("manifest", "publish", str(path))
                  for path in paths]
        codes = sorted((process.communicate()[0], process.returncode)[1]
                       for process in racing)
        expect(codes == [0, 5], f"exit codes {codes}")
        self.cluster.await_in_force()

    def gives_a_leaving_endpoint_no_new_work(self):
        leaving = self.cluster.engines("plain")[0].id
        mark = f'id = "{leaving}"\n'
        self.cluster.publish(self.cluster.successor(
            "leaving.1", lambda text: text.replace(
                mark, mark + "leaving = true\n")))
        for number in range(20):
            marker = f"after-leaving-{number}"
            status, _, body = self.call(
                number % len(self.cluster.entry_ports), marker, path="lookup")
            expect(status == 200, f"{status} {body}")
            ran = self.cluster.executions(marker)
            expect(ran[leaving] == 0 and sum(ran.values()) == 1, f"{ran}")
        self.cluster.publish(self.cluster.successor("back.1"))

    def drains_without_cutting_a_stream_off(self):
        prompt = prompt_of("entry drains")
        connection, lines = self.stream(1, prompt)
        entry = self.cluster.process("entry-2")
        entry.terminate()
        await_that(lambda: get(self.cluster.entry_operations[1],
                               "/readyz")[0] != 200, "the drain shows")
        self.expect_whole(lines, prompt)
        connection.close()
        expect(entry.wait(HANG_SECONDS), "the entry did not end")
        expect(entry.popen.returncode == 0,
               f"exit code {entry.popen.returncode}")
        self.cluster.await_nothing_held()

    def ends_in_order(self):
        processes = [process for process in self.cluster.processes
                     if process.alive()]
        stubborn = self.cluster.stop()
        expect(not stubborn, f"did not stop when told to: {stubborn}")
        codes = {process.name: process.popen.returncode
                 for process in processes if process.popen.returncode != 0}
        expect(not codes, f"exit codes {codes}")


STEPS = (
    Steps.waits_for_its_manifest,
    Steps.streams_a_document,
    Steps.answers_a_lookup,
    Steps.refuses_what_names_no_key,
    Steps.runs_a_key_once,
    Steps.goes_on_by_tickets_while_the_log_is_out,
    Steps.frees_what_a_gone_caller_held,
    Steps.frees_what_a_killed_entry_held,
    Steps.resumes_a_stream_whose_agent_is_killed,
    Steps.lets_one_of_two_publishers_win,
    Steps.gives_a_leaving_endpoint_no_new_work,
    Steps.drains_without_cutting_a_stream_off,
    Steps.ends_in_order,
)


def run(cluster):
    """Number of steps that failed; the first failure ends the run."""
    steps = Steps(cluster)
    passed = 0
    try:
        cluster.start()
        for step in STEPS:
            words = step.__name__.replace("_", " ")
            try:
                step(steps)
            except (Difference, OSError, KeyError, ValueError) as error:
                print(f"{cluster.deployment.name} {words} : assertion")
                print(f"{type(error).__name__}: {error}")
                return passed, 1
            print(f"{cluster.deployment.name} {words} : OK", flush=True)
            passed += 1
        return passed, 0
    finally:
        cluster.stop()


def main(arguments):
    if len(arguments) != 1 or arguments[0] not in deploy_files.POLICY:
        print(__doc__, file=sys.stderr)
        return 2
    folder = pathlib.Path(BUILD / "run" / f"deploy-{arguments[0]}")
    passed, failed = run(Deployed(DEPLOYMENTS[arguments[0]], folder))
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
