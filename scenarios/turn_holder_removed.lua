-- Symptom: a pool is never brought up to date after one of its hosts is gone.
-- Sequence: an agent dies for good in its turn; the pipeline publishes that
--   its endpoint is leaving.
-- Cause: its claim still stands; only the manifest can say that it no longer
--   counts.
world{entries=1, prefill=1, decode=3, plain=0, minimum_serving=2,
  load_time="10s"}

publish{version="v2", model_version="2"}
local holder
for _ = 1, 300 do
  run("100ms")
  for i = 1, 3 do
    if not holder and out("d" .. i) then
      holder = "d" .. i
      vanish("agent " .. holder)
    end
  end
end
expect(holder ~= nil, "one was lost in its turn")
publish{version="v3", leaving={holder}, minimum_serving=1}
run("60s")
for i = 1, 3 do
  if "d" .. i ~= holder then
    expect(engine_version("d" .. i) == "2")
  end
end
