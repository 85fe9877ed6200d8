"""Provide the base class of tests that run instances on a simulated platform."""

from __future__ import annotations

import unittest

from .site import open_site

# The users' bound for applying a configuration change.
MAX_CONFIG_APPLY_S = 2.0


class SiteTest(unittest.TestCase):
    """Run each test on a site of its own."""

    nodes = 2
    zones: int | None = None

    def setUp(self) -> None:
        """Start the site."""
        context = open_site(nodes=self.nodes, zones=self.zones)
        self.site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def count_runs(self, id: str) -> int:
        """Return how often a request ran, summed over all replicas."""
        return sum(
            self.site.read_counts(name)["runs_by_request"].get(id, 0)
            for name in self.site.replica_port_by_id
        )

    def read_weights_versions(self) -> list[int]:
        """Return the weights versions of the model replicas."""
        return [self.site.read_counts(f"m{number}")["version"] for number in range(2)]
