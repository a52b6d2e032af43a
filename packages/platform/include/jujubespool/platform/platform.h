// Interfaces to the services of the platform: an append-only log, a list of hosts that may be out of date, and control
// of workers.
//
//     http_platform_client platform(client, "127.0.0.1:7000", "entry-1");
//     platform.append(records, [](const append_result &result) { ... });
//
// The protocol is described in docs/PLATFORM.md. To support a different platform, implement these three interfaces.
#pragma once

#include <functional>
#include <jujubespool/core/failure.h>
#include <jujubespool/core/fleet_state.h>
#include <jujubespool/core/time.h>
#include <jujubespool/platform/http_client.h>
#include <optional>
#include <string>
#include <vector>

namespace jujubespool {

// Result of an append. firstOffset is empty if the append failed or if its response was lost; in the latter case the
// records may have been appended.
struct append_result
{
    // Offset of the first appended record.
    std::optional<log_offset> firstOffset;
    failure reason;
};

struct log_record
{
    log_offset offset = 0;
    std::string data;
};

struct log_page
{
    // Offset of the oldest record that the log still keeps.
    log_offset oldestOffset = 0;
    // Offset that will be assigned to the next appended record.
    log_offset nextOffset = 0;
    std::vector<log_record> records;
};

struct read_result
{
    std::optional<log_page> page;
    failure reason;
};

class log_client
{
public:
    virtual ~log_client() = default;
    // Appends the records atomically and in order.
    virtual void append(const std::vector<std::string> &records, std::function<void(const append_result &)> done) = 0;
    // Reads records starting at the offset, or at the oldest kept record if that is later. If there is no record yet, the
    // platform waits up to the given time for one.
    virtual void read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done) = 0;
};

enum class listed_host_state { live, leaving, gone };

template <> struct enum_names<listed_host_state>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "live", "leaving", "gone" };
};

struct listed_host
{
    std::string name;
    // The platform reports gone only if the host certainly does not run anything any more.
    listed_host_state state = listed_host_state::live;
};

struct list_result
{
    std::optional<std::vector<listed_host>> hosts;
    failure reason;
};

class host_directory
{
public:
    virtual ~host_directory() = default;
    virtual void list(std::function<void(const list_result &)> done) = 0;
};

enum class host_boot_state { up, rebooting, failed };

template <> struct enum_names<host_boot_state>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "up", "rebooting", "failed" };
};

struct inspect_result
{
    std::optional<host_boot_state> state;
    // Version of the host's software; empty if unknown.
    std::string version;
    failure reason;
};

enum class task_action { checkpoint, throttle, stop };

template <> struct enum_names<task_action>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "checkpoint", "throttle", "stop" };
};

struct task_lease
{
    std::string worker;
    std::string task;
    milliseconds duration{ 0 };
};

struct task_usage
{
    std::string worker;
    std::string task;
    double cores = 0;
    double memoryGb = 0;
};

struct usage_result
{
    std::optional<std::vector<task_usage>> usage;
    failure reason;
};

struct control_result
{
    bool accepted = false;
    failure reason;
};

class worker_controller
{
public:
    virtual ~worker_controller() = default;
    // Reboots the host and installs the version unless it is empty. The call is idempotent: a request with a token that was
    // used before has no effect.
    virtual void reboot(const std::string &host, const std::string &token, const std::string &version,
                        std::function<void(const control_result &)> done)
        = 0;
    // Reads the boot state and the software version of the host.
    virtual void inspect(const std::string &host, std::function<void(const inspect_result &)> done) = 0;
    // Starts the task, or renews its lease if it is running. The platform stops a task whose lease expires.
    virtual void leaseTask(const task_lease &lease, std::function<void(const control_result &)> done) = 0;
    virtual void performTaskAction(const std::string &worker, const std::string &task, task_action action,
                                   std::function<void(const control_result &)> done)
        = 0;
    // Reads the measured resource usage of all tasks. The figures lag behind the present.
    virtual void usage(std::function<void(const usage_result &)> done) = 0;
};

// Implements the three interfaces over HTTP/1.1 and JSON.
class http_platform_client : public log_client, public host_directory, public worker_controller
{
public:
    // The address has the form "ip:port". The name identifies this host to the platform.
    http_platform_client(http_client &client, std::string address, std::string name);

    void append(const std::vector<std::string> &records, std::function<void(const append_result &)> done) override;
    void read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done) override;
    void list(std::function<void(const list_result &)> done) override;
    void reboot(const std::string &host, const std::string &token, const std::string &version,
                std::function<void(const control_result &)> done) override;
    void inspect(const std::string &host, std::function<void(const inspect_result &)> done) override;
    void leaseTask(const task_lease &lease, std::function<void(const control_result &)> done) override;
    void performTaskAction(const std::string &worker, const std::string &task, task_action action,
                           std::function<void(const control_result &)> done) override;
    void usage(std::function<void(const usage_result &)> done) override;

private:
    http_request makeRequest(http_method method, std::string path, std::string body) const;
    void sendControlRequest(std::string path, std::string body, std::function<void(const control_result &)> done);

    http_client &m_client;
    std::string m_address;
    std::string m_name;
};

} // namespace jujubespool
