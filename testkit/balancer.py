"""Choose the instances that take new connections, as the users' load balancer does."""

from __future__ import annotations

import http.client
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .fleet import HOST
from .site import Site

CHECK_INTERVAL_S = 1.0
MAX_MISSES = 2


@dataclass
class Balancer:
    """Hold how many checks in a row each instance has missed."""

    site: Site
    misses_by_node: dict[str, int] = field(default_factory=dict)
    is_over: bool = False

    def list_nodes(self) -> list[str]:
        """Return the instances in rotation, or all if there is none."""
        names = list(self.site.node_by_name)
        used = [n for n in names if self.misses_by_node.get(n, 0) < MAX_MISSES]
        return used or names

    def check(self, name: str) -> None:
        """Check one instance at intervals until the run is over."""
        port = self.site.node_by_name[name].ready_port
        while not self.is_over:
            asked_at = time.monotonic()
            misses = 0 if is_ready(port) else self.misses_by_node.get(name, 0) + 1
            self.misses_by_node[name] = misses
            time.sleep(max(0.0, asked_at + CHECK_INTERVAL_S - time.monotonic()))


def is_ready(port: int) -> bool:
    """Report whether an instance answers that it is ready within the interval."""
    connection = http.client.HTTPConnection(HOST, port, timeout=CHECK_INTERVAL_S)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


@contextmanager
def open_balancer(site: Site) -> Iterator[Balancer]:
    """Check the instances of a site meanwhile, each in a thread of its own."""
    balancer = Balancer(site)
    threads = [
        threading.Thread(target=balancer.check, args=(name,))
        for name in site.node_by_name
    ]
    for thread in threads:
        thread.start()
    try:
        yield balancer
    finally:
        balancer.is_over = True
        for thread in threads:
            thread.join()
