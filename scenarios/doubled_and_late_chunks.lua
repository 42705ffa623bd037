-- Symptom: a caller's text stutters: "the the", or words change places.
-- Sequence: chunks of a stream reach the entry twice, or after later ones.
-- Cause: chunks must be put in the order of their sequence numbers, each once.
world{entries=1, prefill=1, decode=1, plain=1}

message{kind="Chunk", fault="doubled", first=3}
message{kind="Chunk", fault="late", first=8, by="200ms"}
message{kind="Chunk", fault="doubled", first=12, count=4, by="100ms"}
local one = ask{answer_tokens=60}
run("10s")
expect(state(one) == "completed")
