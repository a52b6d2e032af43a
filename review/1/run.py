"""More than 500 tasks of one worker end while the store is down."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import harness  # noqa: E402

CAPACITY = (64000, 131072)
TASK = {"cpu": 75, "mem_mb": 120}
JOBS = 75
TASKS_PER_JOB = 20
SUBMIT_GAP_S = 0.025
TASK_MS = 6000
# Seconds after the first job: the tasks end from 6.0 to about 8.
DOWN_FROM_S = 5.0
DOWN_FOR_S = 3.7
LENGTH_S = 16.0


async def case(trouble):
    deployment = harness.Deployment(FOLDER)
    deployment.needs = {"*": (TASK["cpu"], TASK["mem_mb"])}
    try:
        await deployment.start(workers=2, capacity=CAPACITY)
        await asyncio.sleep(3.0)
        begun = time.monotonic()
        submits = []
        for _ in range(JOBS):
            steps = [{"count": TASKS_PER_JOB, **TASK, "estimated_ms": TASK_MS}]
            submits.append(asyncio.create_task(deployment.submit(f"ms={TASK_MS}", steps)))
            await asyncio.sleep(SUBMIT_GAP_S)
        await asyncio.sleep(max(0.0, begun + DOWN_FROM_S - time.monotonic()))
        if trouble:
            deployment.store.silent = True
            deployment.record("store-down")
            await asyncio.sleep(DOWN_FOR_S)
            deployment.store.silent = False
            deployment.record("store-up")
        await asyncio.sleep(max(0.0, begun + LENGTH_S - time.monotonic()))
        accepted = sum(accepted for _, accepted in await asyncio.gather(*submits))
        await deployment.drain_events()
        found = harness.twice(deployment.events)
        runs = harness.runs_of(deployment.events)
        if accepted < JOBS:
            raise harness.CannotRun(f"only {accepted} of {JOBS} jobs were accepted")
        for how, first, second in found:
            deployment.record("TWICE", how=how.replace(" ", "-"), task=first["task"], first_run=first["run"], first_end=first["how"],
                              second_run=second["run"], second_worker=second["worker"])
        print(f"jobs={accepted} tasks={len({run['task'] for run in runs})} runs={len(runs)} "
              f"done={sum(run['how'] == 'done' for run in runs)} twice={len(found)}")
        return bool(found)
    finally:
        deployment.close()


harness.run_case(case)
