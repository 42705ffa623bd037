-- Symptom: engines are busy with answers that nobody reads.
-- Sequence: callers go away at every stage of their requests: in the queue,
--   in the prefill, before the first word, in mid-stream.
-- Cause: whatever the request holds anywhere has to be given back at once.
world{entries=1, prefill=1, decode=2, plain=1, kv_tokens=12000}

local after = {"1ms", "20ms", "60ms", "120ms", "250ms", "500ms", "1s", "2s"}
for _, time in ipairs(after) do
  local one = ask{prompt_tokens=2000, answer_tokens=2000}
  at(time, function() cancel(one) end)
end
run("3s")
expect(cancelled() == #after)
expect(held("engine p1") + held("engine d1") + held("engine d2") == 0)

-- The room is really free: as much fits as at first.
local again = ask{prompt_tokens=2000, answer_tokens=100}
run("10s")
expect(state(again) == "completed")
