"""A client hands in a large job: one task, then 13 steps of 10,000 small tasks each."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import harness  # noqa: E402

CAPACITY = (64000, 131072)
WORKERS = 11
SMALL_TASK = {"cpu": 3500, "mem_mb": 5100}
SMALL_TASKS = 6
SMALL_TASK_MS = 800
SUBMIT_GAP_S = 0.25
LARGE_TASK = {"cpu": 60, "mem_mb": 100}
LARGE_TASKS = 10000
LARGE_STEPS = 13
LARGE_TASK_MS = 1000
LARGE_AT_S = 10.0
TRAFFIC_S = 20.0
FINISH_S = 14.0
# A job whose tasks' turn has come must not have nothing running for this long while there is room.
IDLE_S = 3.0
# Jobs are asked for at the end, several times in this time.
ASK_FOR_S = 5.0


def has_run_since(events, job, since):
    return any(run["task"].startswith(job + ".") and (run["end"] is None or run["end"] >= since) for run in harness.runs_of(events))


async def small_traffic(deployment, end, results):
    while time.monotonic() < end:
        steps = [{"count": SMALL_TASKS, **SMALL_TASK, "estimated_ms": SMALL_TASK_MS}]
        results.append(asyncio.create_task(deployment.submit(f"ms={SMALL_TASK_MS}", steps)))
        await asyncio.sleep(SUBMIT_GAP_S)


async def large_job(deployment, results):
    await asyncio.sleep(LARGE_AT_S)
    task = {**LARGE_TASK, "estimated_ms": LARGE_TASK_MS}
    steps = [{"count": 1, **task}] + [{"count": LARGE_TASKS, **task, "after": [number]} for number in range(LARGE_STEPS)]
    results.append(asyncio.create_task(deployment.submit(f"ms={LARGE_TASK_MS}", steps)))


async def case(trouble):
    deployment = harness.Deployment(FOLDER)
    deployment.needs = {"*": (LARGE_TASK["cpu"], LARGE_TASK["mem_mb"])}
    try:
        await deployment.start(workers=WORKERS, capacity=CAPACITY)
        await asyncio.sleep(3.0)
        end = time.monotonic() + TRAFFIC_S
        small, large = [], []
        traffic = [small_traffic(deployment, end, small)] + ([large_job(deployment, large)] if trouble else [])
        await asyncio.gather(*traffic)
        deployment.record("traffic-ended")
        answers = await asyncio.gather(*small, *large)
        jobs = [job for job, accepted in answers if accepted]
        refused = len(answers) - len(jobs)
        await asyncio.sleep(max(0.0, end + FINISH_S - ASK_FOR_S - time.monotonic()))
        asked_since = time.monotonic()
        unfinished = dict.fromkeys(jobs)
        while time.monotonic() < asked_since + ASK_FOR_S + IDLE_S:
            states = await asyncio.gather(*(deployment.state(job) for job in unfinished))
            unfinished = {job: state for job, state in zip(unfinished, states) if state[1] != "completed"}
            await asyncio.sleep(1.0)
        await deployment.drain_events()
        since = end + FINISH_S
        used = sum(1 for run in harness.runs_of(deployment.events) if run["end"] is None or run["end"] >= since)
        lost = [job for job in unfinished if not has_run_since(deployment.events, job, since)]
        for job in lost:
            deployment.record("LOST", job=job, status=unfinished[job][0], shown=unfinished[job][1], runs_of_all_jobs=used)
        sizes = [size for _, size in deployment.store.refused]
        print(f"accepted={len(jobs)} not_accepted={refused} unfinished={len(unfinished)} lost={len(lost)} runs_at_the_end={used} "
              f"appends_refused_for_size={len(sizes)} largest_record={max(sizes, default=0)}")
        return bool(lost)
    finally:
        deployment.close()


harness.run_case(case)
