-- Symptom: decode endpoints look full for minutes after an entry's host lost
--   its power, while their engines stream to nobody.
-- Sequence: an entry has streams under way; its host goes without a word, so
--   that no connection is seen to close.
-- Cause: what an entry holds must end with its session's lease, not with its
--   connection.
world{entries=2, prefill=2, decode=3, plain=2}

local long = {}
for i = 1, 6 do
  long[i] = ask{entry="e1", prompt_tokens=1000, answer_tokens=4000}
end
local other = ask{entry="e2", prompt_tokens=1000, answer_tokens=400}
run("2s")
expect(pieces(long[1]) > 0, "streams are under way")

vanish("entry e1")
run("25s")
expect(lost() == 6)
expect(state(other) == "completed", "the other entry's stream goes on")
expect(held("engine d1") + held("engine d2") + held("engine d3") == 0)
