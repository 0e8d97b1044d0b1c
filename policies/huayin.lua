-- Huayin: licensing first (by class priority), then the tail of the whole program.

-- Lower goes first: programs in the order in which they began, so that none of them is overtaken
-- again and again: that decides the latency of the slowest programs in a hundred.
function order(call)
  return call.started_ms
end

-- Cost of an engine in prompt tokens. What must be computed again counts four times: it delays every stream
-- of that engine, and evicts other histories. A full engine counts as 600 tokens. The factors are chosen, not
-- measured by themselves.
function place(call, engine)
  local load = engine.outstanding / engine.slots
  return 4 * engine.uncached_tokens + engine.pending_prefill_tokens + 600 * load
end

-- Value of keeping a history cached: long histories of sessions that come back soon are worth most. 1,000 ms
-- is added to the pause, so that very short pauses don't outweigh all else; chosen, not measured.
function retain(program)
  return (1 + program.priority) * program.history_tokens / (1000 + program.mean_pause_ms)
end
