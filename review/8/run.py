"""LOST: after a wave that cannot be carried out, an accepted job has nothing running although its pool is nearly empty."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from platform_kit import Deployment, main, new_id  # noqa: E402

POOL = ["m-%d" % number for number in range(4)]
SPARE = ["s-%d" % number for number in range(2)]
DEADLINE_S = 26
MAXIMUM = 4
# LOST: "for 3 s, a job has nothing running"; watched for longer, so that nothing is late only.
WATCH_S = 25


async def play(record, trouble):
    deployment = Deployment(record)
    fleet = deployment.fleet
    try:
        await deployment.start_platform()
        for number, name in enumerate(POOL + SPARE):
            await fleet.add_machine(name, "ferias" if name in POOL else "varios", Deployment.ZONES[number % 3],
                                    ["a" if name in POOL else "b", "r-%d" % (number // 4)], {"cpu": 32000, "mem_mb": 65536, "gpus": 0})
        route = {"host": "jobs.example", "priority": 0, "attempts": 3, "stretch": 1.6, "target_latency_ms": 600}
        deployment.configure(1, [dict(route, name="q", path_prefix="/q/", service="ferias"), dict(route, name="v", path_prefix="/v/", service="varios")],
                             [{"name": "ferias", "enforces_capacity": True}, {"name": "varios", "enforces_capacity": True}],
                             [{"name": "t", "api_keys": ["key-a"], "weight": 1}])
        for _ in range(3):
            deployment.add_manager().start()
        if not await deployment.wait_for(lambda: deployment.owner() is not None, 15):
            return 2
        await asyncio.sleep(2)
        # A job that serves: one task on each machine of the kind.
        lasting = {"spec": "lasts", "steps": [{"count": 4, "cpu": 6000, "mem_mb": 8000, "estimated_ms": 1000, "long_running": True,
                                               "anti_affinity": 1, "requirements": "a", "may_miss": 1}]}
        if not await deployment.submit(new_id(), lasting):
            return 2
        if not await deployment.wait_for(lambda: all(fleet.machines[name].worker.runs for name in POOL), 8):
            return 2
        if trouble:
            fleet.add_wave(1, POOL + SPARE, DEADLINE_S, MAXIMUM)
            record("wave", machines=",".join(POOL + SPARE), maximum=MAXIMUM, deadline_s=DEADLINE_S)
        await asyncio.sleep(DEADLINE_S + 4)
        identity = new_id()
        started = []
        fleet.on_run_start = lambda worker, run: started.append(run.task) if run.task.startswith(identity) else None
        if not await deployment.submit(identity, {"spec": "ms=500", "steps": [
                {"count": 1, "cpu": 6000, "mem_mb": 2000, "estimated_ms": 500, "requirements": "a"}]}):
            return 2
        record("accepted", job=identity)
        await deployment.wait_for(lambda: started, WATCH_S)
        for name in POOL:
            worker = fleet.machines[name].worker
            record("machine", name=name, state=fleet.machines[name].state, upkeeps=len(fleet.machines[name].waves_done),
                   runs=[run.task for run in worker.runs.values()] if worker else None,
                   cpu_used=sum(fleet.need_of(task)["cpu"] for task in worker.runs) if worker else None)
        await deployment.call(deployment.managers[0], "GET", "/q/" + identity)
        if not started:
            record("BROKEN", rule="LOST", job=identity, nothing_running_for_s=WATCH_S)
            return 1
        return 0
    finally:
        await deployment.stop()


main(FOLDER, play)
