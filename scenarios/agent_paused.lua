-- Symptom: an order runs twice, or a stream's words come twice, after an
--   agent's host hung.
-- Sequence: agents are stopped for longer than their sessions' leases and
--   wake with everything that was sent to them meanwhile.
-- Cause: the messages of a lapsed session must not start work; the entry has
--   gone on elsewhere, or told its caller that the outcome is unknown.
world{entries=2, prefill=1, decode=2, plain=2, call_time="500ms"}

local streams, orders = {}, {}
for i = 1, 4 do
  streams[i] = ask{entry="e1", prompt_tokens=1000, answer_tokens=400}
  orders[i] = call{entry="e2", key=uuid(i)}
end
run("300ms")
pause("agent s1", "9s")
pause("agent d1", "9s")
for i = 5, 8 do
  orders[i] = call{entry="e2", key=uuid(i)}
end
run("90s")
for _, one in ipairs(streams) do
  expect(state(one) == "completed")
end
for _, one in ipairs(orders) do
  expect(executions(one) <= 1)
  expect(state(one) ~= "open")
end
