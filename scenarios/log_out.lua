-- Symptom: with the log out, all orders stop; or, worse, some run twice.
-- Sequence: the log is out for a minute; callers submit by own keys, by
--   tickets, and calls that may be repeated.
-- Cause: a caller's key needs a claim and is refused as not run; a ticket is
--   bound to its agent by value and needs no log.
world{entries=2, prefill=1, decode=1, plain=2}

local paper = ticket("e1")
log{outage=true}
local by_key = call{entry="e1", key=uuid(1)}
local by_ticket = call{entry="e1", ticket=paper}
local again = call{entry="e2", ticket=paper}
local fresh = call{entry="e2", ticket=ticket("e2")}
local harmless = call{entry="e2", method="GET"}
local talk = ask{entry="e2"}
run("20s")
expect(state(by_key) == "not_run")
expect(executions(by_key) == 0)
expect(state(by_ticket) == "completed" or state(again) == "completed")
expect(executions(by_ticket) == 1, "one ticket, one run")
expect(state(fresh) == "completed")
expect(state(harmless) == "completed")
expect(state(talk) == "completed")

log{}
run("10s")
local later = call{entry="e1", key=uuid(1)}
run("5s")
expect(state(later) == "completed", "the key is still good")
expect(executions(later) == 1)
