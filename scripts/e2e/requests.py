#!/usr/bin/env python3
"""Sends each request of a table over a raw socket and checks the HTTP status and the outcome header of the response.

Usage: requests.py HOST:PORT
"""
import os
import socket
import sys

KEY = "Authorization: Bearer key-canton-vaud\r\n"
POST = "POST /v1/services/badge-check/x HTTP/1.1\r\nHost: a\r\n"

REQUESTS = [
    ("a plain request", POST + KEY + "Content-Length: 2\r\n\r\nhi", 200, "ran"),
    ("a request without an API key", POST + "Content-Length: 0\r\n\r\n", 401, "not-run"),
    ("a request without an API key to an open queue", "GET /v1/services/public-lookup/x HTTP/1.1\r\nHost: a\r\n\r\n", 200, "ran"),
    ("an unsupported method", "PUT /v1/services/badge-check/x HTTP/1.1\r\nHost: a\r\n" + KEY + "Content-Length: 0\r\n\r\n", 405, "not-run"),
    ("an unknown path", "GET /v2 HTTP/1.1\r\nHost: a\r\n\r\n", 404, "not-run"),
    ("two different content lengths", POST + KEY + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!", 400, "not-run"),
    ("two equal content lengths", POST + KEY + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400, "not-run"),
    ("a content length and a transfer coding", POST + KEY + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "not-run"),
    ("a content length that is not a number", POST + KEY + "Content-Length: +2\r\n\r\nhi", 400, "not-run"),
    ("a body that exceeds the size limit", POST + KEY + "Content-Length: 1048577\r\n\r\n" + "x" * 1048577, 413, "not-run"),
    ("a chunked body", POST + KEY + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, "ran"),
    ("an unknown class", POST + KEY + "Jujubespool-Class: soon\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a timeout that is not a number", POST + KEY + "Jujubespool-Timeout-Ms: 1e3\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a timeout of zero", POST + KEY + "Jujubespool-Timeout-Ms: 0\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("an idempotency key without a time", POST + KEY + "Idempotency-Key: abc\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("an idempotency key that is too old", POST + KEY + "Idempotency-Key: 1000000000000-a\r\nContent-Length: 0\r\n\r\n", 409, "unknown"),
    ("two idempotency keys", POST + KEY + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", 400, "not-run"),
    ("a truncated request", POST + KEY + "Content-Length: 10\r\n\r\nhi", None, None),
    ("data that is not HTTP", "\x00\x01garbage\r\n\r\n", None, None),
    ("a smuggled request gets no response of its own", POST + KEY + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi" + POST + KEY
     + "Content-Length: 0\r\n\r\n", 400, "not-run"),
]


def send_request(address, request):
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=3) as connection:
        try:
            connection.sendall(request.encode("latin-1"))
            connection.shutdown(socket.SHUT_WR) if "truncated" in request else None
            connection.settimeout(1)
            data = b""
            while True:
                chunk = connection.recv(65536)
                if not chunk:
                    break
                data += chunk
        except (TimeoutError, ConnectionError):
            pass
        return data.decode("latin-1")


def main():
    problems = 0
    with open(os.path.join(os.path.dirname(__file__), "..", "..", "KNOWN-RED.txt"), encoding="utf-8") as file:
        known_red = file.read()
    for name, request, status, outcome in REQUESTS:
        response = send_request(sys.argv[1], request)
        response_count = response.count("HTTP/1.1 ")
        actual_status = int(response.split(" ")[1]) if response.startswith("HTTP/1.1 ") else None
        actual_outcome = next((line.split(": ")[1] for line in response.split("\r\n") if line.lower().startswith("jujubespool-outcome")), None)
        status_matches = actual_status == status or (status is None and actual_status == 400)
        passed = status_matches and (outcome is None or actual_outcome == outcome) and response_count <= 1
        if not passed and name in known_red:
            print(f"KNOWN RED: {name}: expected {status} {outcome}, got {actual_status} {actual_outcome}")
            continue
        details = "" if passed else f": expected {status} {outcome}, got {actual_status} {actual_outcome} in {response_count} responses"
        print(f"{'ok' if passed else 'FAILED'}: {name}{details}")
        problems += 0 if passed else 1
    print(f"{problems} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
