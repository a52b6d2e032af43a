// Tests of the components that decide on the state of one host.
#include <fmt/format.h>
#include <jujubespool/core/append_queue.h>
#include <jujubespool/core/failure_detector.h>
#include <jujubespool/core/fair_queue.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/core/idempotency_key.h>
#include <jujubespool/core/idempotency_store.h>
#include <jujubespool/core/retry_budget.h>
#include <jujubespool/core/worker_selector.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

const instant START = instant(seconds(1000));

struct key_case
{
    const char *key;
    bool valid;
    wall_ms issued;
};

const key_case KEYS[] = {
    { "1718000000000-abc", true, 1718000000000 },
    { "018f3c5e-7d1a-7c3e-9b1f-2a4d6c8e0f12", true, 0x018f3c5e7d1a },
    { "018f3c5e-7d1a-4c3e-9b1f-2a4d6c8e0f12", false, 0 },
    { "1718000000000-", false, 0 },
    { "171800000000-abc", false, 0 },
    { "abc", false, 0 },
    { "", false, 0 },
    { "1718000000000-a b", false, 0 },
    { "171800000000x-abc", false, 0 },
};

struct share_case
{
    int teams;
    std::uint32_t shares[3];
    double expected[3];
};

const share_case SHARES[] = {
    { 2, { 1, 1, 0 }, { 0.5, 0.5, 0 } },
    { 3, { 1, 2, 5 }, { 0.125, 0.25, 0.625 } },
    { 2, { 9, 1, 0 }, { 0.9, 0.1, 0 } },
};

struct workload_case
{
    const char *name;
    // Number of workers on which requests of one workload fail in turn, and how often.
    int workers;
    int rounds;
    bool expectEjected;
    bool expectWorkloadFailing;
};

const workload_case WORKLOAD_CASES[] = {
    { "one failing worker", 1, 5, true, false },
    { "a workload that fails on all workers", 5, 5, false, true },
};

} // namespace

ParameterizedTestParameters(idempotencyKey, parsesIssueTime)
{
    return rowsOf(KEYS);
}

ParameterizedTest(std::size_t *row, idempotencyKey, parsesIssueTime)
{
    const key_case &item = KEYS[*row];
    const auto issued = issueTimeOf(item.key);
    cr_assert_eq(issued.has_value(), item.valid, "expected '%s' to be %s", item.key, item.valid ? "valid" : "invalid");
    if (item.valid) {
        cr_assert_eq(*issued, item.issued, "expected %zu, got %zu", static_cast<std::size_t>(item.issued),
                     static_cast<std::size_t>(*issued));
    }
}

ParameterizedTestParameters(fairQueue, servesBackloggedTeamsByShare)
{
    return rowsOf(SHARES);
}

ParameterizedTest(std::size_t *row, fairQueue, servesBackloggedTeamsByShare)
{
    const share_case &item = SHARES[*row];
    constexpr int ROUNDS = 1000;
    fair_queue queue;
    request_id id = 0;
    for (int i = 0; i < ROUNDS; ++i) {
        for (int team = 0; team < item.teams; ++team) {
            queue.push({ ++id, std::to_string(team), request_class::normal }, item.shares[team]);
        }
    }
    double served[3] = {};
    for (int i = 0; i < ROUNDS; ++i) {
        const auto next = queue.pop([](const std::string &) { return true; }, milliseconds(10));
        served[std::stoi(next->team)] += 1.0 / ROUNDS;
    }
    for (int team = 0; team < item.teams; ++team) {
        cr_assert_float_eq(served[team], item.expected[team], 0.02, "team %d: expected %f, got %f", team, item.expected[team],
                           served[team]);
    }
}

Test(fairQueue, idleTeamDoesNotAccumulateShare)
{
    fair_queue queue;
    const auto all = [](const std::string &) {
        return true;
    };
    for (request_id id = 1; id <= 200; ++id) {
        queue.push({ id, "busy", request_class::normal }, 1);
    }
    for (int i = 0; i < 100; ++i) {
        queue.pop(all, milliseconds(10));
    }
    for (request_id id = 1001; id <= 1100; ++id) {
        queue.push({ id, "late", request_class::normal }, 1);
    }
    int late = 0;
    for (int i = 0; i < 20; ++i) {
        late += queue.pop(all, milliseconds(10))->team == "late" ? 1 : 0;
    }
    cr_assert_leq(late, 11, "expected about half of 20, got %d", late);
}

Test(fairQueue, servesUrgentFirstWithoutStarvingNormal)
{
    fair_queue queue;
    const auto all = [](const std::string &) {
        return true;
    };
    for (request_id id = 1; id <= 100; ++id) {
        queue.push({ id, "a", request_class::urgent }, 1);
        queue.push({ 1000 + id, "b", request_class::normal }, 1);
    }
    int urgent = 0;
    for (int i = 0; i < 2 * (URGENT_BURST + 1); ++i) {
        urgent += queue.pop(all, milliseconds(1))->priority == request_class::urgent ? 1 : 0;
    }
    cr_assert_eq(urgent, 2 * URGENT_BURST, "expected one normal request after each %d urgent ones, got %d urgent", URGENT_BURST, urgent);
}

Test(fairQueue, cancelledRequestsAreNeverServed)
{
    fair_queue queue;
    queue.push({ 1, "a", request_class::normal }, 1);
    queue.push({ 2, "a", request_class::normal }, 1);
    cr_assert(queue.cancel(1));
    cr_assert_not(queue.cancel(1), "expected the second cancel to find nothing");
    cr_assert_eq(queue.pop([](const std::string &) { return true; }, milliseconds(1))->id, 2U);
    cr_assert_eq(queue.size(), 0U);
}

ParameterizedTestParameters(workerSelector, separatesFailingWorkersFromFailingWorkloads)
{
    return rowsOf(WORKLOAD_CASES);
}

ParameterizedTest(std::size_t *row, workerSelector, separatesFailingWorkersFromFailingWorkloads)
{
    const workload_case &item = WORKLOAD_CASES[*row];
    worker_selector selector(1);
    selector.setWorkers({ "w0", "w1", "w2", "w3", "w4" });
    for (int round = 0; round < item.rounds; ++round) {
        for (int worker = 0; worker < item.workers; ++worker) {
            const std::string name = fmt::format("w{}", worker);
            selector.onStart(name);
            selector.onResult(name, "service/team", attempt_result::error_status, milliseconds(1), START);
        }
    }
    cr_assert_eq(selector.isEjected("w0", START), item.expectEjected, "%s: ejected", item.name);
    cr_assert_eq(selector.isWorkloadFailing("service/team"), item.expectWorkloadFailing, "%s: workload failing", item.name);
}

Test(workerSelector, ejectsFailingWorkerWithinTenRequests)
{
    worker_selector selector(7);
    const std::vector<std::string> workers{ "good-1", "good-2", "good-3", "bad" };
    selector.setWorkers(workers);
    int failures = 0;
    for (int i = 0; i < 400; ++i) {
        const auto worker = selector.pick(workers, {}, START);
        selector.onStart(*worker);
        const bool bad = *worker == "bad";
        failures += bad ? 1 : 0;
        // The low latency of the failures must not attract load.
        selector.onResult(*worker, "s/t", bad ? attempt_result::error_status : attempt_result::answered,
                          bad ? microseconds(50) : milliseconds(5), START);
    }
    cr_assert_leq(failures, 10, "expected at most 10 requests on the bad worker, got %d", failures);
}

Test(workerSelector, returnsEjectedWorkerAfterSuccessfulProbes)
{
    worker_selector selector(7);
    selector.setWorkers({ "w0", "w1", "w2", "w3" });
    for (int i = 0; i < FAILURES_TO_EJECT; ++i) {
        selector.onStart("w0");
        selector.onResult("w0", fmt::format("s/{}", i), attempt_result::closed_early, milliseconds(1), START);
    }
    cr_assert(selector.isEjected("w0", START));
    const instant later = START + MIN_EJECTION_TIME;
    for (int i = 0; i < PROBES_TO_RECOVER; ++i) {
        cr_assert_str_eq(selector.pick({ "w0", "w1" }, {}, later)->c_str(), "w0", "expected probe %d", i);
        selector.onStart("w0");
        cr_assert_str_eq(selector.pick({ "w0", "w1" }, {}, later)->c_str(), "w1", "expected one probe at a time");
        selector.onResult("w0", "s/t", attempt_result::answered, milliseconds(1), later);
    }
    cr_assert_eq(selector.ejected().size(), 0U);
}

Test(retryBudget, limitsRetriesToATenthOfRequests)
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        retries += budget.tryRetry() ? 1 : 0;
    }
    cr_assert_leq(retries, 100, "expected at most 100, got %d", retries);
    cr_assert_geq(retries, 99, "expected about 100, got %d", retries);
}

Test(appendQueue, resendsPendingRecordsAfterFailedAppend)
{
    append_queue queue(5);
    const std::uint64_t first = queue.propose({});
    cr_assert_eq(queue.nextBatch(START).size(), 1U);
    queue.propose({});
    cr_assert_eq(queue.nextBatch(START).size(), 0U, "expected one append at a time");
    queue.onAppendFailed(START);
    cr_assert_eq(queue.nextBatch(START).size(), 0U, "expected a retry delay after a failed append");
    const auto again = queue.nextBatch(START + seconds(2));
    cr_assert_eq(again.size(), 2U);
    cr_assert_eq(again.front().sequence(), first);
    queue.onAppended(START + seconds(2));
    queue.onReadBack(first);
    cr_assert_eq(queue.pending(), 1U);
    cr_assert_not(queue.isPending(first));
}

Test(idempotencyStore, dispatchesOnceAndOnlyAfterClaimIsGranted)
{
    idempotency_store store(1000);
    cr_assert(store.begin("key", "print", 1));
    cr_assert_not(store.markDispatched("key"), "expected no dispatch before the claim is granted");
    store.markClaimGranted("key");
    cr_assert(store.markDispatched("key"));
    cr_assert_not(store.markDispatched("key"), "expected no second dispatch");
    cr_assert_not(store.begin("key", "print", 2), "expected the record of the running request to stay");
    wire::kept_answer answer;
    answer.set_body("done");
    store.finish("key", answer);
    cr_assert_str_eq(store.find("key")->answer.body().c_str(), "done");
}

Test(idempotencyStore, reassignsOnlyRequestsThatDidNotRun)
{
    idempotency_store store(1000);
    store.begin("key", "print", 1);
    store.markClaimGranted("key");
    cr_assert_eq(store.reassign("key", 9), NO_SESSION, "expected a running request not to be reassigned");
    wire::kept_answer answer;
    answer.set_outcome(static_cast<std::uint32_t>(outcome::not_run));
    store.finish("key", answer);
    cr_assert_eq(store.reassign("key", 9), 9U);
    cr_assert_eq(store.reassign("key", 10), 9U, "expected the request to stay with the first receiver");
    cr_assert_not(store.begin("key", "print", 2), "expected no second run here");
}

Test(idempotencyStore, evictsOldestResponsesBeyondItsBound)
{
    idempotency_store store(300);
    for (int i = 0; i < 50; ++i) {
        const std::string key = std::to_string(i);
        store.begin(key, "print", 1);
        wire::kept_answer answer;
        answer.set_body(std::string(50, 'x'));
        store.finish(key, answer);
    }
    cr_assert_leq(store.bytes(), 300U, "expected at most 300 bytes, got %zu", store.bytes());
    cr_assert_null(store.find("0"));
    cr_assert_not_null(store.find("49"));
}

Test(hashing, hashDependsOnPartBoundaries)
{
    cr_assert(hashParts({ "ab", "c" }) != hashParts({ "a", "bc" }), "expected different parts to give different hashes");
    const std::string hash = hashApiKey("");
    cr_assert_str_eq(hash.c_str(), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    cr_assert(equalInConstantTime("abc", "abc"));
    cr_assert_not(equalInConstantTime("abc", "abd"));
    cr_assert_not(equalInConstantTime("abc", "ab"));
}

Test(failureDetector, suspectsPeerThatNeverSendsHeartbeat)
{
    fixed_timeout_detector detector(milliseconds(500), START);
    cr_assert_not(detector.suspects(START + milliseconds(500)));
    cr_assert(detector.suspects(START + milliseconds(501)), "expected a suspicion after the timeout");
    detector.onHeartbeat(1, START + seconds(1));
    cr_assert_not(detector.suspects(START + seconds(1)));
}
