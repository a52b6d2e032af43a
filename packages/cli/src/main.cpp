// jujubespool: the operators' command line. It talks to the admin port of any entry host.
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
  --entry=ADDRESS       Admin address of an entry host; else the variable JUJUBESPOOL_ENTRY.
  --base=OFFSET         Edition that FILE was edited from, as show prints it; 0 for the first.
  --key=KEY             The key itself; only its hash is sent.
  --hash=HASH           SHA-256 of the key in lower-case hexadecimal.
  --pool=POOL           A pool of hosts.
  --version-to=VERSION  Makes the wave a roll-out of this version.
  --reason=TEXT         Shown to other operators.
  --json                Prints the answer as JSON.
)";

constexpr int EXIT_REFUSED = 1;
constexpr int EXIT_USAGE = 2;
constexpr int STATUS_OK = 200;
constexpr milliseconds ANSWER_TIMEOUT{ 10000 };

class command_line
{
public:
    explicit command_line(std::map<std::string, docopt::value> arguments)
        : m_arguments(std::move(arguments))
    {
    }

    int run()
    {
        if (given("version")) {
            fmt::print("jujubespool {}\n", JUJUBESPOOL_VERSION);
            return EXIT_SUCCESS;
        }
        if (given("check")) {
            return check();
        }
        if (given("key")) {
            return key();
        }
        if (given("host")) {
            return host();
        }
        if (given("wave")) {
            return wave();
        }
        if (given("publish")) {
            return publish();
        }
        if (given("explain")) {
            return explain();
        }
        return given("show") ? show() : status();
    }

private:
    bool given(const std::string &name) const
    {
        const auto found = m_arguments.find(name);
        return found != m_arguments.end() && found->second && found->second.isBool() && found->second.asBool();
    }

    std::string text(const std::string &name) const
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
        const std::ifstream file(text("FILE"));
        if (!file) {
            fmt::print(stderr, "jujubespool: {} cannot be read\n", text("FILE"));
            return false;
        }
        std::ostringstream stream;
        stream << file.rdbuf();
        content = stream.str();
        return true;
    }

    // Sends one request and waits for its answer.
    std::optional<json> exchange(http_method method, const std::string &path, const std::string &body, int &status)
    {
        http_request request;
        request.address = text("--entry");
        const char *variable = std::getenv("JUJUBESPOOL_ENTRY");
        if (request.address.empty() && variable != nullptr) {
            request.address = variable;
        }
        if (!parseAddress(request.address)) {
            fmt::print(stderr, "jujubespool: give the admin address of an entry host as ip:port with --entry or JUJUBESPOOL_ENTRY\n");
            status = EXIT_USAGE;
            return std::nullopt;
        }
        request.method = method;
        request.path = path;
        request.body = body;
        request.timeout = ANSWER_TIMEOUT;
        event_base *base = event_base_new();
        http_result answer;
        {
            http_client client(base);
            client.send(request, [&](const http_result &result) {
                answer = result;
                event_base_loopbreak(base);
            });
            event_base_dispatch(base);
        }
        event_base_free(base);
        status = answer.status == STATUS_OK ? EXIT_SUCCESS : EXIT_REFUSED;
        if (answer.outcome != http_outcome::complete) {
            fmt::print(stderr, "jujubespool: {}: {}\n", request.address, nameOf(answer.outcome));
            return std::nullopt;
        }
        json parsed = json::parse(answer.body, nullptr, false);
        if (parsed.is_discarded()) {
            fmt::print(stderr, "jujubespool: {}: the answer is not JSON\n", request.address);
            status = EXIT_REFUSED;
            return std::nullopt;
        }
        return parsed;
    }

    // Performs a change and prints whether it was accepted.
    int change(const std::string &path, const std::string &body)
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::post, path, body, code);
        if (!answer) {
            return code;
        }
        if (m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", answer->dump(2));
        } else if (code == EXIT_SUCCESS) {
            fmt::print("accepted {}\n", answer->value("reason", ""));
        } else {
            const std::string error = answer->value("error", answer->value("reason", ""));
            fmt::print(stderr, "jujubespool: refused: {}\n", error);
            if (answer->contains("difference")) {
                fmt::print("edition in force: {}\n{}", answer->at("offset").get<std::uint64_t>(),
                           answer->at("difference").get<std::string>());
            }
        }
        return code;
    }

    int check()
    {
        std::string content;
        if (!readFile(content)) {
            return EXIT_USAGE;
        }
        std::vector<config_problem> problems;
        const auto parsed = parseConfiguration(content, problems);
        for (const config_problem &problem : problems) {
            fmt::print(stderr, "{}:{}: {}\n", text("FILE"), problem.line, problem.message);
        }
        if (!parsed) {
            return EXIT_USAGE;
        }
        fmt::print("{}: {} services, {} pools, {} hosts, {} teams\n", text("FILE"), parsed->services.size(), parsed->pools.size(),
                   parsed->hosts.size(), parsed->teams.size());
        return EXIT_SUCCESS;
    }

    int publish()
    {
        std::string content;
        if (check() != EXIT_SUCCESS || !readFile(content)) {
            return EXIT_USAGE;
        }
        return change("/v1/config?base=" + text("--base"), content);
    }

    int show()
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::get, "/v1/config", {}, code);
        if (answer && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", answer->dump(2));
        } else if (answer) {
            fmt::print("# edition {}\n{}", answer->at("offset").get<std::uint64_t>(), answer->at("text").get<std::string>());
        }
        return code;
    }

    int status()
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::get, "/status", {}, code);
        if (!answer) {
            return code;
        }
        if (m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", answer->dump(2));
            return code;
        }
        const json &log = answer->at("log");
        fmt::print("host {}  data centre {}  ready {}  edition {}  log {} (age {} ms)\n", answer->at("host").get<std::string>(),
                   answer->at("data_center").get<std::string>(), answer->at("ready").get<bool>(),
                   answer->at("edition").get<std::uint64_t>(), log.at("available").get<bool>() ? "up" : "away",
                   log.at("age_ms").get<long>());
        fmt::print("\n{:<24} {:<16} {:<8} {}\n", "member", "data centre", "ended", "suspected");
        for (const json &member : answer->at("members")) {
            fmt::print("{:<24} {:<16} {:<8} {}\n", member.at("host").get<std::string>(), member.at("data_center").get<std::string>(),
                       member.at("ended").get<bool>(), member.at("suspected").get<bool>());
        }
        fmt::print("\n{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}\n", "team", "share", "limit", "held", "in use", "lent", "borrowed");
        for (const json &team : answer->at("teams")) {
            fmt::print("{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}\n", team.at("team").get<std::string>(), team.at("share").get<int>(),
                       team.at("limit").get<int>(), team.at("held").get<int>(), team.at("in_use").get<int>(), team.at("lent").get<int>(),
                       team.at("borrowed").get<int>());
        }
        fmt::print("\n{:<24} {:>8} {:>8} {:>12} {:>12} {:>8}\n", "pool", "hosts", "out", "may be out", "worst rack", "reserve");
        for (const json &pool : answer->at("pools")) {
            fmt::print("{:<24} {:>8} {:>8} {:>12} {:>12} {:>8}\n", pool.at("pool").get<std::string>(), pool.at("hosts").get<int>(),
                       pool.at("out_of_service").get<int>(), pool.at("may_be_out").get<int>(), pool.at("worst_rack").get<int>(),
                       pool.at("reserve").get<int>());
        }
        return code;
    }

    int key()
    {
        if (given("hash")) {
            fmt::print("{}\n", hashApiKey(text("KEY")));
            return EXIT_SUCCESS;
        }
        const std::string hash = text("--hash").empty() ? hashApiKey(text("--key")) : text("--hash");
        const json body{ { "team", text("TEAM") }, { "hash", hash }, { "withdrawn", given("withdraw") } };
        return change("/v1/keys", body.dump());
    }

    int host()
    {
        if (given("list")) {
            return listHosts();
        }
        const std::string name = hosts().empty() ? text("HOST") : hosts().front();
        if (given("move")) {
            return change("/v1/hosts/" + name + "/move", json{ { "pool", text("--pool") } }.dump());
        }
        return change("/v1/hosts/" + name + (given("drain") ? "/drain" : "/undrain"), "{}");
    }

    int listHosts()
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::get, "/v1/hosts", {}, code);
        if (answer && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", answer->dump(2));
        } else if (answer) {
            fmt::print("{:<20} {:<16} {:<10} {:<16} {:<16} {}\n", "host", "pool", "state", "moves to", "wave", "version");
            for (const json &item : answer->at("hosts")) {
                fmt::print("{:<20} {:<16} {:<10} {:<16} {:<16} {}\n", item.at("name").get<std::string>(),
                           item.at("pool").get<std::string>(), item.at("state").get<std::string>(),
                           item.at("move_to_pool").get<std::string>(), item.at("wave").get<std::string>(),
                           item.at("version").get<std::string>());
            }
        }
        return code;
    }

    int wave()
    {
        if (given("status")) {
            return listWaves();
        }
        json body{ { "name", text("NAME") }, { "pool", text("--pool") }, { "hosts", hosts() }, { "version", text("--version-to") } };
        body["kind"] = text("--version-to").empty() ? "maintenance" : "roll-out";
        if (given("plan")) {
            return planWave(body);
        }
        if (given("start")) {
            return change("/v1/waves", body.dump());
        }
        const std::string path = "/v1/waves/" + text("NAME") + "/";
        if (given("exclude")) {
            return change(path + "exclude", json{ { "host", hosts().empty() ? text("HOST") : hosts().front() } }.dump());
        }
        json control = json::object();
        if (!text("--reason").empty()) {
            control["reason"] = text("--reason");
        }
        const std::string verb = given("pause") ? "pause" : (given("resume") ? "resume" : "cancel");
        return change(path + verb, control.dump());
    }

    int planWave(const json &body)
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::post, "/v1/waves/plan", body.dump(), code);
        if (!answer) {
            return code;
        }
        if (m_arguments.at("--json").asBool() || code != EXIT_SUCCESS) {
            fmt::print("{}\n", answer->dump(2));
            return code;
        }
        std::size_t number = 0;
        for (const json &round : answer->at("rounds")) {
            fmt::print("round {}:", ++number);
            for (const json &name : round) {
                fmt::print(" {}", name.get<std::string>());
            }
            fmt::print("\n");
        }
        fmt::print("rounds {}  lower bound {}  predicted {} s  impossible {}\n", number, answer->at("lower_bound").get<int>(),
                   answer->at("predicted_ms").get<long>() / 1000, answer->at("impossible").size());
        return code;
    }

    int listWaves()
    {
        int code = EXIT_SUCCESS;
        const auto answer = exchange(http_method::get, "/v1/waves", {}, code);
        if (answer && m_arguments.at("--json").asBool()) {
            fmt::print("{}\n", answer->dump(2));
        } else if (answer) {
            fmt::print("{:<20} {:<12} {:<10} {:>6} {:>6} {:>7} {}\n", "wave", "kind", "state", "hosts", "done", "failed", "waits for");
            for (const json &item : answer->at("waves")) {
                fmt::print("{:<20} {:<12} {:<10} {:>6} {:>6} {:>7} {}\n", item.at("name").get<std::string>(),
                           item.at("kind").get<std::string>(), item.at("state").get<std::string>(), item.at("hosts").get<int>(),
                           item.at("done").get<int>(), item.at("failed").size(), item.at("waits_for").get<std::string>());
            }
        }
        return code;
    }

    // Reads logs from standard input, so that they may come from any number of processes.
    int explain()
    {
        job_event_collector story(text("JOB"));
        std::string line;
        while (std::getline(std::cin, line)) {
            story.add(line);
        }
        const std::vector<std::string> told = story.tell();
        for (const std::string &item : told) {
            fmt::print("{}\n", item);
        }
        if (told.empty()) {
            fmt::print(stderr, "jujubespool: no line names job {}\n", text("JOB"));
        }
        return told.empty() ? EXIT_REFUSED : EXIT_SUCCESS;
    }

    std::map<std::string, docopt::value> m_arguments;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        auto arguments = docopt::docopt_parse(USAGE, { argv + 1, argv + argc }, true, false);
        return command_line(std::move(arguments)).run();
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", USAGE);
        return EXIT_SUCCESS;
    } catch (const docopt::DocoptArgumentError &error) {
        fmt::print(stderr, "jujubespool: {}\n{}", error.what(), USAGE);
        return EXIT_USAGE;
    } catch (const json::exception &error) {
        fmt::print(stderr, "jujubespool: unexpected answer: {}\n", error.what());
        return EXIT_REFUSED;
    }
}
