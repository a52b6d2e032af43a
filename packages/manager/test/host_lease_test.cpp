// Orders of two owners for one host keep the host lease between them, whatever their clocks show.
#include "fake_platform.h"
#include <criterion/criterion.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

// The lease of the settings.
constexpr milliseconds HOST_LEASE{ 3000 };
// The second owner orders the maintenance at the latest this long after the first.
constexpr milliseconds MAX_DELAY{ 9000 };
constexpr resources CAPACITY{ 8000, 16000, 0 };

struct sent_order
{
    std::string holder;
    instant at;
};

// Notes maintenance orders and carries none out.
class noting_gateway : public host_gateway
{
public:
    explicit noting_gateway(fake_platform &platform)
        : m_platform(platform)
        , m_list(platform.clientsOf("list").hosts)
    {
    }

    void list(std::function<void(const host_list &, instant now)> done) override
    {
        m_list.list(std::move(done));
    }
    void move(const host_order &, const std::string &, order_callback done) override
    {
        m_platform.after(milliseconds(1), [done](instant now) { done({ host_order_status::refused, {} }, now); });
    }
    void startMaintenance(const host_order &order, std::uint64_t, order_callback done) override
    {
        orders.push_back({ order.holder, m_platform.now() });
        m_platform.after(milliseconds(1), [done](instant now) { done({ host_order_status::unknown, {} }, now); });
    }

    std::vector<sent_order> orders;

private:
    fake_platform &m_platform;
    host_gateway &m_list;
};

struct lease_fixture
{
    lease_fixture()
    {
        platform.setConfig(configWithOneQueue());
        platform.addWorker("w1", "pool", CAPACITY);
        platform.hosts.push_back({ "host-w1", "pool", host_condition::up, "a", {}, CAPACITY, "w1" });
        platform.publishWave({ 1, { "host-w1" }, seconds(60), 1 });
    }

    void begin(const std::string &process, std::uint64_t incarnation, milliseconds clockOffset)
    {
        const platform_clients clients = platform.clientsOf(process);
        manager_settings settings;
        settings.node = process;
        sessions[process] = std::make_unique<owner_session>(
            platform_clients{ clients.ledger, clients.feeds, clients.workers, hosts, clients.policy, clients.waveStatus, clients.codec },
            platform, log, settings, process_identity{ process, incarnation },
            [this, clockOffset] { return platform.wall() + static_cast<wall_ms>(clockOffset.count()); });
        sessions[process]->begin([](session_event, instant) {});
        tick(process);
    }
    void tick(const std::string &process)
    {
        platform.after(milliseconds(25), [this, process](instant now) {
            sessions.at(process)->tick(now);
            tick(process);
        });
    }
    // Returns when the process sent its first order; empty if it sends none in time.
    std::optional<instant> orderOf(const std::string &process, milliseconds latest)
    {
        for (milliseconds passed(0); passed < latest; passed += milliseconds(5)) {
            for (const sent_order &order : hosts.orders) {
                if (order.holder == process) {
                    return order.at;
                }
            }
            platform.advance(milliseconds(5));
        }
        return std::nullopt;
    }

    fake_platform platform;
    noting_gateway hosts{ platform };
    counting_log log;
    std::map<std::string, std::unique_ptr<owner_session>> sessions;
};

// How far the second owner's clock is ahead of the first one's.
const milliseconds AHEAD[] = { milliseconds(0), milliseconds(2000), milliseconds(-2000), milliseconds(3600000), milliseconds(-3600000) };

} // namespace

ParameterizedTestParameters(host_lease, nextOwnerKeepsTheLeaseOfTheFormerOwnersOrder)
{
    return rowsOf(AHEAD);
}

// Guards against ONE: with a clock 2 s ahead, a new owner took the former one's lease for over 1.5 s too early.
ParameterizedTest(std::size_t *row, host_lease, nextOwnerKeepsTheLeaseOfTheFormerOwnersOrder)
{
    lease_fixture fleet;
    fleet.begin("entry-1", 11, milliseconds(0));
    const std::optional<instant> first = fleet.orderOf("entry-1", seconds(20));
    cr_assert(first.has_value());
    fleet.begin("entry-2", 22, AHEAD[*row]);
    const std::optional<instant> second = fleet.orderOf("entry-2", MAX_DELAY);
    cr_assert(second.has_value(), "no order in time");
    cr_assert_geq((*second - *first).count(), duration(HOST_LEASE).count());
}
