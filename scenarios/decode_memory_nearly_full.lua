-- Symptom: under load, prefill endpoints work at full rate and hardly any
--   answer comes: their results go stale while they wait for decode memory.
-- Sequence: more long answers are asked for than the decode endpoints' memory
--   holds at once.
-- Cause: a prefill may start only when its result has a place to go.
world{entries=2, prefill=2, decode=2, plain=1, kv_tokens=6000, slots=20}

for i = 1, 24 do
  ask{entry = i % 2 == 0 and "e1" or "e2", prompt_tokens=1500,
      answer_tokens=300}
end
run("120s")
expect(completed() + not_run() == 24, "served, or refused as not run")
expect(completed() >= 8)
