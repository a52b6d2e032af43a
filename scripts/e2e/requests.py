#!/usr/bin/env python3
"""Sends one request each of a table over a raw socket and compares the status and the outcome.

Usage: requests.py HOST:PORT
"""
import os
import socket
import sys

KEY = "Authorization: Bearer key-canton-vaud\r\n"
POST = "POST /v1/services/badge-check/x HTTP/1.1\r\nHost: a\r\n"

TABLE = [
    ("a plain request", POST + KEY + "Content-Length: 2\r\n\r\nhi", 200, "ran"),
    ("no key", POST + "Content-Length: 0\r\n\r\n", 401, "not-run"),
    ("a key on an open queue is not needed", "GET /v1/services/public-lookup/x HTTP/1.1\r\nHost: a\r\n\r\n", 200, "ran"),
    ("another method", "PUT /v1/services/badge-check/x HTTP/1.1\r\nHost: a\r\n" + KEY + "Content-Length: 0\r\n\r\n", 405, "not-run"),
    ("another path", "GET /v2 HTTP/1.1\r\nHost: a\r\n\r\n", 404, "not-run"),
    ("two lengths", POST + KEY + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!", 400, "not-run"),
    ("two equal lengths", POST + KEY + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400, "not-run"),
    ("a length and a coding", POST + KEY + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "not-run"),
    ("a length that is no number", POST + KEY + "Content-Length: +2\r\n\r\nhi", 400, "not-run"),
    ("a body beyond the bound", POST + KEY + "Content-Length: 1048577\r\n\r\n" + "x" * 1048577, 413, "not-run"),
    ("a chunked body", POST + KEY + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "ran"),
    ("an unknown class", POST + KEY + "Jujubespool-Class: soon\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a timeout that is no number", POST + KEY + "Jujubespool-Timeout-Ms: 1e3\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a timeout of zero", POST + KEY + "Jujubespool-Timeout-Ms: 0\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a key without its time", POST + KEY + "Idempotency-Key: abc\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a key that is too old", POST + KEY + "Idempotency-Key: 1000000000000-a\r\nContent-Length: 0\r\n\r\n", 409, "unknown"),
    ("two idempotency keys", POST + KEY + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a truncated request", POST + KEY + "Content-Length: 10\r\n\r\nhi", None, None),
    ("no HTTP", "\x00\x01garbage\r\n\r\n", None, None),
    ("a smuggled request gets no answer of its own", POST + KEY + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi" + POST + KEY
     + "Content-Length: 0\r\n\r\n", 400, "not-run"),
]


def exchange(address, request):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=3) as connection:
        try:
            connection.sendall(request.encode("latin-1"))
            connection.shutdown(socket.SHUT_WR) if "truncated" in request else None
            connection.settimeout(1)
            data = b""
            while True:
                part = connection.recv(65536)
                if not part:
                    break
                data += part
        except (TimeoutError, ConnectionError):
            pass
        return data.decode("latin-1")


def main():
    problems = 0
    with open(os.path.join(os.path.dirname(__file__), "..", "..", "KNOWN-RED.txt"), encoding="utf-8") as file:
        known_red = file.read()
    for name, request, status, outcome in TABLE:
        answer = exchange(sys.argv[1], request)
        answers = answer.count("HTTP/1.1 ")
        got = int(answer.split(" ")[1]) if answer.startswith("HTTP/1.1 ") else None
        told = next((line.split(": ")[1] for line in answer.split("\r\n") if line.lower().startswith("jujubespool-outcome")), None)
        good = (got == status or (status is None and got == 400)) and (outcome is None or told == outcome) and answers <= 1
        if not good and name in known_red:
            print(f"KNOWN RED: {name}: expected {status} {outcome}, got {got} {told}")
            continue
        print(f"{'ok' if good else 'FAILED'}: {name}" + ("" if good else f": expected {status} {outcome}, got {got} {told} in {answers} answers"))
        problems += 0 if good else 1
    print(f"{problems} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
