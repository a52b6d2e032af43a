#include <criterion/criterion.h>
#include <jujubespool/jobs/known_queues.h>

namespace {

using namespace jujubespool;

queue_config queueWithPolicy()
{
    queue_config queue;
    queue.name = "q";
    queue.pool = "pool";
    queue.priority = 2;
    queue.maxAttempts = 4;
    queue.deadlineFactor = 2.5;
    queue.targetLatency = milliseconds(700);
    queue.policy = policy_config{ milliseconds(20), milliseconds(3), milliseconds(4000) };
    return queue;
}

fleet_config configWith(const std::vector<queue_config> &queues)
{
    fleet_config config;
    config.queues = queues;
    return config;
}

} // namespace

Test(known_queues, imageHoldsWhatJobsNeed)
{
    const std::optional<queue_config> restored = queueFromImage(queueImage(queueWithPolicy()));
    cr_assert(restored.has_value());
    cr_assert(*restored == queueWithPolicy());
    queue_config plain = queueWithPolicy();
    plain.policy.reset();
    cr_assert(queueFromImage(queueImage(plain)) == plain);
}

Test(known_queues, unreadableImagesNameNoQueue)
{
    cr_assert_not(queueFromImage("").has_value());
    cr_assert_not(queueFromImage("\xff\xff").has_value());
    queue_config withoutPool = queueWithPolicy();
    withoutPool.pool.clear();
    cr_assert_not(queueFromImage(queueImage(withoutPool)).has_value());
}

Test(known_queues, restoredQueueDoesNotReplaceTheConfiguredOne)
{
    known_queues queues;
    queue_config configured = queueWithPolicy();
    configured.priority = 5;
    queues.setConfig(configWith({ configured }));
    queues.restore(queueWithPolicy());
    cr_assert_eq(queues.find("q")->priority, 5);
    queues.addJob("q");
    cr_assert_eq(queues.takeChanges().size(), 1U);
}

Test(known_queues, configurationThatIsReadLaterReplacesTheRestoredQueue)
{
    known_queues queues;
    queues.restore(queueWithPolicy());
    queues.addJob("q");
    cr_assert_eq(queues.takeChanges().size(), 0U, "a queue counts as removed before a configuration was read");
    queue_config configured = queueWithPolicy();
    configured.pool = "other";
    queues.setConfig(configWith({ configured }));
    cr_assert_str_eq(queues.find("q")->pool.c_str(), "other");
    cr_assert_eq(queues.takeChanges().size(), 1U);
}

Test(known_queues, changeOfTheAddressForCallersIsNotWritten)
{
    known_queues queues;
    queue_config queue = queueWithPolicy();
    queues.setConfig(configWith({ queue }));
    queues.addJob("q");
    cr_assert_eq(queues.takeChanges().size(), 1U);
    queue.host = "elsewhere";
    queue.pathPrefix = "/moved/";
    queue.allowsAnonymous = true;
    queues.setConfig(configWith({ queue }));
    cr_assert_eq(queues.takeChanges().size(), 0U);
}

Test(known_queues, removedQueueIsKeptForItsLastJob)
{
    known_queues queues;
    queues.setConfig(configWith({ queueWithPolicy() }));
    queues.addJob("q");
    queues.addJob("q");
    queues.takeChanges();
    queues.setConfig(configWith({}));
    queues.removeJob("q");
    cr_assert_eq(queues.takeChanges().size(), 0U);
    cr_assert_not_null(queues.find("q"));
    queues.removeJob("q");
    const std::vector<ledger_entry> changes = queues.takeChanges();
    cr_assert_eq(changes.size(), 1U);
    cr_assert_not(changes[0].value.has_value());
    cr_assert_null(queues.find("q"));
}
