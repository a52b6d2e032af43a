#include <jujubespool/manager/stop_sequence.h>

namespace jujubespool {

namespace {

// The load balancer needs about two seconds to stop sending callers to this process.
constexpr milliseconds MIN_STOP_TIME{ 2600 };
constexpr milliseconds MAX_STOP_TIME{ 5000 };
// An answer is written in a later pass of the event loop than the one that decides on it.
constexpr milliseconds ANSWER_WRITE_TIME{ 60 };
// Callers that keep sending requests do not delay the end for longer than this.
constexpr milliseconds MAX_ANSWER_TIME{ 150 };

} // namespace

stop_sequence::stop_sequence(instant now)
    : m_startedAt(now)
{
}

stop_action stop_sequence::next(std::size_t openCalls, bool handedOver, instant now)
{
    const duration elapsed = now - m_startedAt;
    const bool overdue = elapsed >= MAX_STOP_TIME;
    if (elapsed >= MAX_STOP_TIME + MAX_ANSWER_TIME) {
        return stop_action::end;
    }
    if (openCalls > 0) {
        m_answeredSince.reset();
        return overdue ? stop_action::answer_open_calls : stop_action::wait;
    }
    m_answeredSince = m_answeredSince.value_or(now);
    const bool written = now - *m_answeredSince >= ANSWER_WRITE_TIME;
    const bool mayEnd = overdue || (handedOver && elapsed >= MIN_STOP_TIME);
    return written && mayEnd ? stop_action::end : stop_action::wait;
}

} // namespace jujubespool
