-- Symptom: requests are refused at the peak, because endpoints were taken out.
-- Sequence: a new version comes while decode memory is nearly full, and the
--   manifest's floor alone would let one endpoint go.
-- Cause: the floor does not know the load; the rest could not carry it.
world{entries=1, prefill=2, decode=3, plain=0, slots=4, minimum_serving=1,
  load_time="3s"}

for i = 1, 12 do
  ask{entry="e1", prompt_tokens=300, answer_tokens=3500}
end
run("2s")
publish{version="v2", model_version="2"}
run("25s")
expect(open() >= 10, "the pool is busy")
for i = 1, 3 do
  expect(not out("d" .. i), "nobody goes while the load needs all")
end
run("200s")
expect(completed() == 12)
expect(resumed() == 0)
for i = 1, 3 do
  expect(engine_version("d" .. i) == "2", "later they do")
end
