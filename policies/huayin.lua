-- Policy of the Huayin deployment: licensing first (by class priority), then the tail latency of
-- whole programs.

-- Rank of a waiting call, lower first. Oldest programs go first, so that no program is overtaken
-- repeatedly; this bounds the tail latency (p99).
function order(call)
  return call.started_ms
end

-- Cost of sending the call to an engine, in prompt tokens. Uncached tokens count four times,
-- because recomputing them delays every stream of the engine and evicts other histories. An engine
-- with all slots taken adds 600 tokens.
function place(call, engine)
  local load = engine.outstanding / engine.slots
  return 4 * engine.uncached_tokens + engine.pending_prefill_tokens + 600 * load
end

-- Value of keeping a history cached: highest for long histories of sessions with short pauses
-- between calls. Adding 1,000 ms to the pause keeps very short pauses from dominating.
function retain(program)
  return (1 + program.priority) * program.history_tokens / (1000 + program.mean_pause_ms)
end
