-- The forwarders' policy, both deployments: the time that a program has left decides how urgent its calls
-- are. docs/POLICIES.md explains the functions and the units.

-- Rank among the waiting calls of one priority, lower first: the least time left. Programs with less time
-- than half of a usual call can't end in time any more and go behind, the least late first; 1,000,000 ms is
-- above any time left. Half: chosen, not measured.
function order(call)
  local time_left = call.time_left_ms
  if time_left < call.call_ms / 2 then return 1000000 - time_left end
  return time_left
end

-- Cost of an engine in milliseconds. Reading a prompt stalls every stream of the engine, so it counts several
-- times (6); what this node has waiting there is read before; each call of its own that runs there stands for
-- those of other nodes (5 ms each); and an engine whose events come slowly is busy with others' calls, or slow
-- itself. Worth of scale-1 and scale-2, seeds 111 to 113 (docs/DECISIONS-UNDER-LOAD.md): 6 and 5 with the gap
-- 0.731; 3 and 2.5 without it 0.724, with three times the gap 0.707; 6 and 2.5 without it 0.722.
function place(call, engine)
  return 6 * engine.read_ms + engine.pending_read_ms + 5 * engine.outstanding
    + engine.gap_ms - engine.idle_gap_ms
end

-- Value of keeping a history cached: the tokens that it would cost to rebuild.
function retain(program)
  return program.history_tokens
end

-- Level at the engines, 0 first, by the milliseconds that the program has left. Its class doesn't count: long
-- sessions have more time to spare. A program that is late already still has to end before its caller gives
-- up, so it goes before those with time. Against the class's priority alone 0.767, 0.771, 0.867 -> 0.779,
-- 0.812, 0.900 (docs/design/platform.md); the steps themselves are chosen, not measured.
function urgency(call)
  local time_left = call.time_left_ms
  if time_left <= 0 then return 2 end
  if time_left < 400 then return 1 end
  if time_left < 900 then return 2 end
  if time_left < 2000 then return 3 end
  if time_left < 5000 then return 4 end
  return 5
end
