// Plans a maintenance wave of all hosts in a configuration file. Usage: sample_wave_plan [FILE]
#include <cstdio>
#include <fstream>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/wave_planner.h>
#include <sstream>

int main(int argc, char **argv)
{
    using namespace jujubespool;
    std::ostringstream text;
    text << std::ifstream(argc > 1 ? argv[1] : "examples/marktpass.yaml").rdbuf();
    fleet_state state;
    wire::record open;
    open.set_session(1);
    open.set_sequence(1);
    open.mutable_open()->set_host("sample");
    open.mutable_open()->set_started_ms(1);
    state.apply(0, open);
    std::vector<config_problem> problems;
    const auto edition = makeEdition(state, text.str(), problems);
    if (!edition) {
        std::printf("line %d: %s\n", problems.front().line, problems.front().message.c_str());
        return 1;
    }
    wire::record publish;
    publish.set_session(1);
    publish.set_sequence(2);
    *publish.mutable_publish() = *edition;
    state.apply(1, publish);
    std::vector<std::string> hosts;
    for (const auto &[name, status] : state.hosts()) {
        hosts.push_back(name);
    }
    const wave_plan plan = planWave(state, hosts, {});
    std::printf("%zu hosts in %zu rounds\n", hosts.size(), plan.rounds.size());
    return 0;
}
