#include <jujubespool/entry/event_loop.h>

#include <chrono>
#include <ctime>
#include <random>
#include <utility>

namespace jujubespool {

namespace {

timeval toTimeval(milliseconds time)
{
    return { static_cast<time_t>(time.count() / 1000), static_cast<suseconds_t>(time.count() % 1000 * 1000) };
}

} // namespace

event_loop::event_loop()
{
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    m_base = event_base_new_with_config(config);
    event_config_free(config);
    m_afterPollingTimer = evtimer_new(m_base, onAfterPolling, this);
}

event_loop::~event_loop()
{
    for (const auto &entry : m_handlers) {
        event_free(entry->source);
    }
    event_free(m_afterPollingTimer);
    event_base_free(m_base);
}

instant event_loop::now() const
{
    // CLOCK_BOOTTIME includes the time while the system is suspended, because leases expire during that time too.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant(duration_cast<duration>(seconds(time.tv_sec)) + duration_cast<duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

wall_ms event_loop::wallNow() const
{
    return static_cast<wall_ms>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::uint64_t event_loop::randomNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

event_loop::handler &event_loop::addHandler(std::function<void()> callback)
{
    m_handlers.push_back(std::make_unique<handler>());
    m_handlers.back()->loop = this;
    m_handlers.back()->callback = std::move(callback);
    return *m_handlers.back();
}

void event_loop::onEvent(evutil_socket_t, short, void *argument)
{
    const handler &called = *static_cast<handler *>(argument);
    called.loop->call(called.callback);
}

void event_loop::call(const std::function<void()> &callback)
{
    const instant begin = now();
    callback();
    addBusyTime(begin);
}

void event_loop::onAfterPolling(evutil_socket_t, short, void *argument)
{
    event_loop &loop = *static_cast<event_loop *>(argument);
    for (const std::function<void()> &callback : std::exchange(loop.m_afterPolling, {})) {
        loop.call(callback);
    }
}

void event_loop::afterPolling(std::function<void()> callback)
{
    m_afterPolling.push_back(std::move(callback));
    // A timer that is due goes through the next poll. event_active() or event_base_once() would run ahead of what is ready by then.
    const timeval immediately{};
    event_add(m_afterPollingTimer, &immediately);
}

void event_loop::repeat(milliseconds interval, std::function<void()> callback)
{
    handler &added = addHandler(std::move(callback));
    added.source = event_new(m_base, -1, EV_PERSIST, onEvent, &added);
    const timeval time = toTimeval(interval);
    event_add(added.source, &time);
}

void event_loop::after(milliseconds delay, std::function<void()> callback)
{
    const auto runOnce = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<deferred_call> owned(static_cast<deferred_call *>(argument));
        owned->loop->call(owned->callback);
    };
    const timeval time = toTimeval(delay);
    auto owned = std::make_unique<deferred_call>(deferred_call{ this, std::move(callback) });
    if (event_base_once(m_base, -1, EV_TIMEOUT, runOnce, owned.get(), &time) == 0) {
        static_cast<void>(owned.release());
    }
}

void event_loop::onSignal(int signal, std::function<void()> callback)
{
    handler &added = addHandler(std::move(callback));
    added.source = evsignal_new(m_base, signal, onEvent, &added);
    event_add(added.source, nullptr);
}

void event_loop::run()
{
    event_base_dispatch(m_base);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base);
}

} // namespace jujubespool
