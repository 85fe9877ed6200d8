"""Call instances over kept connections, as the users' callers do, and record outcomes."""

from __future__ import annotations

import hashlib
import http.client
import re
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from standins.replica import EVENTS_PER_STREAM

from .fleet import HOST
from .site import KEY, PROMPT_HEADERS, Site

CALL_TIMEOUT_S = 15.0
# Callers open a new connection for some of their calls.
NEW_CONNECTION_SHARE = 0.2
# Four fifths of the shortest idle time that a soak or a drill configures.
MAX_IDLE_S = 8.0
SUBJECTS = 5
# Ends the ID of a request that takes up a broken stream.
AGAIN = "-again"
HOST_BY_KIND = {
    "order": "h2.example",
    "lookup": "h2.example",
    "long": "h1.example",
    "short": "h1.example",
}
PATH_BY_KIND = {
    "order": "/order/1",
    "lookup": "/lookup/1",
    "long": "/long/1",
    "short": "/long/short/1",
}
KINDS = tuple(PATH_BY_KIND)
DEADLINE_S_BY_KIND = {"order": 5.0, "lookup": 5.0, "long": 14.0, "short": 14.0}


@dataclass(frozen=True)
class Outcome:
    """Hold the result of one request as its caller saw it; times in seconds.

    The status is 0 if the connection ended without a complete response. `is_right` is
    False if a response with status 200 was incomplete or wrong. `is_reused` says that
    the connection had carried a request before, `has_begun` that a part of a successful
    answer has arrived, `has_given_up` that the caller waited in vain for the next.
    """

    id: str
    kind: str
    node: str
    status: int
    is_right: bool
    is_connected: bool
    is_reused: bool
    began_at: float
    ended_at: float
    is_complete: bool = False
    has_begun: bool = False
    has_given_up: bool = False


@dataclass
class KeptCaller:
    """Hold one caller's open connections, keyed by instance.

    `list_nodes` returns the instances that take new connections, by default all,
    `patience_by_kind` has how long a caller waits for the next part of an answer.
    """

    site: Site
    rng: Random
    prefix: str
    connection_by_node: dict[str, http.client.HTTPConnection] = field(
        default_factory=dict
    )
    used_at_by_node: dict[str, float] = field(default_factory=dict)
    request_count: int = 0
    list_nodes: Callable[[], Iterable[str]] | None = None
    patience_by_kind: dict[str, float] = field(default_factory=dict)

    def call(self, crashing_part: str = "", kind: str = "") -> list[Outcome]:
        """Send a request, by default of a random kind, and return its outcome.

        A broken stream is taken up once at another instance, for a second outcome.
        """
        self.request_count += 1
        self._close_idle()
        kind = kind or self.rng.choice(KINDS)
        node = self._choose_node()
        id = f"{self.prefix}-{self.request_count}"
        headers = make_headers(kind, id)
        if kind == "long":
            # Several prompts, which no single replica caches.
            subject = f"b{self.request_count % SUBJECTS}"
            prompt = headers["X-Prompt-Prefix"].replace("bb", subject)
            headers["X-Prompt-Prefix"] = prompt
        if crashing_part and kind == "long" and self.rng.random() < 0.5:
            prompt = headers["X-Prompt-Prefix"].replace(
                ",cc", f",{crashing_part}:10,cc"
            )
            headers["X-Prompt-Prefix"] = prompt
        if self.rng.random() < NEW_CONNECTION_SHARE:
            self.close(node)
        outcome, body = self._exchange(kind, node, id, headers)
        last_event_id = find_last_event_id(body)
        if kind != "long" or outcome.is_complete or not last_event_id:
            return [outcome]
        node = self._choose_node()
        again = make_headers(kind, f"{id}{AGAIN}") | {
            "X-Prompt-Prefix": headers["X-Prompt-Prefix"],
            "Last-Event-Id": last_event_id,
            "Resumes": id,
        }
        taken_up, _ = self._exchange(kind, node, f"{id}{AGAIN}", again, body)
        return [outcome, taken_up]

    def _choose_node(self) -> str:
        """Return an instance that takes new connections or that one is open to."""
        found = self.site.node_by_name if self.list_nodes is None else self.list_nodes()
        return self.rng.choice(sorted({*found, *self.connection_by_node}))

    def close(self, node: str) -> None:
        """Close the connection to an instance, if there is one."""
        connection = self.connection_by_node.pop(node, None)
        if connection is not None:
            connection.close()

    def _close_idle(self) -> None:
        """Close the connections that have been idle for too long to be used again."""
        oldest_at = time.monotonic() - MAX_IDLE_S
        for node in list(self.connection_by_node):
            if self.used_at_by_node.get(node, 0.0) < oldest_at:
                self.close(node)

    def _exchange(
        self,
        kind: str,
        node: str,
        id: str,
        headers: dict[str, str],
        begun: bytes = b"",
    ) -> tuple[Outcome, bytes]:
        """Send a request; return the outcome and the body, after what had begun it."""
        began_at = time.monotonic()
        is_reused = node in self.connection_by_node
        is_connected = is_reused
        has_given_up = False
        status, parts = 0, []
        try:
            connection = self._connect(node)
            is_connected = True
            patience_s = self.patience_by_kind.get(kind, CALL_TIMEOUT_S)
            connection.sock.settimeout(patience_s)
            method = "GET" if kind == "lookup" else "POST"
            request_body = make_request_body(kind, id)
            connection.request(method, PATH_BY_KIND[kind], request_body, headers)
            response = connection.getresponse()
            read_parts(response, parts)
            status = response.status
            if response.will_close:
                self.close(node)
        except http.client.IncompleteRead as error:
            parts.append(error.partial)
            self.close(node)
        except TimeoutError:
            has_given_up = True
            self.close(node)
        except (OSError, http.client.HTTPException):
            self.close(node)
        self.used_at_by_node[node] = time.monotonic()
        body = b"".join(parts)
        if status == 200 or begun:
            body = cut_after_last_event(begun) + body
        outcome = Outcome(
            id,
            kind,
            node,
            status,
            status != 200 or is_right_answer(kind, id, body),
            is_connected,
            is_reused,
            began_at,
            time.monotonic(),
            status == 200,
            bool(body),
            has_given_up,
        )
        return outcome, body

    def _connect(self, node: str) -> http.client.HTTPConnection:
        connection = self.connection_by_node.get(node)
        if connection is None:
            port = self.site.node_by_name[node].callers_port
            connection = http.client.HTTPConnection(HOST, port, timeout=CALL_TIMEOUT_S)
            connection.connect()
            self.connection_by_node[node] = connection
        return connection


def read_parts(response: http.client.HTTPResponse, parts: list[bytes]) -> None:
    """Read a body and append its parts as they arrive."""
    if not response.chunked:
        parts.append(response.read())
        return
    while data := response.read1():
        parts.append(data)


def make_headers(kind: str, id: str) -> dict[str, str]:
    """Return the headers of a request of one kind."""
    headers = {
        "Host": HOST_BY_KIND[kind],
        "X-Request-Id": id,
        "X-Deadline-Ms": f"{DEADLINE_S_BY_KIND[kind] * 1e3:.0f}",
        "X-Credential": KEY,
    }
    return headers | PROMPT_HEADERS if kind in ("long", "short") else headers


def find_last_event_id(body: bytes) -> str:
    """Return the ID of the last complete event of a stream, empty if there is none."""
    ids = re.findall(rb"^id: (\d+)\ndata: \w+\n\n", body, re.M)
    return ids[-1].decode() if ids else ""


def cut_after_last_event(body: bytes) -> bytes:
    """Return a stream up to its last complete event."""
    end = body.rfind(b"\n\n")
    return body[: end + 2] if end >= 0 else b""


def make_request_body(kind: str, id: str) -> bytes:
    """Return the body of a request, which tells its answer from all others."""
    return b"" if kind == "lookup" else id.removesuffix(AGAIN).encode()


def is_right_answer(kind: str, id: str, body: bytes) -> bool:
    """Report whether a body is the whole response to the request with this id."""
    request_body = make_request_body(kind, id)
    if kind in ("long", "short"):
        return is_complete_stream(request_body, body)
    return body == hashlib.sha256(id.encode() + request_body).hexdigest().encode()


def is_complete_stream(request_body: bytes, body: bytes) -> bool:
    """Report whether a stream has each event of the answer exactly once and in order.

    All of them are of one software version, if they name one.
    """
    versions = set(re.findall(rb"^data: (v\d)", body, re.M))
    if len(versions) > 1:
        return False
    body = re.sub(rb"^data: v\d", b"data: ", body, flags=re.M)
    texts = [
        hashlib.sha256(request_body + b"/%d" % number).hexdigest().encode()[:16]
        for number in range(1, EVENTS_PER_STREAM + 1)
    ]
    events = [
        b"id: %d\ndata: %s\n\n" % (number, text)
        for number, text in enumerate(texts, start=1)
    ]
    return body == b"".join(events)
