-- Symptom: one order was printed twice after an agent's restart.
-- Sequence: the home of a key begins the work and dies; the caller submits the
--   key again, at another entry.
-- Cause: the claim names the home's start. The next start knows nothing of the
--   work, so nobody may run it again: the outcome stays unknown.
world{entries=2, prefill=1, decode=1, plain=2, call_time="2s"}

local firsts = {}
for i = 1, 6 do
  firsts[i] = call{entry="e1", key="018bcfe5-6800-7000-8000-00000000000" .. i}
end
run("150ms")
restart("agent s1")
restart("agent s2")
run("10s")
for i = 1, 6 do
  local again = call{entry="e2", key="018bcfe5-6800-7000-8000-00000000000" .. i}
  run("15s")
  expect(executions(again) <= 1)
  expect(state(firsts[i]) == "failed")
  expect(state(again) == "failed", "unknown, and told so")
end
