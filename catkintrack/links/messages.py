"""Define the messages between agents, and between an agent and its routers."""

from __future__ import annotations

from enum import Enum

import msgspec

from catkintrack.config import Change


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Name a message by its type when encoded."""


# Between a router and an agent.


class RouterHello(Message):
    """Tell an agent that a router lives and which revision it has."""

    revision: int


class ConfigChanges(Message):
    """Carry accepted changes in order."""

    changes: tuple[Change, ...]


class ConfigSnapshot(Message):
    """Carry a whole encoded state."""

    data: bytes


class ConfigPull(Message):
    """Ask for what follows a revision."""

    revision: int


class MemberRow(Message):
    """Describe one live instance to a router."""

    instance: str
    zone: str
    routers_host: str
    routers_port: int


class FleetView(Message):
    """Tell a router who lives and what it can rely on."""

    agent_incarnation: int
    revision: int
    are_keys_current: bool
    are_limits_ready: bool
    members: tuple[MemberRow, ...]
    leaving_instances: tuple[str, ...]


class LoadReport(Message):
    """Report one engine's load, as of `age_s` seconds ago."""

    upstream: str
    incarnation: str
    weights: str
    running: int
    waiting: int
    prefill_tokens: int
    capacity_blocks: int
    is_loading: bool
    age_s: float


class LoadReports(Message):
    """Carry the newest load reports."""

    reports: tuple[LoadReport, ...]


class CacheEvents(Message):
    """Carry changes of one engine's cache; `is_reset` says to forget the rest."""

    upstream: str
    incarnation: str
    is_reset: bool
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class ReserveRequest(Message):
    """Ask for tokens of a workspace's limit."""

    reservation: int
    workspace: str
    tokens: int


class ReserveOutcome(Enum):
    """Say what became of a reservation."""

    GRANTED = "granted"
    OVER_LIMIT = "over_limit"
    UNAVAILABLE = "unavailable"


class ReserveAnswer(Message):
    """Grant tokens, or name the seconds after which to ask again."""

    reservation: int
    outcome: ReserveOutcome
    retry_after_s: float


class Settle(Message):
    """Give back reserved tokens that were not used; negative ones are owed."""

    workspace: str
    tokens: int


class ClaimRequest(Message):
    """Ask to run a call that may run at most once."""

    request: int
    name: str
    owner: str
    fingerprint: str


class ClaimAnswer(Message):
    """Answer a claim by its status; the kept response comes when it is done."""

    request: int
    status: str
    response: bytes


class ClaimFinish(Message):
    """Keep the response of a claimed call, or say that it did not run."""

    name: str
    owner: str
    has_run: bool
    response: bytes


class PrefillNews(Message):
    """Tell other routers that a long prefill has begun."""

    id: str
    upstream: str
    blocks: tuple[int, ...]
    tokens: int
    priority: int


class PrefillEnd(Message):
    """Tell other routers that a prefill has ended; no incarnation if it failed."""

    id: str
    incarnation: str


# Between agents.


class MemberNews(Message):
    """Tell a member's newest known incarnation and whether it lives."""

    instance: str
    incarnation: int
    version: int
    is_alive: bool
    zone: str
    mesh_host: str
    mesh_port: int
    routers_host: str
    routers_port: int


class Heartbeat(Message):
    """Tell a peer that the sender lives, with news about members."""

    revision: int
    platform_age_s: float
    ledger_generation: int
    news: tuple[MemberNews, ...]


class Probe(Message):
    """Ask a silent peer for a heartbeat."""


class VouchRequest(Message):
    """Ask a peer whether it hears a member."""

    instance: str


class Vouch(Message):
    """Tell a peer that the sender heard a member `age_s` seconds ago."""

    instance: str
    incarnation: int
    age_s: float


class LendRequest(Message):
    """Ask a peer for tokens of a workspace; the lower ticket goes first.

    Without `tokens` the peer is to lend what makes both equally full.  `headroom`
    is what the asker can hold, without more parts, of this peer's tokens.
    """

    generation: int
    workspace: str
    tokens: float | None
    held_parts: int
    held_tokens: float
    headroom: float
    ticket: int


class LendRefusal(Message):
    """Tell a peer that nothing can be lent now; contended when that may change."""

    generation: int
    workspace: str
    ticket: int
    is_contended: bool


class Grant(Message):
    """Move parts and tokens of a workspace's limit to the receiver."""

    generation: int
    receiver_incarnation: int
    sequence: int
    workspace: str
    parts: int
    tokens: float
    ticket: int


class GrantAck(Message):
    """Confirm every grant up to a sequence number."""

    sender_incarnation: int
    sequence: int


class Freeze(Message):
    """Ask a holder to stop lending in a generation and report what it holds."""

    generation: int
    recount: int


class Held(Message):
    """Report what a frozen holder holds, by workspace."""

    generation: int
    recount: int
    parts_by_workspace: dict[str, int]


class Thaw(Message):
    """Tell frozen holders that a recount was given up for good."""

    generation: int
    recount: int


class LedgerNews(Message):
    """Carry the newest ledger of shares, encoded."""

    data: bytes


Body = (
    RouterHello
    | ConfigChanges
    | ConfigSnapshot
    | ConfigPull
    | FleetView
    | LoadReports
    | CacheEvents
    | ReserveRequest
    | ReserveAnswer
    | Settle
    | ClaimRequest
    | ClaimAnswer
    | ClaimFinish
    | PrefillNews
    | PrefillEnd
    | Heartbeat
    | Probe
    | VouchRequest
    | Vouch
    | LendRequest
    | LendRefusal
    | Grant
    | GrantAck
    | Freeze
    | Held
    | Thaw
    | LedgerNews
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Carry one message with its sender and the sender's incarnation."""

    sender: str
    incarnation: int
    body: Body


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope as MessagePack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Return the envelope in `data`, or None when it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
