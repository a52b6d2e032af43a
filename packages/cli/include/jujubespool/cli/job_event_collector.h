// Collects the log lines, from the logs of all processes, that explain what happened to one job.
//
//     job_event_collector collector("40995b9c86f55955");
//     for (const std::string &line : lines) { collector.add(line); }
//     for (const std::string &line : collector.timeline()) { ... }
//
// The timeline consists of the lines that mention the job and of the lines that show why it waited or failed: state changes
// of the workers that it ran on, changes of the owner, and outages of the store between the first and the last line of the
// job. Lines can be added in any order.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespool {

// One line of a log, parsed into its key=value pairs. Values may be quoted.
struct log_line
{
    // The unparsed line.
    std::string text;
    // ISO 8601, so lexicographical order is chronological order.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
};

// Returns nothing if the line has no time or no event. A prefix before the time, such as a host name, is kept in the text only.
std::optional<log_line> parseLogLine(const std::string &text);

class job_event_collector
{
public:
    // The job's id consists of 16 hexadecimal digits.
    explicit job_event_collector(std::string id);

    // Adds one line of a log. Lines that cannot be parsed are ignored.
    void add(const std::string &text);
    // A summary, followed by the lines in chronological order. Empty if no line mentions the job.
    std::vector<std::string> timeline() const;

private:
    bool mentionsJob(const log_line &line) const;
    bool isRelated(const log_line &line, const std::vector<log_line> &jobLines) const;
    std::string summary(const std::vector<log_line> &jobLines) const;

    std::string m_id;
    std::vector<log_line> m_lines;
};

} // namespace jujubespool
