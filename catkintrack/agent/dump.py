"""Build the state dump and the readiness check of an agent."""

from __future__ import annotations

import time
from typing import Any

from catkintrack import limits
from catkintrack.membership import list_alive

from .routers import make_fleet_view
from .state import Agent


def dump_agent(agent: Agent) -> dict[str, Any]:
    """Return the agent's state as JSON-compatible data, without keys or secrets."""
    now = time.monotonic()
    return {
        "process": "agent",
        "instance": agent.instance,
        "zone": agent.settings.instance.zone,
        "incarnation": agent.incarnation,
        "revision": agent.config.revision,
        "are_keys_current": make_fleet_view(agent).are_keys_current,
        "platform_age_s": round(now - agent.fleet_platform_contact_at, 3),
        "platform_calls": dict(agent.platform.count_by_call),
        "members": _dump_members(agent, now),
        "limits": _dump_limits(agent, now),
        "routers": [
            {"name": session.name, "revision": session.revision}
            for session in agent.session_by_identity.values()
        ],
        "engines": _dump_engines(agent),
        "leaving_instances": make_fleet_view(agent).leaving_instances,
    }


def _dump_members(agent: Agent, now: float) -> list[dict[str, Any]]:
    return [
        {
            "instance": name,
            "state": member.state.value,
            "incarnation": member.incarnation,
            "zone": member.news.zone,
            "heard_s_ago": round(now - member.last_alive_at, 3),
        }
        for name, member in sorted(agent.members.member_by_instance.items())
    ]


def _dump_limits(agent: Agent, now: float) -> dict[str, Any]:
    holder = agent.limits.holder
    rows = {}
    for workspace in holder.shares.share_by_workspace:
        share = limits.refresh_share(holder.shares, workspace, now)
        rows[workspace] = {"parts": share.parts, "tokens": round(share.tokens, 1)}
    return {
        "generation": holder.ledger.generation,
        "members": holder.ledger.members,
        "unresolved": holder.ledger.unresolved,
        "is_frozen": holder.is_frozen,
        "shares": rows,
    }


def _dump_engines(agent: Agent) -> list[dict[str, Any]]:
    return [
        {
            "upstream": feed.upstream,
            "incarnation": feed.incarnation,
            "sequence": feed.sequence,
            "cached_blocks": len(feed.blocks),
            "running": feed.load.running if feed.load else None,
            "waiting": feed.load.waiting if feed.load else None,
        }
        for feed in agent.feed_by_upstream.values()
    ]


def is_agent_ready(agent: Agent) -> bool:
    """Report whether the agent has configuration and isn't stopping.

    It must also have found a live peer or read the configuration head.
    """
    is_joined = len(list_alive(agent.members)) > 1 or agent.head_version > 0
    return agent.config.revision > 0 and is_joined and not agent.is_stopping
