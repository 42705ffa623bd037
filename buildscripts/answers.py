"""Requests to entries and stand-ins, and their expected answers."""

import http.client
import json

# Larger than any answer that the scripts request.
MAX_TOKENS = 4000


class Difference(Exception):
    """An answer or a figure is not as expected."""


def expect(holds, words):
    if not holds:
        raise Difference(words)


def request(port, path, body, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    connection.request("POST", path, body, {
        "Content-Type": "application/json", **(headers or {})})
    return connection, connection.getresponse()


def generation_body(model, prompt, stream):
    body = {"model": model, "prompt": prompt, "max_tokens": MAX_TOKENS,
            "stream": stream}
    if stream:
        body["stream_options"] = {"include_usage": True}
    return json.dumps(body)


def streamed_answer(port, model, prompt):
    """(text, finish reason, usage, number of text events) by the router."""
    connection, answer = open_stream(port, model, prompt)
    try:
        return rest_of_stream(answer)
    finally:
        connection.close()


def open_stream(port, model, prompt):
    """(connection, answer) of a generation, after the head of its answer."""
    connection, answer = request(port, "/v1/completions",
                                 generation_body(model, prompt, True))
    if answer.status != 200:
        raise Difference(f"the entry answered {answer.status}: "
                         f"{answer.read()!r}")
    return connection, answer


def rest_of_stream(lines):
    """(text, finish reason, usage, number of text events) of its lines."""
    text, reason, usage, pieces, ended = "", None, None, 0, False
    for line in lines:
        line = line.decode().strip()
        if not line:
            continue
        expect(line.startswith("data: "), f"no event: {line!r}")
        expect(not ended, f"an event after the end: {line!r}")
        if line == "data: [DONE]":
            ended = True
            continue
        event = json.loads(line.removeprefix("data: "))
        expect("error" not in event, f"an error in the stream: {event}")
        usage = event.get("usage") or usage
        for choice in event["choices"]:
            text += choice["text"]
            pieces += bool(choice["text"])
            reason = choice["finish_reason"] or reason
    expect(ended, "the stream ended without [DONE]")
    return text, reason, usage, pieces


def engine_answer(port, model, prompt):
    """The answer of a stand-in engine to the prompt."""
    connection, answer = request(port, "/v1/completions",
                                 generation_body(model, prompt, False))
    body = json.loads(answer.read())
    connection.close()
    expect(answer.status == 200, f"the engine answered {answer.status}")
    return body["choices"][0]["text"]
