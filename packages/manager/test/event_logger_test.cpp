#include <criterion/criterion.h>
#include <cstdio>
#include <jujubespool/manager/event_logger.h>
#include <string>
#include <unistd.h>

namespace {

using namespace jujubespool;

// Redirects standard output to a file for the lifetime of the object.
class captured_output
{
public:
    captured_output()
        : m_file(std::tmpfile())
        , m_saved(dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        dup2(fileno(m_file), STDOUT_FILENO);
    }
    ~captured_output()
    {
        restore();
        std::fclose(m_file);
    }

    std::string text()
    {
        restore();
        std::string text;
        std::rewind(m_file);
        for (int c = std::fgetc(m_file); c != EOF; c = std::fgetc(m_file)) {
            text += static_cast<char>(c);
        }
        return text;
    }

private:
    void restore()
    {
        if (m_saved >= 0) {
            std::fflush(stdout);
            dup2(m_saved, STDOUT_FILENO);
            close(m_saved);
            m_saved = -1;
        }
    }

    std::FILE *m_file;
    int m_saved;
};

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++found;
    }
    return found;
}

} // namespace

// After a take-over thousands of workers are listed within a second. The change of the ownership must still be visible in the log.
Test(event_logger, writesRareEventsDuringAFloodOfOthers)
{
    captured_output output;
    metrics_registry metrics;
    event_logger log(metrics);
    log.tick(instant(seconds(100)));
    for (int i = 0; i < 9000; ++i) {
        log.write("worker-listed", { { "worker", std::to_string(i) } });
    }
    log.write("ownership", { { "event", "claimed" } });
    log.tick(instant(seconds(102)));
    const std::string text = output.text();
    cr_assert_eq(count(text, "event=ownership "), 1);
    cr_assert_eq(count(text, "event=log-lines-dropped"), 1);
    cr_assert_leq(count(text, "event=worker-listed"), 2100);
}
