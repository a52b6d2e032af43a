#!/usr/bin/env python3
"""Sends what clients outside the documented limits send to one listener of one real process, and checks that the process bears it.

Usage: crowd.py --list
       crowd.py LISTENER:CROWD [--bin DIR] [--seed N] [--rounds N]

Checks that the process lives, that its peak memory and its open descriptors stay within the bounds below, and that one ordinary request is
answered while the crowd is still connected and once it has left. No check depends on how fast the machine is. Prints the measured figures.
"""
import argparse
import json
import os
import random
import resource
import selectors
import shutil
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
CLIENTS = 120
IDLE_CLIENTS = 400
# What one client sends at most.
MOST_BYTES = 2 * 1024 * 1024
CHUNK_BYTES = 16384
# The crowd has sent all that it can when no client gets a byte through for this long, or at the latest after the second time.
QUIET_S = 0.7
MOST_CROWD_S = 12.0
ANSWER_TIMEOUT_S = 20.0
# Limits in the settings of the processes, and so the bounds of what is checked.
MEMORY_MB = {"manager": 64, "entry": 128}
DESCRIPTORS = 256
# A configuration of the forwarding product may have this size, so its administration may hold one.
LARGE_BODY_BYTES = {"entry-admin": 67108864 - 1}
BODY_BYTES = 1048576 - 1
KEY = "crowd-key"


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, what):
    end = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("timed out waiting for " + what)


class System:
    """The process under test and the stand-in for its platform."""

    def __init__(self, binaries, directory, kind):
        self.binaries = binaries
        self.directory = directory
        self.kind = kind
        self.processes = []
        self.addresses = {}

    def start(self):
        if self.kind == "manager":
            self.start_manager()
        else:
            self.start_entry()
        self.tested = self.processes[-1]

    def launch(self, arguments, name, **options):
        with open(os.path.join(self.directory, name + ".log"), "wb") as log:
            process = subprocess.Popen(arguments, stdout=log if "stdout" not in options else options.pop("stdout"), stderr=log, **options)
        self.processes.append(process)
        return process

    def start_manager(self):
        platform = self.launch([os.path.join(self.binaries, "standin_jobs"), "--pool=front:2"], "platform", stdout=subprocess.PIPE, text=True)
        store = platform.stdout.readline().strip()
        ports = [free_port() for _ in range(4)]
        calls, ready, metrics = ("127.0.0.1:%d" % port for port in ports[:3])
        settings = {
            "node_name": "manager-1", "ip": "127.0.0.1", "zone": "a", "listen_addrs": {"frontend": calls, "ready": ready},
            "internal_port_range": [ports[3], ports[3]], "platform": {"address": store},
            "cloud": {"address": store, "duty_per_s": 64},
            "limits": {"cpu_share": 0.25, "link_mbps": 1000, "memory_mb": MEMORY_MB["manager"], "max_fds": DESCRIPTORS},
        }
        config = {"version": 1, "routes": [{"name": "front", "host": "jobs.example", "path_prefix": "/front/", "service": "front",
                                            "attempts": 4, "stretch": 2, "target_latency_ms": 600}],
                  "services": [{"name": "front", "enforces_capacity": True}],
                  "tenants": [{"name": "team", "weight": 1, "api_keys": [KEY]}], "limits": {"max_body_bytes": 262144}}
        body = json.dumps(config).encode()
        exchange(store, b"POST /operator/config HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        path = os.path.join(self.directory, "manager.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.launch([os.path.join(self.binaries, "jujubespoold"), "manager", "--settings=" + path, "--metrics-port=%d" % ports[2]], "manager",
                    preexec_fn=limit_descriptors)
        self.addresses = {"manager-calls": calls, "manager-ready": ready, "manager-metrics": metrics}
        wait_until(lambda: exchange(ready, ORDINARY["manager-ready"])[:1] == [200], "the manager")

    def start_entry(self):
        self.launch([os.path.join(self.binaries, "standin_platform")], "platform")
        log = os.path.join(self.directory, "platform.log")
        wait_until(lambda: "listening" in open(log, encoding="utf-8").read(), "the platform")
        platform = open(log, encoding="utf-8").read().split("listening")[1].split()[0]
        callers, admin = ("127.0.0.1:%d" % free_port() for _ in range(2))
        path = os.path.join(self.directory, "entry.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(f"host: entry-1\ndata_center: a\ncaller_address: {callers}\nadmin_address: {admin}\n"
                       f"peer_address: 127.0.0.1:0\nplatform_address: {platform}\n")
        self.launch([os.path.join(self.binaries, "jujubespoold"), "--settings=" + path], "entry", preexec_fn=limit_descriptors)
        self.addresses = {"entry-calls": callers, "entry-admin": admin}
        wait_until(lambda: exchange(callers, ORDINARY["entry-calls"])[:1] == [200], "the entry host")

    def is_alive(self):
        return self.tested.poll() is None

    def peak_memory_mb(self):
        with open(f"/proc/{self.tested.pid}/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM"))

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.tested.pid}/fd"))

    def stop(self):
        for process in self.processes:
            process.kill()
            process.wait()


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


ORDINARY = {
    "manager-calls": f"GET /front/ HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode(),
    "manager-ready": b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n",
    "manager-metrics": b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
    "entry-calls": b"POST /v1/idempotency-keys HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "entry-admin": b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n",
}


def exchange(address, request):
    """Sends the request on a new connection and returns its status, or nothing if there is no answer."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S) as connection:
            connection.sendall(request)
            head = b""
            while b"\r\n" not in head:
                data = connection.recv(4096)
                if not data:
                    return []
                head += data
            return [int(head.split(b" ")[1])]
    except (OSError, ValueError, IndexError):
        return []


def post(listener):
    path = {"manager-calls": "/front/00000000000000aa", "entry-calls": "/v1/services/badge-check/x", "entry-admin": "/v1/config"}
    return f"POST {path.get(listener, '/x')} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer {KEY}\r\n".encode()


# Each crowd is a function of the listener and a random generator. It returns what a client sends first and what it then repeats.
def body_announced(listener, _):
    return post(listener) + b"Content-Length: 4294967296\r\n\r\n", b"x" * CHUNK_BYTES


def body_just_sent(listener, _):
    return post(listener) + b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n"


def body_beyond_announced(listener, _):
    return post(listener) + b"Content-Length: 10\r\n\r\n", b"x" * CHUNK_BYTES


def body_never_finished(listener, _):
    size = LARGE_BODY_BYTES.get(listener, BODY_BYTES)
    return post(listener) + b"Content-Length: %d\r\n\r\n" % size, (b"x" * (min(size, MOST_BYTES) - 1), 1)


def head_without_end(listener, _):
    return post(listener), b"".join(b"X-Field-%d: some value that is longer than its name\r\n" % number for number in range(200))


def line_without_end(listener, _):
    return post(listener) + b"X-Long: ", b"y" * CHUNK_BYTES


def path_without_end(_, __):
    return b"GET /", b"z" * CHUNK_BYTES


def empty_lines(_, __):
    return b"", b"\r\n" * (CHUNK_BYTES // 2)


def answers_not_read(listener, _):
    return b"", ORDINARY[listener] * 50


def nothing_sent(_, __):
    return b"", (b"", 0)


def byte_by_byte(_, __):
    return b"G", (b"E", 1)


def mutated(listener, generator):
    """An ordinary request or a request with a body, some bytes of which are changed, left out, doubled or moved."""
    text = bytearray(ORDINARY[listener] if generator.random() < 0.4 else post(listener) + b"Content-Length: 5\r\n\r\nhello")
    for _ in range(generator.randint(1, 6)):
        at = generator.randrange(len(text))
        action = generator.randrange(5)
        if action == 0:
            text[at] = generator.randrange(256)
        elif action == 1:
            del text[at:at + generator.randint(1, 8)]
        elif action == 2:
            text[at:at] = text[at:at + generator.randint(1, 40)] * generator.choice([1, 2, 50])
        elif action == 3:
            text[at:at] = generator.choice([b"\r\n", b"\n", b"\0", b":", b" ", b"%", b"\xff\xfe", b"99999999999999999999", b"-1"])
        else:
            text += generator.choice([b"\r\n\r\n", bytes(text), b"0\r\n\r\n"])
        text = text or bytearray(b"\r\n")
    return bytes(text), (b"", 0)


CROWDS = {crowd.__name__: crowd for crowd in [
    body_announced, body_just_sent, body_beyond_announced, body_never_finished, head_without_end, line_without_end, path_without_end,
    empty_lines, answers_not_read, nothing_sent, byte_by_byte, mutated]}
MANY = (nothing_sent, byte_by_byte)


class Client:
    def __init__(self, address, first, repeated):
        self.connection = socket.socket()
        self.connection.setblocking(False)
        host, port = address.split(":")
        self.connection.connect_ex((host, int(port)))
        # A pair is what is sent, and how often it is.
        data, self.left = repeated if isinstance(repeated, tuple) else (repeated, MOST_BYTES // len(repeated))
        self.repeated = data
        self.waiting = memoryview(first)

    def send(self):
        """Returns the number of bytes that went through; none if there is no more to send or nobody to send it to."""
        if not self.waiting:
            if self.left == 0:
                return None
            self.left -= 1
            self.waiting = memoryview(self.repeated)
        try:
            sent = self.connection.send(self.waiting)
        except BlockingIOError:
            return 0
        except OSError:
            return None
        self.waiting = self.waiting[sent:]
        return sent


def play_crowd(address, make_client, count, system):
    """Lets the clients send as much as the process takes. Returns them, still connected, and the most descriptors seen."""
    selector = selectors.DefaultSelector()
    clients = []
    for _ in range(count):
        client = Client(address, *make_client())
        clients.append(client)
        selector.register(client.connection, selectors.EVENT_WRITE, client)
    most = 0
    began = progress = time.monotonic()
    while selector.get_map() and time.monotonic() - progress < QUIET_S and time.monotonic() - began < MOST_CROWD_S and system.is_alive():
        for key, _ in selector.select(0.1):
            sent = key.data.send()
            if sent is None:
                selector.unregister(key.data.connection)
            elif sent > 0:
                progress = time.monotonic()
        most = max(most, system.open_descriptors()) if system.is_alive() else most
    time.sleep(QUIET_S)
    most = max(most, system.open_descriptors()) if system.is_alive() else most
    return clients, most


def check(listener, crowd, options):
    kind = listener.split("-")[0]
    directory = tempfile.mkdtemp(prefix="crowd-")
    system = System(options.bin, directory, kind)
    problems, before, most, memory = [], 0, 0, 0
    generator = random.Random(options.seed)
    try:
        system.start()
        before = system.peak_memory_mb()
        for _ in range(options.rounds):
            count = IDLE_CLIENTS if CROWDS[crowd] in MANY else CLIENTS
            clients, descriptors = play_crowd(system.addresses[listener], lambda: CROWDS[crowd](listener, generator), count, system)
            most = max(most, descriptors)
            for when in ("beside the crowd", "after the crowd"):
                status = exchange(system.addresses[listener], ORDINARY[listener])
                if status != [200]:
                    problems.append(f"an ordinary request {when} got {status or 'no answer'}")
                for client in clients:
                    client.connection.close()
            if not system.is_alive():
                break
        if system.is_alive():
            memory = system.peak_memory_mb()
        else:
            problems.append(f"the process ended with {system.tested.returncode}")
    finally:
        system.stop()
    if memory > MEMORY_MB[kind]:
        problems.append(f"more than {MEMORY_MB[kind]} MB of memory")
    if most >= DESCRIPTORS:
        problems.append(f"all {DESCRIPTORS} descriptors were in use")
    print(f"{'FAILED' if problems else 'ok'}: {listener}:{crowd} seed={options.seed} memory_mb={before:.0f}->{memory:.0f} "
          f"descriptors={most}" + "".join("; " + problem for problem in problems) + (f"; logs={directory}" if problems else ""), flush=True)
    if not problems:
        shutil.rmtree(directory)
    return not problems


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("case", nargs="?", help="listener and crowd, as --list prints them")
    parser.add_argument("--list", action="store_true", help="print all cases and end")
    parser.add_argument("--bin", default=os.path.join(ROOT, "build"), help="directory of the programs to test")
    parser.add_argument("--seed", type=int, default=2, help="seed of the mutations")
    parser.add_argument("--rounds", type=int, help="number of crowds, one after the other (default: 4 that are mutated, 1 of any other)")
    options = parser.parse_args()
    cases = [f"{listener}:{crowd}" for listener in ORDINARY for crowd in CROWDS]
    if options.list:
        print("\n".join(cases))
        return 0
    if options.case not in cases:
        parser.error("unknown case, see --list")
    options.rounds = options.rounds or (4 if options.case.endswith(":mutated") else 1)
    return 0 if check(*options.case.split(":"), options) else 1


if __name__ == "__main__":
    sys.exit(main())
