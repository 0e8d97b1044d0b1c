-- The users' platform, both deployments: what a program still has decides how urgent its calls are.

-- Lower goes first.
function order(call)
  return call.time_left_ms
end

-- Cost in prompt tokens: what must be computed again, what waits there, and how busy the engine is.
function place(call, engine)
  return engine.uncached_tokens + engine.pending_prefill_tokens + 64 * engine.outstanding
end

-- What it would cost to rebuild.
function retain(program)
  return program.history_tokens
end

-- Level at the engines, 0 first. The more important class keeps a lead of one level; within it the
-- program with the least time left goes first. One that is late already only has to end at all: it
-- goes in the middle, and takes nothing from those that can still be in time.
function urgency(call)
  local lead = call.priority
  local left = call.time_left_ms
  if left <= 0 then return 4 + lead end
  if left < 400 then return 1 + lead end
  if left < 900 then return 2 + lead end
  if left < 2000 then return 3 + lead end
  if left < 5000 then return 4 + lead end
  return 5 + lead
end
