-- Symptom: two entries run one key while the log is slow.
-- Sequence: every answer of the log takes a second; callers submit their keys
--   at both entries, some of them give up, and one entry is killed.
-- Cause: nothing runs before its claim was read from the log itself, and a
--   claim whose entry died is not run by another.
world{entries=2, prefill=1, decode=1, plain=2}

log{delay="500ms"}
local calls = {}
for i = 1, 8 do
  local key = uuid(i)
  calls[#calls + 1] = call{entry="e1", key=key}
  calls[#calls + 1] = call{entry="e2", key=key}
end
at("700ms", function() cancel(calls[1]) cancel(calls[4]) end)
at("1300ms", function() kill("entry e1") end)
run("20s")
for _, one in ipairs(calls) do
  expect(executions(one) <= 1)
  expect(state(one) ~= "open")
end
log{}
restart("entry e1")
run("10s")
local later = call{entry="e1", key=uuid(99)}
run("5s")
expect(state(later) == "completed")
