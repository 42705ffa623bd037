-- Symptom: one caller that does not read keeps a place in the engine for ever;
--   or a slow but steady one is cut off.
-- Sequence: one caller reads a word a second, one reads nothing.
-- Cause: without progress of the reader the request ends, with it it goes on.
world{entries=1, prefill=1, decode=1, plain=1}

local slow = ask{answer_tokens=100, read="1s"}
local dead = ask{answer_tokens=3000, read="60min"}
run("100s")
expect(state(slow) == "completed")
expect(state(dead) == "failed")
expect(held("engine d1") == 0)
