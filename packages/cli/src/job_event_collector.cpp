#include <jujubespool/cli/job_event_collector.h>

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jujubespool {

namespace {

// What tells of a worker's state, and what concerns every job.
const std::set<std::string_view> WORKER_EVENTS{ "worker-silent", "worker-answers-again", "worker-avoided",
                                                "leases-lapsed", "worker-listed",        "worker-unlisted" };
const std::set<std::string_view> COMMON_EVENTS{ "ownership",     "handed-over", "ledger-append-failed",
                                                "feed-regained", "feed-lost",   "log-lines-dropped" };

// Value of the field, or an empty text.
std::string fieldOf(const log_line &line, const std::string &key)
{
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string() : found->second;
}

bool byTime(const log_line &left, const log_line &right)
{
    return left.time < right.time;
}

} // namespace

std::optional<log_line> parseLogLine(const std::string &text)
{
    log_line line;
    line.text = text;
    std::size_t at = text.find("time=");
    while (at != std::string::npos && at < text.size()) {
        const std::size_t equals = text.find('=', at);
        if (equals == std::string::npos) {
            break;
        }
        const std::string key = text.substr(at, equals - at);
        const bool quoted = equals + 1 < text.size() && text[equals + 1] == '"';
        const std::size_t begin = equals + (quoted ? 2 : 1);
        const std::size_t end = std::min(text.find(quoted ? '"' : ' ', begin), text.size());
        line.fields[key] = text.substr(begin, end - begin);
        at = text.find_first_not_of("\" ", end);
    }
    line.time = fieldOf(line, "time");
    // Lines on the ownership carry what happened under the same key as the event itself; the first one names the line.
    const std::size_t event = text.find("event=");
    if (line.time.empty() || event == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t begin = event + std::string_view("event=").size();
    line.event = text.substr(begin, std::min(text.find(' ', begin), text.size()) - begin);
    return line;
}

job_event_collector::job_event_collector(std::string id)
    : m_id(std::move(id))
{
}

void job_event_collector::add(const std::string &text)
{
    std::optional<log_line> line = parseLogLine(text);
    if (line) {
        m_lines.push_back(std::move(*line));
    }
}

bool job_event_collector::namesJob(const log_line &line) const
{
    return std::any_of(line.fields.begin(), line.fields.end(),
                       [this](const auto &field) { return field.second.find(m_id) != std::string::npos; });
}

bool job_event_collector::concerns(const log_line &line, const std::vector<log_line> &own) const
{
    const bool within = own.front().time <= line.time && line.time <= own.back().time;
    if (!within) {
        return false;
    }
    if (COMMON_EVENTS.count(line.event) > 0) {
        return true;
    }
    const std::string worker = fieldOf(line, "worker");
    return WORKER_EVENTS.count(line.event) > 0
        && std::any_of(own.begin(), own.end(), [&worker](const log_line &item) { return fieldOf(item, "worker") == worker; });
}

std::string job_event_collector::summary(const std::vector<log_line> &own) const
{
    const auto counted = [&own](const char *event, const char *key, const char *value) {
        return std::count_if(own.begin(), own.end(),
                             [&](const log_line &line) { return line.event == event && (key == nullptr || fieldOf(line, key) == value); });
    };
    const auto last = std::find_if(own.rbegin(), own.rend(), [](const log_line &line) { return line.event == "job-changed"; });
    const std::string state
        = last == own.rend() ? "no end in these logs" : fieldOf(*last, "state") + " after " + fieldOf(*last, "age_ms") + " ms";
    return fmt::format("job {}: {} submissions, {} refusals, {} starts, {} failed runs, {} lapsed runs, {}", m_id,
                       counted("submit", nullptr, ""), counted("refused", nullptr, ""), counted("start", nullptr, ""),
                       counted("run-ended", "end", "failed"), counted("run-ended", "end", "lapsed"), state);
}

std::vector<std::string> job_event_collector::tell() const
{
    std::vector<log_line> own;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(own), [this](const log_line &line) { return namesJob(line); });
    if (own.empty()) {
        return {};
    }
    std::stable_sort(own.begin(), own.end(), byTime);
    std::vector<log_line> told;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(told),
                 [&](const log_line &line) { return namesJob(line) || concerns(line, own); });
    std::stable_sort(told.begin(), told.end(), byTime);
    std::vector<std::string> lines{ summary(own) };
    for (const log_line &line : told) {
        lines.push_back(line.text);
    }
    return lines;
}

} // namespace jujubespool
