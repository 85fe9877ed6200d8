"""Replace crashed replicas of a site, as the platform does."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from .site import Site

CHECK_INTERVAL_S = 0.01


class ReplicaSupervisor:
    """Replace each replica of a service that ends, and record when it ended.

    `faults` are those of the replicas and their successors, `restart_s` is how long a
    successor takes to start beside the start of its process.
    """

    def __init__(
        self,
        site: Site,
        service: str,
        names: list[str],
        restart_s: float = 0.0,
        **faults: Any,
    ) -> None:
        self.site = site
        self.service = service
        self.names = list(names)
        self.restart_s = restart_s
        self.faults = faults
        self.crashed_at: list[float] = []
        self.is_over = False
        for name in names:
            site.set_replica_faults(name, **faults)

    def run(self) -> None:
        """Replace replicas until `is_over` is set."""
        while not self.is_over:
            for index, name in enumerate(self.names):
                if self.site.process_by_name[name].popen.poll() is not None:
                    self.crashed_at.append(time.monotonic())
                    self.names[index] = self.replace(name)
            time.sleep(CHECK_INTERVAL_S)

    def replace(self, name: str) -> str:
        """Remove a replica's entry, start its successor and return the new name."""
        self.site.delete_object("servers", name)
        time.sleep(self.restart_s)
        prefix, _, number = name.partition("-")
        successor = f"{prefix}-{int(number or 0) + 1}"
        self.site.start_replica(successor, self.service)
        self.site.set_replica_faults(successor, **self.faults)
        return successor


@contextmanager
def supervise_replicas(*supervisors: ReplicaSupervisor) -> Iterator[None]:
    """Run supervisors in threads of their own."""
    threads = [threading.Thread(target=s.run) for s in supervisors]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        for supervisor in supervisors:
            supervisor.is_over = True
        for thread in threads:
            thread.join()
