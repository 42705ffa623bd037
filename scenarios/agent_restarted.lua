-- Symptom: after an agent was restarted its engine has no room, and refuses
--   work that its agent admits.
-- Sequence: an agent dies with streams in its engine and starts again.
-- Cause: a fresh agent owns nothing: all that the engine holds are orphans,
--   and must be aborted before new work is admitted.
world{entries=1, prefill=1, decode=1, plain=1, kv_tokens=12000}

local one = ask{prompt_tokens=2000, answer_tokens=3000}
local two = ask{prompt_tokens=2000, answer_tokens=3000}
run("2s")
expect(held("engine d1") == 2)
restart("agent d1")
run("200s")
expect(state(one) == "completed", "resumed where it was")
expect(state(two) == "completed")
expect(resumed() >= 2)
