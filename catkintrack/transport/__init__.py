"""Exchange messages between processes over ZeroMQ."""

from .sockets import (
    Link,
    LinkKeys,
    MessageHandler,
    bind_authenticator,
    bind_link,
    connect_link,
    open_context,
    run_authenticator,
)

__all__ = [
    "Link",
    "LinkKeys",
    "MessageHandler",
    "bind_authenticator",
    "bind_link",
    "connect_link",
    "open_context",
    "run_authenticator",
]
