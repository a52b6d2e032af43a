"""A manager's registration is carried out late, when the manager has started again and owns the jobs."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import harness  # noqa: E402

MANAGERS = 9
WORKERS = 7
CAPACITY = (64000, 131072)
TASK = {"cpu": 3500, "mem_mb": 5100}
TASK_MS = 800
SUBMIT_GAP_S = 0.3
TRAFFIC_S = 40.0
FINISH_S = 14.0
# Times from the start of the traffic.
FIRST_KILL_S = 6.0
SECOND_KILL_AFTER_S = 1.2
OWNER_KILL_AFTER_S = 2.5
OWNER_DOWN_S = 2.0
RESTART_S = 0.2
LATE_S = 5.5
# A client asks again, at another manager, after an answer other than 200 or 410.
ASK_RETRIES = 4
RETRY_DELAY_S = 0.5


async def disturb(deployment):
    await asyncio.sleep(FIRST_KILL_S)
    owner = deployment.owner()
    other = (owner + 1) % MANAGERS
    begun = time.monotonic()
    deployment.store.late_writes["keyed.members", f"frontend-{other}"] = LATE_S
    deployment.record("store-carries-out-one-write-late", key=f"members/frontend-{other}", seconds=LATE_S)
    deployment.kill_manager(other)
    await asyncio.sleep(RESTART_S)
    deployment.start_manager(other)
    await asyncio.sleep(begun + SECOND_KILL_AFTER_S - time.monotonic())
    deployment.kill_manager(other)
    await asyncio.sleep(RESTART_S)
    deployment.start_manager(other)
    await asyncio.sleep(begun + OWNER_KILL_AFTER_S - time.monotonic())
    deployment.kill_manager(owner)
    await asyncio.sleep(OWNER_DOWN_S)
    deployment.start_manager(owner)


async def ask(deployment, job):
    """Asks for a job like a client, with retries at other managers. Returns its state, or None if no manager gave an answer."""
    order = deployment.random.sample(range(MANAGERS), 1 + ASK_RETRIES)
    for manager in order:
        status, body = await deployment.send("GET", f"/desk/{job}", manager=manager)
        deployment.record("state", job=job, manager=manager, status=status, body=body.decode(errors="replace"))
        if status in (200, 410):
            return status
        await asyncio.sleep(RETRY_DELAY_S)
    return None


async def case(trouble):
    deployment = harness.Deployment(FOLDER, managers=MANAGERS)
    deployment.needs = {"*": (TASK["cpu"], TASK["mem_mb"])}
    try:
        await deployment.start(workers=WORKERS, capacity=CAPACITY)
        await asyncio.sleep(3.0)
        begun = time.monotonic()
        disturbance = asyncio.create_task(disturb(deployment)) if trouble else None
        submits = []
        while time.monotonic() < begun + TRAFFIC_S:
            steps = [{"count": 6, **TASK, "estimated_ms": TASK_MS}]
            submits.append(asyncio.create_task(deployment.submit(f"ms={TASK_MS}", steps)))
            await asyncio.sleep(SUBMIT_GAP_S)
        if disturbance is not None:
            await disturbance
        deployment.record("traffic-ended", owner=deployment.owner())
        answers = await asyncio.gather(*submits)
        jobs = [job for job, accepted in answers if accepted]
        await asyncio.sleep(max(0.0, begun + TRAFFIC_S + FINISH_S - time.monotonic()))
        states = await asyncio.gather(*(ask(deployment, job) for job in jobs))
        lost = [job for job, state in zip(jobs, states) if state is None]
        unknown = [job for job, state in zip(jobs, states) if state == 410]
        for job in lost + unknown:
            deployment.record("LOST", job=job, how="no-answer" if job in lost else "not-known")
        serving = [(await deployment.send("GET", "/desk/", manager=number))[0] == 200 for number in range(MANAGERS)]
        print(f"accepted={len(jobs)} not_accepted={len(answers) - len(jobs)} no_answer={len(lost)} unknown={len(unknown)} "
              f"managers_that_serve={sum(serving)} of {MANAGERS}")
        return bool(lost or unknown)
    finally:
        deployment.close()


harness.run_case(case)
