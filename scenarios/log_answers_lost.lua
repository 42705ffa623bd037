-- Symptom: orders are printed twice after a short trouble with the log.
-- Sequence: the log takes the claims, and the answers to the appends get lost.
-- Cause: a lost answer tells nothing; only the log itself, read to the claim,
--   tells whether it was made.
world{entries=2, prefill=1, decode=1, plain=2}

log{lose_answers=true}
local calls = {}
for i = 1, 6 do
  local key = uuid(i)
  calls[#calls + 1] = call{entry="e1", key=key}
  calls[#calls + 1] = call{entry="e2", key=key}
end
run("10s")
log{}
run("5s")
for _, one in ipairs(calls) do
  expect(executions(one) <= 1)
  expect(state(one) ~= "open")
end
local after = call{entry="e2", key=uuid(100)}
run("5s")
expect(state(after) == "completed", "and then all is well again")
