// Orders for hosts whose answers or effects are not seen: the worker on the host is open to tasks again in time.
#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/jobs/host_controller.h>
#include <jujubespool/jobs/placement.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr resources WORKER_CAPACITY{ 8000, 16000, 0 };
constexpr milliseconds TICK{ 50 };
// An order without an answer may be carried out late; then it counts as lost.
constexpr milliseconds UNANSWERED{ 4000 };
// A refresh of the list and a poll of the worker.
constexpr milliseconds REFRESH{ 1500 };

enum class trouble { none, host_unlisted, host_service_down, host_down };

struct order_case
{
    const char *name;
    // Whether the answer arrives, as for what is done already, or is lost.
    bool answered;
    trouble kind;
    // The trouble begins this long after the order and lasts for so long.
    milliseconds from;
    milliseconds length;
    // The worker is open this long after the order, although the order was never carried out.
    milliseconds openAfter;
};

const order_case CASES[] = {
    { "the answer is lost", false, trouble::none, milliseconds(0), milliseconds(0), UNANSWERED + REFRESH },
    { "the host is not listed for a while", false, trouble::host_unlisted, milliseconds(100), seconds(3), UNANSWERED + REFRESH },
    { "the host is not listed for longer", false, trouble::host_unlisted, milliseconds(100), seconds(30), UNANSWERED + REFRESH },
    { "the host service is down for a minute", false, trouble::host_service_down, milliseconds(100), seconds(60), UNANSWERED + REFRESH },
    { "the order is answered as done already, and the host service is down for a minute", true, trouble::host_service_down,
      milliseconds(100), seconds(60), UNANSWERED + REFRESH },
    { "the host is shown as down for a minute, and its worker works", false, trouble::host_down, milliseconds(100), seconds(60),
      UNANSWERED + REFRESH },
};

// A host whose worker answers polls. Orders for it have no effect on the worker.
class ordered_host
{
public:
    explicit ordered_host(bool answered)
    {
        m_platform.addWorker("w1", "pool", WORKER_CAPACITY);
        m_platform.hosts.push_back({ "host-w1", "pool", host_condition::up, "a", {}, WORKER_CAPACITY, "w1" });
        m_platform.hostAnswersLost = !answered;
        m_model.workers().update(m_platform.workerNamed("w1").report, m_platform.now());
        target().polled = true;
        target().clockKnown = true;
        m_hosts.setOrderRecorder([this](const host_order_record &, const std::function<void(instant now)> &recorded) {
            m_platform.after(m_recordingTime, recorded);
        });
        advance(milliseconds(500));
    }

    void move()
    {
        m_hosts.move("host-w1", "other", m_platform.now());
    }
    void startMaintenance()
    {
        m_hosts.startMaintenance("host-w1", 1, {}, m_platform.now());
    }
    bool hasPendingOrder() const
    {
        return m_hosts.hasPendingOrder("host-w1");
    }
    // Records of orders take this long from now on.
    void setRecordingTime(milliseconds time)
    {
        m_recordingTime = time;
    }
    bool isMoveRejected() const
    {
        return m_hosts.isMoveRejected("host-w1", "other");
    }
    // The platform knows these pools, and rejects moves to others.
    void setPools(const std::vector<std::string> &names)
    {
        fleet_config config;
        for (const std::string &name : names) {
            config.pools[name] = { name, true, false, {} };
        }
        m_platform.moveTime = milliseconds(100);
        m_platform.setConfig(config);
        m_hosts.onPoolsConfigured(config.pools);
    }
    void begin(trouble kind)
    {
        if (kind == trouble::host_unlisted) {
            m_hidden = m_platform.hosts;
            m_platform.hosts.clear();
        }
        m_platform.hostServiceDown = kind == trouble::host_service_down;
        if (kind == trouble::host_down) {
            m_platform.hosts[0].state = host_condition::down;
        }
    }
    void end()
    {
        if (!m_hidden.empty()) {
            m_platform.hosts = std::exchange(m_hidden, {});
        }
        m_platform.hostServiceDown = false;
        m_platform.hosts[0].state = host_condition::up;
    }
    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += TICK) {
            m_platform.advance(TICK);
            target().lastResponseAt = m_platform.now();
            m_hosts.refresh(m_platform.now());
        }
    }
    bool isOpen()
    {
        return acceptsNewTasks(target(), m_platform.now());
    }

private:
    worker &target()
    {
        return *m_model.workers().find("w1");
    }

    fake_platform m_platform;
    milliseconds m_recordingTime{ 5 };
    counting_log m_log;
    fleet_model m_model{ manager_bounds() };
    platform_clients m_clients{ m_platform.clientsOf("entry-1") };
    host_controller m_hosts{ m_model, m_clients.hosts, m_log, "entry-1", 1 };
    std::vector<host_entry> m_hidden;
};

} // namespace

// Guards against LIMIT: the store recorded an order only after it had been given up, and its cancelling was taken for the answer to the
// next order for the host, which then counted as not sent.
Test(host_order, answerToAnEarlierOrderDoesNotEndTheNextOne)
{
    ordered_host host(false);
    host.setRecordingTime(UNANSWERED + REFRESH + seconds(1));
    host.move();
    host.advance(UNANSWERED + REFRESH);
    cr_assert_not(host.hasPendingOrder());
    host.setRecordingTime(milliseconds(5));
    host.startMaintenance();
    host.advance(seconds(2));
    cr_assert(host.hasPendingOrder());
    cr_assert_not(host.isOpen());
}

// Guards against LOST: a host whose move was rejected while the platform did not know the pool was closed to the pool for good.
Test(host_order, rejectedMoveMayBeTriedAgainOnceThePoolsHaveChanged)
{
    ordered_host host(true);
    host.setPools({ "pool" });
    host.move();
    host.advance(milliseconds(500));
    cr_assert(host.isMoveRejected());
    host.setPools({ "pool" });
    cr_assert(host.isMoveRejected(), "the pools are the same");
    host.setPools({ "pool", "other" });
    cr_assert_not(host.isMoveRejected());
}

ParameterizedTestParameters(host_order, workerIsOpenAgainAfterAnOrderThatHadNoEffect)
{
    return rowsOf(CASES);
}

// Guards against LOST: a worker was closed for an order and stayed closed for good, as its host was not in the list when the order was
// given up.
ParameterizedTest(std::size_t *row, host_order, workerIsOpenAgainAfterAnOrderThatHadNoEffect)
{
    const order_case &played = CASES[*row];
    ordered_host host(played.answered);
    cr_assert(host.isOpen(), "%s", played.name);
    host.move();
    cr_assert_not(host.isOpen(), "%s: the worker is open during the order", played.name);
    milliseconds passed(0);
    bool isOpenInTime = false;
    for (; passed < played.from + played.length + seconds(5); passed += TICK) {
        if (passed == played.from) {
            host.begin(played.kind);
        }
        if (passed == played.from + played.length) {
            host.end();
        }
        host.advance(TICK);
        const bool isOpen = host.isOpen();
        isOpenInTime = isOpenInTime || (isOpen && passed <= played.openAfter);
        cr_assert_not(isOpen && passed < UNANSWERED - REFRESH && !played.answered, "%s: open after %lld ms", played.name,
                      static_cast<long long>(passed.count()));
    }
    cr_expect(isOpenInTime, "%s: not open after %lld ms", played.name, static_cast<long long>(played.openAfter.count()));
    cr_expect(host.isOpen(), "%s: not open at the end", played.name);
}
