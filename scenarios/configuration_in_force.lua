-- Symptom: some seconds after a change was accepted, a few hosts still run the
--   configuration before it; or one goes back to it.
-- Sequence: pipelines publish again and again, while a tenth of all messages
--   and of the log's answers is lost; entries and agents are replaced on the
--   way.
-- Cause: a process hears of a manifest by one way only, and that message was
--   the lost one.
local everybody = {"entry e1", "entry e2", "entry e3", "agent p1", "agent p2",
                   "agent d1", "agent d2", "agent s1", "agent s2"}

for seed = 1, 10 do
  world{entries=3, prefill=2, decode=2, plain=2, seed=seed}
  lose(10)
  for change = 1, 20 do
    if change % 5 == 0 then
      restart(everybody[1 + change // 5])
      restart(everybody[4 + change // 5])
      run("4s")
    end
    local name = "change " .. change
    publish{version=name}
    run("4s")
    for _, process in ipairs(everybody) do
      expect(version(process) == name, process .. " lacks " .. name ..
             " after 4 s, seed " .. seed)
    end
  end
end
