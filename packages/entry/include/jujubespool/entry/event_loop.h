// The one loop of a process: timers, deferred calls and the clocks.
//
//     event_loop loop;
//     loop.repeat(milliseconds(100), [] { ... });
//     loop.run();
//
// Clocks are read here and passed on as arguments to whatever decides.
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

    instant now() const override;
    wall_ms wallNow() const override;
    std::uint64_t randomNumber() override;

    void repeat(milliseconds interval, std::function<void()> call) override;
    void after(milliseconds delay, std::function<void()> call) override;
    // Calls the function on the loop when the process receives the signal.
    void onSignal(int signal, std::function<void()> call);

    void run();
    void stop();

private:
    struct handler
    {
        std::function<void()> call;
        event *source = nullptr;
    };
    handler &addHandler(std::function<void()> call);
    static void onEvent(evutil_socket_t, short, void *argument);

    event_base *m_base;
    std::vector<std::unique_ptr<handler>> m_handlers;
};

} // namespace jujubespool
