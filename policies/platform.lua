-- The users' platform, both deployments: what a program still has decides how urgent its calls are.

-- Lower goes first among the calls of one priority that wait: the least time left, but for programs that
-- can't end in time any more, which go behind, the least late first.
function order(call)
  local left = call.time_left_ms
  if left < call.call_ms / 2 then return 1000000 - left end
  return left
end

-- Cost in milliseconds. Reading stalls every stream of the engine, so it counts several times; what this
-- node has waiting there is read before; each call of its own that runs there stands for those of other
-- nodes; and an engine whose events come slowly is busy with others' calls, or slow itself.
function place(call, engine)
  return 6 * engine.read_ms + engine.pending_read_ms + 5 * engine.outstanding
    + engine.gap_ms - engine.idle_gap_ms
end

-- What it would cost to rebuild.
function retain(program)
  return program.history_tokens
end

-- Level at the engines, 0 first: the less time a program has left, the more urgent; its class doesn't
-- count, since long sessions have the more time to spare. A program that is late already still has
-- to end before it is given up, so it goes before those with time.
function urgency(call)
  local left = call.time_left_ms
  if left <= 0 then return 2 end
  if left < 400 then return 1 end
  if left < 900 then return 2 end
  if left < 2000 then return 3 end
  if left < 5000 then return 4 end
  return 5
end
