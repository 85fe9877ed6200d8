"""Inject random faults into a running site under load and check its guarantees.

The faults are signals to instances and faults of the stand-ins.  At the end, what
callers received is compared with what replicas ran.  Reports name the seed, with which
the choice of faults and requests can be repeated.
"""

from __future__ import annotations

import hashlib
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from standins.replica import EVENTS_PER_STREAM

from .fleet import wait_until
from .instances import make_config_spec
from .site import KEY, PROMPT_HEADERS, Site, open_site

CALLERS = 4
NODES = 3
MODELS = 3
APPS = 2
PAUSE_S = (0.05, 0.4)
# Allows for leases to expire, peers to reconnect and weights to load.
MAX_RECOVERY_S = 20.0
NOT_RUN_STATUSES = frozenset({401, 404, 429, 503})


@dataclass(frozen=True)
class Outcome:
    """Hold the result of one request as its caller saw it.

    `is_right` is False if an answer with status 200 was incomplete or wrong.
    """

    id: str
    kind: str
    status: int
    is_right: bool


@dataclass
class SoakRun:
    """Hold the state of one soak run."""

    site: Site
    rng: Random
    weights_version: int = 1
    config_version: int = 7
    life: int = 1000
    outcomes: list[Outcome] = field(default_factory=list)
    actions: list[str] = field(default_factory=list)
    is_over: bool = False


def run_soak(seed: int, seconds: float) -> tuple[list[str], SoakRun]:
    """Run one soak and return the violated guarantees and the run."""
    with open_site(nodes=NODES, models=MODELS, apps=APPS) as site:
        soak = SoakRun(site, Random(seed))
        threads = [
            threading.Thread(target=_send_requests, args=(soak, number, seed))
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
        _clear_faults(soak)
        return find_violations(soak), soak


def _send_requests(soak: SoakRun, number: int, seed: int) -> None:
    """Send requests of random kinds to random instances until the run is over."""
    rng = Random(f"{seed}/{number}")
    request_count = 0
    while not soak.is_over:
        request_count += 1
        kind = rng.choice(("order", "lookup", "long", "short"))
        node = f"n{rng.randrange(NODES)}"
        soak.outcomes.append(
            call_once(soak.site, kind, node, f"c{number}-{request_count}")
        )


def call_once(site: Site, kind: str, node: str, id: str) -> Outcome:
    """Send one request and return its outcome."""
    if kind in ("long", "short"):
        path = "/long/1" if kind == "long" else "/long/short/1"
        status, _, body = site.call(
            node, path, host="h1.example", id=id, **PROMPT_HEADERS
        )
        return Outcome(id, kind, status, status != 200 or is_complete_stream(body))
    method = "POST" if kind == "order" else "GET"
    request_body = b"{}" if kind == "order" else b""
    status, _, body = site.call(
        node, f"/{kind}/1", method=method, body=request_body, id=id
    )
    expected = hashlib.sha256(id.encode() + request_body).hexdigest().encode()
    return Outcome(id, kind, status, status != 200 or body == expected)


def is_complete_stream(body: bytes) -> bool:
    """Report whether a stream has each event of the answer exactly once and in order."""
    texts = [
        hashlib.sha256(b"{}" + b"/%d" % number).hexdigest().encode()[:16]
        for number in range(1, EVENTS_PER_STREAM + 1)
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
        {
            "break_after_events": soak.rng.randrange(EVENTS_PER_STREAM),
            "break_streams": 2,
        },
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


def _leave(soak: SoakRun) -> None:
    """Let a replica say that it leaves, and later begin its next life."""
    service, letter, count = soak.rng.choice(
        (("models", "m", MODELS), ("app", "a", APPS))
    )
    number = soak.rng.randrange(count)
    id = f"{letter}{number}"
    soak.site.set_replica_faults(id, is_leaving=True)
    time.sleep(soak.rng.uniform(0.2, 1.5))
    soak.life += 1000
    soak.site.set_replica_faults(id, is_leaving=False, born=soak.life)
    version = soak.site.read_counts(id)["version"]
    models = [{"name": "m1", "version": version}] if service == "models" else []
    soak.site.write_entry(id, service, zone=f"z{number}", models=models, born=soak.life)


def _rest(soak: SoakRun) -> None:
    """Let a replica ask for rest, or all of a service."""
    letter, count = soak.rng.choice((("m", MODELS), ("a", APPS)))
    numbers = range(count)
    if soak.rng.random() < 0.7:
        numbers = [soak.rng.randrange(count)]
    for number in numbers:
        rest_s = soak.rng.uniform(0.2, 3.0)
        soak.site.set_replica_faults(f"{letter}{number}", rest_s=rest_s)


def _name_weights(soak: SoakRun) -> None:
    soak.weights_version += 1
    soak.site.write_object(
        "versions", "m1", {"model": "m1", "version": soak.weights_version}
    )


def _change_config(soak: SoakRun) -> None:
    soak.config_version += 1
    spec = make_config_spec(soak.config_version)
    spec["tenants"][0]["api_keys"] = [KEY, f"key-{soak.config_version}"]
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
    _leave,
    _rest,
    _name_weights,
    _name_weights,
    _change_config,
)


def _clear_faults(soak: SoakRun) -> None:
    """Clear all faults, then publish a new weights version and configuration."""
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
            rest_s=0.0,
            is_leaving=False,
        )
    _name_weights(soak)
    _change_config(soak)


def find_violations(soak: SoakRun) -> list[str]:
    """Return a line for each violation of a guarantee."""
    site = soak.site
    violations = _check_recovery(soak)
    counts = {id: site.read_counts(id) for id in site.replica_port_by_id}
    for outcome in soak.outcomes:
        runs = sum(row["runs_by_request"].get(outcome.id, 0) for row in counts.values())
        request_label = f"{outcome.kind} {outcome.id} ({outcome.status})"
        if not outcome.is_right:
            violations.append(f"{request_label}: a wrong or cut answer looked whole")
        if outcome.kind in ("order", "short") and runs > 1:
            violations.append(f"{request_label}: ran {runs} times")
        if (
            outcome.kind in ("order", "short")
            and runs
            and (outcome.status in NOT_RUN_STATUSES)
        ):
            violations.append(f"{request_label}: was said not to have run")
    leaked = sum(row["leaked_headers"] for row in counts.values())
    if leaked:
        violations.append(f"{leaked} headers of callers reached replicas")
    for id, row in counts.items():
        violations += _check_orders(id, row["orders"])
    if not any(outcome.status == 200 for outcome in soak.outcomes):
        violations.append("nothing was served")
    return violations


def _check_recovery(soak: SoakRun) -> list[str]:
    """Check that weights and configuration are applied after the faults are cleared."""
    site = soak.site
    key = f"key-{soak.config_version}"

    def are_weights_loaded() -> bool:
        rows = [site.read_counts(f"m{n}") for n in range(MODELS)]
        return all(row["version"] == soak.weights_version for row in rows)

    def is_config_in_force() -> bool:
        names = [f"n{n}" for n in range(NODES)]
        return all(site.call(n, "/order/1", key=key)[0] == 200 for n in names)

    violations = []
    for condition, failure in (
        (are_weights_loaded, "named weights are not in place"),
        (is_config_in_force, "the configuration is not in force"),
    ):
        try:
            wait_until(condition, MAX_RECOVERY_S)
        except TimeoutError:
            violations.append(f"{failure} after {MAX_RECOVERY_S} s")
    return violations


def _check_orders(id: str, orders: list[dict]) -> list[str]:
    """Check that fencing tokens never decrease and that each has only one holder."""
    violations = []
    fences = [order["fence"] for order in orders]
    if fences != sorted(fences):
        violations.append(f"orders to {id} with falling fencing numbers {fences}")
    holders_by_fence: dict[int, set[str]] = {}
    for order in orders:
        holders_by_fence.setdefault(order["fence"], set()).add(order["holder"])
    for fence, holders in holders_by_fence.items():
        if len(holders) > 1:
            violations.append(
                f"{sorted(holders)} gave {id} orders with fencing {fence}"
            )
    return violations
