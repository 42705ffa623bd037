-- Symptom: an endpoint waits for ever, or two go out for one turn.
-- Sequence: the answers of all appends are lost after their effect.
-- Cause: a claim or release whose answer is lost may stand in the log; what
--   stands there is read, never assumed.
world{entries=1, prefill=1, decode=4, plain=0, minimum_serving=3,
  load_time="2s"}

publish{version="v2", model_version="2"}
log{lose_answers=true}
run("120s")
for i = 1, 4 do
  expect(engine_version("d" .. i) == "2")
  expect(appends("d" .. i) == 2, "nothing is appended twice")
end
