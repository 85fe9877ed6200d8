"""Run a module with one of its mechanisms disabled, as a mutation test.

The test of a guarantee must fail when the mechanism behind the guarantee is disabled;
`bin/check_seeded.py` checks this.  Usage: `python -m testkit.seeded FAULT MODULE
ARGUMENTS`.
"""

from __future__ import annotations

import importlib
import runpy
import sys
from collections.abc import Callable
from typing import Any


def _replace(path: str, name: str, value: Any) -> None:
    setattr(importlib.import_module(path), name, value)


def _credit_dead_engines() -> None:
    """Keep the cached blocks of engines that crashed."""
    _replace("catkintrack.decisions.residency", "clear_cached_blocks", lambda *_: None)
    _replace("catkintrack.decisions.scheduler", "clear_cached_blocks", lambda *_: None)


def _ignore_token_order() -> None:
    """Accept stream events in any order and resume without the delivered text."""
    events = importlib.import_module("catkintrack.router.events")
    original = events.EventReader._read_event

    def read_event(self: Any, event: bytes) -> bytes:
        if event.startswith(b"id: "):
            data = event.partition(b"\n")[2]
            event = b"id: %d\n%s" % (self.progress.next_index, data)
        return original(self, event)

    events.EventReader._read_event = read_event
    events.StreamProgress.delivered = property(lambda self: "")


def _wait_for_the_platform() -> None:
    """Count keys as current only if the platform answered within the last second."""
    freshness = importlib.import_module("catkintrack.agent.freshness")

    def are_current(evidence: Any) -> bool:
        return evidence.platform_age_s < 1.0

    freshness.are_keys_current = are_current
    _replace("catkintrack.agent.routers", "are_keys_current", are_current)


def _accept_any_key() -> None:
    """Accept any secret."""
    _replace("catkintrack.router.authentication", "is_secret_valid", lambda *_: True)


def _keep_keys() -> None:
    """Forward the keys of callers to upstreams."""
    _replace(
        "catkintrack.router.service_calls", "strip_keys", lambda headers, _: headers
    )


def _cut_nothing() -> None:
    """Let the calls of withdrawn keys continue."""

    async def cut_nothing(_router: Any) -> None:
        """Do nothing."""

    _replace("catkintrack.router.agent_links", "cancel_withdrawn_calls", cut_nothing)


def _lend_twice() -> None:
    """Lend limit shares without deducting them from the lender's own."""
    lending = importlib.import_module("catkintrack.limits.lending")
    original = lending.lend

    def lend_without_deduction(
        holder: Any, peer: str, workspace: str, *rest: Any
    ) -> Any:
        row = holder.shares.share_by_workspace.get(workspace)
        before = (row.parts, row.tokens) if row else None
        grant = original(holder, peer, workspace, *rest)
        if before is not None:
            row.parts, row.tokens = before
        return grant

    _replace("catkintrack.limits", "lend", lend_without_deduction)


def _trust_any_answer() -> None:
    """Accept responses without the request ID and reuse every connection."""
    client = importlib.import_module("catkintrack.http.client")

    def skip_echo_check(self: Any, _headers: Any) -> None:
        self.has_request_id_echo = True

    client.Exchange._check_request_id_echo = skip_echo_check
    client.Exchange.has_unread_input = lambda self: False
    client.Exchange.is_reusable = lambda self: True


def _call_everything_not_run() -> None:
    """Mark every failed call as not run."""
    refusals = importlib.import_module("catkintrack.router.refusals")
    refusals.UpstreamFailed.is_not_run = True
    refusals.OutcomeUnknown.is_not_run = True


def _claim_without_asking() -> None:
    """Run calls without claiming their idempotency keys."""
    claims = importlib.import_module("catkintrack.claims")

    async def grant_any_claim(*_: Any) -> Any:
        return claims.ClaimVerdict.RUN, b""

    _replace("catkintrack.router.service_calls", "request_claim", grant_any_claim)


def _ignore_leaving() -> None:
    """Send calls to leaving upstreams."""
    scheduler = importlib.import_module("catkintrack.decisions.scheduler")
    original = scheduler.sync_upstreams

    def sync_without_leaving(tables: Any, *rest: Any) -> None:
        original(tables, *rest)
        for row in tables.upstream_by_name.values():
            row.is_leaving = False

    _replace("catkintrack.router.agent_links", "sync_upstreams", sync_without_leaving)


def _stop_at_once() -> None:
    """Stop servers without draining them."""

    async def drain(_server: Any) -> None:
        """Do nothing."""

    _replace("catkintrack.router.process", "drain_server", drain)


def _follow_any_head() -> None:
    """Apply any stored head, also one of an earlier revision."""
    feed = importlib.import_module("catkintrack.agent.config_feed")
    state = importlib.import_module("catkintrack.config.state")

    def follow_any(_known: Any, head: Any) -> Any:
        return state.ConfigState(head.revision, _known.value_by_name_by_kind)

    _replace("catkintrack.objects.config_store", "apply_head_changes", follow_any)
    original = feed.activate_config

    async def activate_any(agent: Any, new: Any, changes: Any) -> bool:
        agent.config = new
        return await original(agent, new, changes)

    feed.activate_config = activate_any


FAULT_BY_NAME: dict[str, Callable[[], None]] = {
    "credit_dead_engines": _credit_dead_engines,
    "ignore_token_order": _ignore_token_order,
    "wait_for_the_platform": _wait_for_the_platform,
    "accept_any_key": _accept_any_key,
    "keep_keys": _keep_keys,
    "cut_nothing": _cut_nothing,
    "lend_twice": _lend_twice,
    "trust_any_answer": _trust_any_answer,
    "call_everything_not_run": _call_everything_not_run,
    "claim_without_asking": _claim_without_asking,
    "ignore_leaving": _ignore_leaving,
    "stop_at_once": _stop_at_once,
    "follow_any_head": _follow_any_head,
}


def main() -> None:
    """Disable one mechanism and run a module as the main program."""
    fault, module, *arguments = sys.argv[1:]
    FAULT_BY_NAME[fault]()
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__")


if __name__ == "__main__":
    main()
