"""Send requests at a rate that does not depend on how soon they are answered."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random

from .balancer import Balancer
from .soak_callers import KeptCaller, Outcome

MAX_CALLERS = 600
SHARE_BY_KIND = {"lookup": 0.45, "order": 0.25, "long": 0.2, "short": 0.1}
# Callers abandon a stream after a gap of two seconds, four times the objective or eight
# times the pause that its route allows, whichever is longest.
PATIENCE_S_BY_KIND = {"long": 2.4, "short": 2.0}


@dataclass
class OpenLoad:
    """Hold the callers that are idle now, the latest first, and all outcomes."""

    balancer: Balancer
    seed: int
    per_s: float
    share_by_kind: dict[str, float] = field(default_factory=SHARE_BY_KIND.copy)
    idle: deque[KeptCaller] = field(default_factory=deque)
    outcomes: list[Outcome] = field(default_factory=list)
    caller_count: int = 0
    is_over: bool = False

    def run(self) -> None:
        """Start requests at random intervals until the load is over; wait for all."""
        rng = Random(f"{self.seed}/load")
        kinds, shares = list(self.share_by_kind), list(self.share_by_kind.values())
        next_at = time.monotonic()
        with ThreadPoolExecutor(MAX_CALLERS) as pool:
            while not self.is_over:
                kind = rng.choices(kinds, shares)[0]
                pool.submit(self._call, self._take_caller(), kind)
                next_at += rng.expovariate(self.per_s)
                time.sleep(max(0.0, next_at - time.monotonic()))

    def _take_caller(self) -> KeptCaller:
        if self.idle:
            return self.idle.pop()
        self.caller_count += 1
        prefix = f"c{self.caller_count}"
        rng = Random(f"{self.seed}/{prefix}")
        site, list_nodes = self.balancer.site, self.balancer.list_nodes
        return KeptCaller(
            site,
            rng,
            prefix,
            list_nodes=list_nodes,
            patience_by_kind=PATIENCE_S_BY_KIND,
        )

    def _call(self, caller: KeptCaller, kind: str) -> None:
        self.outcomes += caller.call(kind=kind)
        self.idle.append(caller)


def make_shares(long_share: float) -> dict[str, float]:
    """Return the usual shares of the kinds with another share of long streams."""
    scale = (1.0 - long_share) / (1.0 - SHARE_BY_KIND["long"])
    shares = {kind: share * scale for kind, share in SHARE_BY_KIND.items()}
    return shares | {"long": long_share}


@contextmanager
def open_load(load: OpenLoad) -> Iterator[OpenLoad]:
    """Send the load's requests meanwhile."""
    thread = threading.Thread(target=load.run)
    thread.start()
    try:
        yield load
    finally:
        load.is_over = True
        thread.join()
