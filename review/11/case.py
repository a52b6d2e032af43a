"""Jobs of a queue with advice: a burst, then the usual traffic, then none. Does every accepted job run?"""
import asyncio
import json
import os
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from fleet import BOUNDS, HOST_NAME, Fleet, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADVICE = {"decision_ms": 150, "per_item_ms": 15, "validity_ms": 3000}
WORKERS = 12
JOBS_PER_S = 2.0
# The burst of the small deployment: 2.6 times the traffic for 4 s.
BURST_X, BURST_AT_S, BURST_S = 2.6, 5.0, 4.0
TRAFFIC_S = 15.0
# LOST: how long a job may have nothing running although it could run.
IDLE_S = 3.0
# How long the jobs are watched after finish_s.
WATCH_S = 30.0
TASKS, TASK_CPU, TASK_MS = 4, 1000, 600


def running_tasks(platform):
    return {task for machine in platform.machines.values() for task in machine.worker.runs}


async def main():
    fleet = Fleet()
    platform = fleet.platform
    platform.advice = ADVICE
    platform.advice_drops_left_callers = os.environ.get("ADVICE_DROPS", "0") == "1"
    await platform.start()
    for number in range(WORKERS):
        await platform.add_machine(f"m-{number}", "svc-a", zone=f"z{1 + number % 3}", labels=("a", f"r{number % 3}"))
    fleet.configure([{"name": "q", "host": HOST_NAME, "path_prefix": "/q/", "service": "svc-a", "kind": "non_idempotent",
                      "attempts": 3, "stretch": 1.6, "priority": 0, "target_latency_ms": 600, "timeout_ms": 3000, "advice": ADVICE}],
                    [{"name": "svc-a", "enforces_capacity": True}],
                    [{"name": "t1", "api_keys": ["key-1"], "weight": 1, "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}])
    body = {"spec": json.dumps({"ms": TASK_MS}),
            "steps": [{"count": TASKS, "cpu": TASK_CPU, "mem_mb": 500, "estimated_ms": TASK_MS}]}
    broken = []
    try:
        await fleet.start_managers()
        began = time.monotonic()
        clients = []
        while time.monotonic() - began < TRAFFIC_S:
            in_burst = TROUBLE and BURST_AT_S <= time.monotonic() - began < BURST_AT_S + BURST_S
            clients.append(asyncio.create_task(fleet.submit("/q/", body)))
            await asyncio.sleep(1 / (JOBS_PER_S * (BURST_X if in_burst else 1)))
        await asyncio.gather(*clients)
        fleet.note("the traffic ends")
        await asyncio.sleep(BOUNDS["finish_s"])
        idle_since, states = {}, {}
        capacity = sum(machine.capacity["cpu"] for machine in platform.machines.values())
        watched_from = time.monotonic()
        while time.monotonic() - watched_from < WATCH_S:
            now = time.monotonic()
            for job in fleet.accepted:
                if states.get(job) != "completed":
                    states[job] = await fleet.state("/q/", job)
            running = running_tasks(platform)
            used = sum(machine.worker.used()[0] for machine in platform.machines.values())
            room = used < capacity / 2 and capacity - used >= 2 * TASKS * TASK_CPU
            for job, state in states.items():
                could_run = state != "completed" and room and not any(task.startswith(job) for task in running)
                idle_since[job] = idle_since.get(job, now) if could_run else now
            if all(state == "completed" for state in states.values()):
                break
            await asyncio.sleep(0.5)
        broken = [job for job, since in idle_since.items() if time.monotonic() - since > IDLE_S]
        advice = [event for event in platform.events if event["event"] == "advice"]
        fleet.note(f"states: {dict(Counter(states.values()))}; calls for advice: {len(advice)}, answered after the caller had left: "
                   f"{sum(event['left'] for event in advice)}; LOST: {len(broken)} jobs")
        print(platform.events[-1]["text"])
        for job in broken:
            fleet.note(f"LOST: job {job} was accepted, is {states[job]} and has had nothing running for "
                       f"{time.monotonic() - idle_since[job]:.1f} s, with room for it twice over")
    finally:
        await fleet.end(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(main)
