"""Writes plans for acacialug-load and runs them."""

import dataclasses
import json
import random
import statistics

import loopback
import settings_file


@dataclasses.dataclass(frozen=True)
class Length:
    """A lognormal length in tokens, clamped to both bounds."""

    median: float
    sigma: float
    minimum: int
    maximum: int

    def mean(self):
        """The mean, by sampling, since with bounds it has no closed form."""
        draws = random.Random(1)
        return statistics.fmean(
            min(max(self.median * draws.lognormvariate(0, self.sigma),
                    self.minimum), self.maximum) for _ in range(100_000))

    def toml(self):
        return {"median": float(self.median), "sigma": float(self.sigma),
                "minimum": self.minimum, "maximum": self.maximum}


@dataclasses.dataclass(frozen=True)
class Mix:
    """What callers of a deployment send."""

    prompt: Length
    output: Length
    max_tokens_factor: float = 1.3
    shared_prefix_share: float = 0.0
    shared_prefixes: int = 1
    shared_prefix_tokens: int = 2048
    calls_for_each_generation: float = 0.25
    cancel_share: float = 0.0
    slow_reader_share: float = 0.0


def plan_text(cluster, mix, rate, seed, report_file, warm_up, duration, tail,
              drain="30s", direct=False, generations=True, calls=True,
              arrivals="poisson", only_entry=None):
    """The TOML of a plan; `rate` is of generations (of calls without any)."""
    shape = cluster.deployment
    sections = []
    per_generation = mix.calls_for_each_generation if calls else 0
    whole_rate = rate * (1 + per_generation) if generations else rate
    entries = [f"127.0.0.1:{port}" for port in cluster.entry_ports]
    if only_entry is not None:
        entries = [entries[only_entry]]
    sections.append(("[load]", {
        "seed": seed, "entries": entries, "requests_per_second":
        float(whole_rate), "arrivals": arrivals, "warm_up": warm_up,
        "duration": duration, "tail": tail, "drain_limit": drain,
        "client_one_way": shape.client_one_way,
        "report_file": str(report_file)}))
    if direct:
        sections.append(("[direct]", {
            role: cluster.addresses(role)
            for role in ("prefill", "decode", "plain")}))
    sections.append(("[stand_ins]", {
        role: cluster.addresses(role)
        for role in ("prefill", "decode", "plain")}))
    if generations:
        sections.append(("[[generation]]", generation_keys(shape, mix)))
    if calls:
        sections += call_sections(shape, per_generation if generations else 1)
    return settings_file.settings_text(sections)


def generation_keys(shape, mix):
    return {
        "model": shape.model.model, "class": shape.model.latency_class,
        "weight": 1.0, "prompt_tokens": mix.prompt.toml(),
        "output_tokens": mix.output.toml(),
        "max_tokens_factor": mix.max_tokens_factor,
        "shared_prefix_share": mix.shared_prefix_share,
        "shared_prefixes": mix.shared_prefixes,
        "shared_prefix_tokens": mix.shared_prefix_tokens,
        "first_token": shape.model.first_token,
        "token_interval": shape.model.token_interval,
        "cancel_share": mix.cancel_share,
        "slow_reader_share": mix.slow_reader_share}


def call_sections(shape, weight):
    """Half lookups, which may be repeated, half calls that may not."""
    keys = {"service": shape.plain.name, "weight": weight / 2,
            "answer_in": shape.plain.answer_in}
    return [
        ("[[call]]", keys | {"name": "lookup", "path": "/lookup"}),
        ("[[call]]", keys | {"name": "issue", "path": "/issue",
                             "idempotent": False, "double_share": 0.1})]


class Load:
    """A run of acacialug-load with its plan; `wait` gives the report."""

    # Exit codes: 0 no violation, 4 violations; both wrote the report.
    REPORTED = (0, 4)

    def __init__(self, cluster, name, **plan):
        self.name = name
        self.report_file = cluster.folder / f"{name}.json"
        self.report_file.unlink(missing_ok=True)
        config = cluster.folder / f"{name}.toml"
        config.write_text(plan_text(cluster, report_file=self.report_file,
                                    **plan))
        self.process = loopback.Process(name, "load", config,
                                          cluster.folder)

    def wait(self, seconds):
        if not self.process.wait(seconds):
            self.process.kill()
            raise RuntimeError(f"{self.name} did not end in {seconds} s")
        code = self.process.popen.returncode
        if code not in self.REPORTED:
            log = self.process.log.read_text(errors="replace")[-2000:]
            raise RuntimeError(f"{self.name} ended with {code}: {log}")
        return json.loads(self.report_file.read_text())
