-- Huayin: licensing first (by class priority), then the tail of the whole program.

-- Lower goes first: programs in the order in which they began, so that none of them is overtaken
-- again and again. That is what the slowest programs in a hundred feel.
function order(call)
  return call.started_ms
end

-- Cost in prompt tokens. What must be computed again counts several times: it delays everyone on
-- that engine, and it pushes other histories out.
function place(call, engine)
  local busy = engine.outstanding / engine.slots
  return 4 * engine.uncached_tokens + engine.pending_prefill_tokens + 600 * busy
end

-- Long histories of sessions that come back soon are worth most.
function retain(program)
  return (1 + program.priority) * program.history_tokens / (1000 + program.mean_pause_ms)
end
