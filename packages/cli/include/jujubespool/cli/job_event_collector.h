// Gathers from the logs of all processes what explains the fate of one job.
//
//     job_event_collector story("40995b9c86f55955");
//     for (const std::string &line : lines) { story.add(line); }
//     for (const std::string &line : story.tell()) { ... }
//
// The story has the lines that name the job, and those that tell why it waited or failed: the state of the workers that
// it ran on, changes of the owner and outages of the store, while the job was there. Lines may come in any order.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubespool {

// One line of a log, as key=value pairs. Values may be quoted.
struct log_line
{
    std::string text;
    // In ISO 8601, so that texts compare like times.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
};

// Nothing for a line without a time or an event. What stands before the time, such as a host name, is kept in the text.
std::optional<log_line> parseLogLine(const std::string &text);

class job_event_collector
{
public:
    // The job's id, 16 hexadecimal digits.
    explicit job_event_collector(std::string id);

    void add(const std::string &text);
    // A summary first, then the lines in the order of their times; empty when no line names the job.
    std::vector<std::string> tell() const;

private:
    bool namesJob(const log_line &line) const;
    bool concerns(const log_line &line, const std::vector<log_line> &own) const;
    std::string summary(const std::vector<log_line> &own) const;

    std::string m_id;
    std::vector<log_line> m_lines;
};

} // namespace jujubespool
