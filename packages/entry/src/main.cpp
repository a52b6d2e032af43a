// jujubespoold: the process of an entry host or, with the command `manager`, of a job manager.
#include <charconv>
#include <csignal>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <jujubespool/adapter/run_manager.h>
#include <jujubespool/adapter/settings.h>
#include <jujubespool/entry/entry_host.h>
#include <jujubespool/entry/logger.h>

namespace {

const char USAGE[] = R"(jujubespoold - entry host of a jujubespool fleet.

Usage:
  jujubespoold manager [--settings=FILE] [--metrics-port=PORT] [--relay-from=WORKERS] [--log-level=LEVEL] [--check]
  jujubespoold --settings=FILE [--log-level=LEVEL] [--check]
  jujubespoold (-h | --help)
  jujubespoold --version

Without a command, the process is an entry host that forwards requests. With the command `manager`, it runs jobs
on the platform's workers, and its settings have the platform's format.

Options:
  --settings=FILE    Settings file of this entry host, in YAML. For a manager, a file in the platform's format;
                     by default the file that the platform provides.
  --metrics-port=PORT  Port on which a manager serves its metrics; 0 disables it [default: 0].
  --relay-from=WORKERS  Number of workers from which an owner lets other processes send its orders [default: 400].
  --log-level=LEVEL  Minimum level that is logged: debug, info, warning or error [default: info].
  --check            Check the settings and exit.
  -h --help          Show this help.
  --version          Show the version.
)";

int exitWith(jujubespool::exit_code code)
{
    return static_cast<int>(code);
}

// Empty unless the whole text is a number of the type.
template <typename Number> std::optional<Number> parseNumber(const std::string &text)
{
    Number number = 0;
    const char *textEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), textEnd, number);
    return error == std::errc() && end == textEnd ? std::optional(number) : std::nullopt;
}

int runManager(std::map<std::string, docopt::value> &arguments, const std::string &path)
{
    using namespace jujubespool;
    std::string problem;
    std::optional<manager_settings> settings = adapter::readSettings(adapter::settingsPath(path), problem);
    const auto metricsPort = parseNumber<std::uint16_t>(arguments["--metrics-port"].asString());
    const auto relayFrom = parseNumber<std::uint32_t>(arguments["--relay-from"].asString());
    if (!metricsPort) {
        problem = "--metrics-port must be a port number from 0 to 65535";
    } else if (!relayFrom) {
        problem = "--relay-from must be a number of workers";
    }
    if (!settings || !metricsPort || !relayFrom) {
        fmt::print(stderr, "jujubespoold: {}\n", problem);
        return exitWith(exit_code::usage);
    }
    settings->metricsPort = *metricsPort;
    settings->relayFromWorkers = *relayFrom;
    return exitWith(arguments["--check"].asBool() ? exit_code::stopped : adapter::runManager(*settings));
}

} // namespace

int main(int argc, char **argv)
{
    using namespace jujubespool;
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(USAGE, { argv + 1, argv + argc }, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        fmt::print("{}", USAGE);
        return exitWith(exit_code::stopped);
    } catch (const docopt::DocoptExitVersion &) {
        fmt::print("jujubespoold {}\n", JUJUBESPOOL_VERSION);
        return exitWith(exit_code::stopped);
    } catch (const std::exception &error) {
        fmt::print(stderr, "jujubespoold: {}\n{}", error.what(), USAGE);
        return exitWith(exit_code::usage);
    }
    const auto level = valueOf<log_level>(arguments["--log-level"].asString());
    if (!level) {
        fmt::print(stderr, "jujubespoold: --log-level must be debug, info, warning or error\n");
        return exitWith(exit_code::usage);
    }
    setLogLevel(*level);
    const std::string path = arguments["--settings"] ? arguments["--settings"].asString() : std::string();
    if (arguments["manager"].asBool()) {
        return runManager(arguments, path);
    }
    std::vector<config_problem> problems;
    const auto settings = readSettings(path, problems);
    if (!settings) {
        for (const config_problem &problem : problems) {
            fmt::print(stderr, "{}:{}: {}\n", path, problem.line, problem.message);
        }
        return exitWith(exit_code::usage);
    }
    if (arguments["--check"].asBool()) {
        return exitWith(exit_code::stopped);
    }
    event_loop loop;
    entry_host host(loop, *settings);
    loop.onSignal(SIGTERM, [&host] { host.stopGracefully(); });
    loop.onSignal(SIGINT, [&host] { host.stopGracefully(); });
    signal(SIGPIPE, SIG_IGN);
    failure reason;
    if (!host.start(reason)) {
        logFailure(log_level::error, "start-failed", reason);
        return exitWith(exit_code::failed);
    }
    loop.run();
    return exitWith(host.exitCode());
}
