-- Symptom: a new model version makes a whole pool unreachable for as long as
--   engines load, and cuts off what they streamed.
-- Sequence: a manifest names another version while the pool is under load.
-- Cause: every agent hears of it within seconds and would load at once.
world{entries=2, prefill=3, decode=4, plain=0, minimum_serving=3,
  load_time="5s"}

local most_out = 0
local function watch(seconds)
  for _ = 1, seconds * 10 do
    run("100ms")
    local n = 0
    for i = 1, 4 do
      n = n + (out("d" .. i) and 1 or 0)
    end
    most_out = math.max(most_out, n)
  end
end

for i = 0, 59 do
  at(i .. "s", function()
    ask{entry="e" .. (i % 2 + 1), prompt_tokens=600, answer_tokens=300}
  end)
end
publish{version="v2", model_version="2"}
watch(100)
for _, endpoint in ipairs{"p1", "p2", "p3", "d1", "d2", "d3", "d4"} do
  expect(engine_version(endpoint) == "2", endpoint .. " has the new version")
  expect(appends(endpoint) == 2, "a claim and a release")
end
expect(most_out == 1, "one decode endpoint at a time")
expect(completed() == 60)
expect(resumed() == 0, "no stream was cut off")
