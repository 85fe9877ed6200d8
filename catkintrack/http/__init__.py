"""Serve HTTP/1.1 to callers and send HTTP/1.1 requests to upstreams."""

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
    CallerDisconnected,
    HttpError,
    SendForbidden,
    UpstreamExchangeError,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
    UpstreamUnreachable,
)
from .event_streams import split_events
from .messages import (
    Headers,
    Request,
    ResponseHead,
    find_header,
    strip_hop_by_hop_headers,
)
from .server import (
    RESET_ON_CLOSE,
    BadRequestHandler,
    Connection,
    Handler,
    Server,
    ServerLimits,
    disable_keep_alive,
    drain_server,
    open_server,
)
from .stream_bounds import (
    StreamBounds,
    find_remaining_s,
    record_event,
    record_received,
)

__all__ = [
    "Address",
    "BadRequest",
    "BadRequestHandler",
    "CallerDisconnected",
    "ClientLimits",
    "Connection",
    "Exchange",
    "Handler",
    "Headers",
    "HttpError",
    "Pool",
    "RESET_ON_CLOSE",
    "Request",
    "ResponseHead",
    "SendForbidden",
    "Server",
    "ServerLimits",
    "StreamBounds",
    "UpstreamExchangeError",
    "UpstreamResponseTooLarge",
    "UpstreamTimeout",
    "UpstreamUnreachable",
    "disable_keep_alive",
    "find_remaining_s",
    "record_event",
    "record_received",
    "split_events",
    "close_pool",
    "drain_server",
    "strip_hop_by_hop_headers",
    "find_header",
    "fetch",
    "open_exchange",
    "open_server",
]
