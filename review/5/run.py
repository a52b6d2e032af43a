"""A worker refuses starts while the service is full, and waiting jobs vanish from the count of pending ones."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import harness  # noqa: E402
import http_io  # noqa: E402

CAPACITY = (64000, 131072)
WORKERS = 7
TASK = {"cpu": 3500, "mem_mb": 5100}
TASKS_PER_JOB = 6
TASK_MS = 9000
# Three jobs fill one worker.
JOBS = 22
REFUSES_S = 6.5
# A job that was accepted longer ago than this (visible_ms and 2 s) and hasn't begun has to be among the pending ones.
OWED_AFTER_S = 5.0
ASK_GAP_S = 0.1
ASK_UNTIL_S = 8.5


async def refuse_starts(deployment, worker, refuses):
    deployment.record("worker-refuses-starts" if refuses else "worker-takes-starts", worker=worker)
    await http_io.call(deployment.workers[worker]["address"], "POST", "/standin/refuse-starts", body=b"yes" if refuses else b"no")


async def hand_in(deployment, accepted_at):
    steps = [{"count": TASKS_PER_JOB, **TASK, "estimated_ms": TASK_MS}]
    job, accepted = await deployment.submit(f"ms={TASK_MS}", steps)
    if accepted:
        accepted_at[job] = time.monotonic()


def jobs_owed(deployment, accepted_at, now):
    """The jobs that the count must hold: accepted long enough ago, and no task of theirs has begun until now."""
    begun = {run["task"].partition(".")[0] for run in harness.runs_of(deployment.events)}
    return [job for job, at in accepted_at.items() if now - at > OWED_AFTER_S and job not in begun]


async def case(trouble):
    deployment = harness.Deployment(FOLDER)
    deployment.needs = {"*": (TASK["cpu"], TASK["mem_mb"])}
    wrong = asked = 0
    try:
        await deployment.start(workers=WORKERS, capacity=CAPACITY)
        await asyncio.sleep(3.0)
        begun = time.monotonic()
        worker = sorted(deployment.workers)[0]
        if trouble:
            await refuse_starts(deployment, worker, True)
            asyncio.get_running_loop().call_later(REFUSES_S, asyncio.ensure_future, refuse_starts(deployment, worker, False))
        accepted_at = {}
        await asyncio.gather(*(hand_in(deployment, accepted_at) for _ in range(JOBS)))
        if len(accepted_at) < JOBS:
            raise harness.CannotRun(f"only {len(accepted_at)} of {JOBS} jobs were accepted")
        while time.monotonic() < begun + ASK_UNTIL_S:
            await asyncio.sleep(ASK_GAP_S)
            for manager in range(deployment.manager_count):
                owed_before = set(jobs_owed(deployment, accepted_at, time.monotonic()))
                status, body = await deployment.send("GET", "/desk/", manager=manager)
                await asyncio.sleep(0.02)
                # Jobs that begin while the call is on its way don't count.
                owed = len(owed_before & set(jobs_owed(deployment, accepted_at, time.monotonic())))
                if status != 200 or not owed:
                    continue
                asked += 1
                pending = json.loads(body)["pending"]
                is_wrong = 2 * pending < owed
                wrong += is_wrong
                deployment.record("MIXED" if is_wrong else "pending", manager=manager, pending=pending, not_begun=owed)
        print(f"jobs={len(accepted_at)} asked={asked} wrong={wrong}")
        return wrong > 0
    finally:
        deployment.close()


harness.run_case(case)
