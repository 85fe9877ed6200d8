"""Change the configuration concurrently and while processes or the platform fail."""

import time
import unittest

import curio
import yaml

from catkintrack.cli.calls import load_state
from catkintrack.cli.config_commands import compute_edit
from catkintrack.http import Address
from catkintrack.objects import PlatformClient, submit_change
from testkit.caller import call_http
from testkit.cases import FleetTestCase, make_chat, run_concurrently
from testkit.fleet import call_json, wait_until

MAX_PROPAGATION_S = 5.0


class ConfigurationTest(FleetTestCase):
    engines = 1

    def set_rate(self, rate):
        return self.fleet.run_cli("workspace", "set", "w1", "--rate", str(rate))

    def apply(self, kinds, *options):
        path = self.fleet.directory / "change.yaml"
        path.write_text(yaml.safe_dump(kinds))
        return self.fleet.run_cli("config", "apply", str(path), *options)

    def test_change_is_in_force_everywhere(self):
        self.assertEqual(self.set_rate(999).returncode, 0)
        self.assertLess(self.wait_for_revision(2), MAX_PROPAGATION_S)

    def test_concurrent_changes_are_accepted_or_conflict(self):
        results = run_concurrently(
            [lambda n=n: self.set_rate(1000 + n) for n in range(6)]
        )
        statuses = [result.returncode for result in results]
        accepted = statuses.count(0)
        self.assertGreaterEqual(accepted, 1)
        self.assertEqual(set(statuses) - {0, 1}, set())
        for result in results:
            if result.returncode:
                self.assertIn("conflict", result.stderr)
        self.wait_for_revision(1 + accepted)

    def test_change_made_for_an_older_revision_is_refused(self):
        self.set_rate(999)
        kinds = {"tier": self.kinds["tier"] | {"gold": {"weight": 9, "priority": 0}}}
        result = self.apply(kinds, "--expect", "1")
        self.assertEqual(result.returncode, 1)
        self.assertIn("conflict: expected revision 1, found 2", result.stderr)

    def test_invalid_change_is_refused_atomically_and_names_the_field(self):
        kinds = {
            "tier": self.kinds["tier"] | {"gold": {"weight": 9, "priority": 0}},
            "workspace": {"w1": {"tier": "none", "rate": 5}},
        }
        result = self.apply(kinds)
        self.assertEqual(result.returncode, 1)
        self.assertIn("workspace/w1: rate", result.stderr)
        shown = self.fleet.run_cli("config", "show").stdout
        self.assertIn("revision 1", shown)
        self.assertNotIn("gold", shown)

    def test_change_whose_response_is_lost_is_read_back(self):
        self.fleet.set_platform_faults(lost_answers=1)
        result = self.set_rate(999)
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("accepted as revision 2", result.stdout)
        self.wait_for_revision(2)

    def test_unfrozen_instance_applies_the_latest_revision(self):
        node = self.nodes[1]
        node.agent.freeze()
        for rate in (11, 12, 13):
            self.assertEqual(self.set_rate(rate).returncode, 0)
        node.agent.unfreeze()
        self.assertLess(self.wait_for_revision(4), MAX_PROPAGATION_S)
        revisions_seen = set()
        deadline = time.monotonic() + 2.0
        while time.monotonic() < deadline:
            revisions_seen.add(self.read_revisions(node))
        self.assertEqual(revisions_seen, {(4, 4)})

    def test_change_reaches_agents_that_cannot_read_the_platform(self):
        """Agents frozen during a change get it from a peer while the platform is down."""
        self.nodes[1].agent.freeze()
        self.nodes[2].agent.freeze()
        self.assertEqual(self.set_rate(999).returncode, 0)
        wait_until(lambda: self.read_revisions(self.nodes[0]) == (2, 2), 5)
        self.fleet.set_platform_faults(is_down=True)
        self.nodes[1].agent.unfreeze()
        self.nodes[2].agent.unfreeze()
        self.assertLess(self.wait_for_revision(2), MAX_PROPAGATION_S)

    def test_many_changes_pass_the_kept_ones(self):
        """An agent that missed more changes than the platform keeps loads the snapshot."""
        node = self.nodes[2]
        node.agent.kill()
        for number in range(70):
            kinds = {"route": {**self.kinds["route"], "r": {"prefix": f"/r{number}/"}}}
            self.submit_config(kinds)
        node.agent.start()
        self.wait_for_revision(71, 10)
        chat = make_chat(1)
        self.assert_complete_answer(self.chat(2, chat), chat)

    def submit_config(self, kinds):
        """Submit a change in this process, which is faster than the command line."""

        async def submit():
            client = PlatformClient(Address("127.0.0.1", self.fleet.platform_port))
            state = (await load_state(client)).unwrap()
            puts, deletes = compute_edit(state, kinds)
            outcome = await submit_change(client, state.revision, puts, deletes, "test")
            return outcome.unwrap()

        curio.run(submit)

    def test_older_head_never_takes_effect(self):
        """A head of an earlier revision, as from a lagging store replica, is ignored."""
        port = self.fleet.platform_port
        self.assertEqual(self.set_rate(999).returncode, 0)
        self.wait_for_revision(2)
        stored = call_http(port, "GET", "/objects/config/head")
        old_head = stored.body.replace(b'"revision":2', b'"revision":1', 1)
        headers = {"x-expected-version": stored.headers["x-version"]}
        call_http(port, "PUT", "/objects/config/head", old_head, headers)
        time.sleep(3.0)
        self.assertEqual(self.read_revisions(self.nodes[0]), (2, 2))

    def test_damaged_head_leaves_the_old_revision_in_force(self):
        port = self.fleet.platform_port
        stored = call_http(port, "GET", "/objects/config/head")
        for damaged_head in (b"{", b'{"format_version": 99}', b"\xff\xfe"):
            headers = {"x-expected-version": stored.headers["x-version"]}
            call_http(port, "PUT", "/objects/config/head", damaged_head, headers)
            time.sleep(0.5)
            self.assertEqual(self.read_revisions(self.nodes[0]), (1, 1))
            stored = call_http(port, "GET", "/objects/config/head")
        self.assertIsNotNone(call_json(self.nodes[0].agent_ops_port, "/dump"))


if __name__ == "__main__":
    unittest.main()
