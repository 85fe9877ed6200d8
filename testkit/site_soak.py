"""Inject seeded faults into a running site and check its promises meanwhile.

Faults come from outside: signals to instances, faults of the stand-ins.  What callers
and replicas saw is compared at the end; every failure names its seed.
"""

from __future__ import annotations

import hashlib
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from standins.replica import EVENTS

from .fleet import wait_until
from .instances import make_config_spec
from .site import KEY, PROMPT_HEADERS, Site, open_site

CALLERS = 4
NODES = 3
MODELS = 3
APPS = 2
PAUSE_S = (0.05, 0.4)
# Leases run out, peers are heard again, weights load.
SETTLE_S = 20.0
NOT_RUN_STATUSES = frozenset({401, 404, 429, 503})


@dataclass(frozen=True)
class Outcome:
    """Hold what a caller got for one request."""

    id: str
    kind: str
    status: int
    is_right: bool


@dataclass
class SoakRun:
    """Hold the state of one run."""

    site: Site
    rng: Random
    version: int = 1
    config: int = 7
    outcomes: list[Outcome] = field(default_factory=list)
    actions: list[str] = field(default_factory=list)
    is_over: bool = False


def run_soak(seed: int, seconds: float) -> tuple[list[str], SoakRun]:
    """Return the promises that were broken, none as a rule, and what happened."""
    with open_site(nodes=NODES, models=MODELS, apps=APPS) as site:
        soak = SoakRun(site, Random(seed))
        threads = [
            threading.Thread(target=_call_until_over, args=(soak, number, seed))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        try:
            _inject_faults(soak, seconds)
        finally:
            soak.is_over = True
            for thread in threads:
                thread.join()
        _heal(soak)
        return find_violations(soak), soak


def _call_until_over(soak: SoakRun, number: int, seed: int) -> None:
    """Send requests of all kinds to any instance, one after the other."""
    rng = Random(f"{seed}/{number}")
    sent = 0
    while not soak.is_over:
        sent += 1
        kind = rng.choice(("order", "lookup", "long", "short"))
        node = f"n{rng.randrange(NODES)}"
        soak.outcomes.append(call_once(soak.site, kind, node, f"c{number}-{sent}"))


def call_once(site: Site, kind: str, node: str, id: str) -> Outcome:
    """Send one request and check its answer."""
    if kind in ("long", "short"):
        path = "/long/1" if kind == "long" else "/long/short/1"
        status, _, body = site.call(
            node, path, host="h1.example", id=id, **PROMPT_HEADERS
        )
        return Outcome(id, kind, status, status != 200 or is_whole_stream(body))
    method = "POST" if kind == "order" else "GET"
    sent = b"{}" if kind == "order" else b""
    status, _, body = site.call(node, f"/{kind}/1", method=method, body=sent, id=id)
    expected = hashlib.sha256(id.encode() + sent).hexdigest().encode()
    return Outcome(id, kind, status, status != 200 or body == expected)


def is_whole_stream(body: bytes) -> bool:
    """Report whether a stream holds each event of the answer once, in order."""
    texts = [
        hashlib.sha256(b"{}" + b"/%d" % number).hexdigest().encode()[:16]
        for number in range(1, EVENTS + 1)
    ]
    events = [
        b"id: %d\ndata: %s\n\n" % (number, text)
        for number, text in enumerate(texts, start=1)
    ]
    return body == b"".join(events)


def _inject_faults(soak: SoakRun, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        action = soak.rng.choice(ACTIONS)
        soak.actions.append(action.__name__.strip("_"))
        action(soak)
        time.sleep(soak.rng.uniform(*PAUSE_S))


def _kill(soak: SoakRun) -> None:
    node = soak.site.node_by_name[f"n{soak.rng.randrange(NODES)}"]
    node.process.kill()
    time.sleep(soak.rng.uniform(0.0, 1.0))
    node.process.start()


def _stop(soak: SoakRun) -> None:
    node = soak.site.node_by_name[f"n{soak.rng.randrange(NODES)}"]
    node.process.send_signal(signal.SIGTERM)
    node.process.wait(15)
    node.process.start()


def _freeze(soak: SoakRun) -> None:
    node = soak.site.node_by_name[f"n{soak.rng.randrange(NODES)}"]
    node.process.freeze()
    time.sleep(soak.rng.uniform(0.2, 4.0))
    node.process.unfreeze()


def _lose_store(soak: SoakRun) -> None:
    node = soak.rng.choice([None, *(f"n{n}" for n in range(NODES))])
    fault = soak.rng.choice(("is_down", "is_busy"))
    soak.site.set_store_faults(node, **{fault: True})
    time.sleep(soak.rng.uniform(0.2, 3.0))
    soak.site.set_store_faults(node, **{fault: False})


def _lose_answers(soak: SoakRun) -> None:
    soak.site.set_store_faults(lost_answers=soak.rng.randrange(1, 4))


def _forget_history(soak: SoakRun) -> None:
    soak.site.set_store_faults(forget_history=True)


def _hurt_model(soak: SoakRun) -> None:
    id = f"m{soak.rng.randrange(MODELS)}"
    faults = (
        {"reject": soak.rng.randrange(1, 5)},
        {"lose_answers": 1},
        {"unsigned": 1},
        {"break_after_events": soak.rng.randrange(EVENTS), "break_streams": 2},
    )
    soak.site.set_replica_faults(id, **soak.rng.choice(faults))


def _hurt_app(soak: SoakRun) -> None:
    id = f"a{soak.rng.randrange(APPS)}"
    faults = ({"reject": 3}, {"lose_answers": 2}, {"unsigned": 1}, {"fail": 2})
    soak.site.set_replica_faults(id, **soak.rng.choice(faults))


def _silence_model(soak: SoakRun) -> None:
    id = f"m{soak.rng.randrange(MODELS)}"
    soak.site.set_replica_faults(id, is_silent=True)
    time.sleep(soak.rng.uniform(0.2, 1.5))
    soak.site.set_replica_faults(id, is_silent=False)


def _name_weights(soak: SoakRun) -> None:
    soak.version += 1
    soak.site.write_object("versions", "m1", {"model": "m1", "version": soak.version})


def _change_config(soak: SoakRun) -> None:
    soak.config += 1
    spec = make_config_spec(soak.config)
    spec["tenants"][0]["api_keys"] = [KEY, f"key-{soak.config}"]
    soak.site.write_object("config", "main", spec)


ACTIONS: tuple[Callable[[SoakRun], None], ...] = (
    _kill,
    _stop,
    _freeze,
    _lose_store,
    _lose_answers,
    _forget_history,
    _hurt_model,
    _hurt_app,
    _silence_model,
    _name_weights,
    _name_weights,
    _change_config,
)


def _heal(soak: SoakRun) -> None:
    """Take all faults away and name weights and configuration once more."""
    site = soak.site
    site.set_store_faults(is_down=False, is_busy=False, lost_answers=0)
    for id in site.replica_port_by_id:
        site.set_replica_faults(
            id,
            is_silent=False,
            reject=0,
            fail=0,
            break_streams=0,
            lose_answers=0,
            unsigned=0,
        )
    _name_weights(soak)
    _change_config(soak)


def find_violations(soak: SoakRun) -> list[str]:
    """Return a line for each promise that was broken."""
    site = soak.site
    broken = _check_recovery(soak)
    counts = {id: site.read_counts(id) for id in site.replica_port_by_id}
    for outcome in soak.outcomes:
        runs = sum(row["runs_by_request"].get(outcome.id, 0) for row in counts.values())
        what = f"{outcome.kind} {outcome.id} ({outcome.status})"
        if not outcome.is_right:
            broken.append(f"{what}: a wrong or cut answer looked whole")
        if outcome.kind in ("order", "short") and runs > 1:
            broken.append(f"{what}: ran {runs} times")
        if (
            outcome.kind in ("order", "short")
            and runs
            and (outcome.status in NOT_RUN_STATUSES)
        ):
            broken.append(f"{what}: was said not to have run")
    leaked = sum(row["leaked_headers"] for row in counts.values())
    if leaked:
        broken.append(f"{leaked} headers of callers reached replicas")
    for id, row in counts.items():
        broken += _check_orders(id, row["orders"])
    if not any(outcome.status == 200 for outcome in soak.outcomes):
        broken.append("nothing was served")
    return broken


def _check_recovery(soak: SoakRun) -> list[str]:
    """Check that weights and configuration come into force once all is well."""
    site = soak.site
    key = f"key-{soak.config}"

    def are_weights_in_place() -> bool:
        rows = [site.read_counts(f"m{n}") for n in range(MODELS)]
        return all(row["version"] == soak.version for row in rows)

    def is_config_in_force() -> bool:
        names = [f"n{n}" for n in range(NODES)]
        return all(site.call(n, "/order/1", key=key)[0] == 200 for n in names)

    broken = []
    for is_true, what in (
        (are_weights_in_place, "named weights are not in place"),
        (is_config_in_force, "the configuration is not in force"),
    ):
        try:
            wait_until(is_true, SETTLE_S)
        except TimeoutError:
            broken.append(f"{what} after {SETTLE_S} s")
    return broken


def _check_orders(id: str, orders: list[dict]) -> list[str]:
    """Check that fencing numbers rise and no two holders share one."""
    broken = []
    fences = [order["fence"] for order in orders]
    if fences != sorted(fences):
        broken.append(f"orders to {id} with falling fencing numbers {fences}")
    holders_by_fence: dict[int, set[str]] = {}
    for order in orders:
        holders_by_fence.setdefault(order["fence"], set()).add(order["holder"])
    for fence, holders in holders_by_fence.items():
        if len(holders) > 1:
            broken.append(f"{sorted(holders)} gave {id} orders with fencing {fence}")
    return broken
