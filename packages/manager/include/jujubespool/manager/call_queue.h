// Holds the calls of callers until the owner has processor time for them, so that the results of accepted work go first.
//
//     call_queue calls(defer, clock, serve, refuse);
//     calls.add(call, reply, now);
//
// The owner handles results of workers and of the store, renewals and heartbeats as they arrive, and calls in the time that these leave. In
// each pass of the event loop it serves calls for a short time only, and no new job after a long pass. Calls about existing jobs go before
// new jobs. A new job that would wait for long is refused at once: its caller learns when to come back, instead of waiting for an answer
// that comes too late. A call that repeats one which waits is not refused, because the first one may still be served.
#pragma once

#include <deque>
#include <jujubespool/core/time.h>
#include <jujubespool/manager/http_listener.h>
#include <optional>

namespace jujubespool {

class call_queue
{
public:
    using call_handler = std::function<void(const http_call &call, instant now, const http_reply_callback &reply)>;
    // Runs the function in the next pass of the event loop, after what is ready by then.
    using defer_function = std::function<void(std::function<void()> call)>;

    // `clock`: the present time, which advances while calls are served. `refuse` answers a call that has not been handled.
    call_queue(defer_function defer, std::function<instant()> clock, call_handler serve, call_handler refuse);

    void add(const http_call &call, const http_reply_callback &reply, instant now);
    // Forgets the calls that wait. They have not been handled, and get no reply from here.
    void clear();
    std::size_t size() const
    {
        return m_existingJobs.size() + m_newJobs.size();
    }

private:
    struct waiting_call
    {
        http_call call;
        http_reply_callback reply;
        instant since;
    };
    // A call that hands in a job. The others concern jobs that have been accepted.
    static bool isNewJob(const http_call &call);
    // Whether a new job has waited for so long that another would wait too long.
    bool isOverloaded(instant now) const;
    bool repeatsWaitingCall(const http_call &call) const;
    void deferServing();
    void serveSome();
    void serveNext(bool newJob, instant now);
    bool isTurnOfNewJob() const;

    defer_function m_defer;
    std::function<instant()> m_clock;
    call_handler m_serve;
    call_handler m_refuse;
    std::deque<waiting_call> m_existingJobs;
    std::deque<waiting_call> m_newJobs;
    // Calls about existing jobs that were served since the last new job.
    int m_servedInARow = 0;
    std::optional<instant> m_deferredAt;
    instant m_newJobServedAt;
};

} // namespace jujubespool
