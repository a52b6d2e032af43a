#!/usr/bin/env python3
"""Fault soak: real manager processes against the jobs stand-in, with faults from outside and promises checked.

Usage: scripts/soak.py [--seed N] [--count N] [--regressions] [--seconds S] [--managers K] [--logs DIR]

A seed decides the order and kind of faults: processes that are killed, stopped, paused and restarted, links that are
delayed, reset, silenced or cut one way by loopback proxies, and a store and workers that misbehave. While they come,
callers hand in, ask for and cancel jobs on connections that they keep open. Afterwards everything heals, and each
promise is checked from what callers saw and what the workers did. Prints one line a seed; exit code 1 when one fails.
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
KEY = "soak-key"
HOST = "jobs.example"
CALL_TIMEOUT_S = 5.0
# A process gives a call up after 2.6 s; the rest is for a loaded machine.
LONGEST_ANSWER_S = 4.0
SETTLE_S = 30.0
# A job may be unknown at some process for this long after it was accepted.
VISIBLE_S = 3.0
CALLERS = 4
HOPELESS_FAILURES = 99


def own_address(number):
    """A loopback address that no other process uses, so that a port that is free for a moment stays free there."""
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{1 + process % 250}.{1 + number}"


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Proxy:
    """Forwards connections to a target; its mode harms them."""

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
            # The target is away, or the soak has ended.
            writer.transport.abort()

    async def connect(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, True), self.pump(far_reader, writer, False))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, outward):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and not outward):
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
    """One manager process with the proxies before and behind it."""

    def __init__(self, number, platform, directory):
        self.name = f"manager-{number}"
        self.ip = own_address(number)
        self.port, self.peer_port, self.ready_port = (free_port(self.ip) for _ in range(3))
        self.store = Proxy(platform)
        self.front = Proxy("%s:%d" % (self.ip, self.port))
        self.settings = os.path.join(directory, self.name + ".json")
        self.log_path = os.path.join(directory, self.name + ".log")
        self.process = None
        self.paused = False
        self.expected_exit = False

    async def start(self):
        await self.store.start()
        await self.front.start()
        body = {
            "node_name": self.name, "ip": self.ip, "zone": "a",
            "listen_addrs": {"frontend": "%s:%d" % (self.ip, self.port), "ready": "%s:%d" % (self.ip, self.ready_port)},
            "internal_port_range": [self.peer_port, self.peer_port],
            "platform": {"address": self.store.address}, "cloud": {"address": self.store.address, "duty_per_s": 64},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000}, "bounds": {"max_hold_ms": 6000, "migrate_s": 0.7, "maintenance_s": 0.7},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(body, file)
        self.launch()

    def launch(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([os.path.join(BINARIES, "jujubespoold"), "manager", "--metrics-port=0"],
                                            env={**os.environ, "JUJUBESPOOL_SETTINGS": self.settings}, stdout=log, stderr=log)
        self.paused = False
        self.expected_exit = False

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.expected_exit = True
        self.signal(signal.SIGKILL)
        self.process.wait()

    def healthy(self):
        return self.alive() and not self.paused and not self.expected_exit and self.front.mode == "none"


class Caller:
    """Sends calls on connections that are kept open."""

    def __init__(self):
        self.connections = {}

    async def call(self, address, method, path, body=b"", timeout=CALL_TIMEOUT_S):
        try:
            return await asyncio.wait_for(self.exchange(address, method, path, body), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError, IndexError):
            entry = self.connections.pop(address, None)
            if entry:
                entry[1].close()
            return None, b""

    def close(self):
        for _, writer in self.connections.values():
            writer.close()

    async def exchange(self, address, method, path, body):
        if address not in self.connections:
            host, port = address.split(":")
            self.connections[address] = await asyncio.open_connection(host, int(port))
        reader, writer = self.connections[address]
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        status = int((await reader.readuntil(b"\r\n")).split()[1])
        length, closes = 0, False
        while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
            name, value = line.decode().split(":", 1)
            length = int(value) if name.lower() == "content-length" else length
            closes = closes or (name.lower() == "connection" and value.strip() == "close")
        answer = await reader.readexactly(length)
        if closes:
            self.connections.pop(address)[1].close()
        return status, answer


class Job:
    def __init__(self, identity, queue, steps):
        self.path = f"/{queue}/{identity}"
        self.tasks = [f"{identity}.0.{number}.{index}" for number, step in enumerate(steps) for index in range(step["count"])]
        self.steps = steps
        self.accepted = False
        self.accepted_at = None
        # No try can have been taken.
        self.refused = True
        self.cancelled = False
        self.cancel_sent = False
        self.completed = False
        # Its tasks fail at each run, so that it has to end as failed.
        self.hopeless = False


class Soak:
    def __init__(self, seed, seconds, managers, directory):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.directory = directory
        self.manager_count = managers
        self.jobs = []
        self.problems = []
        self.faults = 0
        self.version = 0
        self.stopping = False

    async def run(self):
        pools = [f"--pool={name}:{count}" for name, count in {**POOLS, SPARE_POOL: SPARE_HOSTS}.items()]
        self.platform = subprocess.Popen([os.path.join(BINARIES, "standin_jobs"), *pools], stdout=subprocess.PIPE, text=True)
        self.address = self.platform.stdout.readline().strip()
        self.managers = [Manager(i, self.address, self.directory) for i in range(self.manager_count)]
        try:
            await self.publish()
            for manager in self.managers:
                await manager.start()
            await asyncio.sleep(2.5)
            tasks = [asyncio.create_task(self.load()) for _ in range(CALLERS)]
            await self.harm()
            await self.heal()
            self.stopping = True
            await asyncio.gather(*tasks)
            await self.settle()
            await self.check()
        finally:
            for process in [self.platform] + [manager.process for manager in self.managers if manager.process]:
                process.kill()
                process.wait()
        return self.problems

    async def publish(self):
        self.version += self.random.randint(1, 3)
        queues = [{"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": name, "priority": 0, "attempts": 4,
                   "stretch": 2, "target_latency_ms": 600} for name in POOLS]
        services = [{"name": name, "enforces_capacity": True} for name in POOLS] + [{"name": SPARE_POOL, "standby": True}]
        config = {"version": self.version, "routes": queues, "services": services,
                  "tenants": [{"name": "team", "weight": 1, "api_keys": [KEY]}], "limits": {"max_body_bytes": 262144}}
        await self.steer("POST", "/operator/config", json.dumps(config).encode())

    async def steer(self, method, path, body=b""):
        """Calls the stand-in itself, each time on a connection of its own."""
        caller = Caller()
        answer = await caller.call(self.address, method, path, body)
        caller.close()
        return answer

    async def fault(self, **what):
        await self.steer("POST", "/faults", json.dumps(what).encode())

    # --- what callers do ---

    async def load(self):
        caller = Caller()
        while not self.stopping:
            choice = self.random.random()
            if choice < 0.55 or not self.jobs:
                await self.submit(caller)
            elif choice < 0.9:
                await self.ask(caller, self.random.choice(self.jobs))
            else:
                await self.cancel(caller, self.random.choice(self.jobs))
            await asyncio.sleep(self.random.uniform(0.02, 0.15))

    async def timed(self, caller, method, path, body=b""):
        manager = self.random.choice(self.managers)
        healthy, began = manager.healthy(), time.monotonic()
        process = manager.process
        status, answer = await caller.call(manager.front.address, method, path, body)
        took = time.monotonic() - began
        if status is None and took >= LONGEST_ANSWER_S and healthy and manager.healthy() and manager.process is process:
            if not getattr(manager, "harmed_at", 0) > began:
                self.problems.append(f"no answer in {took:.1f} s from {manager.name}: {method} {path}")
        return status, answer

    async def submit(self, caller):
        identity = f"{self.random.getrandbits(64):016x}"
        steps = []
        for number in range(self.random.randint(1, 3)):
            step = {"count": self.random.randint(1, 6), "cpu": self.random.choice([500, 2000]), "mem_mb": 512, "estimated_ms": 200}
            if number:
                step["after"] = [number - 1]
            steps.append(step)
        job = Job(identity, self.random.choice(list(POOLS)), steps)
        self.jobs.append(job)
        job.hopeless = self.random.random() < 0.04
        fails = HOPELESS_FAILURES if job.hopeless else self.random.choice([0, 0, 0, 1])
        spec = f"ms={self.random.randint(50, 900)} fail={fails}"
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(4):
            status, _ = await self.timed(caller, "POST", job.path, body)
            if status == 200:
                job.accepted = True
                job.accepted_at = time.monotonic()
                job.refused = False
                return
            if status not in (429, 503):
                job.refused = False
            await asyncio.sleep(self.random.uniform(0.1, 0.6))

    async def ask(self, caller, job):
        visible = job.accepted_at is not None and time.monotonic() - job.accepted_at > VISIBLE_S
        cancel_sent = job.cancel_sent
        status, answer = await self.timed(caller, "GET", job.path)
        state = json.loads(answer).get("state") if status == 200 else None
        if visible and status == 410:
            self.problems.append(f"accepted job is unknown: {job.path}")
        if (state == "failed" and not job.hopeless) or (state == "cancelled" and not (cancel_sent or job.cancel_sent)):
            self.problems.append(f"{job.path} is shown as {state} without cause")
        if state == "completed":
            job.completed = True
            report = await self.report()
            missing = [task for task in job.tasks if task not in report["done"]]
            if missing:
                self.problems.append(f"{job.path} is shown as completed, {missing[0]} is not done")
        return state

    async def cancel(self, caller, job):
        job.cancel_sent = True
        status, _ = await self.timed(caller, "DELETE", job.path)
        job.cancelled = job.cancelled or status == 200

    # --- faults ---

    async def harm(self):
        end = time.monotonic() + self.seconds
        actions = [self.kill, self.terminate, self.pause, self.break_store, self.break_link, self.break_front, self.crash_worker,
                   self.late_starts, self.compact, self.change_config, self.hang_up, self.kill_all]
        weights = [3, 3, 3, 3, 4, 2, 3, 1, 1, 1, 1, 0.4]
        running = []
        while time.monotonic() < end:
            action = self.random.choices(actions, weights)[0]
            self.faults += 1
            running.append(asyncio.create_task(action(self.random.choice(self.managers), self.random.uniform(0.3, 3.5))))
            # Faults come in series and overlap.
            await asyncio.sleep(self.random.choice([0.05, 0.3, 0.8, 1.6]))
        await asyncio.gather(*running)

    async def kill(self, manager, seconds):
        manager.harmed_at = time.monotonic()
        manager.kill()
        await asyncio.sleep(seconds / 3)
        if not manager.alive():
            manager.launch()

    async def kill_all(self, _, seconds):
        await asyncio.gather(*(self.kill(manager, seconds) for manager in self.managers))

    async def terminate(self, manager, _):
        if manager.paused or manager.expected_exit:
            return
        manager.harmed_at = time.monotonic()
        manager.expected_exit = True
        process = manager.process
        manager.signal(signal.SIGTERM)
        for _ in range(60):
            await asyncio.sleep(0.1)
            if process.poll() is not None:
                break
        if process.poll() is None:
            if not manager.paused:
                self.problems.append(f"{manager.name} has not stopped within 6 s of SIGTERM")
            process.kill()
            process.wait()
        if manager.process is process:
            manager.launch()

    async def pause(self, manager, seconds):
        process = manager.process
        manager.harmed_at = time.monotonic()
        manager.paused = True
        manager.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds * 1.5)
        if manager.process is process:
            manager.signal(signal.SIGCONT)
            manager.harmed_at = time.monotonic()
            manager.paused = False

    async def break_store(self, _, seconds):
        mode = self.random.choice(["rejects", "silent", "loses_answers", "slow"])
        await self.fault(store="none" if mode == "slow" else mode, slow_ms=200 if mode == "slow" else 0)
        await asyncio.sleep(seconds)
        await self.fault(store="none")

    async def break_link(self, manager, seconds):
        manager.store.set_mode(self.random.choice(["reset", "silent", "one_way", "slow"]))
        await asyncio.sleep(seconds)
        manager.store.set_mode("none")

    async def break_front(self, manager, seconds):
        manager.harmed_at = time.monotonic()
        manager.front.set_mode(self.random.choice(["reset", "silent", "one_way", "slow"]))
        await asyncio.sleep(seconds / 2)
        manager.front.set_mode("none")
        manager.harmed_at = time.monotonic()

    async def crash_worker(self, _, seconds):
        await self.fault(crash_worker=self.random.randrange(sum(POOLS.values())), down_ms=int(seconds * 300))

    async def late_starts(self, _, seconds):
        await self.fault(late_starts_ms=2500)
        await asyncio.sleep(seconds / 3)
        await self.fault(late_starts_ms=0)

    async def compact(self, *_):
        await self.fault(compact=self.random.choice(["keyed.op", "keyed.servers"]))

    async def change_config(self, *_):
        await self.publish()

    async def hang_up(self, manager, _):
        if not manager.paused:
            manager.signal(signal.SIGHUP)

    async def heal(self):
        await self.fault(store="none")
        for manager in self.managers:
            manager.store.set_mode("none")
            manager.front.set_mode("none")
            if manager.alive():
                manager.signal(signal.SIGCONT)
                manager.paused = False
            else:
                if not manager.expected_exit:
                    self.problems.append(f"{manager.name} has ended by itself with {manager.process.returncode}")
                manager.launch()

    # --- promises ---

    async def report(self):
        status, answer = await self.steer("GET", "/report")
        return json.loads(answer) if status == 200 else {"violations": ["no report"], "starts": {}, "done": [], "running": []}

    async def settle(self):
        caller = Caller()
        end = time.monotonic() + SETTLE_S
        left = [job for job in self.jobs if job.accepted and not job.cancel_sent]
        while left and time.monotonic() < end:
            left = [job for job in left if await self.ask(caller, job) != ("failed" if job.hopeless else "completed")]
            await asyncio.sleep(0.3)
        for job in left:
            self.problems.append(f"accepted job has not ended as it should: {job.path}")

    async def check(self):
        report = await self.report()
        self.problems += report["violations"]
        running = {task.split(".")[0] for task in report["running"]}
        for job in self.jobs:
            identity = job.path.split("/")[-1]
            if job.refused and any(task in report["starts"] for task in job.tasks):
                self.problems.append(f"refused at each try, and has run: {job.path}")
            if job.cancelled and identity in running:
                self.problems.append(f"cancelled, and runs: {job.path}")


async def play(seed, seconds, managers, logs):
    directory = os.path.join(logs, f"soak-{seed}") if logs else tempfile.mkdtemp(prefix="soak-")
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    soak = Soak(seed, seconds, managers, directory)
    problems = await soak.run()
    accepted = sum(job.accepted for job in soak.jobs)
    completed = sum(job.completed for job in soak.jobs)
    lost = sum("accepted job" in problem for problem in problems)
    doubled = sum("two runs" in problem or "its end was noted" in problem for problem in problems)
    print(f"seed={seed} faults={soak.faults} jobs={len(soak.jobs)} accepted={accepted} completed={completed} lost={lost} "
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
    parser.add_argument("--count", type=int, default=1, help="seeds to play, from --seed on")
    parser.add_argument("--regressions", action="store_true", help="play the seeds of scripts/soak_seeds.txt instead")
    parser.add_argument("--seconds", type=float, default=15, help="length of the faults")
    parser.add_argument("--managers", type=int, default=4)
    parser.add_argument("--logs", help="directory for the processes' logs; by default a temporary one")
    options = parser.parse_args()
    seeds = regression_seeds() if options.regressions else range(options.seed, options.seed + options.count)
    good = [asyncio.run(play(seed, options.seconds, options.managers, options.logs)) for seed in seeds]
    print(f"{sum(good)} passed, {len(good) - sum(good)} failed")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
