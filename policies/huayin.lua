-- Huayin: licensing first (by class priority), then the tail of the whole program.

-- Lower goes first. Programs that have used least go first, so that a short program is not
-- caught behind a long one; each turn taken counts for a little, so that sessions end.
function order(call)
  return call.attained_tokens - 400 * call.turns
end

-- Cost in prompt tokens that have to be computed before this call gets its first token.
function place(call, engine)
  local busy = engine.outstanding / engine.slots
  return engine.uncached_tokens + engine.pending_prefill_tokens + 600 * busy
end

-- Long histories of sessions that come back soon are worth most.
function retain(program)
  return (1 + program.priority) * program.history_tokens / (1000 + program.mean_pause_ms)
end
