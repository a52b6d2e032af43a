#include "fake_platform.h"
#include <criterion/criterion.h>

namespace {

using namespace jujubespool;

const std::string JOB = "00000000000000a1";
constexpr milliseconds VALIDITY{ 1000 };

// A fleet with one pool whose queue has a placement policy. A ticket is the time at which it runs out.
struct policy_queue_fixture
{
    policy_queue_fixture()
    {
        fleet_config config = configWithOneQueue();
        config.queues[0].policy = policy_config{ milliseconds(2), milliseconds(0), VALIDITY };
        platform.setConfig(config);
        platform.addWorker("w1", "pool", { 4000, 16000, 0 });
        platform.addWorker("worker-2", "pool", { 4000, 16000, 0 });
        platform.policyAnswer = [this](const std::vector<std::string> &workers) {
            ++requests;
            ticket_response response;
            if (serviceAvailable) {
                response.tickets.emplace();
                for (const std::string &id : workers) {
                    (*response.tickets)[id] = std::to_string(platform.wall() + static_cast<wall_ms>(VALIDITY.count()));
                }
            }
            return response;
        };
        platform.acceptsTicket = [this](const start_order &order) {
            const bool valid = !order.ticket.empty() && std::stoull(order.ticket) >= platform.wall();
            rejectedStarts += valid ? 0 : 1;
            return valid;
        };
        manager_settings settings;
        settings.node = "entry-1";
        session = std::make_unique<owner_session>(platform.clientsOf("entry-1"), platform, log, settings, process_identity{ "entry-1", 11 },
                                                  [this] { return platform.wall(); });
        session->setPeerConfirmation([](instant) { return true; });
        session->begin([](session_event, instant) {}, {});
        scheduleTicks();
        platform.advance(milliseconds(500));
    }

    void scheduleTicks()
    {
        platform.after(milliseconds(25), [this](instant now) {
            session->tick(now);
            scheduleTicks();
        });
    }

    void submit(const std::string &tasks)
    {
        session->handle({ "POST", "h", QUEUE_PATH + JOB, {}, tasks }, platform.now(), [](const http_reply &) {});
    }

    fake_platform platform;
    counting_log log;
    std::unique_ptr<owner_session> session;
    bool serviceAvailable = true;
    int requests = 0;
    int rejectedStarts = 0;
};

} // namespace

Test(policy_queue, tasksRunOnceTheServiceAnswersAgain)
{
    policy_queue_fixture fleet;
    fleet.serviceAvailable = false;
    fleet.submit("6");
    fleet.platform.advance(seconds(10));
    cr_assert_leq(fleet.requests, 12, "%d requests without an answer in 10 s", fleet.requests);
    fleet.serviceAvailable = true;
    fleet.platform.advance(milliseconds(2500));
    cr_assert_eq(fleet.platform.doneRuns(), 6, "%d of 6 tasks done", fleet.platform.doneRuns());
}

Test(policy_queue, ticketThatRanOutBeforeItsStartWasRecordedIsNotUsed)
{
    policy_queue_fixture fleet;
    fleet.submit("6");
    // The job is recorded and the tickets are there, but the record of the starts is not written.
    fleet.platform.advance(milliseconds(3));
    fleet.platform.linksOf("entry-1").storeDown = true;
    fleet.platform.advance(milliseconds(1500));
    fleet.platform.linksOf("entry-1").storeDown = false;
    fleet.platform.advance(seconds(3));
    cr_assert_eq(fleet.platform.doneRuns(), 6, "%d of 6 tasks done", fleet.platform.doneRuns());
    cr_assert_eq(fleet.rejectedStarts, 0, "%d starts rejected", fleet.rejectedStarts);
}

Test(policy_queue, taskWhoseTicketWasRejectedGetsANewOne)
{
    policy_queue_fixture fleet;
    int rejections = 0;
    fleet.platform.acceptsTicket = [&](const start_order &) {
        return ++rejections > 4;
    };
    fleet.submit("2");
    fleet.platform.advance(seconds(2));
    cr_assert_eq(fleet.platform.doneRuns(), 2, "%d of 2 tasks done", fleet.platform.doneRuns());
    cr_assert_geq(fleet.requests, 2, "%d requests", fleet.requests);
}
