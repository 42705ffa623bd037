-- Symptom: endpoints go out of service one after another during an outage of
--   the log, and nobody can tell how many.
-- Sequence: a new version is published; the log goes out before the first
--   turn, and once more in the middle of the change.
-- Cause: without the log there is no telling who else is out, so nobody that
--   serves may go.
world{entries=1, prefill=1, decode=3, plain=0, minimum_serving=2,
  load_time="4s"}

publish{version="v2", model_version="2"}
run("5s")
expect(version("agent d1") == "v2", "the agents know")
log{outage=true}
for _ = 1, 60 do
  run("1s")
  for i = 1, 3 do
    expect(not out("d" .. i), "nobody goes out")
    expect(engine_version("d" .. i) == "")
  end
end
local one = ask{entry="e1"}
run("5s")
expect(state(one) == "completed", "the old version serves")
log{}
local began
for _ = 1, 600 do
  run("100ms")
  for i = 1, 3 do
    if not began and engine_version("d" .. i) == "2" then
      began = true
      log{outage=true}
    end
  end
end
local done = 0
for i = 1, 3 do
  done = done + (engine_version("d" .. i) == "2" and 1 or 0)
end
expect(done == 1, "only who had its turn")
log{}
run("120s")
for i = 1, 3 do
  expect(engine_version("d" .. i) == "2")
end
