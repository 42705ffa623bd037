-- Symptom: an endpoint that was to leave never knew of it, and never drained.
-- Sequence: its agent is paused; the entries tell it of the manifest in which
--   it leaves, and drop it; when it wakes its sessions are over, and what they
--   told with them.
-- Cause: an agent hears of manifests from entries, and no entry speaks to one
--   that leaves.
world{entries=2, prefill=2, decode=1, plain=1}

pause("agent p2", "3500ms")
run("2500ms")
publish{version="without p2", leaving={"p2"}}
run("8s")
expect(version("agent p2") == "without p2")
publish{version="with p2"}
run("4s")
expect(version("agent p2") == "with p2")
