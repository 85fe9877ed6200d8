"""Build the state dump and the readiness check of a router."""

from __future__ import annotations

import time
from typing import Any

from catkintrack.decisions.load import estimate_running, estimate_wait_s

from .agent_links import has_current_keys
from .state import Router

LOWEST_PRIORITY = 9  # priorities run from 0, served first, to 9


def dump_router(router: Router) -> dict[str, Any]:
    """Return the router's state as JSON-compatible data, without keys or secrets."""
    now = time.monotonic()
    decisions = router.decisions
    return {
        "process": "router",
        "name": router.name,
        "instance": router.settings.instance.id,
        "zone": router.settings.instance.zone,
        "revision": router.config.revision,
        "are_keys_known": has_current_keys(router, now),
        "open_calls": len(router.open_calls),
        "waiting_calls": decisions.waiting_count,
        "retry_budget": decisions.retry_budget
        and round(decisions.retry_budget.level, 2),
        "known_blocks": len(decisions.residency.holders_by_block),
        "agents": [
            {
                "instance": agent.instance,
                "heard_s_ago": round(now - agent.last_message_at, 3),
                "members": [row.instance for row in agent.view.members]
                if agent.view
                else [],
            }
            for agent in router.agents
        ],
        "upstreams": [
            {
                "name": row.name,
                "incarnation": row.incarnation,
                "in_flight": row.in_flight,
                "running": estimate_running(row, now),
                "wait_s": round(
                    estimate_wait_s(decisions, row, now, LOWEST_PRIORITY), 4
                ),
                "is_leaving": row.is_leaving,
                "is_ejected": now < row.ejected_until,
            }
            for row in decisions.upstream_by_name.values()
        ],
        "workspaces": [
            {
                "name": row.name,
                "waiting": len(row.waiting),
                "virtual_finish": round(row.virtual_finish, 1),
            }
            for row in decisions.workspace_by_name.values()
        ],
    }


def is_router_ready(router: Router) -> bool:
    """Report whether the router can serve a call that needs an API key."""
    are_keys_current = has_current_keys(router, time.monotonic())
    return are_keys_current and router.config.revision > 0 and not router.is_stopping
