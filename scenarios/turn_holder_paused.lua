-- Symptom: two endpoints of a pool are out where one may be.
-- Sequence: an agent's host stops while its endpoint has its turn; a newer
--   manifest comes; the host wakes.
-- Cause: it would go on with what it was about to do. Its turn is still its
--   own, since none ends by time; what it does with it, it looks up again.
world{entries=2, prefill=1, decode=3, plain=0, minimum_serving=2,
  load_time="5s"}

for i = 1, 3 do
  ask{entry="e1", prompt_tokens=400, answer_tokens=900}
end
publish{version="v2", model_version="2"}
local holder
for _ = 1, 300 do
  run("100ms")
  for i = 1, 3 do
    if not holder and out("d" .. i) then
      holder = "d" .. i
      pause("agent " .. holder, "40s")
    end
  end
end
expect(holder ~= nil, "one was stopped in its turn")
publish{version="v3", model_version="3"}
run("9s")
for i = 1, 3 do
  expect(engine_version("d" .. i) ~= "3", "nobody goes in its place")
end
run("120s")
for i = 1, 3 do
  expect(engine_version("d" .. i) == "3")
end
expect(completed() == 3)
