#!/usr/bin/env python3
"""Soak test: runs manager processes against the jobs stand-in, injects faults, and checks the guarantees to clients.

Usage: scripts/soak.py [--profile NAME] [--seed N] [--count N] [--regressions] [--seconds S] [--managers K] [--manager FILE] [--logs DIR]

The seed determines the order and kind of the faults: processes are killed, stopped, paused and restarted; links are
delayed, reset, blocked, or blocked in one direction by loopback proxies; the store and the workers fail. Meanwhile, clients
submit, query and cancel jobs on persistent connections. Afterwards all faults are cleared, and each guarantee is checked
against the responses that the clients got and the runs that the workers report. Prints one line per seed; the exit code
is 1 if a seed fails.

The profile "processes" harms mostly the managers. The profile "platform" has three data centres, jobs of many small tasks, and workers that
restart under their ids, before or after their data centre is cut off from the store, lose the answers to starts or carry starts out late; the
store carries writes out late. Whether a task ran twice is checked only by what the workers log: their starts, ends, acknowledged completions and
crashes.

The profile "evacuation" has three data centres as well. One is evacuated for most of the play while managers are killed, stopped and paused and
the store forgets its history; the workers there may start nothing meanwhile, and have to be used again afterwards.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
BINARIES = os.path.join(ROOT, "build")
POOLS = {"front": 4, "back": 4}
SPARE_POOL = "spare"
SPARE_HOSTS = 2
ZONES = "abc"
MANAGERS = {"processes": 4, "platform": 6, "evacuation": 6}
EVACUATED_ZONE = "a"
# Time from the acknowledgement of an evacuation until no start arrives there any more.
EVACUATION_BOUND_S = 5.0
LOAD_AFTER_EVACUATION_S = 6.0
KEY = "soak-key"
HOST = "jobs.example"
CALL_TIMEOUT_S = 5.0
# A manager abandons a call after 2.6 s; the remainder allows for a loaded machine.
MAX_RESPONSE_TIME_S = 4.0
COMPLETION_TIMEOUT_S = 30.0
# For this long after a job was accepted, some managers may not have it yet.
VISIBILITY_DELAY_S = 3.0
CLIENT_COUNT = 4
ALWAYS_FAILS_COUNT = 99
# Faults that happen at the moment at which they are set; the others last until they are set again.
ONCE_FAULTS = ("crash_worker", "down_ms", "keep_id", "compact")
# More workers than the test has.
NEVER = 1000000


def loopback_address(number):
    """Returns a loopback address that no other process uses, so that a port found free stays free until it is bound."""
    process_id = os.getpid()
    return f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}.{1 + number}"


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Proxy:
    """Forwards connections to a target, and injects the fault that its mode names."""

    def __init__(self, target):
        self.target = target
        self.mode = "none"
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        try:
            await self.connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The target is unreachable, or the soak test has ended.
            writer.transport.abort()

    async def connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, True), self.forward(target_reader, writer, False))
        self.writers -= {writer, target_writer}

    async def forward(self, reader, writer, to_target):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and not to_target):
                    await asyncio.sleep(0.02)
                if self.mode == "slow":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()


class Manager:
    """A manager process, with a proxy for its clients and one for its connections to the platform."""

    def __init__(self, number, platform, directory, relay_from, zone, binary):
        self.name = f"manager-{number}"
        self.zone = zone
        self.binary = binary
        self.relay_from = relay_from
        self.ip = loopback_address(number)
        self.port, self.peer_port, self.ready_port = (free_port(self.ip) for _ in range(3))
        self.platform_proxy = Proxy(platform)
        self.client_proxy = Proxy("%s:%d" % (self.ip, self.port))
        self.settings = os.path.join(directory, self.name + ".json")
        self.log_path = os.path.join(directory, self.name + ".log")
        self.process = None
        self.paused = False
        self.expected_exit = False

    async def start(self):
        await self.platform_proxy.start()
        await self.client_proxy.start()
        body = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "listen_addrs": {"frontend": "%s:%d" % (self.ip, self.port), "ready": "%s:%d" % (self.ip, self.ready_port)},
            "internal_port_range": [self.peer_port, self.peer_port],
            "platform": {"address": self.platform_proxy.address}, "cloud": {"address": self.platform_proxy.address, "duty_per_s": 64},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000}, "bounds": {"max_hold_ms": 6000, "migrate_s": 0.7, "maintenance_s": 0.7},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(body, file)
        self.launch()

    def launch(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([self.binary, "manager", "--metrics-port=0",
                                             f"--relay-from={self.relay_from}"],
                                            env={**os.environ, "JUJUBESPOOL_SETTINGS": self.settings}, stdout=log, stderr=log)
        self.paused = False
        self.expected_exit = False

    def is_alive(self):
        return self.process.poll() is None

    def send_signal(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    def kill(self):
        self.expected_exit = True
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_healthy(self):
        return self.is_alive() and not self.paused and not self.expected_exit and self.client_proxy.mode == "none"


class Client:
    """An HTTP client that keeps its connections open."""

    def __init__(self):
        self.connections = {}

    async def send(self, address, method, path, body=b"", timeout=CALL_TIMEOUT_S):
        try:
            return await asyncio.wait_for(self.send_request(address, method, path, body), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError, IndexError):
            entry = self.connections.pop(address, None)
            if entry:
                entry[1].close()
            return None, b""

    def close(self):
        for _, writer in self.connections.values():
            writer.close()

    async def send_request(self, address, method, path, body):
        if address not in self.connections:
            host, port = address.split(":")
            self.connections[address] = await asyncio.open_connection(host, int(port))
        reader, writer = self.connections[address]
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        length, closes_connection = 0, False
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, value = line.decode().split(":", 1)
            length = int(value) if name.lower() == "content-length" else length
            closes_connection = closes_connection or (name.lower() == "connection" and value.strip() == "close")
        response = await reader.readexactly(length)
        if closes_connection:
            self.connections.pop(address)[1].close()
        return status, response


class Job:
    def __init__(self, identity, queue, steps):
        self.path = f"/{queue}/{identity}"
        self.tasks = [f"{identity}.0.{number}.{index}" for number, step in enumerate(steps) for index in range(step["count"])]
        self.steps = steps
        self.accepted = False
        self.accepted_at = None
        # Each attempt to submit the job was definitely rejected, so none of its tasks may run.
        self.rejected = True
        self.cancelled = False
        self.cancel_sent = False
        self.completed = False
        # Each run of its tasks fails, so the job has to end as failed.
        self.always_fails = False


class SoakTest:
    def __init__(self, seed, options, directory):
        self.random = random.Random(seed)
        self.seconds = options.seconds
        self.directory = directory
        self.profile = options.profile
        self.binary = os.path.abspath(options.manager)
        self.manager_count = options.managers or MANAGERS[options.profile]
        self.zones = ZONES[:1] if options.profile == "processes" else ZONES
        self.evacuated_from = self.evacuated_until = None
        self.events = os.path.join(directory, "workers.jsonl")
        self.lasting_faults = {}
        # With an odd seed, the other managers send the owner's orders to the workers.
        self.relay_from = 1 if seed % 2 == 1 else NEVER
        self.jobs = []
        self.problems = []
        self.fault_count = 0
        self.version = 0
        self.stopping = False

    async def run(self):
        options = [f"--pool={name}:{count}" for name, count in {**POOLS, SPARE_POOL: SPARE_HOSTS}.items()]
        options += [f"--zones={len(self.zones)}", f"--events={self.events}"]
        self.platform = subprocess.Popen([os.path.join(BINARIES, "standin_jobs"), *options], stdout=subprocess.PIPE, text=True)
        self.address = self.platform.stdout.readline().strip()
        self.managers = [Manager(i, self.address, self.directory, self.relay_from, self.zones[i % len(self.zones)], self.binary)
                         for i in range(self.manager_count)]
        try:
            await self.publish_config()
            for manager in self.managers:
                await manager.start()
            await asyncio.sleep(2.5)
            tasks = [asyncio.create_task(self.run_client()) for _ in range(CLIENT_COUNT)]
            await self.inject_faults()
            await self.clear_faults()
            if self.profile == "evacuation":
                await self.evacuate(False)
                # New jobs show whether the data centre is used again.
                await asyncio.sleep(LOAD_AFTER_EVACUATION_S)
            self.stopping = True
            await asyncio.gather(*tasks)
            await self.wait_for_jobs()
            await self.check_guarantees()
        finally:
            for process in [self.platform] + [manager.process for manager in self.managers if manager.process]:
                process.kill()
                process.wait()
        return self.problems

    async def publish_config(self):
        self.version += self.random.randint(1, 3)
        queues = [{"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": name, "priority": 0, "attempts": 4,
                   "stretch": 2, "target_latency_ms": 600} for name in POOLS]
        services = [{"name": name, "enforces_capacity": True} for name in POOLS] + [{"name": SPARE_POOL, "standby": True}]
        config = {"version": self.version, "routes": queues, "services": services,
                  "tenants": [{"name": "team", "weight": 1, "api_keys": [KEY]}], "limits": {"max_body_bytes": 262144}}
        await self.call_standin("POST", "/operator/config", json.dumps(config).encode())

    async def call_standin(self, method, path, body=b""):
        """Sends a request to the stand-in itself, each on a new connection."""
        client = Client()
        response = await client.send(self.address, method, path, body)
        client.close()
        return response

    async def set_faults(self, **faults):
        if self.profile == "platform":
            # Faults overlap, so each call repeats those that last.
            self.lasting_faults.update({name: value for name, value in faults.items() if name not in ONCE_FAULTS})
            faults = {**self.lasting_faults, **faults}
        await self.call_standin("POST", "/faults", json.dumps(faults).encode())

    # --- client requests ---

    async def run_client(self):
        client = Client()
        while not self.stopping:
            choice = self.random.random()
            if choice < 0.55 or not self.jobs:
                await self.submit(client)
            elif choice < 0.9:
                await self.query(client, self.random.choice(self.jobs))
            else:
                await self.cancel(client, self.random.choice(self.jobs))
            await asyncio.sleep(self.random.uniform(0.02, 0.15))

    async def send_and_check_time(self, client, method, path, body=b""):
        manager = self.random.choice(self.managers)
        healthy, started_at = manager.is_healthy(), time.monotonic()
        process = manager.process
        status, response = await client.send(manager.client_proxy.address, method, path, body)
        elapsed = time.monotonic() - started_at
        if status is None and elapsed >= MAX_RESPONSE_TIME_S and healthy and manager.is_healthy() and manager.process is process:
            if not getattr(manager, "harmed_at", 0) > started_at:
                self.problems.append(f"no response within {elapsed:.1f} s from {manager.name}: {method} {path}")
        return status, response

    async def submit(self, client):
        identity = f"{self.random.getrandbits(64):016x}"
        steps = []
        for number in range(self.random.randint(1, 3)):
            step = self.small_step() if self.profile != "processes" else \
                {"count": self.random.randint(1, 6), "cpu": self.random.choice([500, 2000]), "mem_mb": 512, "estimated_ms": 200}
            if number:
                step["after"] = [number - 1]
            steps.append(step)
        job = Job(identity, self.random.choice(list(POOLS)), steps)
        self.jobs.append(job)
        job.always_fails = self.random.random() < 0.04
        fails = ALWAYS_FAILS_COUNT if job.always_fails else self.random.choice([0, 0, 0, 1])
        longest = 900
        if self.profile != "processes":
            longest = 300 if any(step["count"] > 100 for step in steps) else 5000 if len(steps) == 1 else 1500
        spec = f"ms={self.random.randint(50, longest)} fail={fails}"
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(4):
            status, _ = await self.send_and_check_time(client, "POST", job.path, body)
            if status == 200:
                job.accepted = True
                job.accepted_at = time.monotonic()
                job.rejected = False
                return
            if status not in (429, 503):
                job.rejected = False
            await asyncio.sleep(self.random.uniform(0.1, 0.6))

    def small_step(self):
        return {"count": self.random.choice([1, 4, 20, 20, 400]), "cpu": 30, "mem_mb": 50, "estimated_ms": 200}

    async def query(self, client, job):
        visible = job.accepted_at is not None and time.monotonic() - job.accepted_at > VISIBILITY_DELAY_S
        cancel_sent = job.cancel_sent
        status, response = await self.send_and_check_time(client, "GET", job.path)
        state = json.loads(response).get("state") if status == 200 else None
        if visible and status == 410:
            self.problems.append(f"accepted job is reported as unknown: {job.path}")
        if (state == "failed" and not job.always_fails) or (state == "cancelled" and not (cancel_sent or job.cancel_sent)):
            self.problems.append(f"{job.path} is reported as {state} without a reason")
        job.completed = job.completed or state == "completed"
        if state == "completed" and self.profile == "processes":
            report = await self.report()
            missing = [task for task in job.tasks if task not in report["done"]]
            if missing:
                self.problems.append(f"{job.path} is reported as completed, but task {missing[0]} is not done")
        return state

    async def cancel(self, client, job):
        job.cancel_sent = True
        status, _ = await self.send_and_check_time(client, "DELETE", job.path)
        job.cancelled = job.cancelled or status == 200

    # --- faults ---

    async def inject_faults(self):
        end = time.monotonic() + self.seconds
        actions = [self.kill, self.terminate, self.pause, self.break_store, self.break_platform_link, self.break_client_link,
                   self.crash_random_worker, self.delay_starts, self.compact_topic, self.change_config, self.send_sighup, self.kill_all]
        weights = [3, 3, 3, 3, 4, 2, 3, 1, 1, 1, 1, 0.4]
        if self.profile == "platform":
            actions = [self.restart_worker, self.cut_zone, self.cut_zone_and_restart, self.break_store, self.lose_starts, self.delay_starts,
                       self.kill, self.pause, self.terminate, self.break_platform_link]
            weights = [6, 3, 5, 4, 2, 2, 1, 1, 1, 1]
        if self.profile == "evacuation":
            actions = [self.kill, self.terminate, self.pause, self.kill_all, self.compact_topic]
            weights = [3, 2, 3, 0.4, 2]
            await self.evacuate(True)
        running = []
        while time.monotonic() < end:
            action = self.random.choices(actions, weights)[0]
            self.fault_count += 1
            running.append(asyncio.create_task(action(self.random.choice(self.managers), self.random.uniform(0.3, 3.5))))
            # Short intervals make faults follow each other closely and overlap.
            await asyncio.sleep(self.random.choice([0.05, 0.3, 0.8, 1.6]))
        await asyncio.gather(*running)

    async def evacuate(self, wanted):
        if not wanted:
            self.evacuated_until = time.time()
        await self.call_standin("POST", f"/operator/evacuate/{EVACUATED_ZONE}", b"{}" if wanted else b"")
        if wanted:
            self.evacuated_from = time.time()

    async def kill(self, manager, seconds):
        manager.harmed_at = time.monotonic()
        manager.kill()
        await asyncio.sleep(seconds / 3)
        if not manager.is_alive():
            manager.launch()

    async def kill_all(self, _, seconds):
        await asyncio.gather(*(self.kill(manager, seconds) for manager in self.managers))

    async def terminate(self, manager, _):
        if manager.paused or manager.expected_exit:
            return
        manager.harmed_at = time.monotonic()
        manager.expected_exit = True
        process = manager.process
        manager.send_signal(signal.SIGTERM)
        for _ in range(60):
            await asyncio.sleep(0.1)
            if process.poll() is not None:
                break
        if process.poll() is None:
            if not manager.paused:
                self.problems.append(f"{manager.name} did not stop within 6 s of SIGTERM")
            process.kill()
            process.wait()
        if manager.process is process:
            manager.launch()

    async def pause(self, manager, seconds):
        process = manager.process
        manager.harmed_at = time.monotonic()
        manager.paused = True
        manager.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds * 1.5)
        if manager.process is process:
            manager.send_signal(signal.SIGCONT)
            manager.harmed_at = time.monotonic()
            manager.paused = False

    async def break_store(self, _, seconds):
        mode = self.random.choice(["rejects", "silent", "loses_answers", "slow"] + (["late", "late"] if self.profile == "platform" else []))
        await self.set_faults(store="none" if mode == "slow" else mode, slow_ms=200 if mode == "slow" else 0)
        await asyncio.sleep(seconds)
        await self.set_faults(store="none")

    async def break_platform_link(self, manager, seconds):
        manager.platform_proxy.set_mode(self.random.choice(["reset", "silent", "one_way", "slow"]))
        await asyncio.sleep(seconds)
        manager.platform_proxy.set_mode("none")

    async def break_client_link(self, manager, seconds):
        manager.harmed_at = time.monotonic()
        manager.client_proxy.set_mode(self.random.choice(["reset", "silent", "one_way", "slow"]))
        await asyncio.sleep(seconds / 2)
        manager.client_proxy.set_mode("none")
        manager.harmed_at = time.monotonic()

    async def crash_random_worker(self, _, seconds):
        await self.set_faults(crash_worker=self.random.randrange(sum(POOLS.values())), down_ms=int(seconds * 300))

    async def delay_starts(self, _, seconds):
        await self.set_faults(late_starts_ms=2500)
        await asyncio.sleep(seconds / 3)
        await self.set_faults(late_starts_ms=0)

    async def restart_worker(self, _, seconds):
        await self.set_faults(crash_worker=self.random.randrange(self.worker_count()), down_ms=int(seconds * 100), keep_id=True)

    def worker_count(self):
        return sum(POOLS.values()) + SPARE_HOSTS

    async def cut_zone(self, _, seconds, zone=None):
        """Cuts a data centre off from the store; its managers and workers reach each other and the others."""
        zone = zone or self.random.choice(self.zones)
        mode = self.random.choice(["reset", "silent"])
        await self.set_faults(cut_zone=zone)
        for manager in self.managers:
            if manager.zone == zone:
                manager.platform_proxy.set_mode(mode)
        await asyncio.sleep(seconds * 1.5)
        await self.set_faults(cut_zone="")
        for manager in self.managers:
            if manager.zone == zone:
                manager.platform_proxy.set_mode("none")

    async def cut_zone_and_restart(self, manager, seconds):
        zone = self.random.choice(self.zones)
        workers = [index for index in range(self.worker_count()) if self.zones[index % len(self.zones)] == zone]
        cut = asyncio.create_task(self.cut_zone(manager, seconds, zone))
        for _ in range(2):
            await self.set_faults(crash_worker=self.random.choice(workers), down_ms=int(seconds * 60), keep_id=True)
            await asyncio.sleep(seconds / 3)
        await cut

    async def lose_starts(self, _, seconds):
        await self.set_faults(lose_starts=True)
        await asyncio.sleep(seconds / 3)
        await self.set_faults(lose_starts=False)

    async def compact_topic(self, *_):
        await self.set_faults(compact=self.random.choice(["keyed.op", "keyed.servers"]))

    async def change_config(self, *_):
        await self.publish_config()

    async def send_sighup(self, manager, _):
        if not manager.paused:
            manager.send_signal(signal.SIGHUP)

    async def clear_faults(self):
        self.lasting_faults = {}
        await self.set_faults(store="none")
        for manager in self.managers:
            manager.platform_proxy.set_mode("none")
            manager.client_proxy.set_mode("none")
            if manager.is_alive():
                manager.send_signal(signal.SIGCONT)
                manager.paused = False
            else:
                if not manager.expected_exit:
                    self.problems.append(f"{manager.name} exited unexpectedly with code {manager.process.returncode}")
                manager.launch()

    # --- guarantees ---

    async def report(self):
        status, response = await self.call_standin("GET", "/report")
        return json.loads(response) if status == 200 else {"violations": ["no report received"], "starts": {}, "done": [], "running": []}

    async def wait_for_jobs(self):
        client = Client()
        end = time.monotonic() + COMPLETION_TIMEOUT_S
        remaining = [job for job in self.jobs if job.accepted and not job.cancel_sent]
        while remaining and time.monotonic() < end:
            remaining = [job for job in remaining if await self.query(client, job) != ("failed" if job.always_fails else "completed")]
            await asyncio.sleep(0.3)
        for job in remaining:
            self.problems.append(f"accepted job did not reach its expected end state: {job.path}")

    async def check_guarantees(self):
        report = await self.report()
        self.problems += report["violations"] if self.profile == "processes" else runs_that_overlap(self.events)
        if self.profile == "evacuation":
            self.problems += starts_in_evacuated_zone(self.events, self.evacuated_from + EVACUATION_BOUND_S, self.evacuated_until)
        done = set(report["done"])
        for job in self.jobs:
            if job.completed and not done.issuperset(job.tasks):
                self.problems.append(f"{job.path} was reported as completed, but a task of it is not done")
        running = {task.split(".")[0] for task in report["running"]}
        for job in self.jobs:
            identity = job.path.split("/")[-1]
            if job.rejected and any(task in report["starts"] for task in job.tasks):
                self.problems.append(f"job was rejected at each attempt, but has run: {job.path}")
            if job.cancelled and identity in running:
                self.problems.append(f"job was cancelled, but is running: {job.path}")


def starts_in_evacuated_zone(path, begin, end):
    """Returns the starts in the data centre between the two times of day, and a line if none came afterwards."""
    with open(path, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    starts = [event for event in events if event["event"] == "start" and event["zone"] == EVACUATED_ZONE]
    problems = [f"{event['task']} was started on {event['worker']} during the evacuation" for event in starts if begin < event["ms"] / 1000 < end]
    if not any(event["ms"] / 1000 > end for event in starts):
        problems.append("nothing was started in the data centre after its evacuation")
    return problems


def runs_that_overlap(path):
    """Returns the starts of a task while another worker ran it, or after its end `done` was acknowledged, by what the workers have logged."""
    running, acknowledged, problems = {}, set(), []
    with open(path, encoding="utf-8") as file:
        events = [json.loads(line) for line in file]
    for event in events:
        incarnation, task = (event["worker"], event["born"]), event["task"]
        if event["event"] == "crash":
            for others in running.values():
                others.pop(incarnation, None)
        elif event["event"] == "start":
            others = running.setdefault(task, {})
            if others:
                problems.append(f"two runs at once: {task} run {event['run']} on {event['worker']} while {others} at {event['ms']}")
            if task in acknowledged:
                problems.append(f"started after its end was noted: {task} run {event['run']} on {event['worker']} at {event['ms']}")
            others[incarnation] = event["run"]
        elif event["event"] == "end":
            running.get(task, {}).pop(incarnation, None)
        elif event["event"] == "acknowledged":
            acknowledged.add(task)
    return problems


async def run_seed(seed, options):
    logs = options.logs
    directory = os.path.join(logs, f"soak-{seed}") if logs else tempfile.mkdtemp(prefix="soak-")
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    soak = SoakTest(seed, options, directory)
    problems = await soak.run()
    accepted = sum(job.accepted for job in soak.jobs)
    completed = sum(job.completed for job in soak.jobs)
    lost = sum("accepted job" in problem for problem in problems)
    doubled = sum("two runs" in problem or "its end was noted" in problem for problem in problems)
    print(f"seed={seed} faults={soak.fault_count} jobs={len(soak.jobs)} accepted={accepted} completed={completed} lost={lost} "
          f"double_runs={doubled} problems={len(problems)}" + (f" logs={directory}" if problems else ""), flush=True)
    if not problems and not logs:
        shutil.rmtree(directory)
    for problem in problems[:10]:
        print(f"  {problem}", flush=True)
    return not problems


def regression_seeds():
    with open(os.path.join(ROOT, "scripts", "soak_seeds.txt"), encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and not line.startswith("#")]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of consecutive seeds to run, starting with --seed")
    parser.add_argument("--regressions", action="store_true", help="run the seeds of scripts/soak_seeds.txt instead")
    parser.add_argument("--seconds", type=float, default=15, help="duration of the fault injection in seconds")
    parser.add_argument("--profile", choices=list(MANAGERS), default="processes", help="kinds of faults and jobs")
    parser.add_argument("--managers", type=int, help="number of managers (default: 4, or 6 with the profile platform)")
    parser.add_argument("--manager", default=os.path.join(BINARIES, "jujubespoold"), help="the program to test, such as an earlier version")
    parser.add_argument("--logs", help="directory for the logs of the processes (default: a temporary directory)")
    options = parser.parse_args()
    seeds = regression_seeds() if options.regressions else range(options.seed, options.seed + options.count)
    results = [asyncio.run(run_seed(seed, options)) for seed in seeds]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
