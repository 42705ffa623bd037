"""The capacity of the stand-in engines by docs/ENGINE_MODEL.md."""

import dataclasses

# Engines cache whole blocks only.
PIECE_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class Means:
    """Tokens of the mean request."""

    prompt: float
    shared: float  # of the prompt, in a document that others share
    output: float


def means_of_mix(mix):
    """The expected values of a mix."""
    shared = mix.shared_prefix_tokens // PIECE_TOKENS * PIECE_TOKENS
    return Means(mix.prompt.mean(), mix.shared_prefix_share * shared,
                 mix.output.mean())


def means_of_report(generations, mix):
    """The values drawn in the measured time of a run."""
    whole = mix.shared_prefix_tokens // PIECE_TOKENS * PIECE_TOKENS
    shared = (generations["mean_shared_tokens"] * whole /
              mix.shared_prefix_tokens)
    return Means(generations["mean_prompt_tokens"], shared,
                 generations["mean_output_tokens"])


def iteration_seconds(engine, active, mean_sequence):
    return (engine.base_iteration_us + engine.stream_iteration_us *
            mean_sequence / engine.calibration_context * active) / 1e6


def capacity(deployment, means):
    """Requests per second that each resource alone allows, and the minimum."""
    model, engine = deployment.model, deployment.model.engine
    # Every shared document is found in the cache: an upper bound.
    prefill_seconds = (engine.prefill_fixed_ms / 1e3 +
                       (means.prompt - means.shared) /
                       engine.prefill_tokens_per_second)
    # A stream holds its prompt and on average half of its answer.
    active = min(engine.slots,
                 engine.kv_tokens / (means.prompt + means.output))
    stream_seconds = means.output * iteration_seconds(
        engine, active, means.prompt + means.output / 2)
    transfer_seconds = (engine.transfer_setup_ms / 1e3 +
                        means.prompt * engine.kv_bytes_per_token /
                        engine.link_bytes_per_second)
    bounds = {"prefill": model.prefill / prefill_seconds,
              "decode": model.decode * active / stream_seconds,
              "links": model.decode / transfer_seconds}
    return bounds | {"whole": min(bounds.values())}


def waste_floors(deployment, means, rate, seconds):
    """Lower bound of the share of prefill that a crash at the peak discards.

    `entry`: the callers of one entry are gone, and with them what was done
    for them: half a prefill on the mean, the transfer, the stream so far.
    `agent`: its streams are cut in the engine; their prompts and the text so
    far are computed again, but for the pieces that prefill engines cache.
    """
    model, engine = deployment.model, deployment.model.engine
    prefill = ((means.prompt - means.shared) /
               engine.prefill_tokens_per_second)
    transfer = (engine.transfer_setup_ms / 1e3 + means.prompt *
                engine.kv_bytes_per_token / engine.link_bytes_per_second)
    stream = 0.0
    for _ in range(100):  # the streams' number and their time, until both fit
        active = min(rate * (stream + transfer) / model.decode, engine.slots)
        stream = means.output * iteration_seconds(
            engine, active, means.prompt + means.output / 2)
    cached = means.prompt // PIECE_TOKENS * PIECE_TOKENS
    again = (means.prompt - cached + means.output / 2) / (
        means.prompt - means.shared)
    return {"entry": (prefill / 2 + transfer + stream) /
                     (deployment.entries * seconds),
            "agent": again * stream / (model.decode * seconds)}
