-- Symptom: a caller's text holds words twice after an entry's host hung.
-- Sequence: an entry is stopped for longer than its lease; its agents free all
--   it held; it wakes, and acts on what it believes.
-- Cause: whoever wakes must look at its lease before it acts.
world{entries=2, prefill=1, decode=2, plain=2}

local streams = {}
for i = 1, 4 do
  streams[i] = ask{entry="e1", prompt_tokens=1000, answer_tokens=400}
end
local order = call{entry="e1", key=uuid(1)}
run("1s")
pause("entry e1", "8s")
run("6s")
expect(held("engine d1") + held("engine d2") == 0, "the lease has lapsed")
run("60s")
for _, one in ipairs(streams) do
  expect(state(one) == "completed")
end
expect(executions(order) == 1)
