"""Define the messages between agents, and between an agent and its routers.

A message is encoded as an array: its class name, then its fields by position.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from catkintrack.config import ConfigChange


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Represent a message that is encoded with its class name as tag."""


# Between a router and an agent.


class RouterHello(Message):
    """Announce a live router and its configuration revision to an agent."""

    revision: int


class ConfigChanges(Message):
    """Carry accepted configuration changes in revision order."""

    changes: tuple[ConfigChange, ...]


class ConfigSnapshot(Message):
    """Carry the encoded snapshot of a configuration state."""

    data: bytes


class ConfigPull(Message):
    """Request the configuration changes after a revision."""

    revision: int


class MemberRow(Message):
    """Describe one live instance to a router."""

    instance: str
    zone: str
    routers_host: str
    routers_port: int


class FleetView(Message):
    """Send a router the members and whether its keys and limits can be relied on.

    With `is_joining_blocked` the agent can reserve no tokens before the platform is back.
    With `is_meeting_others` it is new and has met none of the other instances yet.
    """

    agent_incarnation: int
    revision: int
    are_keys_current: bool
    are_limits_ready: bool
    members: tuple[MemberRow, ...]
    leaving_instances: tuple[str, ...]
    is_joining_blocked: bool = False
    is_meeting_others: bool = False


class LoadReport(Message):
    """Report the load of an upstream's engine, measured `age_s` seconds ago."""

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
    """Carry the latest load reports."""

    reports: tuple[LoadReport, ...]


class CacheEvents(Message):
    """Carry the KV cache blocks that one engine stored and evicted.

    `is_reset` tells the receiver to discard all blocks known before.
    """

    upstream: str
    incarnation: str
    is_reset: bool
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class ReserveRequest(Message):
    """Request tokens of a workspace's rate limit."""

    reservation: int
    workspace: str
    tokens: int


class ReserveOutcome(Enum):
    """Enumerate the outcomes of a reservation request."""

    GRANTED = "granted"
    OVER_LIMIT = "over_limit"
    UNAVAILABLE = "unavailable"


class ReserveAnswer(Message):
    """Answer a reservation request, with the delay before a retry if refused."""

    reservation: int
    outcome: ReserveOutcome
    retry_after_s: float


class Settle(Message):
    """Return a reservation's unused tokens; a negative number debits an overrun."""

    workspace: str
    tokens: int


class ClaimRequest(Message):
    """Request the claim on a call that may run at most once."""

    request: int
    name: str
    owner: str
    fingerprint: str


class ClaimAnswer(Message):
    """Answer a claim request with the value of a ClaimVerdict.

    `response` is set if the call has already run and its response is stored.
    """

    request: int
    verdict: str
    response: bytes


class ClaimFinish(Message):
    """Report a claimed call's response to be stored, or that the call did not run.

    A sender that waits for the answer gives the number of its `request`.
    """

    name: str
    owner: str
    has_run: bool
    response: bytes
    request: int = 0


class ClaimFinished(Message):
    """Answer a claim's outcome with whether it is known to be stored."""

    request: int
    is_recorded: bool


class PrefillNews(Message):
    """Tell other routers that a long prefill has started."""

    id: str
    upstream: str
    blocks: tuple[int, ...]
    tokens: int
    priority: int


class PrefillEnd(Message):
    """Tell other routers that a prefill has ended.

    `incarnation` is the engine's, empty if the prefill failed.
    """

    id: str
    incarnation: str


# Between agents.


class MemberNews(Message):
    """Carry the newest known state of one member for gossip."""

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
    """Tell a peer that the sender is alive, with membership news to gossip."""

    revision: int
    platform_age_s: float
    ledger_generation: int
    news: tuple[MemberNews, ...]


class Probe(Message):
    """Request a heartbeat from a suspect peer."""


class VouchRequest(Message):
    """Ask a peer whether it has recently heard from a suspect member."""

    instance: str


class Vouch(Message):
    """Confirm that a member was known to be alive `age_s` seconds ago."""

    instance: str
    incarnation: int
    age_s: float


class LendRequest(Message):
    """Ask a peer to lend tokens of a workspace; the lower ticket has priority.

    If `tokens` is None, the peer lends as many as give both holders equal tokens per
    part.  `headroom` is the number of tokens from this peer that the borrower can hold
    with its current parts.
    """

    generation: int
    workspace: str
    tokens: float | None
    held_parts: int
    held_tokens: float
    headroom: float
    ticket: int


class LendRefusal(Message):
    """Refuse a lend request; `is_contended` means that a retry may succeed."""

    generation: int
    workspace: str
    ticket: int
    is_contended: bool


class Grant(Message):
    """Transfer parts and tokens of a workspace's limit to the receiver."""

    generation: int
    receiver_incarnation: int
    sequence: int
    workspace: str
    parts: int
    tokens: float
    ticket: int


class GrantAck(Message):
    """Acknowledge all grants up to a sequence number."""

    sender_incarnation: int
    sequence: int


class Freeze(Message):
    """Tell a holder to stop lending for a recount and to report the parts it holds."""

    generation: int
    recount: int


class Held(Message):
    """Report the parts that a frozen holder holds, by workspace."""

    generation: int
    recount: int
    parts_by_workspace: dict[str, int]


class Thaw(Message):
    """Tell frozen holders that a recount was abandoned and cannot be committed."""

    generation: int
    recount: int


class LedgerNews(Message):
    """Carry the newest known ledger of limit shares, encoded."""

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
    | ClaimFinished
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
    """Wrap one message with its sender and the sender's incarnation."""

    sender: str
    incarnation: int
    body: Body


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the envelope encoded as MessagePack."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope | None:
    """Return the envelope decoded from `data`, or None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
