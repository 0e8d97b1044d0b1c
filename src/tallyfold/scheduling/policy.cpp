#include "tallyfold/scheduling/policy.hpp"

#include <cmath>
#include <cstdlib>
#include <lua.hpp>

namespace tallyfold::scheduling {

namespace {

constexpr const char* chunk_name = "=policy";

struct memory_account {
    std::size_t used = 0;
};

void* bounded_allocate(void* context, void* block, std::size_t old_size, std::size_t new_size) {
    auto* account = static_cast<memory_account*>(context);
    const std::size_t released = block == nullptr ? 0 : old_size;
    if (new_size == 0) {
        std::free(block);
        account->used -= released;
        return nullptr;
    }
    if (account->used - released + new_size > policy::memory_limit) {
        return nullptr;
    }
    void* moved = std::realloc(block, new_size);
    if (moved != nullptr) {
        account->used = account->used - released + new_size;
    }
    return moved;
}

void stop_at_limit(lua_State* state, lua_Debug* /*record*/) {
    luaL_error(state, "instruction limit reached");
}

/// Parses an error message of Lua, "policy:LINE: reason".
policy_error parse_error(const std::string& text) {
    const std::string prefix = std::string(chunk_name + 1) + ":";
    if (!text.starts_with(prefix)) {
        return {0, text};
    }
    const std::size_t end = text.find(':', prefix.size());
    if (end == std::string::npos) {
        return {0, text};
    }
    const int line = std::atoi(text.substr(prefix.size(), end - prefix.size()).c_str());
    return {line, text.substr(std::min(text.size(), end + 2))};
}

void set_number(lua_State* state, const char* name, double value) {
    lua_pushnumber(state, value);
    lua_setfield(state, -2, name);
}

void set_boolean(lua_State* state, const char* name, bool value) {
    lua_pushboolean(state, value ? 1 : 0);
    lua_setfield(state, -2, name);
}

void set_string(lua_State* state, const char* name, const std::string& value) {
    lua_pushlstring(state, value.data(), value.size());
    lua_setfield(state, -2, name);
}

void set_fields(lua_State* state, const call_features& call) {
    set_string(state, "class", call.program_class);
    set_number(state, "priority", call.priority);
    set_number(state, "tenant_priority", call.tenant_priority);
    set_number(state, "attained_tokens", call.attained_tokens);
    set_number(state, "turns", call.turns);
    set_number(state, "started_ms", call.started_ms);
    set_number(state, "prompt_tokens", call.prompt_tokens);
    set_number(state, "max_tokens", call.max_tokens);
    set_number(state, "budget_left", call.budget_left);
    set_number(state, "tenant_running", call.tenant_running);
    set_boolean(state, "is_sub_agent", call.is_sub_agent);
    set_number(state, "time_left_ms", call.time_left_ms);
    set_number(state, "call_ms", call.call_ms);
}

void set_fields(lua_State* state, const engine_features& engine) {
    set_number(state, "cached_tokens", engine.cached_tokens);
    set_number(state, "uncached_tokens", engine.uncached_tokens);
    set_number(state, "outstanding", engine.outstanding);
    set_number(state, "slots", engine.slots);
    set_number(state, "pending_prefill_tokens", engine.pending_prefill_tokens);
    set_number(state, "read_ms", engine.read_ms);
    set_number(state, "pending_read_ms", engine.pending_read_ms);
    set_number(state, "gap_ms", engine.gap_ms);
    set_number(state, "idle_gap_ms", engine.idle_gap_ms);
    set_number(state, "cache_fill", engine.cache_fill);
    set_boolean(state, "same_zone", engine.same_zone);
}

void set_fields(lua_State* state, const program_features& program) {
    set_string(state, "class", program.program_class);
    set_number(state, "priority", program.priority);
    set_number(state, "history_tokens", program.history_tokens);
    set_number(state, "turns", program.turns);
    set_number(state, "started_ms", program.started_ms);
    set_number(state, "attained_tokens", program.attained_tokens);
    set_number(state, "mean_pause_ms", program.mean_pause_ms);
    set_boolean(state, "is_sub_agent", program.is_sub_agent);
}

/// Opens the base and math libraries, without input, output, loading of code and random numbers.
void open_safe_libraries(lua_State* state) {
    luaL_requiref(state, LUA_GNAME, luaopen_base, 1);
    luaL_requiref(state, LUA_MATHLIBNAME, luaopen_math, 1);
    lua_settop(state, 0);
    for (const char* name : {"dofile", "loadfile", "load", "print", "collectgarbage", "require",
                             "setmetatable", "getmetatable", "rawset", "pcall", "xpcall"}) {
        lua_pushnil(state);
        lua_setglobal(state, name);
    }
    lua_getglobal(state, LUA_MATHLIBNAME);
    for (const char* name : {"random", "randomseed"}) {
        lua_pushnil(state);
        lua_setfield(state, -2, name);
    }
    lua_settop(state, 0);
}

}  // namespace

struct policy::runtime {
    memory_account account;
    lua_State* state = nullptr;

    runtime() { state = lua_newstate(bounded_allocate, &account); }
    ~runtime() {
        if (state != nullptr) {
            lua_close(state);
        }
    }
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;

    policy_error pop_error() {
        const char* text = lua_tostring(state, -1);
        policy_error error = parse_error(text == nullptr ? "not enough memory" : text);
        lua_settop(state, 0);
        return error;
    }

    /// Builds a table of `features`. Called through lua_pcall, since the allocation may fail.
    template <class Features>
    static int push_features(lua_State* target) {
        const auto* features = static_cast<const Features*>(lua_touserdata(target, 1));
        lua_createtable(target, 0, 14);
        set_fields(target, *features);
        return 1;
    }

    template <class Features>
    bool push_table(const Features& features) {
        lua_pushcfunction(state, &push_features<Features>);
        // The called function only reads through the pointer.
        lua_pushlightuserdata(state, const_cast<Features*>(&features));
        return lua_pcall(state, 1, 1, 0) == LUA_OK;
    }

    tl::expected<double, policy_error> run(const char* function, int arguments) {
        lua_sethook(state, stop_at_limit, LUA_MASKCOUNT, instruction_limit);
        if (lua_pcall(state, arguments, 1, 0) != LUA_OK) {
            return tl::unexpected(pop_error());
        }
        int is_number = 0;
        const double value = lua_tonumberx(state, -1, &is_number);
        lua_settop(state, 0);
        if (is_number == 0 || !std::isfinite(value)) {
            return tl::unexpected(
                policy_error{0, std::string(function) + " must return a finite number"});
        }
        return value;
    }

    bool defines(const char* function) {
        const bool defined = lua_getglobal(state, function) == LUA_TFUNCTION;
        lua_settop(state, 0);
        return defined;
    }

    template <class... Features>
    tl::expected<double, policy_error> call(const char* function, const Features&... features) {
        lua_settop(state, 0);
        if (lua_getglobal(state, function) != LUA_TFUNCTION) {
            lua_settop(state, 0);
            return tl::unexpected(
                policy_error{0, std::string("function ") + function + " is missing"});
        }
        if (!(push_table(features) && ...)) {
            return tl::unexpected(pop_error());
        }
        return run(function, sizeof...(features));
    }
};

policy::policy(std::unique_ptr<runtime> state) : runtime_(std::move(state)) {}
policy::~policy() = default;

tl::expected<std::unique_ptr<policy>, policy_error> policy::compile(const std::string& text) {
    auto state = std::make_unique<runtime>();
    if (state->state == nullptr) {
        return tl::unexpected(policy_error{0, "no memory for a policy"});
    }
    open_safe_libraries(state->state);
    // "t": text only, since Lua does not verify binary chunks.
    if (luaL_loadbufferx(state->state, text.data(), text.size(), chunk_name, "t") != LUA_OK) {
        return tl::unexpected(state->pop_error());
    }
    lua_sethook(state->state, stop_at_limit, LUA_MASKCOUNT, instruction_limit);
    if (lua_pcall(state->state, 0, 0, 0) != LUA_OK) {
        return tl::unexpected(state->pop_error());
    }
    std::unique_ptr<policy> compiled(new policy(std::move(state)));
    const call_features sample_call{"sample", 1, 1000, 3, 500, 100, 5000, 1, false, 0, 2000, 300};
    for (const double cached : {0.0, 400.0}) {
        engine_features sample_engine;
        sample_engine.cached_tokens = cached;
        sample_engine.uncached_tokens = 500 - cached;
        sample_engine.outstanding = 2;
        sample_engine.slots = 8;
        sample_engine.read_ms = (500 - cached) / 100;
        sample_engine.gap_ms = 30;
        sample_engine.idle_gap_ms = 20;
        sample_engine.cache_fill = 0.5;
        sample_engine.same_zone = true;
        if (auto placed = compiled->place(sample_call, sample_engine); !placed) {
            return tl::unexpected(placed.error());
        }
    }
    if (auto ordered = compiled->order(sample_call); !ordered) {
        return tl::unexpected(ordered.error());
    }
    compiled->ranks_urgency_ = compiled->runtime_->defines("urgency");
    if (compiled->ranks_urgency_) {
        if (auto ranked = compiled->urgency(sample_call); !ranked) {
            return tl::unexpected(ranked.error());
        }
    }
    if (auto kept = compiled->retain({"sample", 1, 500, 3, 1000, 200, false}); !kept) {
        return tl::unexpected(kept.error());
    }
    return compiled;
}

tl::expected<double, policy_error> policy::order(const call_features& call) {
    return runtime_->call("order", call);
}

tl::expected<double, policy_error> policy::urgency(const call_features& call) {
    return runtime_->call("urgency", call);
}

tl::expected<double, policy_error> policy::place(const call_features& call,
                                                 const engine_features& engine) {
    return runtime_->call("place", call, engine);
}

tl::expected<double, policy_error> policy::retain(const program_features& program) {
    return runtime_->call("retain", program);
}

}  // namespace tallyfold::scheduling
