"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""
import asyncio

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


class ServerConnection(asyncio.Protocol):
    """Reads requests one after the other and passes them to `handle(method, path, headers, body)`.

    The handler returns (status, body), an awaitable of that, or None for a request that gets no answer.
    """

    def __init__(self, handle, connections):
        self.handle = handle
        self.connections = connections
        self.buffer = b""
        self.busy = False

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, _):
        self.connections.discard(self)

    def data_received(self, data):
        self.buffer += data
        self.read_requests()

    def read_requests(self):
        while not self.busy:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            method, path, _ = lines[0].split(" ", 2)
            answer = self.handle(method, path, headers, body)
            if answer is None:
                self.busy = True
            elif isinstance(answer, tuple):
                self.reply(answer)
            else:
                self.busy = True
                asyncio.ensure_future(self.reply_later(answer))

    async def reply_later(self, answer):
        result = await answer
        if result is None:
            return
        self.busy = False
        self.reply(result)
        self.read_requests()

    def reply(self, answer):
        status, body = answer
        if not self.transport.is_closing():
            head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode() + body)


async def serve(handle, host, port):
    connections = set()
    server = await asyncio.get_running_loop().create_server(lambda: ServerConnection(handle, connections), host, port, backlog=1024)
    server.open_connections = connections
    return server


async def call(address, method, path, headers=None, body=b"", timeout=3.0):
    """Sends one request on a new connection. Returns (status, body), or (None, reason) if there was no complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""]).encode() + body)
            status = int((await reader.readuntil(b"\r\n")).split()[1])
            length = 0
            while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
                name, _, value = line.decode().partition(":")
                length = int(value) if name.lower() == "content-length" else length
            return status, await reader.readexactly(length)
    except TimeoutError:
        return None, b"timeout"
    except (OSError, EOFError, ValueError, IndexError) as error:
        return None, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()
