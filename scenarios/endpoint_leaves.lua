-- Symptom: a host that was to be taken away still gets work; or its streams
--   are cut off.
-- Sequence: a manifest marks a decode and a plain endpoint as leaving while
--   both are busy.
-- Cause: no new work after two seconds, and what runs is let run to its end.
world{entries=2, prefill=1, decode=2, plain=2}

local before = {}
for i = 1, 6 do
  before[i] = ask{entry="e1", prompt_tokens=800, answer_tokens=600}
end
run("1s")
local there = 0
for _, one in ipairs(before) do
  there = there + (endpoint_of(one) == "d1" and 1 or 0)
end
expect(there > 0, "the endpoint is busy")
publish{version="v2", leaving={"d1", "s1"}}
run("2s")
expect(version("entry e1") == "v2" and version("entry e2") == "v2")
expect(version("agent d1") == "v2" and version("agent s1") == "v2")
for i = 1, 6 do
  ask{entry="e2", prompt_tokens=800, answer_tokens=60}
  call{entry="e2", key=uuid(i)}
end
run("60s")
expect(completed() == 18)
expect(resumed() == 0, "no stream was cut off")
