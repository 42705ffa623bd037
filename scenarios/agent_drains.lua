-- Symptom: streams break off when an agent's host is taken away.
-- Sequence: an agent is told to leave while its engine streams and its
--   service works; entries go on asking.
-- Cause: what was admitted runs to its end, new work is refused as not run
--   and goes elsewhere.
world{entries=2, prefill=1, decode=2, plain=2, call_time="300ms"}

for i = 1, 6 do
  ask{entry = i % 2 == 0 and "e1" or "e2", prompt_tokens=800,
      answer_tokens=500}
  call{entry="e1", key=uuid(i)}
end
run("400ms")
expect(held("engine d1") > 0)
drain("agent d1")
drain("agent s1")
for i = 7, 12 do
  ask{entry = i % 2 == 0 and "e1" or "e2", prompt_tokens=800,
      answer_tokens=50}
  call{entry="e2", key=uuid(i)}
end
run("60s")
expect(completed() == 24)
expect(resumed() == 0, "no stream was cut off")
