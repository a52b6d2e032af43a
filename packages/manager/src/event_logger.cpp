#include <jujubespool/manager/event_logger.h>

#include <algorithm>
#include <jujubespool/entry/logger.h>
#include <utility>

namespace jujubespool {

namespace {

constexpr int MAX_LINES_PER_S = 2000;
// Lines of each event that are written beyond that maximum.
constexpr int RESERVED_LINES_PER_EVENT = 20;

} // namespace

event_logger::event_logger(metrics_registry &processMetrics)
    : m_metrics(processMetrics)
{
}

void event_logger::write(std::string_view event, std::initializer_list<field> fields)
{
    if (++m_linesThisSecond > MAX_LINES_PER_S && !takeReserved(event)) {
        ++m_dropped;
        return;
    }
    std::vector<log_field> logFields;
    logFields.reserve(fields.size());
    for (const field &entry : fields) {
        logFields.push_back({ entry.key, entry.value });
    }
    logEvent(log_level::info, event, logFields);
}

bool event_logger::takeReserved(std::string_view event)
{
    const auto position = m_reservedUsed.try_emplace(std::string(event), 0).first;
    return ++position->second <= RESERVED_LINES_PER_EVENT;
}

void event_logger::count(std::string_view counter, std::string_view label)
{
    m_metrics.increment(std::string(counter), "kind", std::string(label));
}

void event_logger::observe(std::string_view event, const std::string &team, duration time)
{
    m_metrics.observeDuration(std::string(event), team, time);
    const auto known = m_longest.find(event);
    duration &longest = known == m_longest.end() ? m_longest[std::string(event)] : known->second;
    longest = std::max(longest, time);
}

duration event_logger::takeLongest(std::string_view event)
{
    const auto known = m_longest.find(event);
    return known == m_longest.end() ? duration(0) : std::exchange(known->second, duration(0));
}

void event_logger::tick(instant now)
{
    if (now - m_secondStart >= seconds(1)) {
        m_secondStart = now;
        m_linesThisSecond = 0;
        m_reservedUsed.clear();
        if (m_dropped > 0) {
            logEvent(log_level::warning, "log-lines-dropped", { { "lines", std::to_string(std::exchange(m_dropped, 0)) } });
        }
    }
    flushLog();
}

} // namespace jujubespool
