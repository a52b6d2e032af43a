// The event loop of a process, based on libevent: timers, deferred calls, signals and clocks.
//
//     event_loop loop;
//     loop.repeat(milliseconds(100), [] { ... });
//     loop.run();
//
// Code that makes decisions receives the time as an argument, so that tests can control it; the clocks are read only here.
#pragma once

#include <event2/event.h>
#include <functional>
#include <jujubespool/entry/time_source.h>
#include <memory>
#include <vector>

namespace jujubespool {

class event_loop : public time_source
{
public:
    event_loop();
    ~event_loop() override;
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    event_base *base() const
    {
        return m_base;
    }

    // Monotonic time that continues while the system is suspended.
    instant now() const override;
    wall_ms wallNow() const override;
    std::uint64_t randomNumber() override;

    void repeat(milliseconds interval, std::function<void()> callback) override;
    void after(milliseconds delay, std::function<void()> callback) override;
    // Calls the function once, in a later pass of the loop: sources that are ready by then go first.
    void afterPolling(std::function<void()> callback);
    // Time spent in callbacks so far. See addBusyTime().
    duration busyTime() const
    {
        return m_busyTime;
    }
    // Adds the time since then. For callbacks that are not called by this class.
    void addBusyTime(instant since)
    {
        m_busyTime += now() - since;
    }
    // Calls the function on the event loop when the process receives the signal.
    void onSignal(int signal, std::function<void()> callback);

    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct handler
    {
        event_loop *loop = nullptr;
        std::function<void()> callback;
        event *source = nullptr;
    };
    struct deferred_call
    {
        event_loop *loop = nullptr;
        std::function<void()> callback;
    };
    handler &addHandler(std::function<void()> callback);
    static void onEvent(evutil_socket_t, short, void *argument);
    static void onAfterPolling(evutil_socket_t, short, void *argument);
    void call(const std::function<void()> &callback);

    event_base *m_base;
    std::vector<std::unique_ptr<handler>> m_handlers;
    duration m_busyTime{ 0 };
    std::vector<std::function<void()>> m_afterPolling;
    event *m_afterPollingTimer;
};

} // namespace jujubespool
