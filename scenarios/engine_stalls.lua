-- Symptom: callers wait for ever for the next word.
-- Sequence: an engine stops for a while in the middle of its streams, and
--   another one is replaced by a fresh one.
-- Cause: slow is treated like dead: the streams go on elsewhere, and what the
--   engine still holds when it wakes is taken from it.
world{entries=2, prefill=2, decode=3, plain=1}

local answers = {}
for i = 1, 9 do
  answers[i] = ask{entry = i % 2 == 0 and "e1" or "e2", prompt_tokens=1000,
                   answer_tokens=400}
end
run("2s")
stall("engine d1", "15s")
restart_engine("engine d2")
stall("engine p1", "3s")
run("100s")
for _, one in ipairs(answers) do
  expect(state(one) == "completed")
end
