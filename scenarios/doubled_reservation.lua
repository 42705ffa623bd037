-- Symptom: a prefill runs, and then there is no place for its result.
-- Sequence: a reservation is asked for twice, so that its answer comes twice,
--   the second time while the prefill is under way; the prefill endpoints stop
--   and the entry starts another prefill.
-- Cause: the second answer is dropped as superseded, and what it tells of was
--   cancelled: but it told of the reservation that the request still holds.
world{entries=1, prefill=2, decode=2, plain=1}

message{kind="Reserve", fault="doubled", by="300ms"}
stall("engine p1", "5500ms")
stall("engine p2", "5500ms")
local one = ask{prompt_tokens=1000, answer_tokens=50}
run("30s")
expect(state(one) == "completed")
