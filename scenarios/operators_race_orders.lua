-- Symptom: half of a pool has one version, half another.
-- Sequence: two pipelines publish different versions at once; a third one
--   takes the winner's back while its change is under way.
-- Cause: an order carries the offset of the manifest in force when it is sent,
--   and a turn outlasts the manifest that it was claimed under.
world{entries=2, prefill=2, decode=4, plain=0, minimum_serving=3,
  load_time="3s"}

local base = offset("entry e1")
publish{version="left", replaces=base, model_version="left"}
publish{version="right", replaces=base, model_version="right"}
run("15s")
expect(version("entry e1") == "left" and version("agent d1") == "left")
publish{version="back", model_version=""}
run("120s")
for _, endpoint in ipairs{"p1", "p2", "d1", "d2", "d3", "d4"} do
  expect(engine_version(endpoint) == "")
end
publish{version="next", model_version="next"}
run("150s")
for _, endpoint in ipairs{"p1", "p2", "d1", "d2", "d3", "d4"} do
  expect(engine_version(endpoint) == "next")
end
