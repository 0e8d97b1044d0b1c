-- Policy of the forwarders of both deployments: the urgency of a call follows from the time that
-- its program has left. All times are in milliseconds.

-- Rank among the waiting calls of one priority, lower first: the least time left. Programs with
-- less than half of the usual call time left are unlikely to finish in time and go last, the least
-- late first; 1,000,000 ms exceeds any time left.
function order(call)
  local time_left = call.time_left_ms
  if time_left < call.call_ms / 2 then return 1000000 - time_left end
  return time_left
end

-- Cost of sending the call to an engine, in milliseconds:
-- - reading the uncached tokens, six times, because a prefill stalls every stream of the engine;
-- - the pending prefills of this node, which run first;
-- - 5 ms for each call under way there;
-- - the event gap beyond that of an idle engine, which grows with calls of other nodes and on slow
--   engines.
function place(call, engine)
  return 6 * engine.read_ms + engine.pending_read_ms + 5 * engine.outstanding
    + engine.gap_ms - engine.idle_gap_ms
end

-- Value of keeping a history cached: the number of tokens to recompute without it.
function retain(program)
  return program.history_tokens
end

-- Urgency level at the engines, 0 first, by the time that the program has left. The class is
-- ignored, since long sessions have more time left. A late program must still finish before its
-- caller times out, so it ranks with programs that have 400 to 900 ms left.
function urgency(call)
  local time_left = call.time_left_ms
  if time_left <= 0 then return 2 end
  if time_left < 400 then return 1 end
  if time_left < 900 then return 2 end
  if time_left < 2000 then return 3 end
  if time_left < 5000 then return 4 end
  return 5
end
