-- Symptom: decode endpoints stay full for an entry whose host is gone.
-- Sequence: the network delivers copies of its heartbeats long after it sent
--   them, and some before those that it sent earlier.
-- Cause: a copy, or one that was overtaken, must renew nothing, and a session
--   that has ended must stay ended.
world{entries=2, prefill=2, decode=3, plain=2}

local long = {}
for i = 1, 6 do
  long[i] = ask{entry="e1", prompt_tokens=1000, answer_tokens=4000}
end
local other = ask{entry="e2", prompt_tokens=1000, answer_tokens=400}
message{kind="Heartbeat", fault="doubled", by="1700ms", count=200}
message{kind="HeartbeatAnswer", fault="doubled", by="2300ms", count=200}
run("5s")
message{kind="Heartbeat", fault="late", by="1200ms", count=40}
message{kind="HeartbeatAnswer", fault="late", by="900ms", count=40}
run("5s")
expect(resumed() == 0, "neither harms who lives")

vanish("entry e1")
run("25s")
expect(lost() == 6)
expect(state(other) == "completed", "the other entry's stream goes on")
expect(held("engine d1") + held("engine d2") + held("engine d3") == 0)
