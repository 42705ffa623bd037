-- Symptom: callers see answers break off at every deployment.
-- Sequence: an entry is told to leave with requests under way; new ones come.
-- Cause: it refuses new work as not run and ends when the last has its answer.
world{entries=2, prefill=1, decode=2, plain=2}

local before = {}
for i = 1, 5 do
  before[i] = ask{entry="e1", prompt_tokens=800, answer_tokens=500}
end
local order = call{entry="e1", key=uuid(1)}
run("100ms")
drain("entry e1")
local late = ask{entry="e1"}
run("60s")
for _, one in ipairs(before) do
  expect(state(one) == "completed")
end
expect(state(order) == "completed")
expect(state(late) == "not_run")
expect(state(ask{entry="e1"}) == "lost", "the process has ended")
local other = ask{entry="e2"}
run("10s")
expect(state(other) == "completed")
