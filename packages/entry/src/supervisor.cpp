#include <jujubespool/entry/supervisor.h>

#include <algorithm>

namespace jujubespool {

supervisor::supervisor(std::string name, failure_listener listener)
    : m_name(std::move(name))
    , m_listener(std::move(listener))
{
}

void supervisor::add(component &child)
{
    m_children.push_back({ &child, false, FIRST_RESTART_DELAY, {}, {} });
}

bool supervisor::start(failure &reason)
{
    for (child_record &record : m_children) {
        record.running = record.child->start(reason);
        if (!record.running) {
            m_listener(record.child->name(), reason);
            stop();
            return false;
        }
    }
    return true;
}

bool supervisor::healthy(instant now) const
{
    return std::all_of(m_children.begin(), m_children.end(),
                       [now](const child_record &record) { return record.running && record.child->healthy(now); });
}

void supervisor::stop()
{
    for (auto record = m_children.rbegin(); record != m_children.rend(); ++record) {
        if (record->running) {
            record->child->stop();
            record->running = false;
        }
    }
}

void supervisor::check(instant now)
{
    for (child_record &record : m_children) {
        if (record.running && !record.child->healthy(now)) {
            m_listener(record.child->name(), { failure_step::control, {}, "the component has failed" });
            record.child->stop();
            record.running = false;
            record.notBefore = now + record.delay;
        }
        if (!record.running && now >= record.notBefore) {
            restart(record, now);
        }
        if (record.running && now - record.runningSince > LONGEST_RESTART_DELAY) {
            record.delay = FIRST_RESTART_DELAY;
        }
    }
}

void supervisor::restart(child_record &record, instant now)
{
    failure reason;
    ++m_restarts;
    record.running = record.child->start(reason);
    record.runningSince = now;
    record.delay = std::min(record.delay * 2, LONGEST_RESTART_DELAY);
    if (!record.running) {
        record.notBefore = now + record.delay;
        m_listener(record.child->name(), reason);
    }
}

} // namespace jujubespool
