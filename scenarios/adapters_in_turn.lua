-- Symptom: a pool answers nothing for seconds after an adapter was added.
-- Sequence: a manifest lists another adapter; engines load it, and take no
--   new work meanwhile.
-- Cause: every agent would send the order at once, since no stream has to end
--   for it.
world{entries=1, prefill=2, decode=4, plain=0, load_time="4s"}

publish{version="v2", adapters={"law"}}
for i = 0, 39 do
  at(i .. "s", function() ask{entry="e1"} end)
end
run("90s")
expect(completed() == 40)
expect(appends("d1") == 2 and appends("p1") == 2)
