"""Stand-in of the platform: the store, the machines, the workers and the advice service, in one process.

It follows PROTOCOL.md. Every start, end, acknowledgement and order is written to `events`, which the scripts check.
"""
import asyncio
import base64
import itertools
import json
import struct
import time

from http_server import Server

STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.02
GANG_WAIT_S = 3.0
MOVE_S = 1.5
UPKEEP_S = 2.0
MAX_ITEMS = 500
MAX_ENDS = 500
RECORD_BYTES = 262144


def wall_ms():
    return int(time.time() * 1000)


class Partition:
    def __init__(self):
        self.records = []
        self.keys = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def append(self, payloads, keyed):
        offset = len(self.records)
        for payload in payloads:
            if keyed:
                length = payload[0]
                key, value = payload[1:1 + length].decode(), payload[1 + length:]
                if value:
                    self.keys[key] = (value, len(self.records))
                else:
                    self.keys.pop(key, None)
            self.records.append(payload)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return offset


class Store:
    def __init__(self):
        self.partitions = {}
        # None, "silent" (no answer, nothing done), "busy" (503); may also be a function of the request.
        self.fault = None

    def partition(self, topic, part="0"):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        payload = bytes([len(key)]) + key.encode() + (json.dumps(value).encode() if value is not None else b"")
        self.partition(topic).append([payload], True)

    async def handle(self, request):
        fault = self.fault(request) if callable(self.fault) else self.fault
        if fault == "silent":
            await asyncio.sleep(30)
            return None
        if fault == "busy":
            return 503, {}
        await asyncio.sleep(STORE_ANSWER_S)
        topic, part = request.query.get("topic", ""), request.query.get("part", "0")
        partition = self.partition(topic, part)
        if request.path == "/-/log-append":
            return self._append(partition, topic, request)
        if request.path == "/-/log-read":
            return await self._read(partition, request)
        if request.path == "/-/log-newest":
            return self._newest(partition, request)
        return 404, {}

    def _append(self, partition, topic, request):
        payloads, body = [], request.body
        while body:
            length = struct.unpack(">I", body[:4])[0]
            if length > RECORD_BYTES:
                return 400, {}
            payloads.append(body[4:4 + length])
            body = body[4 + length:]
        query = request.query
        producer = None
        if "producer" in query:
            producer = partition.producers.setdefault(query["producer"], {"epoch": -1, "seq": None, "answers": {}})
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch == producer["epoch"]:
                if seq in producer["answers"]:
                    return producer["answers"][seq]
                if producer["seq"] is not None and seq != producer["seq"] + 1:
                    return 409, {"reason": "seq", "seq": producer["seq"] + 1}
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end": len(partition.records)}
        offset = partition.append(payloads, topic.startswith("keyed."))
        answer = 200, {"offset": offset, "end": len(partition.records)}
        if producer is not None:
            if epoch > producer["epoch"]:
                producer.update(epoch=epoch, answers={})
            producer["seq"] = seq
            producer["answers"][seq] = answer
            while len(producer["answers"]) > 5:
                producer["answers"].pop(next(iter(producer["answers"])))
        return answer

    async def _read(self, partition, request):
        start = int(request.query["from"])
        deadline = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while len(partition.records) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(partition.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", len(partition.records), 0)
        for payload in partition.records[start:start + 2000]:
            out += struct.pack(">I", len(payload)) + payload
            if len(out) > 1 << 20:
                break
        return 200, out

    def _newest(self, partition, request):
        after = request.query.get("after", "")
        keys = [key for key in sorted(partition.keys) if key > after]
        items = [{"key": key, "value": base64.b64encode(partition.keys[key][0]).decode(), "offset": partition.keys[key][1]}
                 for key in keys[:MAX_ITEMS]]
        return 200, {"items": items, "truncated": len(keys) > MAX_ITEMS, "end": len(partition.records)}


class Run:
    def __init__(self, task, number, body):
        self.task, self.number, self.body = task, number, body
        self.saved = body.get("last_checkpoint", "")
        self.present = time.monotonic()
        self.timer = None
        self.stopping = False


class Worker:
    """One life of a worker. `machine` outlives it."""

    def __init__(self, platform, worker_id, machine):
        self.platform, self.id, self.machine = platform, worker_id, machine
        self.born = wall_ms()
        self.started = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = []
        # Ends whose lease lapsed before they were acknowledged: they count as never taken note of.
        self.lapsed_ends = set()
        self.numbers = itertools.count(1)
        self.highest = {}
        self.changed = asyncio.Event()
        self.state = "ready"
        self.alive = True
        # Called with (worker, request, body) before a request is handled; returns "drop" (no answer, not done), "late:SECONDS"
        # (no answer, done later), "lose" (done, no answer) or (status, body).
        self.fault = None

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def used(self):
        total = [0, 0]
        for run in self.runs.values():
            step = self.platform.step_of(run.task)
            total[0] += 0 if step.get("fills") else step.get("cpu", 0)
            total[1] += step.get("mem_mb", 0)
        return total

    def answer(self, **fields):
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def extend(self, until_ms):
        self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def handle(self, request):
        if not self.alive:
            return None
        if request.path == "/health":
            return 200, {}
        if request.headers.get("x-jujubespool-expect-instance", self.id) != self.id:
            return 421, {}
        body = request.json()
        fault = self.fault(self, request, body) if self.fault else None
        if fault == "drop":
            await asyncio.sleep(30)
            return None
        if isinstance(fault, str) and fault.startswith("late:"):
            await asyncio.sleep(float(fault[5:]))
            if self.alive:
                self._carry_out(request, body)
            await asyncio.sleep(30)
            return None
        if isinstance(fault, tuple):
            return fault
        if request.path == "/-/hold":
            return await self._hold(body)
        answer = self._carry_out(request, body)
        if fault == "lose":
            await asyncio.sleep(30)
            return None
        return answer

    def _carry_out(self, request, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = token
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/pace":
            return 200, self.answer()
        return 404, {}

    def _start(self, body):
        task, number, until_ms = body["task"], body["run"], body["until_ms"]
        if until_ms <= self.clock_ms():
            return 409, self.answer(reason="late")
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.extend(until_ms)
            return 200, self.answer()
        if number <= self.highest.get(task, 0) or run is not None:
            self.extend(until_ms)
            return 409, self.answer(reason="old")
        problem = self.platform.check_ticket(self, body)
        if problem:
            return 409, self.answer(reason="ticket")
        step = self.platform.step_of(task)
        used, capacity = self.used(), self.machine.capacity
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        over = used[0] + cpu > capacity["cpu"] or used[1] + step.get("mem_mb", 0) > capacity["mem_mb"]
        if over and self.machine.guards:
            self.extend(until_ms)
            return 409, self.answer(reason="room")
        self.extend(until_ms)
        run = Run(task, number, body)
        self.runs[task] = run
        self.platform.log("start", worker=self.id, born=self.born, task=task, run=number, spec=body.get("spec"), over=over,
                          checkpoint=body.get("last_checkpoint", ""), token=body["fencing_token"], pool=self.machine.pool, guards=self.machine.guards)
        self.platform.begin(self, run)
        return 200, self.answer()

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, lambda: self.end(run, "stopped"))
        return 200, self.answer()

    async def _hold(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = token
        if "until_ms" in body:
            self.extend(body["until_ms"])
        acknowledged = body.get("ack_index", 0)
        self.check_lease()
        for row in self.ended:
            if row[0] <= acknowledged and row[0] not in self.lapsed_ends:
                self.platform.log("taken", worker=self.id, task=row[1], run=row[2], how=row[3])
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if not self.alive:
            return None
        for run in self.runs.values():
            self.platform.save(run)
        running = [[run.task, run.number, run.saved, self.platform.percent(run), 0] for run in self.runs.values()]
        return 200, self.answer(running=running, finished=self.ended[:MAX_ENDS])

    def end(self, run, how):
        if not self.alive or self.runs.get(run.task) is not run:
            return
        if how == "stopped":
            self.platform.save(run)
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([next(self.numbers), run.task, run.number, how, run.saved])
        self.platform.log("end", worker=self.id, task=run.task, run=run.number, how=how)
        self.notify()
        self.platform.ended(self, run, how)

    def check_lease(self):
        if self.alive and self.clock_ms() > self.lease_ms:
            self.lapsed_ends.update(row[0] for row in self.ended)
            for run in list(self.runs.values()):
                self.end(run, "lapsed")


class Machine:
    def __init__(self, name, pool, zone, capacity, labels, guards):
        self.name, self.pool, self.zone = name, pool, zone
        self.capacity, self.labels, self.guards = capacity, labels, guards
        self.state = "up"
        self.worker = None
        self.fence = 0
        self.server = None
        self.port = 0
        self.done_waves = set()


class Platform:
    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.events = []
        self.began = time.monotonic()
        self.store = Store()
        self.machines = {}
        # By job: the submitted body, for the sizes of tasks.
        self.jobs = {}
        self.workers_made = itertools.count(1)
        self.checkpoints = itertools.count(1)
        # By step: how its runs end; see work_of().
        self.tickets = {}
        self.advice = None
        self.advice_queues = {}
        # Connections that a worker serves at a time; None for any number.
        self.max_connections = None
        # Whether the advice service skips waiting calls whose callers have closed the connection. The pages don't say.
        self.advice_drops_left_callers = False
        self.gangs = {}
        # By task: the checkpoints that its runs, or those of its gang, have produced.
        self.saved = {}
        self.cloud_fault = None
        self.cloud_port = self.store_port = self.advice_port = 0

    def log(self, event, **fields):
        self.events.append({"t": round(time.monotonic() - self.began, 3), "wall_ms": wall_ms(), "event": event, **fields})

    # Tasks

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_of(self, run):
        """The seconds of work and how it ends, from a spec such as {"ms": 800, "fails": 1}: the first runs fail."""
        spec = json.loads(run.body["spec"] or "{}")
        return spec.get("ms", 500) / 1000, "failed" if run.number <= spec.get("fails", 0) else "done"

    def save(self, run):
        """A new checkpoint of a task that saves its progress; the same for all members of a gang."""
        step = self.step_of(run.task)
        if not step.get("saves_progress"):
            return
        if step.get("gang"):
            value = f"{run.task.rsplit('.', 1)[0]}-{run.number}-{int((time.monotonic() - run.present) * 2)}"
            tasks = [f"{run.task.rsplit('.', 1)[0]}.{index}" for index in range(step["count"])]
        else:
            value, tasks = f"{next(self.checkpoints):016x}", [run.task]
        run.saved = value
        for task in tasks:
            self.saved.setdefault(task, set()).add(value)

    def percent(self, run):
        return 100

    def begin(self, worker, run):
        step = self.step_of(run.task)
        loop = asyncio.get_running_loop()
        if step.get("long_running"):
            return
        seconds, how = self.work_of(run)
        if not step.get("gang"):
            run.timer = loop.call_later(seconds, lambda: worker.end(run, how))
            return
        gang = self.gangs.setdefault((run.task.rsplit(".", 1)[0], run.number), {})
        gang[run.task] = (worker, run)
        if len(gang) == step["count"]:
            for member, member_run in gang.values():
                if member_run.timer is not None:
                    member_run.timer.cancel()
                member_run.timer = loop.call_later(seconds, lambda m=member, r=member_run: m.end(r, how))
        else:
            run.timer = loop.call_later(GANG_WAIT_S, lambda: worker.end(run, "alone"))

    def ended(self, worker, run, how):
        gang = self.gangs.get((run.task.rsplit(".", 1)[0], run.number))
        if gang is None or run.task not in gang:
            return
        complete = len(gang) == self.step_of(run.task)["count"]
        gang.pop(run.task)
        if how == "done":
            for member, member_run in list(gang.values()):
                member.end(member_run, "done")
        elif complete and how != "alone":
            for member, member_run in list(gang.values()):
                member.end(member_run, "broken")

    # Machines

    async def add_machine(self, name, pool, zone="z1", cpu=32000, mem_mb=65536, labels=("a", "r1"), guards=True):
        machine = Machine(name, pool, zone, {"cpu": cpu, "mem_mb": mem_mb, "gpus": 0}, list(labels), guards)
        self.machines[name] = machine
        await self.start_worker(machine)
        return machine

    async def start_worker(self, machine, keep_id=False):
        worker_id = machine.worker.id if keep_id and machine.worker else f"w-{next(self.workers_made)}"
        machine.worker = Worker(self, worker_id, machine)
        machine.server = Server(machine.worker.handle, self.max_connections)
        machine.port = await machine.server.listen(self.host, machine.port)
        machine.state = "up"
        asyncio.get_running_loop().create_task(self._heartbeats(machine.worker))

    async def stop_worker(self, machine, state="down", listed=False):
        worker = machine.worker
        worker.alive = False
        machine.state = state
        for run in worker.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self.log("lost", worker=worker.id, task=run.task, run=run.number)
            self.gone_from_gang(run)
        await machine.server.close()
        if not listed:
            self.store.put("keyed.servers", worker.id, None)

    def gone_from_gang(self, run):
        gang = self.gangs.get((run.task.rsplit(".", 1)[0], run.number))
        if gang is not None and gang.pop(run.task, None):
            for member, member_run in list(gang.values()):
                asyncio.get_running_loop().call_soon(member.end, member_run, "broken")

    async def _heartbeats(self, worker):
        for seq in itertools.count(1):
            if not worker.alive:
                return
            machine = worker.machine
            self.store.put("keyed.servers", worker.id, {
                "service": machine.pool, "address": f"{self.host}:{machine.port}", "zone": machine.zone, "version": "v1", "slots": 8,
                "state": worker.state, "cold_remaining_ms": 0, "capacity": machine.capacity, "labels": machine.labels,
                "clock_ms": worker.clock_ms(), "seq": seq, "born": worker.born})
            await asyncio.sleep(HEARTBEAT_S)

    async def _check_leases(self):
        while True:
            for machine in self.machines.values():
                machine.worker.check_lease()
            await asyncio.sleep(0.01)

    async def handle_cloud(self, request):
        if self.cloud_fault == "silent":
            await asyncio.sleep(30)
            return None
        if request.path == "/-/machines":
            rows = [{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.capacity,
                     "id": m.worker.id if m.state == "up" else ""} for m in self.machines.values()]
            return 200, {"machines": rows, "next_page_token": None}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        token = int(request.headers.get("x-jujubespool-fencing-token", "0"))
        if token < machine.fence:
            return 409, {"reason": "fence"}
        machine.fence = token
        upkeep = request.path == "/-/machine-upkeep"
        done = body["wave"] in machine.done_waves if upkeep else machine.pool == body["pool"]
        if done:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        self.log("upkeep" if upkeep else "move", machine=machine.name, token=token, holder=request.headers.get("x-jujubespool-lease-holder"))
        await self.stop_worker(machine, "upkeep" if upkeep else "moving")
        if upkeep:
            machine.done_waves.add(body["wave"])
        else:
            machine.pool = body["pool"]
        asyncio.get_running_loop().call_later(UPKEEP_S if upkeep else MOVE_S,
                                              lambda: asyncio.get_running_loop().create_task(self.start_worker(machine)))
        return 200, {}

    # Advice

    def check_ticket(self, worker, body):
        """Whether the start lacks a valid ticket. Queues without advice need none."""
        if self.advice is None:
            return False
        step = body["task"].rsplit(".", 1)[0]
        valid_until = self.tickets.get((step, worker.id, worker.born, body.get("ticket")))
        return valid_until is None or time.monotonic() > valid_until

    async def handle_advice(self, request):
        """One call at a time for each calling machine, in turn; 429 with 32 waiting."""
        body = request.json()
        queue = self.advice_queues.setdefault(request.peer[0], {"lock": asyncio.Lock(), "waiting": 0})
        if queue["waiting"] >= 32:
            self.log("advice-full")
            return 429, {}
        queue["waiting"] += 1
        arrived = time.monotonic()
        async with queue["lock"]:
            queue["waiting"] -= 1
            if self.advice_drops_left_callers and request.caller_left():
                return None
            seconds = (self.advice["decision_ms"] + self.advice["per_item_ms"] * len(body["workers"])) / 1000
            await asyncio.sleep(seconds)
        good = []
        for worker_id in body["workers"]:
            worker = next((m.worker for m in self.machines.values() if m.worker.id == worker_id), None)
            if worker is not None:
                ticket = f"t-{len(self.tickets)}"
                self.tickets[(body["step"], worker.id, worker.born, ticket)] = time.monotonic() + self.advice["validity_ms"] / 1000
                good.append([worker_id, ticket])
        self.log("advice", step=body["step"], workers=len(body["workers"]), left=request.caller_left(), waited_s=round(time.monotonic() - arrived, 3))
        return 200, {"good": good, "validity_ms": self.advice["validity_ms"]}

    async def start(self):
        self.store_port = await Server(self.store.handle).listen(self.host)
        self.cloud_port = await Server(self.handle_cloud).listen(self.host)
        self.advice_port = await Server(self.handle_advice).listen(self.host)
        asyncio.get_running_loop().create_task(self._check_leases())
