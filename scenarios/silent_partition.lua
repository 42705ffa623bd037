-- Symptom: after a network trouble a caller's text holds words twice, and an
--   endpoint that can be reached by half of the entries is full of the others'
--   streams.
-- Sequence: nothing passes between one entry and two endpoints, and nobody is
--   told; the leases lapse on both sides; then all that was sent arrives.
-- Cause: each side ends what it holds by its own clock, and drops what comes
--   for a session or an attempt that has ended.
world{entries=2, prefill=1, decode=2, plain=2, call_time="400ms"}

local streams, orders = {}, {}
for i = 1, 4 do
  streams[i] = ask{entry="e1", prompt_tokens=800, answer_tokens=900}
  orders[i] = call{entry="e1", key=uuid(i)}
end
run("300ms")
partition("e1", "d1", "12s")
partition("e1", "s1", "12s")
run("8s")
expect(held("engine d1") == 0, "the agent's lease has lapsed")
local other = ask{entry="e2"}
run("60s")
for _, one in ipairs(streams) do
  expect(state(one) == "completed")
end
expect(resumed() > 0)
for _, one in ipairs(orders) do
  expect(executions(one) == 1)
end
expect(state(other) == "completed")
