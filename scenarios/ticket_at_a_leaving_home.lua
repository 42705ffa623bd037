-- Symptom: a caller asks again for its order's outcome while the endpoint that
--   ran it leaves, and is told that nothing ran.
-- Sequence: a call under a ticket is done; its endpoint is told to leave; the
--   ticket is submitted again, and a fresh one of the same endpoint too.
-- Cause: a ticket is asked for at its home, which tells what became of it to
--   the end, but begins nothing new.
world{entries=1, prefill=1, decode=1, plain=2}

local function ticket_of(endpoint)
  for _ = 1, 50 do
    local paper = ticket("e1")
    if string.find(paper, ":" .. endpoint .. "$") then return paper end
  end
end

local used, unused = ticket_of("s1"), ticket_of("s1")
local first = call{ticket=used}
run("1s")
expect(state(first) == "completed")
drain("agent s1")
run("5s")
local again = call{ticket=used}
local never = call{ticket=unused}
run("5s")
expect(state(again) == "completed" and replayed(again))
expect(executions(first) == 1)
expect(state(never) ~= "completed" and executions(never) == 0)
