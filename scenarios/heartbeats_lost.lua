-- Symptom: all streams of an entry end, again and again, though its
--   connections stand.
-- Sequence: a firewall begins to drop datagrams, here those to the agents of
--   one entry and the answers to the other.
-- Cause: a lease that heartbeats alone renew ends with them; frames must take
--   over before it is at risk.
world{entries=2, prefill=2, decode=3, plain=2}

local streams = {}
for i = 1, 3 do
  streams[i] = ask{entry="e1", prompt_tokens=1000, answer_tokens=900}
  streams[i + 3] = ask{entry="e2", prompt_tokens=1000, answer_tokens=900}
end
run("1s")
message{kind="Heartbeat", fault="lost", entry="e1", count=10000}
message{kind="HeartbeatAnswer", fault="lost", entry="e2", count=10000}
run("90s")
for _, one in ipairs(streams) do
  expect(state(one) == "completed")
end
expect(resumed() == 0, "no session was lost")
