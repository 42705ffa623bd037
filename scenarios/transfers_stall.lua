-- Symptom: requests hang between prefill and first word for ever.
-- Sequence: the link into one decode endpoint carries nothing any more; its
--   engine and agent are well otherwise.
-- Cause: a start without progress must end, be freed, and go on elsewhere.
world{entries=1, prefill=1, decode=2, plain=1}

slow_link("engine d1", true)
local answers = {}
for i = 1, 6 do
  answers[i] = ask{prompt_tokens=2000, answer_tokens=50}
end
run("60s")
for _, one in ipairs(answers) do
  expect(state(one) == "completed")
end
expect(held("engine d1") == 0)
