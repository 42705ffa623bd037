"""The sizes of the deployments that the demo and the bench start."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """One model engine; the fields are named as the stand-in's settings."""

    prefill_tokens_per_second: float = 20000
    prefill_fixed_ms: int = 10
    base_iteration_us: int = 8000
    stream_iteration_us: int = 650
    calibration_context: int = 8192
    slots: int = 20
    kv_tokens: int = 40000
    export_lifetime_ms: int = 800
    kv_bytes_per_token: int = 131072
    link_bytes_per_second: int = 12_500_000_000
    transfer_setup_ms: int = 2
    load_lag_ms: int = 500


@dataclasses.dataclass(frozen=True)
class ModelService:
    name: str
    model: str
    prefill: int
    decode: int
    engine: EngineShape
    latency_class: str
    first_token: str
    token_interval: str
    context_tokens: int = 65536
    patience: str = "30s"


@dataclasses.dataclass(frozen=True)
class PlainService:
    name: str
    count: int
    service_ms: int
    slots: int
    latency_class: str
    answer_in: str
    times: str = "exponential"


@dataclasses.dataclass(frozen=True)
class Deployment:
    name: str
    domains: tuple
    one_way_us: int
    entries: int
    model: ModelService
    plain: PlainService
    client_one_way: str = "3ms"


# Sizes and delays are those of the two users' deployments. The runners are split
# between prefill and decode so that both pools reach their limits together.
AGENCY = Deployment(
    name="agency",
    domains=("hall-a", "hall-b", "lozenets", "mladost"),
    one_way_us=1500,
    entries=4,
    model=ModelService(
        name="lm-review", model="review-1", prefill=3, decode=7,
        engine=EngineShape(base_iteration_us=28000, kv_tokens=28000),
        latency_class="review", first_token="2s", token_interval="60ms"),
    plain=PlainService(
        name="registry-app", count=4, service_ms=5, slots=16,
        latency_class="lookup", answer_in="250ms"))

BELLERIVE = Deployment(
    name="bellerive",
    domains=("plu-caudan", "plu-ebene", "plu-moka"),
    one_way_us=1000,
    entries=3,
    model=ModelService(
        name="lex-drafting", model="lex-1", prefill=9, decode=3,
        engine=EngineShape(base_iteration_us=12000, kv_tokens=324000),
        latency_class="summary", first_token="4s", token_interval="80ms"),
    plain=PlainService(
        name="desk-api", count=3, service_ms=5, slots=16,
        latency_class="desk", answer_in="250ms"))

DEMO = Deployment(
    name="demo",
    domains=("hall-a", "hall-b"),
    one_way_us=1500,
    entries=2,
    model=ModelService(
        name="lm-review", model="review-1", prefill=2, decode=3,
        engine=EngineShape(kv_tokens=400000),
        latency_class="review", first_token="5s", token_interval="100ms"),
    plain=PlainService(
        name="registry-app", count=2, service_ms=2, slots=16,
        latency_class="lookup", answer_in="500ms"))

DEPLOYMENTS = {shape.name: shape for shape in (AGENCY, BELLERIVE, DEMO)}
