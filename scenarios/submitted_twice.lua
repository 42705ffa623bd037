-- Symptom: one order was printed twice.
-- Sequence: a caller, or two of them, submits the same key at two entries at
--   the same time, and again when the first answer is long there.
-- Cause: two entries that do not know of each other pick two endpoints; only
--   the first claim in the log's order may run.
world{entries=2, prefill=1, decode=1, plain=2, call_time="200ms"}

local orders = {}
for i = 1, 8 do
  local key = uuid(i)
  orders[i] = {key = key, one = call{entry="e1", key=key},
               two = call{entry="e2", key=key}}
end
run("10s")
for _, order in ipairs(orders) do
  expect(state(order.one) == "completed")
  expect(state(order.two) == "completed")
  expect(executions(order.one) == 1)
  expect(replayed(order.one) ~= replayed(order.two),
         "one of them is the kept answer")
end

local again = call{entry="e2", key=orders[1].key}
run("5s")
expect(state(again) == "completed" and replayed(again))
expect(executions(again) == 1)
