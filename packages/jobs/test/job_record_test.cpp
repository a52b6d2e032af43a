#include <criterion/criterion.h>
#include <jujubespool/jobs/job.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

constexpr wall_ms WALL = 1800000000000;
constexpr milliseconds INTERVAL{ 1000 };
constexpr int REPEATS = 5000;
constexpr std::size_t RECORD_BYTES = 20000;

job_request recurringRequest(int tasks)
{
    job_request request;
    request.id = "00000000000000a1";
    request.queue = "q";
    request.spec = std::string(100, 's');
    request.repeatCount = REPEATS;
    request.firstRun = WALL;
    request.interval = INTERVAL;
    request.steps.emplace_back();
    request.steps[0].count = tasks;
    request.steps[0].savesProgress = true;
    return request;
}

// Each task has everything that a task may have.
void assignAll(job &entry)
{
    for (auto &[number, occurrence] : entry.occurrences()) {
        for (auto &tasks : occurrence.steps) {
            for (task_progress &task : tasks) {
                task = { task_phase::assigned, 100000, 1000, std::string(32, 'c'), std::string(32, 'w'), WALL, {} };
            }
        }
    }
}

void finish(job &entry, int occurrence)
{
    for (int index = 0; index < entry.step(0).count; ++index) {
        entry.markDone({ entry.request().id, occurrence, 0, index });
    }
}

} // namespace

// Guards against LOST: the record of a job that repeats often grew with each occurrence that had ended.
Test(job_record, recordOfARecurringJobDoesNotGrowWithItsEndedOccurrences)
{
    job entry = job::accept(recurringRequest(2), WALL);
    std::size_t largest = 0;
    for (int i = 0; i < REPEATS; ++i) {
        cr_assert(entry.addDueOccurrences(WALL + static_cast<wall_ms>(i * INTERVAL.count()), RECORD_BYTES), "occurrence %d", i);
        largest = std::max(largest, entry.toImage().ByteSizeLong());
        finish(entry, i);
        cr_assert_eq(entry.markFinishedOccurrences(), i + 1 == REPEATS, "occurrence %d", i);
    }
    cr_assert_lt(largest, 1000U);
}

// The rest of the job follows after a change of owner.
Test(job_record, recurringJobGoesOnFromItsRecord)
{
    job entry = job::accept(recurringRequest(2), WALL);
    entry.addDueOccurrences(WALL + 10 * INTERVAL.count(), RECORD_BYTES);
    cr_assert_eq(entry.occurrences().size(), 11U);
    for (int i = 0; i <= 10; ++i) {
        finish(entry, i);
    }
    cr_assert_not(entry.markFinishedOccurrences());
    std::optional<job> restored = job::fromImage(entry.toImage());
    cr_assert(restored);
    cr_assert(restored->addDueOccurrences(WALL + 12 * INTERVAL.count(), RECORD_BYTES));
    cr_assert_eq(restored->occurrences().rbegin()->first, 12);
    cr_assert_not(restored->task({ entry.request().id, 5, 0, 0 }));
}

// Occurrences that overlap wait until the record has room for them.
Test(job_record, occurrencesThatOverlapFitIntoARecord)
{
    job entry = job::accept(recurringRequest(20), WALL);
    entry.addDueOccurrences(WALL + REPEATS * INTERVAL.count(), RECORD_BYTES);
    cr_assert_gt(entry.occurrences().size(), 1U);
    assignAll(entry);
    cr_assert_leq(entry.toImage().ByteSizeLong(), RECORD_BYTES);
    const int latest = entry.occurrences().rbegin()->first;
    cr_assert_not(entry.addDueOccurrences(WALL + REPEATS * INTERVAL.count(), RECORD_BYTES));
    finish(entry, 0);
    entry.markFinishedOccurrences();
    cr_assert(entry.addDueOccurrences(WALL + REPEATS * INTERVAL.count(), RECORD_BYTES));
    cr_assert_eq(entry.occurrences().rbegin()->first, latest + 1);
}

Test(job_record, recordHasNoMoreBytesThanItsUpperBound)
{
    job_request request = recurringRequest(3000);
    request.repeatCount = 0;
    job entry = job::accept(request, WALL);
    assignAll(entry);
    entry.setState(job_state::running, WALL);
    cr_assert_leq(entry.toImage().ByteSizeLong(), job::imageBytesAtMost(request));
}
