"""Speak HTTP/1.1 to callers and upstreams."""

from .client import (
    Address,
    ClientLimits,
    Exchange,
    Pool,
    close_pool,
    fetch,
    open_exchange,
)
from .errors import (
    BadRequest,
    CallerGone,
    HttpError,
    UpstreamBroken,
    UpstreamTimeout,
    UpstreamUnreachable,
)
from .messages import (
    Headers,
    Request,
    ResponseHead,
    end_to_end_headers,
    find_header,
)
from .server import (
    BadRequestHandler,
    Connection,
    Handler,
    Server,
    ServerLimits,
    announce_leaving,
    drain_server,
    open_server,
)

__all__ = [
    "Address",
    "BadRequest",
    "BadRequestHandler",
    "CallerGone",
    "ClientLimits",
    "Connection",
    "Exchange",
    "Handler",
    "Headers",
    "HttpError",
    "Pool",
    "Request",
    "ResponseHead",
    "Server",
    "ServerLimits",
    "UpstreamBroken",
    "UpstreamTimeout",
    "UpstreamUnreachable",
    "announce_leaving",
    "close_pool",
    "drain_server",
    "end_to_end_headers",
    "find_header",
    "fetch",
    "open_exchange",
    "open_server",
]
