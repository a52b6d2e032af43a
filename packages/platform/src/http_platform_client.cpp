#include <jujubespool/platform/platform.h>

#include <fmt/format.h>
#include <jujubespool/platform/base64.h>
#include <jujubespool/platform/json_text.h>

namespace jujubespool {

namespace {

using json = nlohmann::json;

constexpr milliseconds RESPONSE_TIMEOUT{ 2000 };
constexpr int MAX_RECORDS_PER_READ = 1000;
constexpr int HTTP_STATUS_OK = 200;

// Parses the body of a successful response. On failure returns nothing and sets reason.
std::optional<json> parseResponse(const http_result &response, const std::string &address, failure &reason)
{
    if (response.outcome != http_outcome::complete) {
        reason = { failure_step::log, address, std::string(nameOf(response.outcome)) };
        return std::nullopt;
    }
    if (response.status != HTTP_STATUS_OK) {
        reason = { failure_step::log, address, fmt::format("status {}", response.status) };
        return std::nullopt;
    }
    json parsed = parseJson(response.body);
    if (!parsed.is_object()) {
        reason = { failure_step::log, address, "the response body is not a JSON object" };
        return std::nullopt;
    }
    return parsed;
}

std::optional<log_page> parseLogPage(const json &parsed)
{
    log_page page;
    page.oldestOffset = parsed.value("oldest", log_offset{ 0 });
    page.nextOffset = parsed.value("next", log_offset{ 0 });
    for (const json &record : parsed.at("records")) {
        std::optional<std::string> data = decodeBase64(record.at("data").get<std::string>());
        // Data that is not valid Base64 is kept unchanged, because it does not decode as a record either.
        page.records.push_back({ record.at("offset").get<log_offset>(), data.value_or(record.at("data").get<std::string>()) });
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

http_request http_platform_client::makeRequest(http_method method, std::string path, std::string body) const
{
    http_request request;
    request.address = m_address;
    request.method = method;
    request.path = std::move(path);
    request.body = std::move(body);
    request.headers = { { "Jujubespool-Host", m_name }, { "Content-Type", "application/json" } };
    request.timeout = RESPONSE_TIMEOUT;
    return request;
}

void http_platform_client::append(const std::vector<std::string> &records, std::function<void(const append_result &)> done)
{
    json body;
    body["records"] = json::array();
    for (const std::string &record : records) {
        body["records"].push_back(encodeBase64(record));
    }
    m_client.send(makeRequest(http_method::post, "/v1/log", body.dump()), [this, done = std::move(done)](const http_result &response) {
        append_result result;
        const std::optional<json> parsed = parseResponse(response, m_address, result.reason);
        if (parsed && parsed->contains("first")) {
            result.firstOffset = parsed->at("first").get<log_offset>();
        }
        done(result);
    });
}

void http_platform_client::read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done)
{
    const std::string path = fmt::format("/v1/log?from={}&wait_ms={}&max={}", from, wait.count(), MAX_RECORDS_PER_READ);
    http_request request = makeRequest(http_method::get, path, {});
    request.timeout = wait + RESPONSE_TIMEOUT;
    m_client.send(request, [this, done = std::move(done)](const http_result &response) {
        read_result result;
        const std::optional<json> parsed = parseResponse(response, m_address, result.reason);
        try {
            result.page = parsed ? parseLogPage(*parsed) : std::nullopt;
        } catch (const json::exception &error) {
            result.reason = { failure_step::log, m_address, error.what() };
        }
        done(result);
    });
}

void http_platform_client::list(std::function<void(const list_result &)> done)
{
    m_client.send(makeRequest(http_method::get, "/v1/hosts", {}), [this, done = std::move(done)](const http_result &response) {
        list_result result;
        const std::optional<json> parsed = parseResponse(response, m_address, result.reason);
        try {
            if (parsed) {
                result.hosts.emplace();
                for (const json &host : parsed->at("hosts")) {
                    const auto state = valueOf<listed_host_state>(host.at("state").get<std::string>());
                    result.hosts->push_back({ host.at("name").get<std::string>(), state.value_or(listed_host_state::live) });
                }
            }
        } catch (const json::exception &error) {
            result.hosts.reset();
            result.reason = { failure_step::control, m_address, error.what() };
        }
        done(result);
    });
}

void http_platform_client::sendControlRequest(std::string path, std::string body, std::function<void(const control_result &)> done)
{
    m_client.send(makeRequest(http_method::post, std::move(path), std::move(body)),
                  [this, done = std::move(done)](const http_result &response) {
                      control_result result;
                      result.accepted = parseResponse(response, m_address, result.reason).has_value();
                      done(result);
                  });
}

void http_platform_client::reboot(const std::string &host, const std::string &token, const std::string &version,
                                  std::function<void(const control_result &)> done)
{
    const json body{ { "token", token }, { "version", version } };
    sendControlRequest("/v1/machines/" + host + "/reboot", body.dump(), std::move(done));
}

void http_platform_client::inspect(const std::string &host, std::function<void(const inspect_result &)> done)
{
    m_client.send(makeRequest(http_method::get, "/v1/machines/" + host, {}), [this, done = std::move(done)](const http_result &response) {
        inspect_result result;
        const std::optional<json> parsed = parseResponse(response, m_address, result.reason);
        if (parsed) {
            result.state = valueOf<host_boot_state>(parsed->value("state", ""));
            result.version = parsed->value("version", "");
        }
        done(result);
    });
}

void http_platform_client::leaseTask(const task_lease &lease, std::function<void(const control_result &)> done)
{
    const json body{ { "task", lease.task }, { "lease_ms", lease.duration.count() } };
    sendControlRequest("/v1/workers/" + lease.worker + "/tasks", body.dump(), std::move(done));
}

void http_platform_client::performTaskAction(const std::string &worker, const std::string &task, task_action action,
                                             std::function<void(const control_result &)> done)
{
    const json body{ { "action", nameOf(action) } };
    sendControlRequest("/v1/workers/" + worker + "/tasks/" + task, body.dump(), std::move(done));
}

void http_platform_client::usage(std::function<void(const usage_result &)> done)
{
    m_client.send(makeRequest(http_method::get, "/v1/usage", {}), [this, done = std::move(done)](const http_result &response) {
        usage_result result;
        const std::optional<json> parsed = parseResponse(response, m_address, result.reason);
        try {
            if (parsed) {
                result.usage.emplace();
                for (const json &task : parsed->at("usage")) {
                    result.usage->push_back({ task.at("worker"), task.at("task"), task.at("cores"), task.at("memory_gb") });
                }
            }
        } catch (const json::exception &error) {
            result.usage.reset();
            result.reason = { failure_step::control, m_address, error.what() };
        }
        done(result);
    });
}

} // namespace jujubespool
