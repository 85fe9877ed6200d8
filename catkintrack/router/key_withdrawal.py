"""Cancel open calls whose API key was withdrawn."""

from __future__ import annotations

from catkintrack.config import Key

from .state import OpenCall, Router


def is_key_still_valid(router: Router, call: OpenCall) -> bool:
    """Report whether a call's API key is still valid for the call's workspace."""
    if call.key_id is None:
        return True
    key: Key | None = router.tables.key_by_id.get(call.key_id)
    if key is None or key.is_withdrawn:
        return False
    return key.workspace.name == call.workspace


async def cancel_withdrawn_calls(router: Router) -> None:
    """Cancel every open call whose API key is no longer valid."""
    for call in list(router.open_calls):
        if not call.is_cancelled and not is_key_still_valid(router, call):
            call.is_cancelled = True
            router.metrics.cancelled_calls.inc({"workspace": call.workspace or ""})
            await call.task.cancel(blocking=False)
