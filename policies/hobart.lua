-- Hobart: season-long histories stay warm; a call goes where its history is.

-- Lower goes first: programs in the order in which they began, so that fewer are half done, and
-- their histories in memory, at any time.
function order(call)
  return call.started_ms
end

-- Cost of an engine in prompt tokens: what it must read counts twice, a full engine as 400 tokens, a full
-- cache as 2,000 where nothing of the call is cached. So a cached history is left only when its engine is
-- full. The factors are chosen, not measured by themselves.
function place(call, engine)
  local load = engine.outstanding / engine.slots
  local cache_cost = 2000 * engine.cache_fill
  if engine.cached_tokens > 0 then cache_cost = 0 end
  return 2 * engine.uncached_tokens + engine.pending_prefill_tokens + 400 * load + cache_cost
end

-- Value of keeping a history cached: the tokens that it would cost to rebuild.
function retain(program)
  return program.history_tokens
end
