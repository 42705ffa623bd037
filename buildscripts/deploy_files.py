#!/usr/bin/env python3
"""Writes deploy/DEPLOYMENT: a manifest, and the settings of each host.

    deploy_files.py            writes those of both users' deployments

Addresses are of the range that RFC 5737 keeps for documentation: a build
pipeline puts its own in their place. `check_deploy.sh` holds every file
against the programs' own checks.
"""

import pathlib
import sys

from deployment_shapes import DEPLOYMENTS
from settings_file import settings_text

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG = "192.0.2.10:9000"
HOSTS = "192.0.2.10:9001"
WEIGHTS = "192.0.2.10:9002"
FIRST_ENTRY = 20
FIRST_AGENT = 100
TLS = "/etc/acacialug"

# By the objective of each user (docs/MEASUREMENTS.md).
POLICY = {
    "agency": {"reservation": "hold", "order": "arrival",
               "feasibility_counts_queue": True},
    "bellerive": {"reservation": "hold", "order": "arrival",
                  "feasibility_counts_queue": True},
}


def address(number, port):
    return f"192.0.2.{number}:{port}"


def endpoints(deployment):
    """(id, role, service, failure domain, number) of every endpoint."""
    model, plain = deployment.model, deployment.plain
    kinds = ([("prefill", model.name)] * model.prefill +
             [("decode", model.name)] * model.decode +
             [("plain", plain.name)] * plain.count)
    rows, numbers = [], {}
    for index, (role, service) in enumerate(kinds):
        number = numbers[role] = numbers.get(role, 0) + 1
        domain = deployment.domains[(number - 1) % len(deployment.domains)]
        rows.append((f"{service}-{role}-{number}", role, service, domain,
                     FIRST_AGENT + index))
    return rows


def manifest_text(deployment):
    model, plain, shape = (deployment.model, deployment.plain,
                           deployment.model.engine)
    sections = [("", {"version": f"{deployment.name}.1", "replaces": 0,
                      "domains": list(deployment.domains)})]
    for index, one in enumerate(deployment.domains):
        sections += [("[[distance]]", {
            "from": one, "to": other, "one_way": f"{deployment.one_way_us}us"})
            for other in deployment.domains[index + 1:]]
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
        ("[[service.class]]", {"name": plain.latency_class,
                               "first_token": plain.answer_in}),
        ("[[service.idempotency]]", {"method": "POST", "path": "/lookup",
                                     "idempotent": True})]
    for name, role, service, domain, number in endpoints(deployment):
        record = {"id": name, "host": f"host-{name}", "domain": domain,
                  "service": service, "role": role,
                  "agent": address(number, 7000), "slots": 1,
                  "checks_fencing": True}
        if role == "decode":
            record |= {"slots": shape.slots, "kv_tokens": shape.kv_tokens,
                       "link_bytes_per_second": shape.link_bytes_per_second}
        elif role == "plain":
            record["slots"] = plain.slots
        sections.append(("[[endpoint]]", record))
    return settings_text(sections)


def tls(side):
    return {"certificate_file": f"{TLS}/{side}.pem",
            "key_file": f"{TLS}/{side}.key",
            "authority_file": f"{TLS}/authority.pem"}


def entry_text(deployment, index):
    peers = [address(FIRST_ENTRY + other, 8081)
             for other in range(deployment.entries) if other != index]
    return settings_text([
        ("[entry]", {
            "id": f"entry-{index + 1}",
            "domain": deployment.domains[index % len(deployment.domains)],
            "listen": address(FIRST_ENTRY + index, 8080),
            "operations_listen": address(FIRST_ENTRY + index, 8081),
            "shards": 1, "entries": deployment.entries}),
        ("[platform]", {"log": LOG, "hosts": HOSTS, "peers": peers,
                        "log_retention": "24h"}),
        ("[policy]", POLICY[deployment.name] | {"placement": "predicted"}),
        ("[peer_tls]", tls("entry")),
        ("[log]", {"level": "info"})])


def agent_text(deployment, row):
    name, role, _, domain, number = row
    peers = [address(FIRST_ENTRY + index, 8081)
             for index in range(deployment.entries)]
    lifetime = deployment.model.engine.export_lifetime_ms
    return settings_text([
        ("[agent]", {"endpoint": name, "domain": domain,
                     "listen": address(number, 7000),
                     "operations_listen": address(number, 7100)}),
        ("[engine]", {"address": "127.0.0.1:8000",
                      "kind": "plain" if role == "plain" else "openai"}),
        ("[platform]", {"log": LOG, "weights": WEIGHTS, "peers": peers}),
        ("[policy]", POLICY[deployment.name] | {
            "export_lifetime": f"{lifetime}ms"}),
        ("[peer_tls]", tls("agent")),
        ("[log]", {"level": "info"})])


def write(name):
    deployment = DEPLOYMENTS[name]
    folder = ROOT / "deploy" / name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "manifest.toml").write_text(manifest_text(deployment))
    for index in range(deployment.entries):
        (folder / f"entry-{index + 1}.toml").write_text(
            entry_text(deployment, index))
    for row in endpoints(deployment):
        (folder / f"agent-{row[0]}.toml").write_text(
            agent_text(deployment, row))


if __name__ == "__main__":
    for user in POLICY:
        write(user)
    sys.exit(0)
