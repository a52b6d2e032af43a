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
    // Processor time that all threads of this process have used.
    duration processorTime() const;

    void repeat(milliseconds interval, std::function<void()> callback) override;
    void after(milliseconds delay, std::function<void()> callback) override;
    // Calls the function on the event loop when the process receives the signal.
    void onSignal(int signal, std::function<void()> callback);

    // Runs until stop() is called.
    void run();
    void stop();

private:
    struct handler
    {
        std::function<void()> callback;
        event *source = nullptr;
    };
    handler &addHandler(std::function<void()> callback);
    static void onEvent(evutil_socket_t, short, void *argument);

    event_base *m_base;
    std::vector<std::unique_ptr<handler>> m_handlers;
};

} // namespace jujubespool
