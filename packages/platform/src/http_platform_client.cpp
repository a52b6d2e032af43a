#include <jujubespool/platform/platform.h>

#include <fmt/format.h>
#include <jujubespool/platform/base64.h>
#include <nlohmann/json.hpp>

namespace jujubespool {

namespace {

using json = nlohmann::json;

constexpr milliseconds ANSWER_TIMEOUT{ 2000 };
constexpr int MAX_RECORDS_PER_READ = 1000;
constexpr int HTTP_STATUS_OK = 200;

// Parses a successful answer; otherwise tells the step, the peer and the reason.
std::optional<json> parseAnswer(const http_result &result, const std::string &address, failure &reason)
{
    if (result.outcome != http_outcome::complete) {
        reason = { failure_step::log, address, std::string(nameOf(result.outcome)) };
        return std::nullopt;
    }
    if (result.status != HTTP_STATUS_OK) {
        reason = { failure_step::log, address, fmt::format("status {}", result.status) };
        return std::nullopt;
    }
    json parsed = json::parse(result.body, nullptr, false);
    if (!parsed.is_object()) {
        reason = { failure_step::log, address, "the answer is not a JSON object" };
        return std::nullopt;
    }
    return parsed;
}

std::optional<log_page> parsePage(const json &parsed)
{
    log_page page;
    page.oldestOffset = parsed.value("oldest", log_offset{ 0 });
    page.nextOffset = parsed.value("next", log_offset{ 0 });
    for (const json &item : parsed.at("records")) {
        std::optional<std::string> data = decodeBase64(item.at("data").get<std::string>());
        // Bytes that are not base64 are kept as they are; they do not decode as a record either.
        page.records.push_back({ item.at("offset").get<log_offset>(), data.value_or(item.at("data").get<std::string>()) });
    }
    return page;
}

} // namespace

http_platform_client::http_platform_client(http_client &client, std::string address, std::string name)
    : m_client(client)
    , m_address(std::move(address))
    , m_name(std::move(name))
{
}

http_request http_platform_client::requestFor(http_method method, std::string path, std::string body) const
{
    http_request request;
    request.address = m_address;
    request.method = method;
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = { { "Jujubespool-Host", m_name }, { "Content-Type", "application/json" } };
    request.timeout = ANSWER_TIMEOUT;
    return request;
}

void http_platform_client::append(const std::vector<std::string> &records, std::function<void(const append_result &)> done)
{
    json body;
    body["records"] = json::array();
    for (const std::string &record : records) {
        body["records"].push_back(encodeBase64(record));
    }
    m_client.send(requestFor(http_method::post, "/v1/log", body.dump()), [this, done = std::move(done)](const http_result &result) {
        append_result answer;
        const std::optional<json> parsed = parseAnswer(result, m_address, answer.reason);
        if (parsed && parsed->contains("first")) {
            answer.firstOffset = parsed->at("first").get<log_offset>();
        }
        done(answer);
    });
}

void http_platform_client::read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done)
{
    const std::string path = fmt::format("/v1/log?from={}&wait_ms={}&max={}", from, wait.count(), MAX_RECORDS_PER_READ);
    http_request request = requestFor(http_method::get, path, {});
    request.timeout = wait + ANSWER_TIMEOUT;
    m_client.send(request, [this, done = std::move(done)](const http_result &result) {
        read_result answer;
        const std::optional<json> parsed = parseAnswer(result, m_address, answer.reason);
        try {
            answer.page = parsed ? parsePage(*parsed) : std::nullopt;
        } catch (const json::exception &error) {
            answer.reason = { failure_step::log, m_address, error.what() };
        }
        done(answer);
    });
}

void http_platform_client::list(std::function<void(const list_result &)> done)
{
    m_client.send(requestFor(http_method::get, "/v1/hosts", {}), [this, done = std::move(done)](const http_result &result) {
        list_result answer;
        const std::optional<json> parsed = parseAnswer(result, m_address, answer.reason);
        try {
            if (parsed) {
                answer.hosts.emplace();
                for (const json &item : parsed->at("hosts")) {
                    const auto state = valueOf<listed_host_state>(item.at("state").get<std::string>());
                    answer.hosts->push_back({ item.at("name").get<std::string>(), state.value_or(listed_host_state::live) });
                }
            }
        } catch (const json::exception &error) {
            answer.hosts.reset();
            answer.reason = { failure_step::control, m_address, error.what() };
        }
        done(answer);
    });
}

void http_platform_client::control(std::string path, std::string body, std::function<void(const control_result &)> done)
{
    m_client.send(requestFor(http_method::post, std::move(path), std::move(body)),
                  [this, done = std::move(done)](const http_result &result) {
                      control_result answer;
                      answer.accepted = parseAnswer(result, m_address, answer.reason).has_value();
                      done(answer);
                  });
}

void http_platform_client::reboot(const std::string &host, const std::string &token, const std::string &version,
                                  std::function<void(const control_result &)> done)
{
    const json body{ { "token", token }, { "version", version } };
    control("/v1/machines/" + host + "/reboot", body.dump(), std::move(done));
}

void http_platform_client::inspect(const std::string &host, std::function<void(const inspect_result &)> done)
{
    m_client.send(requestFor(http_method::get, "/v1/machines/" + host, {}), [this, done = std::move(done)](const http_result &result) {
        inspect_result answer;
        const std::optional<json> parsed = parseAnswer(result, m_address, answer.reason);
        if (parsed) {
            answer.state = valueOf<host_boot_state>(parsed->value("state", ""));
            answer.version = parsed->value("version", "");
        }
        done(answer);
    });
}

void http_platform_client::leaseTask(const task_lease &lease, std::function<void(const control_result &)> done)
{
    const json body{ { "task", lease.task }, { "lease_ms", lease.duration.count() } };
    control("/v1/workers/" + lease.worker + "/tasks", body.dump(), std::move(done));
}

void http_platform_client::performTaskAction(const std::string &worker, const std::string &task, task_action action,
                                             std::function<void(const control_result &)> done)
{
    const json body{ { "action", nameOf(action) } };
    control("/v1/workers/" + worker + "/tasks/" + task, body.dump(), std::move(done));
}

void http_platform_client::usage(std::function<void(const usage_result &)> done)
{
    m_client.send(requestFor(http_method::get, "/v1/usage", {}), [this, done = std::move(done)](const http_result &result) {
        usage_result answer;
        const std::optional<json> parsed = parseAnswer(result, m_address, answer.reason);
        try {
            if (parsed) {
                answer.usage.emplace();
                for (const json &item : parsed->at("usage")) {
                    answer.usage->push_back({ item.at("worker"), item.at("task"), item.at("cores"), item.at("memory_gb") });
                }
            }
        } catch (const json::exception &error) {
            answer.usage.reset();
            answer.reason = { failure_step::control, m_address, error.what() };
        }
        done(answer);
    });
}

} // namespace jujubespool
