-- Policy of the Hobart deployment: keeps long histories cached and sends each call to the engine
-- that holds its history.

-- Rank of a waiting call, lower first. Oldest programs go first, which keeps the number of
-- unfinished programs, and of their cached histories, low.
function order(call)
  return call.started_ms
end

-- Cost of sending the call to an engine, in prompt tokens. Uncached tokens count twice, an engine
-- with all slots taken adds 400 tokens, and a full cache adds 2,000 tokens for a call without
-- cached tokens. A call therefore leaves its cached history only when that engine is full.
function place(call, engine)
  local load = engine.outstanding / engine.slots
  local cache_cost = 2000 * engine.cache_fill
  if engine.cached_tokens > 0 then cache_cost = 0 end
  return 2 * engine.uncached_tokens + engine.pending_prefill_tokens + 400 * load + cache_cost
end

-- Value of keeping a history cached: the number of tokens to recompute without it.
function retain(program)
  return program.history_tokens
end
