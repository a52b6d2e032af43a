#include <jujubespool/manager/call_queue.h>

#include <algorithm>
#include <utility>

namespace jujubespool {

namespace {

// A new job is refused while the first one in the queue has waited for this long. Callers expect the first start within well under a
// second.
constexpr milliseconds MAX_NEW_JOB_WAIT{ 150 };
// Time for which calls are served in one pass of the event loop.
constexpr milliseconds SERVING_TIME{ 2 };
// After a pass of this length the results of accepted work take the processor's time.
constexpr milliseconds LONG_PASS{ 40 };
// New jobs are served all the same if none has been for this long.
constexpr milliseconds MAX_TIME_WITHOUT_NEW_JOB{ 250 };
// So many calls about existing jobs go before a new job, so that callers who ask often keep nobody out.
constexpr int MAX_SERVED_IN_A_ROW = 8;

} // namespace

call_queue::call_queue(defer_function defer, std::function<instant()> clock, call_handler serve, call_handler refuse)
    : m_defer(std::move(defer))
    , m_clock(std::move(clock))
    , m_serve(std::move(serve))
    , m_refuse(std::move(refuse))
{
}

bool call_queue::isNewJob(const http_call &call)
{
    return call.method == "POST";
}

bool call_queue::isOverloaded(instant now) const
{
    return !m_newJobs.empty() && now - m_newJobs.front().since > MAX_NEW_JOB_WAIT;
}

bool call_queue::repeatsWaitingCall(const http_call &call) const
{
    return std::any_of(m_newJobs.begin(), m_newJobs.end(),
                       [&call](const waiting_call &waiting) { return waiting.call.path == call.path && waiting.call.host == call.host; });
}

void call_queue::add(const http_call &call, const http_reply_callback &reply, instant now)
{
    if (!isNewJob(call)) {
        m_existingJobs.push_back({ call, reply, now });
    } else if (isOverloaded(now) && !repeatsWaitingCall(call)) {
        m_refuse(call, now, reply);
        return;
    } else {
        m_newJobs.push_back({ call, reply, now });
    }
    deferServing();
}

void call_queue::clear()
{
    m_existingJobs.clear();
    m_newJobs.clear();
}

void call_queue::deferServing()
{
    if (!m_deferredAt) {
        m_deferredAt = m_clock();
        m_defer([this] { serveSome(); });
    }
}

void call_queue::serveSome()
{
    const instant begin = m_clock();
    const bool late = begin - *std::exchange(m_deferredAt, std::nullopt) > LONG_PASS;
    const bool mayServeNewJob = !late || begin - m_newJobServedAt > MAX_TIME_WITHOUT_NEW_JOB;
    for (instant now = begin; now - begin < SERVING_TIME; now = m_clock()) {
        const bool newJob = isTurnOfNewJob();
        if (newJob ? m_newJobs.empty() || !mayServeNewJob : m_existingJobs.empty()) {
            break;
        }
        serveNext(newJob, now);
    }
    if (size() > 0) {
        deferServing();
    }
}

bool call_queue::isTurnOfNewJob() const
{
    return m_existingJobs.empty() || (!m_newJobs.empty() && m_servedInARow >= MAX_SERVED_IN_A_ROW);
}

void call_queue::serveNext(bool newJob, instant now)
{
    std::deque<waiting_call> &calls = newJob ? m_newJobs : m_existingJobs;
    m_servedInARow = newJob ? 0 : m_servedInARow + 1;
    m_newJobServedAt = newJob ? now : m_newJobServedAt;
    const waiting_call next = std::move(calls.front());
    calls.pop_front();
    m_serve(next.call, now, next.reply);
}

} // namespace jujubespool
