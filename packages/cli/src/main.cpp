// jujubespool: the command line tool for operators. It sends requests to the admin port of any entry host.
#include <cstdlib>
#include <docopt/docopt.h>
#include <event2/event.h>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <jujubespool/cli/job_event_collector.h>
#include <jujubespool/core/configuration.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/platform/http_client.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using namespace jujubespool;
using json = nlohmann::json;

const char USAGE[] = R"(jujubespool - operate a jujubespool fleet.

Usage:
  jujubespool check FILE
  jujubespool publish FILE --base=OFFSET [--entry=ADDRESS] [--json]
  jujubespool show [--entry=ADDRESS] [--json]
  jujubespool status [--entry=ADDRESS] [--json]
  jujubespool key (grant | withdraw) TEAM (--key=KEY | --hash=HASH) [--entry=ADDRESS] [--json]
  jujubespool key hash KEY
  jujubespool host list [--entry=ADDRESS] [--json]
  jujubespool host move HOST --pool=POOL [--entry=ADDRESS] [--json]
  jujubespool host (drain | undrain) HOST [--entry=ADDRESS] [--json]
  jujubespool wave plan [--pool=POOL] [HOST...] [--entry=ADDRESS] [--json]
  jujubespool wave start NAME [--pool=POOL] [--version-to=VERSION] [HOST...] [--entry=ADDRESS] [--json]
  jujubespool wave (pause | resume | cancel) NAME [--reason=TEXT] [--entry=ADDRESS] [--json]
  jujubespool wave exclude NAME HOST [--entry=ADDRESS] [--json]
  jujubespool wave status [--entry=ADDRESS] [--json]
  jujubespool explain JOB
  jujubespool version
  jujubespool (-h | --help)

Options:
  --entry=ADDRESS       Admin address of an entry host. If omitted, the variable JUJUBESPOOL_ENTRY is used.
  --base=OFFSET         Edition that FILE is based on, as printed by show; 0 for the first edition.
  --key=KEY             The API key. Only its hash is sent.
  --hash=HASH           SHA-256 of the API key in lower-case hexadecimal.
  --pool=POOL           Name of a pool of hosts.
  --version-to=VERSION  Makes the wave a roll-out of this version.
  --reason=TEXT         Reason that is shown to other operators.
  --json                Prints the response as JSON.
)";

constexpr int EXIT_REFUSED = 1;
constexpr int EXIT_USAGE = 2;
constexpr int HTTP_STATUS_OK = 200;
constexpr milliseconds RESPONSE_TIMEOUT{ 10000 };

class command_runner
{
public:
    explicit command_runner(std::map<std::string, docopt::value> arguments)
        : m_arguments(std::move(arguments))
    {
    }

    int run()
    {
        if (isGiven("version")) {
            fmt::print("jujubespool {}\n", JUJUBESPOOL_VERSION);
            return EXIT_SUCCESS;
        }
        if (isGiven("check")) {
            return runCheck();
        }
        if (isGiven("key")) {
            return runKey();
        }
        if (isGiven("host")) {
            return runHost();
        }
        if (isGiven("wave")) {
            return runWave();
        }
        if (isGiven("publish")) {
            return runPublish();
        }
        if (isGiven("explain")) {
            return runExplain();
        }
        return isGiven("show") ? runShow() : runStatus();
    }

private:
    bool isGiven(const std::string &name) const
    {
        const auto found = m_arguments.find(name);
        return found != m_arguments.end() && found->second && found->second.isBool() && found->second.asBool();
    }

    std::string argumentText(const std::string &name) const
    {
        const auto found = m_arguments.find(name);
        if (found == m_arguments.end() || !found->second) {
            return {};
        }
        if (found->second.isStringList()) {
            return found->second.asStringList().empty() ? std::string() : found->second.asStringList().front();
        }
        return found->second.asString();
    }

    std::vector<std::string> hosts() const
    {
        const auto found = m_arguments.find("HOST");
        return found != m_arguments.end() && found->second.isStringList() ? found->second.asStringList() : std::vector<std::string>();
    }

    bool readFile(std::string &content) const
    {
        const std::ifstream file(argumentText("FILE"));
        if (!file) {
            fmt::print(stderr, "jujubespool: cannot read file {}\n", argumentText("FILE"));
            return false;
        }
        std::ostringstream stream;
        stream << file.rdbuf();
        content = stream.str();
        return true;
    }

    // Sends one request and waits for its response. Sets status to the exit status of the process.
    std::optional<json> sendRequest(http_method method, const std::string &path, const std::string &body, int &status)
    {
        http_request request;
        request.address = argumentText("--entry");
        const char *variable = std::getenv("JUJUBESPOOL_ENTRY");
        if (request.address.empty() && variable != nullptr) {
            request.address = variable;
        }
        if (!parseAddress(request.address)) {
            fmt::print(stderr, "jujubespool: no valid admin address; pass ip:port of an entry host with --entry or JUJUBESPOOL_ENTRY\n");
            status = EXIT_USAGE;
            return std::nullopt;
        }
        request.method = method;
        request.path = path;
        request.body = body;
        request.timeout = RESPONSE_TIMEOUT;
        event_base *base = event_base_new();
        http_result response;
        {
            http_client client(base);
            client.send(request, [&](const http_result &result) {
                response = result;
                event_base_loopbreak(base);
            });
            event_base_dispatch(base);
        }
        event_base_free(base);
        status = response.status == HTTP_STATUS_OK ? EXIT_SUCCESS : EXIT_REFUSED;
        if (response.outcome != http_outcome::complete) {
            fmt::print(stderr, "jujubespool: {}: {}\n", request.address, nameOf(response.outcome));
            return std::nullopt;
        }
        json parsed = json::parse(response.body, nullptr, false);
        if (parsed.is_discarded()) {
            fmt::print(stderr, "jujubespool: {}: the response body is not valid JSON\n", request.address);
            status = EXIT_REFUSED;
            return std::nullopt;
        }
        return parsed;
    }

    // Sends a change, prints whether it was accepted, and returns the exit status of the process.
    int sendChange(const std::string &path, const std::string &body)
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::post, path, body, code);
        if (!response) {
            return code;
        }
        if (m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", response->dump(2));
        } else if (code == EXIT_SUCCESS) {
            fmt::print("accepted {}\n", response->value("reason", ""));
        } else {
            const std::string error = response->value("error", response->value("reason", ""));
            fmt::print(stderr, "jujubespool: refused: {}\n", error);
            if (response->contains("difference")) {
                fmt::print("edition in force: {}\n{}", response->at("offset").get<std::uint64_t>(),
                           response->at("difference").get<std::string>());
            }
        }
        return code;
    }

    int runCheck()
    {
        std::string content;
        if (!readFile(content)) {
            return EXIT_USAGE;
        }
        std::vector<config_problem> problems;
        const auto parsed = parseConfiguration(content, problems);
        for (const config_problem &problem : problems) {
            fmt::print(stderr, "{}:{}: {}\n", argumentText("FILE"), problem.line, problem.message);
        }
        if (!parsed) {
            return EXIT_USAGE;
        }
        fmt::print("{}: {} services, {} pools, {} hosts, {} teams\n", argumentText("FILE"), parsed->services.size(), parsed->pools.size(),
                   parsed->hosts.size(), parsed->teams.size());
        return EXIT_SUCCESS;
    }

    int runPublish()
    {
        std::string content;
        if (runCheck() != EXIT_SUCCESS || !readFile(content)) {
            return EXIT_USAGE;
        }
        return sendChange("/v1/config?base=" + argumentText("--base"), content);
    }

    int runShow()
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::get, "/v1/config", {}, code);
        if (response && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", response->dump(2));
        } else if (response) {
            fmt::print("# edition {}\n{}", response->at("offset").get<std::uint64_t>(), response->at("text").get<std::string>());
        }
        return code;
    }

    int runStatus()
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::get, "/status", {}, code);
        if (!response) {
            return code;
        }
        if (m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", response->dump(2));
            return code;
        }
        const json &log = response->at("log");
        fmt::print("host {}  data centre {}  ready {}  edition {}  log {} (age {} ms)\n", response->at("host").get<std::string>(),
                   response->at("data_center").get<std::string>(), response->at("ready").get<bool>(),
                   response->at("edition").get<std::uint64_t>(), log.at("available").get<bool>() ? "up" : "away",
                   log.at("age_ms").get<long>());
        fmt::print("\n{:<24} {:<16} {:<8} {}\n", "member", "data centre", "ended", "suspected");
        for (const json &member : response->at("members")) {
            fmt::print("{:<24} {:<16} {:<8} {}\n", member.at("host").get<std::string>(), member.at("data_center").get<std::string>(),
                       member.at("ended").get<bool>(), member.at("suspected").get<bool>());
        }
        fmt::print("\n{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}\n", "team", "share", "limit", "held", "in use", "lent", "borrowed");
        for (const json &team : response->at("teams")) {
            fmt::print("{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}\n", team.at("team").get<std::string>(), team.at("share").get<int>(),
                       team.at("limit").get<int>(), team.at("held").get<int>(), team.at("in_use").get<int>(), team.at("lent").get<int>(),
                       team.at("borrowed").get<int>());
        }
        fmt::print("\n{:<24} {:>8} {:>8} {:>12} {:>12} {:>8}\n", "pool", "hosts", "out", "may be out", "worst rack", "reserve");
        for (const json &pool : response->at("pools")) {
            fmt::print("{:<24} {:>8} {:>8} {:>12} {:>12} {:>8}\n", pool.at("pool").get<std::string>(), pool.at("hosts").get<int>(),
                       pool.at("out_of_service").get<int>(), pool.at("may_be_out").get<int>(), pool.at("worst_rack").get<int>(),
                       pool.at("reserve").get<int>());
        }
        return code;
    }

    int runKey()
    {
        if (isGiven("hash")) {
            fmt::print("{}\n", hashApiKey(argumentText("KEY")));
            return EXIT_SUCCESS;
        }
        const std::string hash = argumentText("--hash").empty() ? hashApiKey(argumentText("--key")) : argumentText("--hash");
        const json body{ { "team", argumentText("TEAM") }, { "hash", hash }, { "withdrawn", isGiven("withdraw") } };
        return sendChange("/v1/keys", body.dump());
    }

    int runHost()
    {
        if (isGiven("list")) {
            return listHosts();
        }
        const std::string name = hosts().empty() ? argumentText("HOST") : hosts().front();
        if (isGiven("move")) {
            return sendChange("/v1/hosts/" + name + "/move", json{ { "pool", argumentText("--pool") } }.dump());
        }
        return sendChange("/v1/hosts/" + name + (isGiven("drain") ? "/drain" : "/undrain"), "{}");
    }

    int listHosts()
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::get, "/v1/hosts", {}, code);
        if (response && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", response->dump(2));
        } else if (response) {
            fmt::print("{:<20} {:<16} {:<10} {:<16} {:<16} {}\n", "host", "pool", "state", "moves to", "wave", "version");
            for (const json &host : response->at("hosts")) {
                fmt::print("{:<20} {:<16} {:<10} {:<16} {:<16} {}\n", host.at("name").get<std::string>(),
                           host.at("pool").get<std::string>(), host.at("state").get<std::string>(),
                           host.at("move_to_pool").get<std::string>(), host.at("wave").get<std::string>(),
                           host.at("version").get<std::string>());
            }
        }
        return code;
    }

    int runWave()
    {
        if (isGiven("status")) {
            return listWaves();
        }
        json body{ { "name", argumentText("NAME") },
                   { "pool", argumentText("--pool") },
                   { "hosts", hosts() },
                   { "version", argumentText("--version-to") } };
        body["kind"] = argumentText("--version-to").empty() ? "maintenance" : "roll-out";
        if (isGiven("plan")) {
            return planWave(body);
        }
        if (isGiven("start")) {
            return sendChange("/v1/waves", body.dump());
        }
        const std::string path = "/v1/waves/" + argumentText("NAME") + "/";
        if (isGiven("exclude")) {
            return sendChange(path + "exclude", json{ { "host", hosts().empty() ? argumentText("HOST") : hosts().front() } }.dump());
        }
        json control = json::object();
        if (!argumentText("--reason").empty()) {
            control["reason"] = argumentText("--reason");
        }
        const std::string verb = isGiven("pause") ? "pause" : (isGiven("resume") ? "resume" : "cancel");
        return sendChange(path + verb, control.dump());
    }

    int planWave(const json &body)
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::post, "/v1/waves/plan", body.dump(), code);
        if (!response) {
            return code;
        }
        if (m_arguments.at("--json").asBool() || code != EXIT_SUCCESS) {
            fmt::print("{}\n", response->dump(2));
            return code;
        }
        std::size_t number = 0;
        for (const json &round : response->at("rounds")) {
            fmt::print("round {}:", ++number);
            for (const json &name : round) {
                fmt::print(" {}", name.get<std::string>());
            }
            fmt::print("\n");
        }
        fmt::print("rounds {}  lower bound {}  predicted {} s  impossible {}\n", number, response->at("lower_bound").get<int>(),
                   response->at("predicted_ms").get<long>() / 1000, response->at("impossible").size());
        return code;
    }

    int listWaves()
    {
        int code = EXIT_SUCCESS;
        const auto response = sendRequest(http_method::get, "/v1/waves", {}, code);
        if (response && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", response->dump(2));
        } else if (response) {
            fmt::print("{:<20} {:<12} {:<10} {:>6} {:>6} {:>7} {}\n", "wave", "kind", "state", "hosts", "done", "failed", "waits for");
            for (const json &wave : response->at("waves")) {
                fmt::print("{:<20} {:<12} {:<10} {:>6} {:>6} {:>7} {}\n", wave.at("name").get<std::string>(),
                           wave.at("kind").get<std::string>(), wave.at("state").get<std::string>(), wave.at("hosts").get<int>(),
                           wave.at("done").get<int>(), wave.at("failed").size(), wave.at("waits_for").get<std::string>());
            }
        }
        return code;
    }

    // Reads log lines from standard input, so that the logs of any number of processes can be combined.
    int runExplain()
    {
        job_event_collector collector(argumentText("JOB"));
        std::string line;
        while (std::getline(std::cin, line)) {
            collector.add(line);
        }
        const std::vector<std::string> timeline = collector.timeline();
        for (const std::string &entry : timeline) {
            fmt::print("{}\n", entry);
        }
        if (timeline.empty()) {
            fmt::print(stderr, "jujubespool: no log line mentions job {}\n", argumentText("JOB"));
        }
        return timeline.empty() ? EXIT_REFUSED : EXIT_SUCCESS;
    }

    std::map<std::string, docopt::value> m_arguments;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt_parse(USAGE, { argv + 1, argv + argc }, true, false);
        return command_runner(std::move(arguments)).run();
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", USAGE);
        return EXIT_SUCCESS;
    } catch (const docopt::DocoptArgumentError &error) {
        fmt::print(stderr, "jujubespool: {}\n{}", error.what(), USAGE);
        return EXIT_USAGE;
    } catch (const json::exception &error) {
        fmt::print(stderr, "jujubespool: unexpected response: {}\n", error.what());
        return EXIT_REFUSED;
    }
}
