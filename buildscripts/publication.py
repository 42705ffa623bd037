"""Publishes manifests on the log's stream, as a pipeline does."""

import base64
import http.client
import json
import secrets
import time

import loopback

RECORDS = "/streams/configuration/records"


def _read(log_port, start):
    status, body = loopback.get(log_port, f"{RECORDS}?from={start}&limit=256")
    return json.loads(body)["records"] if status == 200 else None


def _find(log_port, start, publication):
    """The record's offset; None if the log does not answer, 0 if absent."""
    records = _read(log_port, start)
    if records is None:
        return None
    for record in records:
        if publication in base64.b64decode(record["payload"]).decode():
            return record["offset"]
    return 0


def publish(log_port, text, newest=0, patience=20.0):
    """(offset, wall time at which the record was known to be in the log).

    A lost answer is resolved by reading; its time is that of the failure, so
    that what is measured from it is no shorter than it was.
    """
    publication = secrets.token_hex(16)
    payload = json.dumps({"kind": "publish", "manifest": text,
                          "publisher": "bench", "publication": publication})
    deadline = time.time() + patience
    while time.time() < deadline:
        connection = http.client.HTTPConnection("127.0.0.1", log_port,
                                                timeout=2)
        try:
            connection.request("POST", RECORDS, payload)
            answer = connection.getresponse()
            body = answer.read()
            if answer.status == 200:
                return json.loads(body)["offset"], time.time()
        except (OSError, http.client.HTTPException):
            failed = time.time()
            while (found := _find(log_port, newest + 1, publication)) is None:
                time.sleep(0.02)
            if found:
                return found, failed
        finally:
            connection.close()
        time.sleep(0.05)
    raise RuntimeError(f"the log took no manifest for {patience} s")
