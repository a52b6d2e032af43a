#!/usr/bin/env python3
"""Stand-in of a worker, as one process that can be killed and started again.

Usage: worker.py SETTINGS (a JSON object). Prints one JSON object a line for each start, end, acknowledgement and lapse; `t` is the
system's steady clock. How long a task works is read from its spec ("ms=800"), "ms=0" is a task that lasts.
"""
import asyncio
import json
import sys
import time

import http_io

FINISHED_PER_ANSWER = 500
CHECK_INTERVAL_S = 0.005


class Worker:
    def __init__(self, settings):
        self.settings = settings
        self.id = settings["id"]
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.finished = []
        self.next_end = 1
        self.highest_ended = {}
        self.changed = asyncio.Event()
        self.seq = 0
        # While set, starts are answered with 503, as by an unhealthy worker, which then does nothing.
        self.refuses_starts = False

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def log(self, event, **fields):
        sys.stdout.write(json.dumps({"t": round(time.monotonic(), 4), "worker": self.id, "born": self.born, "event": event, **fields}) + "\n")
        sys.stdout.flush()

    def answer(self, status, **fields):
        return status, json.dumps({"clock_ms": self.clock_ms(), **fields}).encode()

    def handle(self, method, path, headers, body):
        if method == "GET":
            return (200, b"{}") if path == "/health" else (404, b"{}")
        if path == "/standin/refuse-starts":
            self.refuses_starts = body == b"yes"
            return 200, b"{}"
        if headers.get("x-jujubespool-expect-instance", self.id) != self.id:
            return self.answer(421)
        order = json.loads(body)
        token = order.get("fencing_token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/-/run-start":
            return (503, b"{}") if self.refuses_starts else self.start(order)
        if path == "/-/run-stop":
            return self.stop(order)
        if path == "/-/hold":
            return self.hold(order)
        return self.answer(200) if path == "/-/pace" else (404, b"{}")

    def extend_lease(self, until_ms):
        self.lease_until = max(self.lease_until, min(until_ms, self.clock_ms() + self.settings["max_hold_ms"]))

    def start(self, order):
        task, run, until = order["task"], order["run"], order["until_ms"]
        if until < self.clock_ms():
            return self.answer(409, reason="late")
        self.expire()
        self.extend_lease(until)
        active = self.running.get(task)
        if active is not None and active["run"] == run:
            return self.answer(200)
        if active is not None or run <= self.highest_ended.get(task, 0):
            return self.answer(409, reason="old")
        need = self.settings["needs"].get(task.split(".")[2], self.settings["needs"]["*"])
        used = [sum(other["need"][i] for other in self.running.values()) for i in (0, 1)]
        if any(used[i] + need[i] > self.settings["capacity"][i] for i in (0, 1)):
            return self.answer(409, reason="room")
        works_ms = int(order["spec"].partition("ms=")[2].split()[0])
        ends_at = time.monotonic() + works_ms / 1000 if works_ms else float("inf")
        self.running[task] = {"run": run, "need": need, "ends_at": ends_at, "how": "done"}
        self.log("start", task=task, run=run, token=order["fencing_token"])
        return self.answer(200)

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        active = self.running.get(task)
        if active is not None and active["run"] == run and active["how"] != "stopped":
            active["how"] = "stopped"
            active["ends_at"] = time.monotonic() + self.settings["stopping_ms"] / 1000
            self.log("stop", task=task, run=run)
        return self.answer(200)

    def hold(self, order):
        if "until_ms" in order:
            self.extend_lease(order["until_ms"])
        acknowledged = order.get("ack_index", 0)
        if self.finished and self.finished[0][0] <= acknowledged:
            self.log("acknowledged", index=acknowledged)
            self.finished = [end for end in self.finished if end[0] > acknowledged]
        wait_ms = order.get("wait_ms", 0)
        return self.wait_for_end(wait_ms / 1000) if wait_ms and not self.finished else self.lists()

    def lists(self):
        running = [[task, entry["run"], "", 100, 0] for task, entry in self.running.items()]
        return self.answer(200, born=self.born, running=running, finished=self.finished[:FINISHED_PER_ANSWER])

    async def wait_for_end(self, wait_s):
        self.changed.clear()
        try:
            await asyncio.wait_for(self.changed.wait(), wait_s)
        except asyncio.TimeoutError:
            pass
        return self.lists()

    def end(self, task, how):
        run = self.running.pop(task)["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run)
        self.finished.append([self.next_end, task, run, how, ""])
        self.log("end", index=self.next_end, task=task, run=run, how=how)
        self.next_end += 1

    def expire(self):
        if self.lease_until and self.clock_ms() > self.lease_until:
            self.lease_until = 0
            self.log("lapse", running=len(self.running))
            for task in list(self.running):
                self.end(task, "lapsed")

    async def work(self):
        while True:
            self.expire()
            before = self.next_end
            now = time.monotonic()
            for task in [task for task, entry in self.running.items() if entry["ends_at"] <= now]:
                self.end(task, self.running[task]["how"])
            if self.next_end != before:
                self.changed.set()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def report(self):
        self.seq += 1
        cpu, memory = self.settings["capacity"]
        return {"service": self.settings["service"], "address": self.settings["address"], "zone": self.settings["zone"], "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "capacity": {"cpu": cpu, "mem_mb": memory, "gpus": 0},
                "labels": ["a", "r1-1"], "clock_ms": self.clock_ms(), "seq": self.seq, "born": self.born}

    async def send_reports(self):
        while True:
            await http_io.call(self.settings["store"], "POST", f"/standin/servers/{self.id}", body=json.dumps(self.report()).encode(),
                               timeout=self.settings["heartbeat_ms"] / 1000)
            await asyncio.sleep(self.settings["heartbeat_ms"] / 1000)


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    host, _, port = worker.settings["address"].rpartition(":")
    await http_io.serve(worker.handle, host, int(port))
    worker.log("up")
    await asyncio.gather(worker.work(), worker.send_reports())


asyncio.run(main())
