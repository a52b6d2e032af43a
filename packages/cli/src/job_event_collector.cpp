#include <jujubespool/cli/job_event_collector.h>

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace jujubespool {

namespace {

// Events that report the state of a worker, and events that affect every job.
const std::set<std::string_view> WORKER_EVENTS{ "worker-silent", "worker-answers-again", "worker-avoided",
                                                "leases-lapsed", "worker-listed",        "worker-unlisted" };
const std::set<std::string_view> GLOBAL_EVENTS{ "ownership",     "handed-over", "ledger-append-failed",
                                                "feed-regained", "feed-lost",   "log-lines-dropped" };

// Value of the field, or an empty string if the line does not have it.
std::string fieldValue(const log_line &line, const std::string &key)
{
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string() : found->second;
}

bool isEarlier(const log_line &left, const log_line &right)
{
    return left.time < right.time;
}

} // namespace

std::optional<log_line> parseLogLine(const std::string &text)
{
    log_line line;
    line.text = text;
    std::size_t position = text.find("time=");
    while (position != std::string::npos && position < text.size()) {
        const std::size_t equals = text.find('=', position);
        if (equals == std::string::npos) {
            break;
        }
        const std::string key = text.substr(position, equals - position);
        const bool quoted = equals + 1 < text.size() && text[equals + 1] == '"';
        const std::size_t begin = equals + (quoted ? 2 : 1);
        const std::size_t end = std::min(text.find(quoted ? '"' : ' ', begin), text.size());
        line.fields[key] = text.substr(begin, end - begin);
        position = text.find_first_not_of("\" ", end);
    }
    line.time = fieldValue(line, "time");
    // Lines about the ownership contain the key event twice. The first occurrence is the name of the event.
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

bool job_event_collector::mentionsJob(const log_line &line) const
{
    return std::any_of(line.fields.begin(), line.fields.end(),
                       [this](const auto &field) { return field.second.find(m_id) != std::string::npos; });
}

bool job_event_collector::isRelated(const log_line &line, const std::vector<log_line> &jobLines) const
{
    const bool isDuringJob = jobLines.front().time <= line.time && line.time <= jobLines.back().time;
    if (!isDuringJob) {
        return false;
    }
    if (GLOBAL_EVENTS.count(line.event) > 0) {
        return true;
    }
    const std::string worker = fieldValue(line, "worker");
    return WORKER_EVENTS.count(line.event) > 0 && std::any_of(jobLines.begin(), jobLines.end(), [&worker](const log_line &jobLine) {
               return fieldValue(jobLine, "worker") == worker;
           });
}

std::string job_event_collector::summary(const std::vector<log_line> &jobLines) const
{
    const auto countLines = [&jobLines](const char *event, const char *key, const char *value) {
        return std::count_if(jobLines.begin(), jobLines.end(), [&](const log_line &line) {
            return line.event == event && (key == nullptr || fieldValue(line, key) == value);
        });
    };
    const auto last = std::find_if(jobLines.rbegin(), jobLines.rend(), [](const log_line &line) { return line.event == "job-changed"; });
    const std::string state
        = last == jobLines.rend() ? "no end in these logs" : fieldValue(*last, "state") + " after " + fieldValue(*last, "age_ms") + " ms";
    const auto lastWait
        = std::find_if(jobLines.rbegin(), jobLines.rend(), [](const log_line &line) { return line.event == "task-waiting"; });
    const std::string wait = lastWait == jobLines.rend()
        ? ""
        : ", last wait " + fieldValue(*lastWait, "reason") + " for " + fieldValue(*lastWait, "waited_ms") + " ms";
    return fmt::format("job {}: {} submissions, {} refusals, {} starts, {} failed runs, {} lapsed runs{}, {}", m_id,
                       countLines("submit", nullptr, ""), countLines("refused", nullptr, ""), countLines("start", nullptr, ""),
                       countLines("run-ended", "end", "failed"), countLines("run-ended", "end", "lapsed"), wait, state);
}

std::vector<std::string> job_event_collector::timeline() const
{
    std::vector<log_line> jobLines;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(jobLines), [this](const log_line &line) { return mentionsJob(line); });
    if (jobLines.empty()) {
        return {};
    }
    std::stable_sort(jobLines.begin(), jobLines.end(), isEarlier);
    std::vector<log_line> selected;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(selected),
                 [&](const log_line &line) { return mentionsJob(line) || isRelated(line, jobLines); });
    std::stable_sort(selected.begin(), selected.end(), isEarlier);
    std::vector<std::string> lines{ summary(jobLines) };
    for (const log_line &line : selected) {
        lines.push_back(line.text);
    }
    return lines;
}

} // namespace jujubespool
