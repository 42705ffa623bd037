"""What the stand-in engines' formula allows, as in docs/ENGINE_MODEL.md."""


def iteration_seconds(engine, active, mean_sequence):
    return (engine.base_iteration_us + engine.stream_iteration_us *
            mean_sequence / engine.calibration_context * active) / 1e6


def capacity(deployment, mix):
    """Requests a second that each resource alone allows, and the least."""
    model, engine = deployment.model, deployment.model.engine
    prompt, output = mix.prompt.mean(), mix.output.mean()
    # Every shared document is found in the cache: an upper bound.
    cached = mix.shared_prefix_share * mix.shared_prefix_tokens
    prefill_seconds = (engine.prefill_fixed_ms / 1e3 +
                       (prompt - cached) / engine.prefill_tokens_per_second)
    # A stream holds prompt and answer; on the mean half the answer is there.
    active = min(engine.slots, engine.kv_tokens / (prompt + output))
    stream_seconds = output * iteration_seconds(engine, active,
                                                prompt + output / 2)
    transfer_seconds = (engine.transfer_setup_ms / 1e3 +
                        prompt * engine.kv_bytes_per_token /
                        engine.link_bytes_per_second)
    bounds = {"prefill": model.prefill / prefill_seconds,
              "decode": model.decode * active / stream_seconds,
              "links": model.decode / transfer_seconds}
    return bounds | {"whole": min(bounds.values())}
