#include <criterion/criterion.h>
#include <jujubespool/cli/job_event_collector.h>

namespace {

using namespace jujubespool;

const std::string ID = "40995b9c86f55955";

std::vector<std::string> timelineOf(const std::vector<std::string> &lines)
{
    job_event_collector collector(ID);
    for (const std::string &line : lines) {
        collector.add(line);
    }
    return collector.timeline();
}

} // namespace

Test(job_event_collector, parsesQuotedAndUnquotedValues)
{
    const auto line
        = parseLogLine("entry-1 time=2026-01-01T00:00:01Z level=info event=refused call=\"POST /q/1\" status=401 reason=\"unknown key\"");
    cr_assert(line.has_value());
    cr_assert_eq(line->event, "refused");
    cr_assert_eq(line->fields.at("call"), "POST /q/1");
    cr_assert_eq(line->fields.at("status"), "401");
    cr_assert_eq(line->fields.at("reason"), "unknown key");
    cr_assert_not(parseLogLine("no pairs here").has_value());
    cr_assert_not(parseLogLine("time=2026 without an event").has_value());
}

Test(job_event_collector, sortsLinesByTimeAndCountsEvents)
{
    const auto timeline = timelineOf({
        "time=2026-01-01T00:00:05Z event=job-changed job=" + ID + " state=completed age_ms=4000",
        "time=2026-01-01T00:00:01Z event=submit job=" + ID + " queue=q accepted=yes",
        "time=2026-01-01T00:00:02Z event=start task=" + ID + ".0.0.0 run=1 worker=w1",
        "time=2026-01-01T00:00:03Z event=run-ended task=" + ID + ".0.0.0 run=1 worker=w1 end=failed",
        "time=2026-01-01T00:00:02Z event=start task=00000000000000a1.0.0.0 run=1 worker=w1",
    });
    cr_assert_eq(timeline.size(), 5);
    cr_assert_eq(timeline[0], "job " + ID + ": 1 submissions, 0 refusals, 1 starts, 1 failed runs, 0 lapsed runs, completed after 4000 ms");
    cr_assert(timeline[1].find("event=submit") != std::string::npos);
    cr_assert(timeline[4].find("event=job-changed") != std::string::npos);
}

Test(job_event_collector, showsTheLinesOfAWaitingTaskAndSummarizesTheLastReason)
{
    const auto timeline = timelineOf({
        "time=2026-01-01T00:00:01Z event=submit job=" + ID + " queue=q accepted=yes",
        "time=2026-01-01T00:00:14Z event=task-waiting task=" + ID + ".0.0.7 queue=q pool=p reason=no-free-capacity waited_ms=13000",
        "time=2026-01-01T00:00:04Z event=task-waiting task=" + ID + ".0.0.7 queue=q pool=p reason=team-limit waited_ms=3000",
        "time=2026-01-01T00:00:15Z event=task-waiting task=00000000000000a1.0.0.0 queue=q pool=p reason=required-label waited_ms=9000",
    });
    cr_assert_eq(timeline.size(), 4);
    cr_assert_eq(timeline[0],
                 "job " + ID
                     + ": 1 submissions, 0 refusals, 0 starts, 0 failed runs, 0 lapsed runs, last wait no-free-capacity for 13000 ms,"
                       " no end in these logs");
    cr_assert(timeline[2].find("reason=team-limit") != std::string::npos);
    cr_assert(timeline[3].find("reason=no-free-capacity") != std::string::npos);
}

// The timeline includes events of the job's workers and of the owner between the first and the last line of the job. Events
// of other workers and events outside this period are excluded.
Test(job_event_collector, includesEventsOfItsWorkersAndOfTheOwner)
{
    const auto timeline = timelineOf({
        "time=2026-01-01T00:00:01Z event=submit job=" + ID + " queue=q accepted=yes",
        "time=2026-01-01T00:00:02Z event=start task=" + ID + ".0.0.0 run=1 worker=w1",
        "time=2026-01-01T00:00:03Z event=worker-silent worker=w1 outcome=unknown",
        "time=2026-01-01T00:00:03Z event=worker-silent worker=w2 outcome=unknown",
        "time=2026-01-01T00:00:04Z event=ownership event=claimed epoch=2",
        "time=2026-01-01T00:00:05Z event=job-changed job=" + ID + " state=failed age_ms=4000",
        "time=2026-01-01T00:00:09Z event=ownership event=claimed epoch=3",
    });
    cr_assert_eq(timeline.size(), 6);
    cr_assert(timeline[3].find("worker=w1") != std::string::npos);
    cr_assert(timeline[4].find("epoch=2") != std::string::npos);
}

Test(job_event_collector, isEmptyIfNoLineMentionsTheJob)
{
    cr_assert(timelineOf({ "time=2026-01-01T00:00:01Z event=submit job=00000000000000a1" }).empty());
}
