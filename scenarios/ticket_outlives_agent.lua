-- Symptom: one order was printed twice after an agent's restart.
-- Sequence: a call under a ticket runs; its agent is restarted before the
--   answer; the caller submits the ticket again.
-- Cause: a ticket is bound to one start of one agent. The next start does not
--   know what became of it and may not run it.
world{entries=2, prefill=1, decode=1, plain=2, call_time="2s"}

local paper = ticket("e1")
local first = call{entry="e1", ticket=paper}
run("100ms")
restart("agent s1")
restart("agent s2")
run("10s")
local second = call{entry="e1", ticket=paper}
local third = call{entry="e2", ticket=paper}
run("20s")
expect(executions(first) == 1)
expect(state(second) == "failed" and state(third) == "failed")
