"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of this folder."""
import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body, peer, caller_left):
        self.method = method
        # Returns True once the caller has closed the connection.
        self.caller_left = caller_left
        self.headers = headers
        self.body = body
        self.peer = peer
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves one address. The handler gets a Request and returns (status, body); None closes the connection without an answer."""

    def __init__(self, handler, max_connections=None):
        self.handler = handler
        self.server = None
        self.writers = set()
        # Further connections wait, unserved, until one of these is closed.
        self.slots = asyncio.Semaphore(max_connections) if max_connections else None

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    async def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.slots is not None:
            await self.slots.acquire()
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body, writer.get_extra_info("peername"),
                                                    reader.at_eof))
                if answer is None:
                    break
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
            if self.slots is not None:
                self.slots.release()


async def call(host, port, method, path, headers, body, timeout_s):
    """Sends one request over a new connection. Returns (status, body), or (0, reason) if there was no complete answer."""
    try:
        return await asyncio.wait_for(_call(host, port, method, path, headers, body), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
        return 0, type(error).__name__


async def _call(host, port, method, path, headers, body):
    reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
    try:
        content = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(content)}", "Content-Type: application/json"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        first, _, answer = await read_message(reader)
        return int(first.split(" ")[1]), answer
    finally:
        writer.transport.abort()
