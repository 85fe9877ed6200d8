"""Serve HTTP/1.1 to callers and send HTTP/1.1 requests to upstreams."""

from .client import (
    Address,
    ClientLimits,
    Exchange,
    Pool,
    close_pool,
    fetch,
    open_exchange,
    record_lost,
)
from .connections import RESET_ON_CLOSE, Connection, Server, ServerLimits
from .errors import (
    BadRequest,
    CallerDisconnected,
    HttpError,
    SendForbidden,
    UpstreamDisconnected,
    UpstreamExchangeError,
    UpstreamResponseTooLarge,
    UpstreamTimeout,
    UpstreamUnreachable,
)
from .event_streams import EventBuffer, drop_searched, split_events
from .messages import (
    Headers,
    Request,
    ResponseHead,
    find_header,
    strip_hop_by_hop_headers,
)
from .request_reading import DRAIN_READ_S
from .server import (
    BadRequestHandler,
    Handler,
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
    "DRAIN_READ_S",
    "Address",
    "BadRequest",
    "BadRequestHandler",
    "CallerDisconnected",
    "ClientLimits",
    "EventBuffer",
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
    "UpstreamDisconnected",
    "UpstreamExchangeError",
    "UpstreamResponseTooLarge",
    "UpstreamTimeout",
    "UpstreamUnreachable",
    "disable_keep_alive",
    "find_remaining_s",
    "record_event",
    "record_lost",
    "record_received",
    "split_events",
    "close_pool",
    "drain_server",
    "drop_searched",
    "strip_hop_by_hop_headers",
    "find_header",
    "fetch",
    "open_exchange",
    "open_server",
]
