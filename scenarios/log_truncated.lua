-- Symptom: an entry that starts after a long time runs on a manifest of
--   weeks ago, or on none.
-- Sequence: retention drops the manifest that is in force from the log; an
--   entry restarts while the log is out, another one after it.
-- Cause: the manifest in force is copied before its record goes, a starter
--   serves only under the newest that the log or its peers know, and nobody
--   goes back.
world{entries=2, prefill=1, decode=1, plain=1, retention="30s"}

publish{version="new"}
run("100s")
expect(version("entry e1") == "new")
restart("entry e2")
run("5s")
expect(version("entry e2") == "new", "found as a copy")

log{outage=true}
restart("entry e1")
run("10s")
log{}
run("20s")
expect(version("entry e1") == "new" and version("entry e2") == "new")
local one = ask{entry="e1"}
run("5s")
expect(state(one) == "completed")
