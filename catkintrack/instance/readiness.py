"""Answer the readiness checks of the platform's load balancer."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from catkintrack.http import Connection, Request, Server, open_server
from catkintrack.platform import READY_PATH

from .state import Instance

logger = logging.getLogger(__name__)


def is_ready(instance: Instance) -> bool:
    """Report whether the load balancer should send calls to this instance."""
    if instance.is_stopping or instance.config is None:
        return False
    return bool(instance.upstream_by_id)


@asynccontextmanager
async def open_readiness_server(instance: Instance) -> AsyncIterator[Server]:
    """Serve readiness checks until the block ends."""

    async def handle(request: Request, connection: Connection) -> None:
        status = 404
        if request.path == READY_PATH:
            status = 200 if is_ready(instance) else 503
        await connection.respond(status, (), b"")

    address = instance.site.readiness
    async with open_server(address.host, address.port, handle) as server:
        yield server
