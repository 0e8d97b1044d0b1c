#include "tallyfold/scheduling/policy.hpp"

#include <fstream>
#include <iterator>

#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using scheduling::policy;

class policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(policy_test);
    CPPUNIT_TEST(shipped_policies_compile);
    CPPUNIT_TEST(an_endless_loop_is_stopped);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST(unsafe_functions_are_unavailable);
    CPPUNIT_TEST(results_are_deterministic);
    CPPUNIT_TEST(any_text_compiles_or_is_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::string policy_text(const std::string& order_body) {
        return "function order(call) " + order_body +
               " end\nfunction place(call, engine) return engine.outstanding end\n"
               "function retain(program) return program.history_tokens end\n";
    }

    void shipped_policies_compile() {
        for (const std::string name : {"huayin", "hobart"}) {
            std::ifstream file(source_root() + "/policies/" + name + ".lua");
            const std::string text((std::istreambuf_iterator<char>(file)), {});
            const auto compiled = policy::compile(text);
            CPPUNIT_ASSERT_MESSAGE(compiled ? "" : compiled.error().reason, compiled.has_value());
        }
    }

    void an_endless_loop_is_stopped() {
        CPPUNIT_ASSERT(!policy::compile(policy_text("while true do end return 1")).has_value());
    }

    void memory_is_bounded() {
        CPPUNIT_ASSERT(
            !policy::compile(policy_text("local t = {} for i = 1, 1000000 do t[i] = 'x' .. i "
                                         "end return #t"))
                 .has_value());
        CPPUNIT_ASSERT(
            !policy::compile(policy_text("local s = 'x' while true do s = s .. s end return 1"))
                 .has_value());
    }

    void unsafe_functions_are_unavailable() {
        for (const std::string call :
             {"io.open('/etc/passwd')", "os.exit(1)", "require('os')", "load('return 1')",
              "dofile('x')", "debug.getinfo(1)", "math.random()", "os.time()"}) {
            CPPUNIT_ASSERT_MESSAGE(call,
                                   !policy::compile(policy_text(call + " return 1")).has_value());
        }
    }

    void results_are_deterministic() {
        const auto compiled = policy::compile(policy_text("return call.attained_tokens * 2"));
        scheduling::call_features features;
        features.attained_tokens = 21;
        CPPUNIT_ASSERT_EQUAL(42.0, (*compiled)->order(features).value());
        CPPUNIT_ASSERT_EQUAL(42.0, (*compiled)->order(features).value());
    }

    void any_text_compiles_or_is_rejected() {
        check_property("compile accepts or rejects any bytes", [] {
            const auto compiled = policy::compile(*any_bytes());
            RC_ASSERT(!compiled.has_value() || *compiled != nullptr);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);

}  // namespace tallyfold::tests
