-- Symptom: one order was printed twice.
-- Sequence: an entry cannot reach the endpoint at which a key is at home; the
--   same key comes to it and to an entry that can, at the same time.
-- Cause: the two pick two endpoints, each with a ledger of its own. Only the
--   first claim in the log's order may run, and only at the home it names.
world{entries=2, prefill=1, decode=1, plain=2, call_time="200ms"}

partition("e2", "s1", "20s")
run("6s")  -- e2 knows that s1 is gone
local orders = {}
for i = 1, 8 do
  local key = uuid(i)
  orders[i] = {key = key, one = call{entry="e1", key=key},
               two = call{entry="e2", key=key}}
end
run("60s")
for _, order in ipairs(orders) do
  expect(executions(order.one) == 1)
  expect(state(order.one) == "completed" or state(order.two) == "completed")
  local again = call{entry="e2", key=order.key}
  run("2s")
  expect(state(again) == "completed" and replayed(again),
         "the kept answer, once the network is whole")
end
