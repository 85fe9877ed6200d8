"""Decide how long a watch of the store may wait for changes.

A watch that the store never answers looks like one without changes.  Only its time
limit reveals it, so this limit bounds how late an instance hears of changes once the
store, or the path to it, is back.
"""

from __future__ import annotations

from catkintrack.fleet import Bounds
from catkintrack.platform import WATCH_MARGIN_S

# A pause after the failure and the list that follows it, in seconds.
RELIST_RESERVE_S = 0.5
# Wait of a watch that shows whether the store answers, in seconds.
PROBE_WAIT_S = 0.05
# From the failure of a watch on which peers rely until they have the changes from others,
# in seconds.
TAKEOVER_S = 1.0
RELIED_WAIT_MAX_S = 2.0
WAIT_MAX_S = 8.0
# Short bounds must not turn watches into a load on the store.
WAIT_MIN_S = 0.5


def choose_watch_wait_s(
    bounds: Bounds, is_store_heard: bool, is_relied_on: bool
) -> float:
    """Return how long a watch of configuration or discovery may wait, in seconds.

    An instance has to know all changes `stable_window_s` after the end of a disruption.
    Peers that rely on its watch have no disruption of their own while that hangs, and have
    to know them within the operators' bounds on changes and on leaving replicas.
    Until the store has answered, watches are short, since it may answer none of them.
    """
    if not is_store_heard:
        return PROBE_WAIT_S
    wait_s = bounds.stable_window_s - WATCH_MARGIN_S - RELIST_RESERVE_S
    longest_s = WAIT_MAX_S
    if is_relied_on:
        bound_s = min(bounds.config_apply_s, bounds.drain_s)
        longest_s = min(RELIED_WAIT_MAX_S, bound_s - WATCH_MARGIN_S - TAKEOVER_S)
    return max(WAIT_MIN_S, min(longest_s, wait_s))


def choose_weights_wait_s(bounds: Bounds, is_store_heard: bool) -> float:
    """Return how long a watch of target weights may wait, in seconds.

    Half of the time that replicas may use replaced weights is left for loading.
    """
    if not is_store_heard:
        return PROBE_WAIT_S
    wait_s = bounds.stable_window_s + bounds.weights_s / 2
    wait_s -= WATCH_MARGIN_S + RELIST_RESERVE_S
    return max(WAIT_MIN_S, min(WAIT_MAX_S, wait_s))
