"""A small deployment on loopback: the project's managers, stand-ins of the platform and of workers, and clients.

The managers are started with the command of the deploy file. Every process that is started here is ended by its id.
"""
import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http_io
import platform_standin

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
STANDINS = os.path.dirname(os.path.abspath(__file__))
HOST = "jobs.example"
KEY = "review-key"
HEARTBEAT_MS = 1500
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "max_hold_ms": 6000, "stop_ms": 400, "gang_wait_ms": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "notice_ms": 4500, "migrate_s": 1.5, "maintenance_s": 2,
          "require_fencing": True, "lease_ms": 3000}


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class CannotRun(Exception):
    pass


class Deployment:
    def __init__(self, folder, managers=3, service="desk"):
        self.folder = folder
        self.service = service
        self.manager_count = managers
        self.random = random.Random(os.getpid())
        process = os.getpid()
        self.network = f"127.{1 + process // 250 % 250}.{1 + process % 250}"
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.processes = []
        self.servers = []
        self.managers = []
        self.workers = {}
        self.events = []
        self.tasks = []
        self.ended = {}
        # Requirements of a task by step number, as the worker stand-in checks them: (cpu, mem_mb).
        self.needs = {"*": (1000, 100)}

    def record(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {what} {text}\n")

    async def start(self, workers, capacity):
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        self.command = deploy["roles"]["manager"]["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(f"{self.command[0]} is missing: run the build of the deploy file")
        self.temporary = tempfile.TemporaryDirectory()
        self.store = platform_standin.Store(HEARTBEAT_MS)
        self.cloud = platform_standin.Cloud()
        self.store_address = f"{self.network}.250:{free_port(self.network + '.250')}"
        self.cloud_address = f"{self.network}.251:{free_port(self.network + '.251')}"
        self.servers = [await http_io.serve(self.store.handle, *self.split(self.store_address)),
                        await http_io.serve(self.cloud.handle, *self.split(self.cloud_address))]
        self.tasks.append(asyncio.create_task(self.store.expire_reports()))
        self.manager_stores = []
        for number in range(self.manager_count):
            host = f"{self.network}.{200 + number}"
            self.manager_stores.append(f"{host}:{free_port(host)}")
            self.servers.append(await http_io.serve(self.store.handler_for(number), *self.split(self.manager_stores[number])))
        self.put_config(1)
        for number in range(workers):
            self.add_worker(number, capacity)
        for number in range(self.manager_count):
            self.start_manager(number)
        await self.wait_until_serving()

    @staticmethod
    def split(address):
        host, _, port = address.rpartition(":")
        return host, int(port)

    def put_config(self, version):
        config = {"version": version,
                  "routes": [{"name": "r-desk", "host": HOST, "path_prefix": "/desk/", "kind": "non_idempotent", "timeout_ms": 3000,
                              "target_latency_ms": 600, "priority": 1, "service": self.service, "attempts": 3, "stretch": 1.6,
                              "allow_anonymous": False}],
                  "services": [{"name": self.service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": False,
                                "enforces_capacity": True, "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                  "tenants": [{"name": "market", "api_keys": [KEY], "priority": 1, "weight": 50,
                               "maximum": {"cpu": 0, "mem_mb": 0, "gpus": 0}}]}
        self.store.add("keyed.op", "config", json.dumps(config).encode())

    # --- workers ---

    def add_worker(self, number, capacity):
        host = f"{self.network}.{100 + number}"
        name = f"i-{number:08x}"
        self.workers[name] = {"capacity": capacity, "address": f"{host}:{free_port(host)}", "zone": "abc"[number % 3]}
        self.cloud.machines.append({"machine": f"m-{number:05x}", "pool": self.service, "state": "up", "zone": "abc"[number % 3],
                                    "labels": ["a", "r1-1"], "capacity": {"cpu": capacity[0], "mem_mb": capacity[1], "gpus": 0}, "id": name})
        self.start_worker(name)

    def start_worker(self, name):
        worker = self.workers[name]
        settings = {"id": name, "address": worker["address"], "service": self.service, "zone": worker["zone"],
                    "capacity": worker["capacity"], "store": self.store_address, "heartbeat_ms": HEARTBEAT_MS,
                    "max_hold_ms": BOUNDS["max_hold_ms"], "stopping_ms": 100, "needs": self.needs}
        process = subprocess.Popen([sys.executable, os.path.join(STANDINS, "worker.py"), json.dumps(settings)], stdout=subprocess.PIPE,
                                   env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"})
        worker["process"] = process
        self.processes.append(process)
        os.set_blocking(process.stdout.fileno(), False)
        pending = bytearray()

        def on_output():
            try:
                data = os.read(process.stdout.fileno(), 1 << 20)
            except BlockingIOError:
                return
            if not data:
                asyncio.get_running_loop().remove_reader(process.stdout.fileno())
                return
            pending.extend(data)
            *lines, rest = bytes(pending).split(b"\n")
            pending[:] = rest
            for line in lines:
                self.on_worker_event(json.loads(line))

        asyncio.get_running_loop().add_reader(process.stdout.fileno(), on_output)

    def on_worker_event(self, event):
        self.events.append(event)
        fields = {name: value for name, value in event.items() if name not in ("t", "event")}
        self.record_file.write(f"{event['t'] - self.started_at:8.3f} worker-{event['event']} "
                               + " ".join(f"{name}={value}" for name, value in fields.items()) + "\n")

    def kill_worker(self, name):
        worker = self.workers[name]
        worker["process"].kill()
        worker["process"].wait()
        self.record("worker-killed", worker=name)
        self.events.append({"t": time.monotonic(), "worker": name, "event": "killed"})

    # --- managers ---

    def start_manager(self, number):
        ip = f"{self.network}.{1 + number}"
        if number >= len(self.managers):
            ports = {name: free_port(ip) for name in ("frontend", "ready", "control", "peer")}
            self.managers.append({"ip": ip, "ports": ports, "address": f"{ip}:{ports['frontend']}"})
        manager = self.managers[number]
        ports = manager["ports"]
        settings = {
            "node_name": f"frontend-{number}", "role": "manager", "machine_class": "frontend", "serves": ["frontend"], "ip": ip,
            "zone": "abc"[number % 3], "region": "r", "zones": {"a": "r", "b": "r", "c": "r"},
            "listen_addrs": {name: f"{ip}:{ports[name]}" for name in ("frontend", "ready", "control")},
            "internal_port_range": [ports["peer"], ports["peer"]], "seeds": [], "bootstrap": True,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS, "orders": "invoke", "advice": "",
            "platform": {"address": self.manager_stores[number], "form": "log", "writes_per_s": 800, "reads_per_s": 2000,
                         "record_bytes": platform_standin.RECORD_BYTES, "request_bytes": platform_standin.REQUEST_BYTES},
            "cloud": {"address": self.cloud_address, "rate_per_s": 64.0, "duties": [], "duty_per_s": 64.0}}
        path = os.path.join(self.temporary.name, f"manager-{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log_folder = os.environ.get("REVIEW_LOGS", self.temporary.name)
        with open(os.path.join(log_folder, f"manager-{number}.log"), "ab") as log:
            manager["process"] = subprocess.Popen([os.path.join(ROOT, self.command[0]), *self.command[1:]], cwd=ROOT, stdout=log,
                                                  stderr=log, env={"PATH": os.environ["PATH"], "HOME": self.temporary.name,
                                                                   "LANG": "C", "JUJUBESPOOL_SETTINGS": path})
        self.processes.append(manager["process"])
        self.record("manager-started", number=number, pid=manager["process"].pid)

    def kill_manager(self, number):
        process = self.managers[number]["process"]
        process.kill()
        process.wait()
        self.record("manager-killed", number=number)

    def owner(self):
        """The manager that has written to the ledger last."""
        return self.store.last_ledger_writer

    async def wait_until_serving(self):
        for _ in range(100):
            await asyncio.sleep(0.1)
            if any(manager["process"].poll() is not None for manager in self.managers):
                raise CannotRun("a manager ended at its start")
            status, _ = await self.send("GET", "/desk/", timeout=1.0)
            if status == 200:
                return
        raise CannotRun("the managers don't serve")

    # --- clients ---

    async def send(self, method, path, body=b"", timeout=3.0, manager=None):
        chosen = self.random.choice(self.managers) if manager is None else self.managers[manager]
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
        return await http_io.call(chosen["address"], method, path, headers, body, timeout)

    async def submit(self, spec, steps, retries=4, job=None):
        """Hands a job in like a client: again after no answer, at any manager. Returns (id, accepted)."""
        job = job or f"{self.random.getrandbits(64):016x}"
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        for _ in range(1 + retries):
            status, _ = await self.send("POST", f"/desk/{job}", body)
            self.record("submit", job=job, status=status)
            if status == 200:
                return job, True
            await asyncio.sleep(0.5)
        return job, False

    async def state(self, job):
        status, body = await self.send("GET", f"/desk/{job}")
        shown = json.loads(body).get("state") if status == 200 else None
        self.record("state", job=job, status=status, shown=shown)
        return status, shown

    # --- end ---

    async def drain_events(self):
        await asyncio.sleep(0.3)

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
            if process.stdout is not None:
                asyncio.get_running_loop().remove_reader(process.stdout.fileno())
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.record_file.close()


def runs_of(events):
    """The runs that the workers report, as dictionaries: task, run, worker, start, end (or None), how, index, acknowledged, lapsed."""
    runs = []
    open_runs = {}
    lapses = {}
    for event in sorted(events, key=lambda entry: entry["t"]):
        worker = event["worker"]
        if event["event"] == "start":
            run = {"task": event["task"], "run": event["run"], "worker": worker, "start": event["t"], "end": None, "how": None,
                   "index": None, "acknowledged": None, "lapsed": False}
            runs.append(run)
            open_runs[worker, event["task"]] = run
        elif event["event"] == "end":
            run = open_runs.pop((worker, event["task"]))
            run.update(end=event["t"], how=event["how"], index=event["index"])
            lapses.setdefault(worker, []).append(run)
        elif event["event"] == "lapse":
            for run in lapses.get(worker, []):
                run["lapsed"] = run["lapsed"] or run["acknowledged"] is None
        elif event["event"] == "acknowledged":
            for run in lapses.get(worker, []):
                if run["acknowledged"] is None and run["index"] <= event["index"]:
                    run["acknowledged"] = event["t"]
        elif event["event"] == "killed":
            for key in [key for key in open_runs if key[0] == worker]:
                open_runs.pop(key).update(end=event["t"], how="killed")
            lapses.pop(worker, None)
    return runs


def twice(events):
    """Breaks of the rule TWICE: two runs of a task at once, or a start after an end `done` that was noted then or later."""
    by_task = {}
    for run in runs_of(events):
        by_task.setdefault(run["task"], []).append(run)
    found = []
    for task, runs in sorted(by_task.items()):
        for i, first in enumerate(runs):
            for second in runs[i + 1:]:
                first_end = first["end"] if first["end"] is not None else float("inf")
                if second["start"] < first_end:
                    found.append(("at once", first, second))
                elif first["how"] == "done" and first["acknowledged"] is not None and not first["lapsed"]:
                    found.append(("after its end", first, second))
    return found


def run_case(case):
    """Runs the coroutine function case(trouble) and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        sys.exit(1 if asyncio.run(case(trouble)) else 0)
    except CannotRun as reason:
        print(f"cannot run: {reason}")
        sys.exit(2)
    except OSError as reason:
        print(f"cannot run: {reason}")
        sys.exit(2)
