"""Serve an engine's reports and streams on a socket.

It can be full, silent for a time, reset new connections for a time, or break streams off.
"""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time

from catkintrack.http import RESET_ON_CLOSE

from .silent_replicas import STREAM_END, STREAM_HEAD, make_event

MODELS = [{"name": "m1", "version": 1}]


class Engine:
    """Serve reports and streams; send nothing between the two times in `silent`.

    New connections are reset between the two times in `resets`.  One stream is broken off
    before the event `breaks_at`, 0 for none.  `resumed` lists the last events after which
    streams were asked for.  `born` is the incarnation that it reports.
    """

    def __init__(
        self,
        events=4,
        gap_s=0.2,
        silent=(0.0, 0.0),
        is_full=False,
        resets=(0.0, 0.0),
        breaks_at=0,
        born=1000,
    ):
        self.events, self.gap_s, self.silent, self.is_full = (
            events,
            gap_s,
            silent,
            is_full,
        )
        self.resets, self.breaks_at, self.born = resets, breaks_at, born
        self.resumed = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Accept connections until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                if self.resets[0] <= time.monotonic() < self.resets[1]:
                    self.reset(sock)
                    continue
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def reset(self, sock):
        """Reset a connection."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    def keep_silence(self):
        """Wait while the engine is silent."""
        begin, end = self.silent
        if begin <= time.monotonic() < end:
            time.sleep(end - time.monotonic())

    def serve(self, sock):
        """Read requests from a connection and answer each."""
        received = b""
        with contextlib.suppress(OSError):
            while True:
                while b"\r\n\r\n" not in received:
                    data = sock.recv(65536)
                    if not data:
                        return
                    received += data
                head, _, received = received.partition(b"\r\n\r\n")
                rows = [row.partition(b":") for row in head.split(b"\r\n")[1:]]
                fields = {key.strip().lower(): value.strip() for key, _, value in rows}
                size = int(fields.get(b"content-length", b"0"))
                while len(received) < size:
                    received += sock.recv(65536)
                received = received[size:]
                self.keep_silence()
                self.answer(sock, head, fields)

    def answer(self, sock, head, fields):
        """Send a report, a rejection, or a stream from the request's last event on."""
        name = b"x-request-id: " + fields[b"x-request-id"]
        if head.startswith(b"GET "):
            body = json.dumps({"models": MODELS, "born": self.born}).encode()
            # Reports name neither the request nor the replica.
            sock.sendall(
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                b"content-length: %d\r\n\r\n%s" % (len(body), body)
            )
            return
        if self.is_full:
            send_rejection(sock, fields[b"x-request-id"])
            return
        last_event_id = int(fields.get(b"last-event-id", b"0"))
        self.resumed.append(last_event_id)
        sock.sendall(STREAM_HEAD.replace(b"x-request-id: r1", name))
        for number in range(last_event_id + 1, self.events + 1):
            self.keep_silence()
            if number == self.breaks_at:
                self.breaks_at = 0
                self.reset(sock)
                return
            sock.sendall(make_event(number))
            time.sleep(self.gap_s)
        sock.sendall(STREAM_END)


def limit_streams(engine: Engine, places: int) -> Engine:
    """Let an engine reject streams beyond its number of places; return it."""
    answer, lock, running = engine.answer, threading.Lock(), [0]

    def answer_if_free(sock, head, fields):
        if head.startswith(b"GET "):
            return answer(sock, head, fields)
        with lock:
            is_free = running[0] < places
            running[0] += is_free
        if not is_free:
            send_rejection(sock, fields[b"x-request-id"])
            return None
        try:
            return answer(sock, head, fields)
        finally:
            with lock:
                running[0] -= 1

    engine.answer = answer_if_free
    return engine


def reset_reports(engine: Engine, until: float) -> Engine:
    """Let an engine reset the connections on which reports are asked for; return it."""
    answer = engine.answer

    def answer_streams(sock, head, fields):
        if head.startswith(b"GET ") and time.monotonic() < until:
            return engine.reset(sock)
        return answer(sock, head, fields)

    engine.answer = answer_streams
    return engine


def send_rejection(sock: socket.socket, request_id: bytes) -> None:
    """Reject a request for want of room."""
    sock.sendall(
        b"HTTP/1.1 503 Busy\r\nx-request-id: %s\r\nx-not-executed: 1\r\n"
        b"content-length: 0\r\n\r\n" % request_id
    )
