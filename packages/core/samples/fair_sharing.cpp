// Serves the requests of two teams from one queue in proportion to their shares.
#include <cstdio>
#include <jujubespool/core/fair_queue.h>

int main()
{
    using namespace jujubespool;
    fair_queue queue;
    for (request_id id = 1; id <= 40; ++id) {
        queue.push({ id, id % 2 == 0 ? "canton" : "town", request_class::normal }, id % 2 == 0 ? 3 : 1);
    }
    const auto everyTeam = [](const std::string &) {
        return true;
    };
    for (int i = 0; i < 12; ++i) {
        const auto next = queue.pop(everyTeam, milliseconds(10));
        std::printf("%s\n", next->team.c_str());
    }
    return 0;
}
