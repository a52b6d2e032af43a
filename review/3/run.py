"""Workers crash, start again under the ids that they had, and get tasks before the managers know of the restart."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import harness  # noqa: E402

CAPACITY = (64000, 131072)
WORKERS = 7
TASK = {"cpu": 23000, "mem_mb": 14000}
TASK_MS = 1300
SUBMIT_GAP_S = 0.25
LENGTH_S = 80.0
# One of seven workers at a time.
CRASH_GAP_S = 1.0
MIN_DOWN_S = 0.3
MAX_DOWN_S = 1.2


async def crash_workers(deployment, end):
    while time.monotonic() < end:
        await asyncio.sleep(CRASH_GAP_S)
        busy = {run["worker"] for run in harness.runs_of(deployment.events) if run["end"] is None}
        idle = sorted(set(deployment.workers) - busy)
        if not idle:
            continue
        name = idle[0]
        deployment.kill_worker(name)
        await asyncio.sleep(deployment.random.uniform(MIN_DOWN_S, MAX_DOWN_S))
        deployment.record("worker-started", worker=name)
        deployment.start_worker(name)


async def case(trouble):
    deployment = harness.Deployment(FOLDER)
    deployment.needs = {"*": (TASK["cpu"], TASK["mem_mb"])}
    try:
        await deployment.start(workers=WORKERS, capacity=CAPACITY)
        await asyncio.sleep(3.0)
        begun = time.monotonic()
        crashes = asyncio.create_task(crash_workers(deployment, begun + LENGTH_S - 5)) if trouble else None
        submits = []
        while time.monotonic() < begun + LENGTH_S - 5:
            steps = [{"count": 2, **TASK, "estimated_ms": TASK_MS}]
            submits.append(asyncio.create_task(deployment.submit(f"ms={TASK_MS}", steps)))
            await asyncio.sleep(SUBMIT_GAP_S)
        accepted = sum(accepted for _, accepted in await asyncio.gather(*submits))
        if crashes is not None:
            await crashes
        await asyncio.sleep(max(0.0, begun + LENGTH_S - time.monotonic()))
        await deployment.drain_events()
        found = harness.twice(deployment.events)
        runs = harness.runs_of(deployment.events)
        for how, first, second in found:
            together = max(0, min(first["end"] or time.monotonic(), second["end"] or time.monotonic()) - second["start"])
            deployment.record("TWICE", how=how.replace(" ", "-"), task=first["task"], first_run=first["run"], first_worker=first["worker"],
                              second_run=second["run"], second_worker=second["worker"], ms_at_once=round(1000 * together))
        print(f"jobs={accepted} of {len(submits)} runs={len(runs)} done={sum(run['how'] == 'done' for run in runs)} twice={len(found)}")
        return bool(found)
    finally:
        deployment.close()


harness.run_case(case)
