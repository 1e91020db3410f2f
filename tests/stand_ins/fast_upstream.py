"""An upstream that sends faster than an entry can process, as a process of its own.

Reads a line of JSON for the callers: the entry's address and the headers of a stream's
request. Prints the upstream's address before that.
"""

import json
import socket
import sys
import threading

from .platform_upstream import chunk, event

# Answers that go on as long as they are read, by name; each is sent again and again.
ANSWERS = {
    "small events": chunk(b"".join(event(number) for number in range(3_000))),
    "events without data": chunk(b"id: 1\n\n" * 9_000),
    "chunks of one byte": b"".join(chunk(b"d") for _ in range(8_000)),
    "blank lines": chunk(b"\n" * 65_536),
}
_READ_BYTES = 262_144


def _answer(connection: socket.socket, answer: bytes) -> None:
    request = b""
    while b"\r\n\r\n" not in request:
        request += connection.recv(_READ_BYTES)
    request_id = next(
        line
        for line in request.split(b"\r\n")
        if line.lower().startswith(b"x-attempt-id:")
    )
    connection.sendall(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        b"X-Engine-Signature: 3e1b.07\r\n" + request_id + b"\r\n\r\n"
    )
    try:
        while True:
            connection.sendall(answer)
    except OSError:
        connection.close()


def _serve(listener: socket.socket, answer: bytes) -> None:
    while True:
        connection, _ = listener.accept()
        _start(_answer, connection, answer)


def _call(address: str, path: str, headers: dict[str, str], number: int) -> None:
    host, _, port = address.rpartition(":")
    lines = [
        f"POST {path} HTTP/1.1",
        *(f"{name}: {value}" for name, value in headers.items()),
        f"X-Attempt-Id: stream-{number}",
        "Content-Length: 0",
    ]
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        while connection.recv(_READ_BYTES):
            pass


def _start(target: object, *arguments: object) -> None:
    threading.Thread(target=target, args=arguments, daemon=True).start()


def main() -> None:
    """Serve and call until standard input ends."""
    listener = socket.create_server(("127.0.0.1", 0))
    _start(_serve, listener, ANSWERS[sys.argv[1]])
    sys.stdout.write(f"127.0.0.1:{listener.getsockname()[1]}\n")
    sys.stdout.flush()
    calls = json.loads(sys.stdin.readline())
    for number in range(calls["count"]):
        _start(_call, calls["address"], calls["path"], calls["headers"], number)
    sys.stdin.read()


if __name__ == "__main__":
    main()
