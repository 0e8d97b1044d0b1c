#include "tallyfold/base/logging/line_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using logging::line_sink;

class line_sink_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(line_sink_test);
    CPPUNIT_TEST(a_blocked_reader_neither_blocks_the_writer_nor_grows_memory);
    CPPUNIT_TEST(lines_over_the_rate_limit_are_dropped_and_counted);
    CPPUNIT_TEST_SUITE_END();

    std::array<int, 2> pipe_{};

  public:
    void setUp() override { CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipe_.data())); }
    void tearDown() override {
        ::close(pipe_[0]);
        ::close(pipe_[1]);
    }

  private:
    static std::string read_all(int descriptor) {
        ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> block{};
        ssize_t count = 0;
        while ((count = ::read(descriptor, block.data(), block.size())) > 0) {
            text.append(block.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    void a_blocked_reader_neither_blocks_the_writer_nor_grows_memory() {
        // Nothing reads from the pipe: a blocking sink would hang here.
        line_sink sink({pipe_[1], 64U << 10U, 1e9, 1e9});
        const std::string line(200, 'x');
        constexpr int lines = 50'000;
        for (int count = 0; count < lines; ++count) {
            sink.add(line, count);
            CPPUNIT_ASSERT(sink.buffered_bytes() <= (64U << 10U));
        }
        CPPUNIT_ASSERT(sink.dropped_lines() > 0);
        // Once the reader resumes, buffered lines arrive, and all others were counted as dropped.
        std::string text = read_all(pipe_[0]);
        sink.flush();
        text += read_all(pipe_[0]);
        sink.flush();
        text += read_all(pipe_[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, sink.buffered_bytes());
        const std::size_t written = text.size() / (line.size() + 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{lines}, written + sink.dropped_lines());
    }

    void lines_over_the_rate_limit_are_dropped_and_counted() {
        line_sink sink({pipe_[1], 1U << 20U, 10, 20});
        for (int count = 0; count < 100; ++count) {
            sink.add("line", 0.0);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, sink.dropped_lines());
        for (int count = 0; count < 100; ++count) {
            sink.add("line", 1.0);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{170}, sink.dropped_lines());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_sink_test);

}  // namespace tallyfold::tests
