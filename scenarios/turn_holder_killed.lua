-- Symptom: a pool is below its floor while one of its hosts is down.
-- Sequence: an agent dies while its endpoint is out for an order; others wait
--   for their turn.
-- Cause: a turn that ended by itself would let the next one go out, while the
--   dead one does not serve yet.
world{entries=1, prefill=1, decode=3, plain=0, minimum_serving=2,
  load_time="10s"}

publish{version="v2", model_version="2"}
local holder
for _ = 1, 300 do
  run("100ms")
  for i = 1, 3 do
    if out("d" .. i) then
      holder = holder or "d" .. i
    end
  end
end
expect(holder ~= nil, "one went out")
publish{version="v3", model_version="3"}
holder = nil
for _ = 1, 600 do
  run("100ms")
  for i = 1, 3 do
    if not holder and out("d" .. i) then
      holder = "d" .. i
      kill("agent " .. holder)
    end
  end
end
expect(holder ~= nil, "one was killed in its turn")
for i = 1, 3 do
  local id = "d" .. i
  if id ~= holder then
    expect(not out(id), "nobody goes in its place")
    expect(engine_version(id) ~= "3")
  end
end
local first = ask{entry="e1"}
run("5s")
expect(state(first) == "completed", "the others serve")
restart("agent " .. holder)
run("90s")
for i = 1, 3 do
  expect(engine_version("d" .. i) == "3")
end
