"""Stand-ins of the platform's store and of its list of machines. Both follow the users' page on the protocol."""
import asyncio
import base64
import json
import time
import urllib.parse

import http_io

PRODUCER_REPEATS = 5
NEWEST_ITEMS = 500
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
READ_BYTES = 1024 * 1024


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()


class Store:
    """The log. While `silent` is set, requests are neither carried out nor answered. Workers in `cut_off` don't reach it."""

    def __init__(self, heartbeat_ms, append_ms=2.0):
        self.topics = {}
        self.silent = False
        self.heartbeat_s = heartbeat_ms / 1000
        self.append_s = append_ms / 1000
        self.reported_at = {}
        self.refused = []
        self.cut_off = set()
        # (topic, key) of a write that gets no answer and is carried out this many seconds later.
        self.late_writes = {}
        self.last_ledger_writer = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def add(self, name, key, value):
        topic = self.topic(name)
        key = key.encode()
        topic.records.append(bytes([len(key)]) + key + value)
        if value:
            topic.newest[key.decode()] = (len(topic.records) - 1, value)
        else:
            topic.newest.pop(key.decode(), None)
        topic.changed.set()
        topic.changed = asyncio.Event()

    def handler_for(self, caller):
        """Returns the handler of an address that only this caller uses, so that the last writer of the ledger is known."""
        return lambda method, path, headers, body: self.handle(method, path, headers, body, caller)

    def handle(self, method, path, _, body, caller=None):
        if path.startswith("/standin/servers/"):
            return self.put_report(path.rpartition("/")[2], body)
        if self.silent:
            return None
        parsed = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parsed.query))
        if parsed.path == "/-/log-append":
            if "producer" in query:
                self.last_ledger_writer = caller
            for (topic, key), delay_s in list(self.late_writes.items()):
                if query["topic"] == topic and bytes([len(key)]) + key.encode() in body:
                    del self.late_writes[topic, key]
                    asyncio.get_running_loop().call_later(delay_s, self.append, query, body)
                    return None
            return self.append_later(query, body)
        if parsed.path == "/-/log-read":
            return self.read(query)
        if parsed.path == "/-/log-newest":
            return self.list_newest(query)
        return 404, b"{}"

    def put_report(self, worker, body):
        if worker in self.cut_off:
            return None
        if not self.silent:
            self.reported_at[worker] = time.monotonic()
            self.add("keyed.servers", worker, body)
        return 200, b"{}"

    async def expire_reports(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for worker, reported_at in list(self.reported_at.items()):
                if not self.silent and now - reported_at > 3 * self.heartbeat_s:
                    del self.reported_at[worker]
                    self.add("keyed.servers", worker, b"")

    async def append_later(self, query, body):
        await asyncio.sleep(self.append_s)
        return None if self.silent else self.append(query, body)

    def append(self, query, body):
        name = query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = []
        position = 0
        while position < len(body):
            length = int.from_bytes(body[position:position + 4], "big")
            records.append(body[position + 4:position + 4 + length])
            position += 4 + length
        largest = max((len(record) for record in records), default=0)
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            self.refused.append((time.monotonic(), largest))
            return 400, json.dumps({"reason": "size"}).encode()
        topic = self.topic(name)
        producer = query.get("producer")
        if producer is not None:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            known = topic.producers.get(producer)
            if known is not None and epoch < known["epoch"]:
                return 409, json.dumps({"reason": "fenced"}).encode()
            if known is not None and epoch == known["epoch"]:
                for number, answer in known["recent"]:
                    if number == seq:
                        return 200, answer
                if seq != known["seq"] + 1:
                    return 409, json.dumps({"reason": "seq", "expected": known["seq"] + 1}).encode()
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, json.dumps({"end": len(topic.records)}).encode()
        offset = len(topic.records)
        for record in records:
            key_bytes = record[0]
            self.add(name, record[1:1 + key_bytes].decode(), record[1 + key_bytes:])
        answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
        if producer is not None:
            known = topic.producers.get(producer)
            recent = known["recent"] if known is not None and known["epoch"] == epoch else []
            topic.producers[producer] = {"epoch": epoch, "seq": seq, "recent": (recent + [(seq, answer)])[-PRODUCER_REPEATS:]}
        return 200, answer

    async def read(self, query):
        topic = self.topic(query["topic"])
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(topic.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.silent:
            return None
        body = len(topic.records).to_bytes(8, "big") + bytes(8)
        parts = []
        size = 0
        for record in topic.records[start:]:
            if size + len(record) > READ_BYTES and parts:
                break
            parts.append(len(record).to_bytes(4, "big") + record)
            size += len(record)
        return 200, body + b"".join(parts)

    def list_newest(self, query):
        topic = self.topic(query["topic"])
        keys = sorted(key for key in topic.newest if key > query.get("after", ""))
        items = []
        size = 0
        for key in keys[:NEWEST_ITEMS]:
            offset, value = topic.newest[key]
            if size + len(value) > READ_BYTES and items:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, json.dumps({"items": items, "truncated": len(items) < len(keys), "end": len(topic.records)}).encode()


class Cloud:
    """The list of machines. The cases have one pool, so that there is nothing to move; orders are answered as busy."""

    def __init__(self):
        self.machines = []

    def handle(self, method, path, _, body):
        if method == "GET" and path.startswith("/-/machines"):
            return 200, json.dumps({"machines": self.machines, "next_page_token": None}).encode()
        return 409, json.dumps({"reason": "busy"}).encode()
