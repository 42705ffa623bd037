-- Symptom: a sentence continues with words from a little earlier in it.
-- Sequence: a stream's chunks stay away for so long that the entry goes on at
--   another attempt; then the old attempt's chunks come after all.
-- Cause: a frame of an attempt that was given up must be dropped, however well
--   its sequence number fits.
world{entries=1, prefill=1, decode=2, plain=1}

local one = ask{prompt_tokens=3000, answer_tokens=200}
-- From the fifth chunk on everything is late; the entry waits 5 s for progress.
message{kind="Chunk", fault="late", first=5, count=20, by="5060ms"}
run("30s")
expect(state(one) == "completed")
expect(resumed() == 1)
expect(dropped() > 0)
