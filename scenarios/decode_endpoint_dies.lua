-- Symptom: a caller's answer breaks off, or starts again in its middle.
-- Sequence: the host of a decode endpoint dies while it streams, once closing
--   its connections and once without a word.
-- Cause: the entry goes on at another endpoint from the text it delivered, so
--   that no token is lost, doubled or out of order.
world{entries=2, prefill=2, decode=3, plain=1}

local answers = {}
for i = 1, 9 do
  answers[i] = ask{entry = i % 2 == 0 and "e1" or "e2", prompt_tokens=1000,
                   answer_tokens=400}
end
run("2s")
expect(held("engine d1") > 0 and held("engine d2") > 0)
kill("agent d1")
run("1s")
vanish("agent d2")
run("120s")
for _, one in ipairs(answers) do
  expect(state(one) == "completed")
end
expect(resumed() >= 2)
