-- Symptom: decode endpoints look full after an entry was restarted.
-- Sequence: an entry with long streams is killed; its connections close at
--   once; it comes back under its own name.
-- Cause: an agent that only ends the session keeps the work of the session's
--   requests in its engine, up to the answers' ends.
world{entries=2, prefill=2, decode=3, plain=2}

for i = 1, 6 do
  ask{entry="e1", prompt_tokens=1000, answer_tokens=4000}
end
run("2s")
kill("entry e1")
run("1s")
expect(held("engine d1") + held("engine d2") + held("engine d3") == 0,
       "a closed connection frees at once")
restart("entry e1")
run("30s")

local again = ask{entry="e1"}
run("5s")
expect(state(again) == "completed")
