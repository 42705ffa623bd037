"""What the stand-in engines' formula allows, as in docs/ENGINE_MODEL.md."""

import dataclasses

# Engines cache whole pieces only.
PIECE_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class Means:
    """Tokens of the mean request."""

    prompt: float
    shared: float  # of the prompt, in a document that others share
    output: float


def means_of_mix(mix):
    """What the distributions of a mix give, before anything is drawn."""
    shared = mix.shared_prefix_tokens // PIECE_TOKENS * PIECE_TOKENS
    return Means(mix.prompt.mean(), mix.shared_prefix_share * shared,
                 mix.output.mean())


def means_of_report(generations, mix):
    """What was drawn in the measured time of a run."""
    whole = mix.shared_prefix_tokens // PIECE_TOKENS * PIECE_TOKENS
    shared = (generations["mean_shared_tokens"] * whole /
              mix.shared_prefix_tokens)
    return Means(generations["mean_prompt_tokens"], shared,
                 generations["mean_output_tokens"])


def iteration_seconds(engine, active, mean_sequence):
    return (engine.base_iteration_us + engine.stream_iteration_us *
            mean_sequence / engine.calibration_context * active) / 1e6


def capacity(deployment, means):
    """Requests a second that each resource alone allows, and the least."""
    model, engine = deployment.model, deployment.model.engine
    # Every shared document is found in the cache: an upper bound.
    prefill_seconds = (engine.prefill_fixed_ms / 1e3 +
                       (means.prompt - means.shared) /
                       engine.prefill_tokens_per_second)
    # A stream holds prompt and answer; on the mean half the answer is there.
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
