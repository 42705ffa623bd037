-- Symptom: half of the hosts run one configuration, half another.
-- Sequence: two pipelines publish at once, each on top of the same manifest;
--   a third repeats an old one later.
-- Cause: a manifest counts only if it replaces the one in force at its place
--   in the log, so that every reader sees the same winner.
world{entries=2, prefill=1, decode=1, plain=1}

local base = offset("entry e1")
publish{version="left", replaces=base}
publish{version="right", replaces=base, leaving={"s1"}}
run("5s")
local winner = version("entry e1")
expect(winner == "left" or winner == "right")
for _, process in ipairs{"entry e2", "agent p1", "agent d1", "agent s1"} do
  expect(version(process) == winner)
end
publish{version="stale", replaces=base}
run("5s")
expect(version("entry e1") == winner and version("entry e2") == winner)
publish{version="next"}
run("5s")
for _, process in ipairs{"entry e1", "entry e2", "agent p1", "agent d1"} do
  expect(version(process) == "next")
end
