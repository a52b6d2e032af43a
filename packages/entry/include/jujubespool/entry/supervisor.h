// Starts, monitors, restarts and stops the components of a process.
//
//     supervisor root("entry");
//     root.add(httpServer);
//     root.start(now);
//     root.check(now);     // restarts failed components with backoff
//     root.stop();         // stops the components in reverse order
//
// A supervisor is itself a component, so supervisors can form a tree.
#pragma once

#include <functional>
#include <jujubespool/core/failure.h>
#include <jujubespool/core/time.h>
#include <string>
#include <vector>

namespace jujubespool {

class component
{
public:
    virtual ~component() = default;
    virtual std::string name() const = 0;
    // Starts or restarts the component. Returns false and sets the reason on failure.
    virtual bool start(failure &reason) = 0;
    virtual bool healthy(instant now) const = 0;
    virtual void stop() = 0;
};

constexpr milliseconds INITIAL_RESTART_DELAY{ 100 };
constexpr milliseconds MAX_RESTART_DELAY{ 10000 };

class supervisor : public component
{
public:
    using failure_listener = std::function<void(const std::string &component, const failure &reason)>;

    supervisor(std::string name, failure_listener listener);

    // The component must outlive the supervisor.
    void add(component &child);

    std::string name() const override
    {
        return m_name;
    }
    // Starts the children in the order in which they were added. If one fails to start, stops those already started.
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;

    // Stops unhealthy children and restarts stopped ones whose restart delay has passed.
    void check(instant now);

    std::uint64_t restarts() const
    {
        return m_restarts;
    }

private:
    struct child_record
    {
        component *child = nullptr;
        bool running = false;
        milliseconds delay{ INITIAL_RESTART_DELAY };
        instant nextRestartAt;
        instant runningSince;
    };

    void restart(child_record &record, instant now);

    std::string m_name;
    failure_listener m_listener;
    std::vector<child_record> m_children;
    std::uint64_t m_restarts = 0;
};

} // namespace jujubespool
