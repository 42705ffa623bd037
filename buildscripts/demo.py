#!/usr/bin/env python3
"""The demo: a small deployment on loopback; see demo.sh.

    demo.py           start it, tell the callers' addresses, serve until ended
    demo.py --check   send a document and a plain call through it, compare the
                      answers, stop it, print "demo: ok"
"""

import contextlib
import json
import signal
import sys

import deployment
import deployment_shapes
import loopback
from answers import (Difference, engine_answer, expect, request,
                     streamed_answer)

# The stand-in engines count a token for every 4 bytes of a prompt.
BYTES_PER_TOKEN = 4
DOCUMENT_TOKENS = 8500
ANSWER_TOKENS = 200
MODEL = deployment_shapes.DEMO.model.model
PAGE = loopback.ROOT / "docs/RESULT_CODES.md"


def document():
    page = PAGE.read_text()
    repeats = DOCUMENT_TOKENS * BYTES_PER_TOKEN // len(page.encode()) + 1
    return page * repeats + f"\n[answer-tokens={ANSWER_TOKENS}]"


def stats(cluster, role):
    return [json.loads(loopback.get(endpoint.engine_port, "/stats")[1])
            for endpoint in cluster.engines(role)]


def check_generation(cluster):
    prompt = document()
    text, reason, usage, pieces = streamed_answer(cluster.entry_ports[0],
                                                  MODEL, prompt)
    prefill, decode = stats(cluster, "prefill"), stats(cluster, "decode")
    produced = engine_answer(cluster.engines("decode")[0].engine_port, MODEL,
                             prompt)
    expect(text == produced, f"the answer differs: {text[:60]!r}... in place "
                             f"of {produced[:60]!r}...")
    expect(reason == "stop", f"finish reason {reason}")
    expect(pieces > 1, "the answer came in one piece")
    expect(usage["prompt_tokens"] >= 8000, f"usage {usage}")
    expect(usage["completion_tokens"] == ANSWER_TOKENS, f"usage {usage}")
    computed = sum(engine["prefill_computed_tokens"] for engine in prefill)
    expect(computed >= 8000, f"the prefill pool computed {computed} tokens")
    fetched = sum(engine["exports_fetched"] for engine in prefill)
    expect(fetched == 1, f"{fetched} KV caches were handed over")
    streams = sum(engine["streams_done"] for engine in decode)
    expect(streams == 1, f"{streams} streams ran in the decode pool")
    print(f"streamed: {usage['prompt_tokens']} tokens of document, "
          f"{usage['completion_tokens']} tokens of answer in {pieces} events, "
          "equal to the engine's")


def check_call(cluster):
    body = json.dumps({"marker": "demo-call", "isbn": "978-954-0-00000-1"})
    connection, answer = request(cluster.entry_ports[1],
                                 "/services/registry-app/lookup?full=1", body)
    got = answer.read()
    connection.close()
    expect(answer.status == 200, f"the entry answered {answer.status}: {got}")
    ran = sum(json.loads(loopback.get(endpoint.engine_port,
                                        "/executions")[1]).get("demo-call", 0)
              for endpoint in cluster.engines("plain"))
    expect(ran == 1, f"the call ran {ran} times")
    port = cluster.engines("plain")[0].engine_port
    connection, answer = request(port, "/lookup?full=1", body)
    produced = answer.read()
    connection.close()
    expect(got == produced, f"the answer differs: {got} in place of "
                            f"{produced}")
    print(f"plain call: {len(got)} bytes of answer, equal to the service's")


def check(cluster):
    check_generation(cluster)
    check_call(cluster)


def serve(cluster):
    for port in cluster.entry_ports:
        print(f"callers: http://127.0.0.1:{port}/v1 and "
              f"http://127.0.0.1:{port}/services/registry-app/", flush=True)
    print("serving until interrupted (Ctrl-C)", flush=True)
    with contextlib.suppress(KeyboardInterrupt):
        while True:
            signal.pause()


def main(arguments):
    if arguments not in ([], ["--check"]):
        print(__doc__, file=sys.stderr)
        return 2
    # The interrupt's own handler raises KeyboardInterrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    cluster = deployment.Cluster(deployment_shapes.DEMO,
                                 loopback.BUILD / "run/demo")
    failure = None
    try:
        cluster.start()
        (check if arguments else serve)(cluster)
    except KeyboardInterrupt:
        failure = "interrupted"
    except (Difference, RuntimeError, OSError, KeyError, ValueError) as error:
        failure = f"{type(error).__name__}: {error}"
    stubborn = cluster.stop()
    if failure is None and stubborn:
        failure = f"did not stop when told to: {', '.join(stubborn)}"
    if failure is not None:
        print(f"demo: failed: {failure}", file=sys.stderr)
        return 1
    if arguments:
        print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
